package director

import (
	"slices"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// nearEnough is how many instances of the client's own availability zone are named without others.
	nearEnough = 2
	// most is how many addresses a client takes.
	most = 64
)

// Choose returns the instances to name to a client of an availability zone: those of its own zone, where there are
// enough. Clients pick one at random, so an instance weaker than the median is named in as many answers as it is
// weaker; draw returns numbers from 0 to 1.
func Choose(ready []*gossiper.Member, zone identifier.ZoneID, draw func() float64) []*gossiper.Member {
	var near []*gossiper.Member
	for _, m := range ready {
		if m.Zone == string(zone) {
			near = append(near, m)
		}
	}
	if len(near) < nearEnough {
		near = ready
	}
	median := medianCapacity(near)
	var named []*gossiper.Member
	for _, m := range near {
		if float64(m.Capacity) >= draw()*median {
			named = append(named, m)
		}
	}
	if len(named) < min(nearEnough, len(near)) {
		named = near
	}
	return named[:min(len(named), most)]
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
