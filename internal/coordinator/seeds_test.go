package coordinator_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

var errNotListening = errors.New("connection refused")

// TestDarkSeedsDelayNothing guards against an instance that waits for one seed without an answer after the other while another one is up.
func TestDarkSeedsDelayNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		began := time.Now()
		var first time.Duration
		contacts := &coordinator.SeedContacts{
			Seeds: func() []string { return []string{"dark 1", "dark 2", "up"} },
			Heard: func() bool { mu.Lock(); defer mu.Unlock(); return first > 0 },
			Contact: func(_ context.Context, addr string) error {
				if addr != "up" {
					time.Sleep(gossiper.ExchangeTimeout)
					return context.DeadlineExceeded
				}
				time.Sleep(3 * time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				first = time.Since(began)
				return nil
			},
			Logger: zap.NewNop(),
		}
		contacts.Run(context.Background())
		quicktest.Check(t, first < gossiper.ExchangeTimeout, quicktest.IsTrue, quicktest.Commentf("heard after %v", first))
		quicktest.Check(t, time.Since(began) < 10*time.Second, quicktest.IsTrue, quicktest.Commentf("it ends although two seeds stay dark"))
	})
}

// TestInstancesThatReturnTogetherFormOneGroup guards against groups of instances that do not know of each other after a restart of all
// while the store, which lists them, is away.
func TestInstancesThatReturnTogetherFormOneGroup(t *testing.T) {
	const instances, seeds = 75, 6
	longest := time.Duration(0)
	for range 20 {
		synctest.Test(t, func(t *testing.T) {
			var mu sync.Mutex
			group, listening := make([]int, instances), make([]bool, instances)
			for i := range group {
				group[i] = i
			}
			ctx, cancel := context.WithCancel(context.Background())
			var wait sync.WaitGroup
			for i := range instances {
				contacts := &coordinator.SeedContacts{
					Seeds: func() (list []string) {
						for seed := range seeds {
							if seed != i {
								list = append(list, strconv.Itoa(seed))
							}
						}
						return list
					},
					Heard: func() bool {
						mu.Lock()
						defer mu.Unlock()
						for j := range group {
							if j != i && group[j] == group[i] {
								return true
							}
						}
						return false
					},
					Contact: func(_ context.Context, addr string) error {
						time.Sleep(3 * time.Millisecond)
						mu.Lock()
						defer mu.Unlock()
						seed, _ := strconv.Atoi(addr)
						if !listening[seed] {
							return errNotListening
						}
						// Gossip makes both groups one.
						for j, from := 0, group[seed]; j < instances; j++ {
							if group[j] == from {
								group[j] = group[i]
							}
						}
						return nil
					},
					Logger: zap.NewNop(),
				}
				wait.Go(func() {
					time.Sleep(rand.N(time.Second))
					mu.Lock()
					listening[i] = true
					mu.Unlock()
					contacts.Run(ctx)
				})
			}
			groups := func() int {
				mu.Lock()
				defer mu.Unlock()
				different := map[int]bool{}
				for _, g := range group {
					different[g] = true
				}
				return len(different)
			}
			began := time.Now()
			for groups() > 1 && time.Since(began) < 10*time.Second {
				time.Sleep(10 * time.Millisecond)
			}
			longest = max(longest, time.Since(began))
			quicktest.Check(t, groups(), quicktest.Equals, 1)
			cancel()
			wait.Wait()
		})
	}
	t.Logf("one group after at most %v", longest)
}
