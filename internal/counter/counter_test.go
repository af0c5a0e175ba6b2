package counter_test

import (
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/coltsfootscale/coltsfootscale/internal/counter"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// TestCopiesComeInAnyOrder checks that each request counts exactly once when the counts of three instances are merged at
// a fourth, in any order and more than once.
func TestCopiesComeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var total counter.Counter
		var counts []counter.Count
		want := map[identifier.TeamID]uint64{}
		for _, incarnation := range []string{"a", "b", "c"} {
			var own counter.Counter
			next := uint64(0)
			for range rapid.IntRange(0, 30).Draw(t, "requests") {
				team := identifier.TeamID(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team"))
				own.Add(incarnation, 1, team)
				want[team]++
				if rapid.Bool().Draw(t, "beat") {
					var changed []counter.Count
					changed, next = own.ChangedSince(next)
					counts = append(counts, changed...)
				}
			}
			changed, _ := own.ChangedSince(next)
			counts = append(counts, changed...)
		}
		for _, count := range rapid.Permutation(append(counts, counts...)).Draw(t, "order") {
			total.Merge(count)
		}
		got := total.Total(1)
		for team, n := range want {
			if got[team] != n {
				t.Fatalf("team %s: counted %d requests of %d", team, got[team], n)
			}
		}
	})
}

func TestPrune(t *testing.T) {
	var c counter.Counter
	c.Add("a", 1, "x")
	c.Add("a", 9, "x")
	c.Prune(9)
	quicktest.Assert(t, c.Total(1), quicktest.HasLen, 0)
	quicktest.Assert(t, c.Total(9)["x"], quicktest.Equals, uint64(1))
}

// TestRelayedCountsAreNotFirstHand checks that a hub can leave out what another hub sends to all hubs itself.
func TestRelayedCountsAreNotFirstHand(t *testing.T) {
	var c counter.Counter
	c.Add("self", 1, "x")
	c.Merge(counter.Count{Incarnation: "partner", Window: 1, Team: "x", Requests: 2})
	c.MergeRelayed(counter.Count{Incarnation: "far", Window: 1, Team: "x", Requests: 4})
	all, _ := c.ChangedSince(0)
	quicktest.Check(t, all, quicktest.HasLen, 3)
	firstHand, next := c.FirstHandSince(0)
	quicktest.Check(t, firstHand, quicktest.HasLen, 2)
	quicktest.Check(t, next, quicktest.Equals, uint64(3))
	quicktest.Check(t, c.Total(1)["x"], quicktest.Equals, uint64(7))
}
