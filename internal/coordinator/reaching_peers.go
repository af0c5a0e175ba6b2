package coordinator

import (
	"cmp"
	"math"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

// similarReach is the fraction of a service's targets by which the reach of two peers may differ without one being preferred: peers
// learn at different times of targets that come and go.
const similarReach = 0.1

// ReachingPeer is a peer that can serve requests of an instance that cannot reach the targets of a service. Down is how many of the
// targets it cannot reach itself.
type ReachingPeer struct {
	Member *gossiper.Member
	Down   int
}

// ReachingPeers are the peers to which an instance may pass the requests of a service.
type ReachingPeers struct {
	Peers []ReachingPeer
	// Listed is the number of targets of the service.
	Listed int
	// Zone is the instance's availability zone, and ZoneCapacity the capacity of all instances in it.
	Zone         string
	ZoneCapacity uint64
}

// Addresses returns the addresses for requests of peers in the order in which they should be tried for one request: those that reach most
// first, then those of the instance's zone, each in a random order in which peers come first as often as their capacity allows. If
// less than half of its zone's capacity is left there, all zones share the requests: the few that are left would get all of them.
func (l *ReachingPeers) Addresses(random func() float64) []string {
	type candidate struct {
		address     string
		reach, zone int
		rank        float64
	}
	near := uint64(0)
	for _, p := range l.Peers {
		if p.Member.Zone == l.Zone {
			near += uint64(p.Member.Capacity)
		}
	}
	list := make([]candidate, 0, len(l.Peers))
	for _, p := range l.Peers {
		// Sorted by this rank, a peer comes first with a probability in proportion to its capacity.
		c := candidate{address: p.Member.RelayAddress, rank: -math.Log(1-random()) / float64(max(1, p.Member.Capacity))}
		c.reach = int(float64(p.Down) / max(1, similarReach*float64(l.Listed)))
		if 2*near >= l.ZoneCapacity && p.Member.Zone != l.Zone {
			c.zone = 1
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.reach, b.reach), cmp.Compare(a.zone, b.zone), cmp.Compare(a.rank, b.rank))
	})
	addresses := make([]string, 0, len(list))
	for _, c := range list {
		addresses = append(addresses, c.address)
	}
	return addresses
}
