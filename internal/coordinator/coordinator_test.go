package coordinator_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

// The users' bounds for the time until no request reaches a leaving target, for small and for large sites.
const (
	smallBound = 2 * time.Second
	largeBound = 3 * time.Second
	// storeCallTime is the duration of a call to a store that answers in 4 ms, including queueing.
	storeCallTime = 200 * time.Millisecond
	// hubRank and leafRank are the ranks of an instance that is a hub and of one that is not.
	hubRank  = 5
	leafRank = 40
)

// TestCopiesAreReadInTime checks the longest time until an instance reads from the store that a target leaves: the age
// of its copy, which it checks after an exchange that took as long as its timeout, plus the call to the store.
func TestCopiesAreReadInTime(t *testing.T) {
	worst := coordinator.MaximumCopyAge(false, hubRank) + gossiper.ExchangeTimeout + storeCallTime
	quicktest.Check(t, worst < smallBound, quicktest.IsTrue, quicktest.Commentf("small: %v", worst))
	worst = coordinator.MaximumCopyAge(true, leafRank) + gossiper.ExchangeTimeout + storeCallTime
	quicktest.Check(t, worst < largeBound, quicktest.IsTrue, quicktest.Commentf("large: %v", worst))
}

// TestRefusedInstanceIsUpdatedInTime checks the same time for an instance that the store refuses, as it refuses the hub
// of the instance. The record takes two hops, from a hub that reads the store through a second hub; each hop waits for an
// interval, and one exchange takes as long as its timeout.
func TestRefusedInstanceIsUpdatedInTime(t *testing.T) {
	worst := coordinator.MaximumCopyAge(true, hubRank) + 2*gossiper.RelayInterval + gossiper.ExchangeTimeout
	quicktest.Check(t, worst < largeBound, quicktest.IsTrue, quicktest.Commentf("%v", worst))
}

// TestFleetThatStartsTogetherReadsSeldom guards against a start of all instances at once in which each takes itself for the first one
// and reads the store as often, and against hundreds of them that all read the members again and again.
func TestFleetThatStartsTogetherReadsSeldom(t *testing.T) {
	first := coordinator.Reader{UsesHubs: true}
	for name, r := range map[string]coordinator.Reader{
		"nobody is heard yet":             {UsesHubs: true, Isolated: true},
		"many are heard, none serves yet": {UsesHubs: true, Rank: leafRank},
	} {
		quicktest.Check(t, r.CopyAge(), quicktest.Equals, coordinator.MaximumCopyAge(true, leafRank), quicktest.Commentf(name))
		for _, sinceStart := range []time.Duration{time.Second, time.Minute} {
			later := r.MemberCopyAge(sinceStart) - first.MemberCopyAge(sinceStart)
			quicktest.Check(t, later, quicktest.Equals, r.CopyAge()-first.CopyAge(), quicktest.Commentf(name))
		}
	}
	quicktest.Check(t, coordinator.Reader{}.CopyAge() < coordinator.MaximumCopyAge(false, 0), quicktest.IsTrue, quicktest.Commentf("the only instance"))
}

// TestIsolatedHolderYields guards against usage windows that are reported by an instance that hears none of its peers, with figures that
// lack theirs and that nobody else knows, and against duties that nobody does once all others are gone.
func TestIsolatedHolderYields(t *testing.T) {
	const lease = 3 * time.Second
	start := time.Now()
	i := &coordinator.Isolation{}
	for _, step := range []struct {
		second   int
		isolated bool
		yields   bool
	}{
		{0, false, false}, {1, true, true}, {4, true, true}, {9, true, true}, {10, true, false}, {60, true, false},
		{61, false, false}, {62, true, true}, {63, false, false}, {70, true, true}, {78, true, true}, {79, true, false},
	} {
		got := i.Yields(step.isolated, lease, start.Add(time.Duration(step.second)*time.Second))
		quicktest.Check(t, got, quicktest.Equals, step.yields, quicktest.Commentf("second %d", step.second))
	}
}

// TestCrashedTargetsAreNoCut guards against requests that are passed to peers which have not noticed yet that the targets have crashed.
func TestCrashedTargetsAreNoCut(t *testing.T) {
	for _, tc := range []struct {
		own, peer, listed int
		more              bool
	}{
		{12, 0, 12, true}, {12, 3, 13, true}, {25, 0, 28, true}, {2, 0, 4, true}, {1, 0, 1, true},
		{3, 0, 12, false}, {5, 2, 13, false}, {5, 5, 13, false}, {12, 12, 12, false}, {0, 0, 12, false}, {0, 5, 12, false},
	} {
		quicktest.Check(t, coordinator.ReachesMore(tc.own, tc.peer, tc.listed), quicktest.Equals, tc.more, quicktest.Commentf("%+v", tc))
	}
}
