package asserter

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Invariant names a property that must always hold.
type Invariant string

// Invariants that are checked while the program runs.
const (
	// ConfigurationNeverReverts means that a configuration is never replaced by an older one.
	ConfigurationNeverReverts Invariant = "ConfigurationNeverReverts"
	// FenceRises means that the fencing number of the lease never decreases.
	FenceRises Invariant = "FenceRises"
	// TokensInOrder means that the tokens of a response are delivered in order and without gaps.
	TokensInOrder Invariant = "TokensInOrder"
	// KeyStaysHere means that a caller's API key is never sent to a target.
	KeyStaysHere Invariant = "KeyStaysHere"
	// SameFiguresPerWindow means that every report of a usage window contains the same figures.
	SameFiguresPerWindow Invariant = "SameFiguresPerWindow"
	// OneOpenOrderPerTarget means that a target has at most one open order.
	OneOpenOrderPerTarget Invariant = "OneOpenOrderPerTarget"
	// NotRunIsTrue means that a request is reported as not run only if no target can have run it.
	NotRunIsTrue Invariant = "NotRunIsTrue"
	// WinnerSends means that of several requests with one idempotency key only the one named in the journal is sent.
	WinnerSends Invariant = "WinnerSends"
	// UsableTargetChosen means that a chosen target is usable and not leaving.
	UsableTargetChosen Invariant = "UsableTargetChosen"
	// LeaseHeldAtSend means that the lease holder's orders and reports are sent only while it holds the lease.
	LeaseHeldAtSend Invariant = "LeaseHeldAtSend"
	// PlannedStopCutsNothing means that a planned stop interrupts no request within its time limit.
	PlannedStopCutsNothing Invariant = "PlannedStopCutsNothing"
)

var (
	violations  atomic.Int64
	mu          sync.Mutex
	onViolation func(invariant Invariant, detail string)
)

// That records a violation of the invariant if holds is false; format and args describe the case.
func That(holds bool, invariant Invariant, format string, args ...any) {
	if holds {
		return
	}
	violations.Add(1)
	mu.Lock()
	f := onViolation
	mu.Unlock()
	if f != nil {
		f(invariant, fmt.Sprintf(format, args...))
	}
}

// Violations returns the number of violations recorded in this process.
func Violations() int64 { return violations.Load() }

// OnViolation sets the function that is called for each violation after it has been counted.
func OnViolation(f func(invariant Invariant, detail string)) {
	mu.Lock()
	defer mu.Unlock()
	onViolation = f
}
