package accounter

import (
	"context"
	"sync"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// Ledger keeps this instance's usage until the log has it; Origin must be set.
//
// It only ever grows: what the log lacks is the excess over what the log has counted, whoever
// appended that.
type Ledger struct {
	Origin string

	mu       sync.Mutex
	totals   map[string]*recorder.TeamUsage
	counted  map[string]*recorder.TeamUsage
	version  uint64
	acknowledged    uint64
	mirrored bool
	dirty    chan struct{}
	changed  chan struct{}
}

// Add counts usage.
func (l *Ledger) Add(u *recorder.TeamUsage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.totals == nil {
		l.totals = map[string]*recorder.TeamUsage{}
	}
	Add(l.totals, u)
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
		done := !l.mirrored || l.acknowledged >= want
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

// Unlogged returns what the log lacks, as totals since the start, with the version of the ledger; nil where nothing is lacking.
func (l *Ledger) Unlogged() (*recorder.UsageDelta, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Uncounted(l.Origin, l.totals, l.counted), l.version
}

// SetCounted takes note of what the log has counted for this instance.
func (l *Ledger) SetCounted(counted map[string]*recorder.TeamUsage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counted = counted
}

// Acknowledge records that a peer holds the copies of a version.
func (l *Ledger) Acknowledge(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged = max(l.acknowledged, version)
	l.signal()
}

// Uncounted returns the totals that exceed what was counted, or nil.
func Uncounted(origin string, totals, counted map[string]*recorder.TeamUsage) *recorder.UsageDelta {
	d := &recorder.UsageDelta{Origin: origin}
	for _, u := range sortedUsage(totals) {
		if Excess(u, counted[u.Team]) != nil {
			d.Teams = append(d.Teams, u)
		}
	}
	if len(d.Teams) == 0 {
		return nil
	}
	return d
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
