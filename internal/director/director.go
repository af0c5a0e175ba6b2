package director

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// minimumInstances is the smallest number of instances to offer, as far as that many are ready: a single one may fail.
	minimumInstances = 2
	// maximumInstances is the maximum number of addresses that a client accepts.
	maximumInstances = 64
)

// Choose returns the instances to offer to a client in an availability zone: those of its own zone if there are enough,
// else those of all zones. Clients pick one at random, so an instance with less than the median capacity is offered in
// a correspondingly smaller fraction of the responses. If that leaves too few, all are offered. random returns numbers
// from 0 to 1.
//
// A zone may have more instances than a client accepts. Each directory then offers a selection of its own, in which
// stronger instances are more likely, so that together they offer all. The selection stays the same while the instances
// do, because clients give up connections to instances that are no longer offered.
func Choose(ready []*gossiper.Member, zone identifier.ZoneID, directory string, random func() float64) []*gossiper.Member {
	var nearby []*gossiper.Member
	for _, m := range ready {
		if m.Zone == string(zone) {
			nearby = append(nearby, m)
		}
	}
	if len(nearby) < minimumInstances {
		nearby = ready
	}
	median := medianCapacity(nearby)
	var chosen []*gossiper.Member
	for _, m := range nearby {
		if float64(m.Capacity) >= random()*median {
			chosen = append(chosen, m)
		}
	}
	if len(chosen) < min(minimumInstances, len(nearby)) {
		chosen = nearby
	}
	if len(chosen) <= maximumInstances {
		return chosen
	}
	return selectStable(chosen, directory)
}

// selectStable returns maximumInstances members by weighted rendezvous hashing.
func selectStable(members []*gossiper.Member, directory string) []*gossiper.Member {
	rank := map[string]float64{}
	for _, m := range members {
		uniform := (float64(xxhash.Sum64String(directory+"/"+m.ID)>>11) + 0.5) / (1 << 53)
		rank[m.ID] = -math.Log(uniform) / float64(max(1, m.Capacity))
	}
	list := slices.Clone(members)
	slices.SortFunc(list, func(a, b *gossiper.Member) int { return cmp.Compare(rank[a.ID], rank[b.ID]) })
	return list[:maximumInstances]
}

func medianCapacity(members []*gossiper.Member) float64 {
	if len(members) == 0 {
		return 0
	}
	list := make([]uint32, 0, len(members))
	for _, m := range members {
		list = append(list, m.Capacity)
	}
	slices.Sort(list)
	return float64(list[len(list)/2])
}
