package coordinator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

// TestPassedOnRequestsAreSpread guards against RECOVER in a large fleet: the few peers of a zone that reach the targets, or the one that
// cannot reach the fewest, got the requests of all instances that are cut off.
func TestPassedOnRequestsAreSpread(t *testing.T) {
	const requests = 20_000
	// peers returns peers of a zone with a capacity.
	peers := func(zone string, n, down int, capacity uint32) (list []coordinator.ReachingPeer) {
		for i := range n {
			address := fmt.Sprintf("%s-%d-%d-%d", zone, capacity, down, i)
			list = append(list, coordinator.ReachingPeer{Member: &gossiper.Member{RelayAddress: address, Zone: zone, Capacity: capacity}, Down: down})
		}
		return list
	}
	join := func(lists ...[]coordinator.ReachingPeer) (all []coordinator.ReachingPeer) {
		for _, l := range lists {
			all = append(all, l...)
		}
		return all
	}
	for name, tc := range map[string]struct {
		peers []coordinator.ReachingPeer
		// most is the largest share of the requests that one peer may get.
		most float64
		// inZone is the share of the requests that stays in the zone of the instance.
		inZone float64
	}{
		"two of 20 are left in the zone":          {join(peers("a", 2, 0, 100), peers("b", 18, 0, 100)), 0.06, 0.1},
		"half are left in the zone":               {join(peers("a", 10, 0, 100), peers("b", 18, 0, 100)), 0.12, 1},
		"one has not noticed two crashes":         {join(peers("a", 1, 0, 100), peers("a", 19, 2, 100)), 0.06, 1},
		"those that reach far less come last":     {join(peers("a", 10, 0, 100), peers("a", 10, 30, 100)), 0.12, 1},
		"a strong one gets four times as much":    {join(peers("a", 1, 0, 400), peers("a", 16, 0, 100)), 0.22, 1},
		"nobody is left in the zone":              {peers("b", 18, 0, 100), 0.07, 0},
		"a peer of another zone reaches far more": {join(peers("a", 10, 30, 100), peers("b", 10, 0, 100)), 0.12, 0},
	} {
		rng := rand.New(rand.NewPCG(1, 2))
		l := &coordinator.ReachingPeers{Peers: tc.peers, Listed: 100, Zone: "a", ZoneCapacity: 2000}
		first, inZone := map[string]int{}, 0
		for range requests {
			address := l.Addresses(rng.Float64)[0]
			first[address]++
			if address[0] == 'a' {
				inZone++
			}
		}
		most := 0
		for _, n := range first {
			most = max(most, n)
		}
		quicktest.Check(t, float64(most)/requests <= tc.most, quicktest.IsTrue, quicktest.Commentf("%s: %d of %d requests to one peer", name, most, requests))
		share := float64(inZone) / requests
		quicktest.Check(t, share > tc.inZone-0.02 && share < tc.inZone+0.02, quicktest.IsTrue, quicktest.Commentf("%s: %.2f stay in the zone", name, share))
	}
}
