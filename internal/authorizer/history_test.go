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

// claimInput is the input of a claim operation: the seen offset that the claim names. The output of the operation
// is the fencing number under which the claimant believes it holds the lease afterwards, or 0.
type claimInput struct{ seen uint64 }

// leaseModel models a lease as a register. A claim is a compare-and-swap from the seen offset to its own fencing
// number.
var leaseModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, fence := state.(uint64), output.(uint64)
		if fence == 0 {
			return current != input.(claimInput).seen, current
		}
		return current == input.(claimInput).seen && fence > current, fence
	},
}

// raceClaims returns the history of three concurrent claimants over several rounds. In each round, the claims reach
// the log in random order, some of them twice.
func raceClaims(seed uint64, believedFence func(f *authorizer.Fold, holder string, fence uint64) uint64) []porcupine.Operation {
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
				ClientId: i, Input: claimInput{seen}, Call: calls[i], Output: believedFence(f, fmt.Sprint(i), fences[i]), Return: clock,
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
		ok := porcupine.CheckOperationsTimeout(leaseModel, raceClaims(seed, fromFold), 10*time.Second)
		quicktest.Check(t, ok, quicktest.Equals, porcupine.Ok, quicktest.Commentf("seed %d", seed))
	}
	assumeSuccess := func(_ *authorizer.Fold, _ string, fence uint64) uint64 { return fence }
	ok := porcupine.CheckOperationsTimeout(leaseModel, raceClaims(1, assumeSuccess), 10*time.Second)
	quicktest.Check(t, ok, quicktest.Equals, porcupine.Illegal, quicktest.Commentf("claimants that assume success"))
}
