package coordinator_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

// TestCopiesAreReadInTime adds up what the news that a target leaves may take: the copy's age, an exchange that took as
// long as it may, so that the age was understated, and the call to the store. The bounds are the users' drain bounds.
func TestCopiesAreReadInTime(t *testing.T) {
	const call = 200 * time.Millisecond // Of a store that answers in 4 ms, with a queue before it.
	for large, bound := range map[bool]time.Duration{false: 2 * time.Second, true: 3 * time.Second} {
		worst := coordinator.OldestCopy(large) + gossiper.ExchangeTimeout + call
		quicktest.Check(t, worst < bound, quicktest.IsTrue, quicktest.Commentf("large %v: %v, allowed %v", large, worst, bound))
	}
}
