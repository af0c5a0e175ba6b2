package asserter

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Invariant names a property that must always hold.
type Invariant string

// Invariants that the program checks while it runs.
const (
	ConfigurationNeverReverts Invariant = "ConfigurationNeverReverts"
	FenceRises                Invariant = "FenceRises"
	TokensInOrder             Invariant = "TokensInOrder"
	KeyStaysHere              Invariant = "KeyStaysHere"
	SameFiguresPerWindow      Invariant = "SameFiguresPerWindow"
	OneOpenOrderPerTarget     Invariant = "OneOpenOrderPerTarget"
	NotRunIsTrue              Invariant = "NotRunIsTrue"
	WinnerSends               Invariant = "WinnerSends"
	UsableTargetChosen        Invariant = "UsableTargetChosen"
	LeaseHeldAtSend           Invariant = "LeaseHeldAtSend"
	PlannedStopCutsNothing    Invariant = "PlannedStopCutsNothing"
)

var (
	violations atomic.Int64
	mu         sync.Mutex
	onViolate  func(invariant Invariant, detail string)
)

// That records a violation of an invariant where holds is false.
func That(holds bool, invariant Invariant, format string, args ...any) {
	if holds {
		return
	}
	violations.Add(1)
	mu.Lock()
	f := onViolate
	mu.Unlock()
	if f != nil {
		f(invariant, fmt.Sprintf(format, args...))
	}
}

// Violations returns how many violations were recorded in this process.
func Violations() int64 { return violations.Load() }

// OnViolation sets what is called for each violation, after it was counted.
func OnViolation(f func(invariant Invariant, detail string)) {
	mu.Lock()
	defer mu.Unlock()
	onViolate = f
}
