package coordinator_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

// The users' drain bounds of small and of large sites.
const (
	smallBound = 2 * time.Second
	largeBound = 3 * time.Second
	// call is one of a store that answers in 4 ms, with a queue before it.
	call = 200 * time.Millisecond
	// hub and leaf are ranks of an instance that passes beats on and of one that does not.
	hub  = 5
	leaf = 40
)

// TestCopiesAreReadInTime adds up what the news that a target leaves may take: the copy's age, an exchange that took as
// long as it may, so that the age was understated, and the call to the store.
func TestCopiesAreReadInTime(t *testing.T) {
	worst := coordinator.MaximumCopyAge(false, hub) + gossiper.ExchangeTimeout + call
	quicktest.Check(t, worst < smallBound, quicktest.IsTrue, quicktest.Commentf("small: %v", worst))
	worst = coordinator.MaximumCopyAge(true, leaf) + gossiper.ExchangeTimeout + call
	quicktest.Check(t, worst < largeBound, quicktest.IsTrue, quicktest.Commentf("large: %v", worst))
}

// TestTurnedAwayHearInTime adds up the way of the same news to an instance that the store turns away, as it does its hub:
// from a hub that reads the store by a second hub, each step with its interval, one of the exchanges as slow as it may be.
func TestTurnedAwayHearInTime(t *testing.T) {
	worst := coordinator.MaximumCopyAge(true, hub) + 2*gossiper.RelayInterval + gossiper.ExchangeTimeout
	quicktest.Check(t, worst < largeBound, quicktest.IsTrue, quicktest.Commentf("%v", worst))
}
