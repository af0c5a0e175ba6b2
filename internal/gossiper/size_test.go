package gossiper_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

const (
	// largeSize is the number of instances of the users' large site: in each of five zones, three of 0.8 and 56 of 0.192
	// cores.
	largeSize  = 295
	largeZones = 5
	// controlBytes is the users' budget for what an instance sends and receives for control, in bytes per second.
	controlBytes = 17_000
	// inFlight is the number of requests that an instance has in flight at the large site: three a second of a third of a
	// second each.
	inFlight = 1
)

func largeCapacity(i int) uint32 {
	if i < 3*largeZones {
		return 800
	}
	return 192
}

// runLarge runs a fleet of the given size until all instances know each other, and then f.
func runLarge(t *testing.T, size int, f func(fl *fleet)) {
	synctest.Test(t, func(*testing.T) {
		rng := rand.New(rand.NewPCG(1, 1))
		fl := &fleet{capacity: largeCapacity}
		fl.loads = func() []*gossiper.Load {
			var loads []*gossiper.Load
			for range inFlight {
				loads = append(loads, &gossiper.Load{Target: fmt.Sprintf("i-%08x", rng.Uint32()), PromptTokens: 17_020})
			}
			return loads
		}
		for i := range size {
			fl.start(i, largeZones, fmt.Sprintf("%08x", i))
		}
		time.Sleep(10 * time.Second)
		f(fl)
		for id := range fl.nodes {
			fl.stop(id)
		}
	})
}

// TestControlTrafficAtLargeSite checks the messages of the instances of the users' large site against the budget for
// control. Hubs, of which each zone has two and which have ten times the link, may use ten times as much.
func TestControlTrafficAtLargeSite(t *testing.T) {
	runLarge(t, largeSize, func(fl *fleet) {
		quicktest.Assert(t, fl.wrongView(largeSize-1), quicktest.Equals, "")
		fl.mu.Lock()
		for _, n := range fl.nodes {
			n.bytes = 0
		}
		fl.mu.Unlock()
		const seconds = 10
		time.Sleep(seconds * time.Second)
		fl.mu.Lock()
		defer fl.mu.Unlock()
		highest, highestHub := 0, 0
		for _, n := range fl.nodes {
			if n.IsHub(time.Now()) {
				highestHub = max(highestHub, n.bytes/seconds)
			} else {
				highest = max(highest, n.bytes/seconds)
			}
		}
		t.Logf("%d bytes/s, hub %d bytes/s", highest, highestHub)
		quicktest.Check(t, highest < controlBytes, quicktest.IsTrue, quicktest.Commentf("%d bytes/s", highest))
	})
}

// TestIdlePeersCostNothing checks that an instance runs goroutines for its partners only, not for each instance.
func TestIdlePeersCostNothing(t *testing.T) {
	runLarge(t, largeSize, func(*fleet) {
		perInstance := float64(runtime.NumGoroutine()) / largeSize
		quicktest.Check(t, perInstance < 10, quicktest.IsTrue, quicktest.Commentf("%.1f goroutines an instance", perInstance))
	})
}

// TestDeathIsKnownEverywhere stops instances of a large fleet, among them both hubs of a zone, and checks that all others
// drop them, keep each other, and take up an instance that has started again.
func TestDeathIsKnownEverywhere(t *testing.T) {
	runLarge(t, largeSize, func(fl *fleet) {
		for _, i := range []int{0, 5, 17, 200} {
			fl.stop(fmt.Sprintf("entry-%02d", i))
		}
		time.Sleep(8 * time.Second)
		quicktest.Check(t, fl.wrongView(largeSize-5), quicktest.Equals, "")
		fl.start(200, largeZones, "again")
		time.Sleep(4 * time.Second)
		quicktest.Check(t, fl.wrongView(largeSize-4), quicktest.Equals, "")
	})
}

// TestHubsThatCannotReachEachOther cuts the hubs of two zones from each other: the hubs of other zones relay.
func TestHubsThatCannotReachEachOther(t *testing.T) {
	runLarge(t, largeSize, func(fl *fleet) {
		first, second := map[string]bool{}, map[string]bool{}
		for id, n := range fl.nodes {
			first[id], second[id] = n.Self.Zone == "zone-0", n.Self.Zone == "zone-1"
		}
		fl.mu.Lock()
		fl.cut = func(from, to string) bool { return first[from] && second[to] || second[from] && first[to] }
		fl.mu.Unlock()
		for range 10 {
			time.Sleep(time.Second)
			quicktest.Check(t, fl.wrongView(largeSize-1), quicktest.Equals, "")
		}
	})
}

// TestMembersAreKnownDespiteLostMessages restarts instances while a tenth of the messages is lost: statuses that name
// only an incarnation must not hide an instance from others for long.
func TestMembersAreKnownDespiteLostMessages(t *testing.T) {
	runLarge(t, 100, func(fl *fleet) {
		rng := rand.New(rand.NewPCG(2, 2))
		fl.mu.Lock()
		fl.cut = func(_, _ string) bool { return rng.Float64() < 0.1 }
		fl.mu.Unlock()
		for i := 20; i < 40; i++ {
			id := fmt.Sprintf("entry-%02d", i)
			fl.stop(id)
			fl.start(i, largeZones, fmt.Sprint("second", i))
		}
		time.Sleep(5 * time.Second)
		fl.mu.Lock()
		fl.cut = nil
		fl.mu.Unlock()
		time.Sleep(3 * time.Second)
		quicktest.Check(t, fl.wrongView(99), quicktest.Equals, "")
	})
}

// TestChangesDoNotMultiply has the pattern of a release of half of the targets: each instance learns of many changes a
// second and wants to pass each of them on. The exchanges of a hub must stay bounded by its partners.
func TestChangesDoNotMultiply(t *testing.T) {
	runLarge(t, largeSize, func(fl *fleet) {
		fl.mu.Lock()
		for _, n := range fl.nodes {
			n.exchangeCount = 0
		}
		fl.mu.Unlock()
		const seconds, changesPerSecond = 5, 25
		for range seconds * changesPerSecond {
			for _, n := range fl.nodes {
				n.SendNow()
			}
			time.Sleep(time.Second / changesPerSecond)
		}
		fl.mu.Lock()
		defer fl.mu.Unlock()
		partners := largeSize/largeZones + 2*largeZones
		for id, n := range fl.nodes {
			limit := partners * 8
			if !n.IsHub(time.Now()) {
				limit = 3 * 8
			}
			quicktest.Check(t, n.exchangeCount/seconds < limit, quicktest.IsTrue, quicktest.Commentf("%s: %d exchanges a second", id, n.exchangeCount/seconds))
		}
	})
}
