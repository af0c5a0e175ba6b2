package director_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/director"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

func members(capacities ...uint32) []*gossiper.Member {
	var list []*gossiper.Member
	for i, c := range capacities {
		list = append(list, &gossiper.Member{ID: fmt.Sprint(i), Zone: fmt.Sprint("z", i%2), Capacity: c})
	}
	return list
}

func TestChoose(t *testing.T) {
	zero := func() float64 { return 0 }
	quicktest.Check(t, director.Choose(nil, "z0", "d", zero), quicktest.HasLen, 0)
	quicktest.Check(t, director.Choose(members(4, 4, 4, 4), "z0", "d", zero), quicktest.HasLen, 2, quicktest.Commentf("only the client's zone"))
	quicktest.Check(t, director.Choose(members(4, 4, 4), "z1", "d", zero), quicktest.HasLen, 3, quicktest.Commentf("a single instance in the zone may fail"))
	quicktest.Check(t, director.Choose(members(4, 4, 4), "elsewhere", "d", zero), quicktest.HasLen, 3)
	quicktest.Check(t, len(director.Choose(members(make([]uint32, 300)...), "z0", "d", zero)) <= 64, quicktest.IsTrue)
}

// TestLowCapacityInstancesAreOfferedLess checks that an instance with a tenth of the median capacity is offered in about a
// tenth of the responses, so that clients, which pick at random, do not overload it.
func TestLowCapacityInstancesAreOfferedLess(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	offered := map[string]int{}
	list := members(100, 0, 1000, 0, 1000, 0, 1000, 0)
	for range 1000 {
		for _, m := range director.Choose(list, "z0", "d", rng.Float64) {
			offered[m.ID]++
		}
	}
	quicktest.Check(t, offered["0"] > 60 && offered["0"] < 160, quicktest.IsTrue, quicktest.Commentf("%d of 1000", offered["0"]))
	quicktest.Check(t, offered["2"], quicktest.Equals, 1000)
}

// TestLargeZoneIsOfferedWhole checks a zone with more instances than a client accepts: all of them are offered, the
// strong ones in more responses, and a directory offers the same ones again.
func TestLargeZoneIsOfferedWhole(t *testing.T) {
	list := members(make([]uint32, 300)...)
	for i, m := range list {
		m.Zone, m.Capacity = "z0", map[bool]uint32{true: 800, false: 192}[i < 20]
	}
	offered := map[string]int{}
	for i := range 300 {
		directory := fmt.Sprint("entry-", i)
		chosen := director.Choose(list, "z0", directory, rand.Float64)
		quicktest.Assert(t, chosen, quicktest.HasLen, 64)
		again := director.Choose(list, "z0", directory, rand.Float64)
		for i, m := range chosen {
			quicktest.Assert(t, again[i].ID, quicktest.Equals, m.ID)
			offered[m.ID]++
		}
	}
	quicktest.Check(t, offered, quicktest.HasLen, 300)
	strong := 0
	for i := range 20 {
		strong += offered[fmt.Sprint(i)]
	}
	weakMean := float64(300*64-strong) / 280
	quicktest.Check(t, float64(strong)/20 > 2*weakMean, quicktest.IsTrue, quicktest.Commentf("strong in %d, weak in %.0f responses", strong/20, weakMean))
}
