package coordinator_test

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/follower"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	largeFleet, smallFleet = 75, 6
	hubs                   = 6
	storeAway              = 8 * time.Second
	// peersHeardAfter is how long instances that start together take to hear each other.
	peersHeardAfter = time.Second
)

var errAway = errors.New("store away")

// fakeStore is one stream of a store that may be away, or refuse some instances.
type fakeStore struct {
	mu      sync.Mutex
	records []mirrorer.Record
	away    bool
	refuses map[int]bool
	calls   int
}

func (s *fakeStore) set(away bool, refuses ...int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.refuses = away, map[int]bool{}
	for _, i := range refuses {
		s.refuses[i] = true
	}
}

func (s *fakeStore) put(value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, mirrorer.Record{Key: "c", Value: []byte(value), Offset: identifier.Offset(len(s.records) + 1)})
}

func (s *fakeStore) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// storeClient is one instance's access to the store.
type storeClient struct {
	store    *fakeStore
	instance int
}

func (c storeClient) Era() identifier.Era { return 0 }

func (c storeClient) Newest(ctx context.Context) ([]mirrorer.Record, identifier.Offset, error) {
	return c.Read(ctx, 0, 0)
}

func (c storeClient) Read(_ context.Context, from identifier.Offset, _ time.Duration) ([]mirrorer.Record, identifier.Offset, error) {
	time.Sleep(4 * time.Millisecond)
	s := c.store
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.away || s.refuses[c.instance] {
		return nil, 0, errAway
	}
	var list []mirrorer.Record
	for _, r := range s.records {
		if r.Offset >= from {
			list = append(list, r)
		}
	}
	return list, identifier.Offset(len(s.records) + 1), nil
}

// readers are instances that follow a store and gossip without sending changes at once.
type readers struct {
	store   *fakeStore
	mirrors []*mirrorer.Mirror
	began   time.Time
	retries bool
}

// describe returns what an instance knows of itself as a reader; the instances are in the order of their ranks.
func (f *readers) describe(i int) coordinator.Reader {
	r := coordinator.Reader{UsesHubs: len(f.mirrors) > 12, Rank: i, Instances: len(f.mirrors)}
	if time.Since(f.began) < peersHeardAfter {
		r.Rank, r.Instances, r.Alone = 0, 1, true
	}
	return r
}

func (f *readers) run(ctx context.Context, group *sync.WaitGroup) {
	for i, m := range f.mirrors {
		fl := &follower.Follower{
			Name: "Configuration", Stream: storeClient{f.store, i}, Mirror: m, Logger: zap.NewNop(),
			MaximumAge: func() time.Duration { return f.describe(i).CopyAge() },
		}
		if f.retries {
			fl.Retry = func(failures int) time.Duration { return f.describe(i).RetryPause(failures, rand.Float64()) }
		}
		group.Go(func() { fl.Run(ctx) })
		group.Go(func() { f.gossip(ctx, i) })
	}
}

// gossip exchanges records with all hubs, in a small fleet with all instances, at the interval of that fleet.
func (f *readers) gossip(ctx context.Context, i int) {
	partners, interval := f.mirrors, 250*time.Millisecond
	if len(f.mirrors) > 12 {
		partners, interval = f.mirrors[:hubs], gossiper.RelayInterval
	}
	time.Sleep(rand.N(interval))
	for ctx.Err() == nil {
		if time.Since(f.began) >= peersHeardAfter {
			for j, m := range partners {
				if j != i {
					send(f.mirrors[i], m)
					send(m, f.mirrors[i])
				}
			}
		}
		time.Sleep(interval)
	}
}

func send(from, to *mirrorer.Mirror) {
	now := time.Now()
	age, known := from.Age(now)
	if !known {
		return
	}
	to.Apply(0, from.Newer(to.Position().Offset, to.Version()), from.Position().Offset, now.Add(-age))
}

// awaitValue returns how long it takes until all instances have a value, or at most ten seconds.
func (f *readers) awaitValue(value string) time.Duration {
	since := time.Now()
	for ; time.Since(since) < 10*time.Second; time.Sleep(10 * time.Millisecond) {
		if !slices.ContainsFunc(f.mirrors, func(m *mirrorer.Mirror) bool { r, _ := m.Get("c"); return string(r.Value) != value }) {
			break
		}
	}
	return time.Since(since)
}

// runReaders runs a fleet and returns the calls to the store while play ran, and its result.
func runReaders(t *testing.T, instances int, retries, away bool, play func(f *readers) time.Duration) (calls int, took time.Duration) {
	synctest.Test(t, func(*testing.T) {
		f := &readers{store: &fakeStore{away: away}, began: time.Now(), retries: retries}
		for range instances {
			f.mirrors = append(f.mirrors, &mirrorer.Mirror{})
		}
		f.store.put("1")
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		f.run(ctx, &group)
		if !away {
			time.Sleep(5 * time.Second)
		}
		calls = f.store.count()
		took = play(f)
		calls = f.store.count() - calls
		cancel()
		group.Wait()
	})
	return calls, took
}

// TestFailingStoreGetsFewCalls guards against instances that all repeat their calls to a store that fails, and against records that arrive
// later than the users' bounds allow because instances back off.
func TestFailingStoreGetsFewCalls(t *testing.T) {
	afterAway := func(refused ...int) func(f *readers) time.Duration {
		return func(f *readers) time.Duration {
			f.store.set(true)
			time.Sleep(storeAway)
			f.store.set(false, refused...)
			f.store.put("2")
			return f.awaitValue("2")
		}
	}
	refusedAlone := func(instances ...int) func(f *readers) time.Duration {
		return func(f *readers) time.Duration {
			f.store.set(false, instances...)
			time.Sleep(storeAway)
			f.store.put("2")
			return f.awaitValue("2")
		}
	}
	for _, tc := range []struct {
		name      string
		instances int
		restart   bool
		bound     time.Duration
		play      func(f *readers) time.Duration
	}{
		{"75, away for 8 s", largeFleet, false, largeBound, afterAway()},
		{"75, restarted while it is away", largeFleet, true, largeBound, afterAway()},
		{"75, away, then it refuses the first two", largeFleet, false, largeBound, afterAway(0, 1)},
		{"75, away, then it refuses all hubs", largeFleet, false, largeBound, afterAway(0, 1, 2, 3, 4, 5)},
		{"75, the first alone is refused", largeFleet, false, largeBound, refusedAlone(0)},
		{"75, a hub alone is refused", largeFleet, false, largeBound, refusedAlone(4)},
		{"75, one that is no hub is refused", largeFleet, false, largeBound, refusedAlone(40)},
		{"6, away for 8 s", smallFleet, false, smallBound, afterAway()},
		{"6, restarted while it is away", smallFleet, true, smallBound, afterAway()},
		{"6, away, then it refuses the first two", smallFleet, false, smallBound, afterAway(0, 1)},
		{"6, the first alone is refused", smallFleet, false, smallBound, refusedAlone(0)},
	} {
		before, after, longestBefore, longest := 0, 0, time.Duration(0), time.Duration(0)
		const runs = 5
		for range runs {
			calls, took := runReaders(t, tc.instances, false, tc.restart, tc.play)
			before, longestBefore = before+calls, max(longestBefore, took)
			calls, took = runReaders(t, tc.instances, true, tc.restart, tc.play)
			after, longest = after+calls, max(longest, took)
		}
		t.Logf("%-40s %4d calls, were %4d; all have the record after at most %4d ms, were %4d ms", tc.name, after/runs, before/runs, longest.Milliseconds(), longestBefore.Milliseconds())
		// In the large fleet, the first two call every 0.4 s, and each of the others at most eight times in 8 s. In the small
		// one, all call every 0.4 s, also until the last one has the record.
		limit := 2*int(storeAway/follower.RetryPause) + 8*tc.instances
		if tc.instances == smallFleet {
			limit = smallFleet * int((storeAway+tc.bound)/follower.RetryPause)
		}
		quicktest.Check(t, after/runs <= limit, quicktest.IsTrue, quicktest.Commentf("%s: %d calls", tc.name, after/runs))
		quicktest.Check(t, longest < tc.bound, quicktest.IsTrue, quicktest.Commentf("%s: %v", tc.name, longest))
	}
}
