package gossiper_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

// TestIsolatedInstanceKeepsItsPlace guards against instances that cannot reach each other and each take the shares of the others,
// which run all the same. The partition lasts as long as the longest that the memory of members is made for.
func TestIsolatedInstanceKeepsItsPlace(t *testing.T) {
	const size, partition = 20, 9 * time.Minute
	run(t, size, func(fl *fleet) {
		check := func() {
			ranks := map[int]bool{}
			fl.mu.Lock()
			defer fl.mu.Unlock()
			for _, n := range fl.nodes {
				rank, instances := n.Place(time.Now())
				quicktest.Check(t, instances, quicktest.Equals, size)
				ranks[rank] = true
			}
			quicktest.Check(t, ranks, quicktest.HasLen, size)
		}
		check()
		fl.setCut(func(_, _ string) bool { return true })
		time.Sleep(partition)
		check()
		fl.setCut(nil)
		time.Sleep(10 * time.Second)
		check()
	})
}

// TestPlaceCountsWhoMayBeRunning checks that members count from the first record on, that those that left do not, and that
// silent ones count as long as they may be cut off.
func TestPlaceCountsWhoMayBeRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &gossiper.Gossiper{
			Self: &gossiper.Member{ID: "b", PeerAddress: "b"}, Logger: zap.NewNop(),
			Status:     func(time.Time) *gossiper.Status { return &gossiper.Status{} },
			AddPayload: func(_, _ *gossiper.Beat, _ bool) {}, OnStatus: func(*gossiper.Status, time.Time) {}, OnMessage: func(*gossiper.Beat, gossiper.Receipt) {},
		}
		check := func(want string) {
			t.Helper()
			rank, instances := g.Place(time.Now())
			quicktest.Check(t, fmt.Sprint(rank, " of ", instances), quicktest.Equals, want)
		}
		hear := func(id string, sequence uint64, leaving bool) {
			m := &gossiper.Member{ID: id, Incarnation: id, PeerAddress: id}
			g.Answer(&gossiper.Beat{Statuses: []*gossiper.Status{{Member: m, Sequence: sequence, Leaving: leaving}}})
		}
		check("0 of 1")
		g.AddMember(&gossiper.Member{ID: "a", Incarnation: "a", PeerAddress: "a"})
		check("1 of 2")
		hear("c", 1, false)
		hear("d", 1, false)
		check("1 of 4")
		hear("d", 2, true)
		check("1 of 4")
		time.Sleep(5 * time.Second)
		check("1 of 3")
		time.Sleep(11 * time.Minute)
		check("0 of 1")
		hear("c", 2, false)
		check("0 of 2")
	})
}
