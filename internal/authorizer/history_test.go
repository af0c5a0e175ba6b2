package authorizer_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/authorizer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// attempt is a claim as its contender saw it: the offset that it named, and the fencing number that it
// believes to hold afterwards, or none.
type attempt struct{ seen uint64 }

// leases is a register that a claim swaps from the seen offset to its own.
var leases = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		now, fence := state.(uint64), output.(uint64)
		if fence == 0 {
			return now != input.(attempt).seen, now
		}
		return now == input.(attempt).seen && fence > now, fence
	},
}

// contention lets contenders claim at once, with appends late, doubled and in any order.
func contention(seed uint64, believes func(f *authorizer.Fold, holder string, fence uint64) uint64) []porcupine.Operation {
	r := rand.New(rand.NewPCG(seed, 1))
	f := &authorizer.Fold{}
	offset, clock := identifier.Offset(0), int64(0)
	var operations []porcupine.Operation
	for range 12 {
		calls := make([]int64, 3)
		seen := f.Lease(scope).SeenOffset
		fences := make([]uint64, 3)
		for i := range calls {
			clock++
			calls[i] = clock
		}
		for _, i := range r.Perm(3) {
			fences[i] = uint64(offset) + 1
			for range 1 + r.IntN(2) {
				f.Apply(offset, claim(fmt.Sprint(i), seen))
				offset++
			}
		}
		for i := range calls {
			clock++
			operations = append(operations, porcupine.Operation{
				ClientId: i, Input: attempt{seen}, Call: calls[i], Output: believes(f, fmt.Sprint(i), fences[i]), Return: clock,
			})
		}
	}
	return operations
}

func TestClaimsAreLinearizable(t *testing.T) {
	fromFold := func(f *authorizer.Fold, holder string, fence uint64) uint64 {
		if l := f.Lease(scope); l.Holder == holder && l.Fence == fence {
			return fence
		}
		return 0
	}
	for seed := range uint64(50) {
		ok := porcupine.CheckOperationsTimeout(leases, contention(seed, fromFold), 10*time.Second)
		quicktest.Check(t, ok, quicktest.Equals, porcupine.Ok, quicktest.Commentf("seed %d", seed))
	}
	always := func(_ *authorizer.Fold, _ string, fence uint64) uint64 { return fence }
	ok := porcupine.CheckOperationsTimeout(leases, contention(1, always), 10*time.Second)
	quicktest.Check(t, ok, quicktest.Equals, porcupine.Illegal, quicktest.Commentf("if each contender believes itself"))
}
