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
	quicktest.Check(t, director.Choose(nil, "z0", zero), quicktest.HasLen, 0)
	quicktest.Check(t, director.Choose(members(4, 4, 4, 4), "z0", zero), quicktest.HasLen, 2, quicktest.Commentf("only the client's zone"))
	quicktest.Check(t, director.Choose(members(4, 4, 4), "z1", zero), quicktest.HasLen, 3, quicktest.Commentf("a single instance in the zone may fail"))
	quicktest.Check(t, director.Choose(members(4, 4, 4), "elsewhere", zero), quicktest.HasLen, 3)
	quicktest.Check(t, len(director.Choose(members(make([]uint32, 300)...), "z0", zero)) <= 64, quicktest.IsTrue)
}

// TestLowCapacityInstancesAreOfferedLess checks that an instance with a tenth of the median capacity is offered in about a
// tenth of the responses, so that clients, which pick at random, do not overload it.
func TestLowCapacityInstancesAreOfferedLess(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	offered := map[string]int{}
	list := members(100, 0, 1000, 0, 1000, 0, 1000, 0)
	for range 1000 {
		for _, m := range director.Choose(list, "z0", rng.Float64) {
			offered[m.ID]++
		}
	}
	quicktest.Check(t, offered["0"] > 60 && offered["0"] < 160, quicktest.IsTrue, quicktest.Commentf("%d of 1000", offered["0"]))
	quicktest.Check(t, offered["2"], quicktest.Equals, 1000)
}
