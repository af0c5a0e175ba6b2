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
	always := func() float64 { return 0 }
	quicktest.Check(t, director.Choose(nil, "z0", always), quicktest.HasLen, 0)
	quicktest.Check(t, director.Choose(members(4, 4, 4, 4), "z0", always), quicktest.HasLen, 2, quicktest.Commentf("its own zone"))
	quicktest.Check(t, director.Choose(members(4, 4, 4), "z1", always), quicktest.HasLen, 3, quicktest.Commentf("one alone may fail"))
	quicktest.Check(t, director.Choose(members(4, 4, 4), "elsewhere", always), quicktest.HasLen, 3)
	quicktest.Check(t, len(director.Choose(members(make([]uint32, 300)...), "z0", always)) <= 64, quicktest.IsTrue)
}

// TestWeakOnesAreNamedLess counts how often each instance is named when some have a tenth of the others' capacity.
func TestWeakOnesAreNamedLess(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	named := map[string]int{}
	list := members(100, 0, 1000, 0, 1000, 0, 1000, 0)
	for range 1000 {
		for _, m := range director.Choose(list, "z0", rng.Float64) {
			named[m.ID]++
		}
	}
	quicktest.Check(t, named["0"] > 60 && named["0"] < 160, quicktest.IsTrue, quicktest.Commentf("%d of 1000", named["0"]))
	quicktest.Check(t, named["2"], quicktest.Equals, 1000)
}
