package accounter

import (
	"context"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// Ledger keeps this instance's usage until the log has it; Origin must be set.
//
// One delta at a time is frozen and appended under its sequence number while the next one grows. If
// a peer appended an older copy in this instance's stead, the difference moves on to the next delta.
type Ledger struct {
	Origin string

	mu       sync.Mutex
	sequence uint64
	frozen   *recorder.UsageDelta
	open     map[string]*recorder.TeamUsage
	version  uint64
	acked    uint64
	mirrored bool
	dirty    chan struct{}
	changed  chan struct{}
}

// Add counts usage.
func (l *Ledger) Add(u *recorder.TeamUsage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[string]*recorder.TeamUsage{}
	}
	Add(l.open, u)
	l.version++
	select {
	case l.dirtyChan() <- struct{}{}:
	default:
	}
}

// Dirty signals that usage was added since the last signal.
func (l *Ledger) Dirty() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dirtyChan()
}

// Sync waits until a peer holds all usage counted so far, or for the end of ctx; without a peer it returns at once.
func (l *Ledger) Sync(ctx context.Context) error {
	l.mu.Lock()
	want := l.version
	l.mu.Unlock()
	for {
		l.mu.Lock()
		done := !l.mirrored || l.acked >= want
		changed := l.changedChan()
		l.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// SetMirrored tells whether there is a peer that holds copies.
func (l *Ledger) SetMirrored(mirrored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mirrored = mirrored
	l.signal()
}

// Held returns copies of the deltas that the log does not have yet, with their version.
func (l *Ledger) Held() ([]*recorder.UsageDelta, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var deltas []*recorder.UsageDelta
	next := l.sequence + 1
	if l.frozen != nil {
		deltas = append(deltas, proto.Clone(l.frozen).(*recorder.UsageDelta))
		next++
	}
	if len(l.open) > 0 {
		deltas = append(deltas, &recorder.UsageDelta{Origin: l.Origin, Sequence: next, Teams: sortedUsage(l.open)})
	}
	return deltas, l.version
}

// Acked records that a peer holds the copies of a version.
func (l *Ledger) Acked(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acked = max(l.acked, version)
	l.signal()
}

// Freeze returns the delta to append next, or nil where there is no usage.
func (l *Ledger) Freeze() *recorder.UsageDelta {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen == nil && len(l.open) > 0 {
		l.frozen = &recorder.UsageDelta{Origin: l.Origin, Sequence: l.sequence + 1, Teams: sortedUsage(l.open)}
		l.open = nil
	}
	return l.frozen
}

// Settle ends the frozen delta once the log counted one under its sequence, and carries over what that one lacked.
func (l *Ledger) Settle(counted *recorder.UsageDelta) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.frozen == nil || counted.GetSequence() != l.frozen.Sequence {
		return
	}
	rest := Difference(l.frozen, counted)
	l.sequence = l.frozen.Sequence
	l.frozen = nil
	if len(rest) == 0 {
		return
	}
	if l.open == nil {
		l.open = map[string]*recorder.TeamUsage{}
	}
	for _, u := range rest {
		Add(l.open, u)
	}
	l.version++
}

// Difference returns the usage in want that got lacks.
func Difference(want, got *recorder.UsageDelta) []*recorder.TeamUsage {
	rest := map[string]*recorder.TeamUsage{}
	for _, u := range want.GetTeams() {
		Add(rest, u)
	}
	for _, u := range got.GetTeams() {
		Add(rest, &recorder.TeamUsage{
			Team: u.Team, Requests: -u.Requests, Refused: -u.Refused, Cut: -u.Cut,
			PromptTokens: -u.PromptTokens, OutputTokens: -u.OutputTokens,
		})
	}
	var list []*recorder.TeamUsage
	for _, u := range sortedUsage(rest) {
		if u.Requests != 0 || u.Refused != 0 || u.Cut != 0 || u.PromptTokens != 0 || u.OutputTokens != 0 {
			list = append(list, u)
		}
	}
	return list
}

func (l *Ledger) dirtyChan() chan struct{} {
	if l.dirty == nil {
		l.dirty = make(chan struct{}, 1)
	}
	return l.dirty
}

func (l *Ledger) changedChan() chan struct{} {
	if l.changed == nil {
		l.changed = make(chan struct{})
	}
	return l.changed
}

func (l *Ledger) signal() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
