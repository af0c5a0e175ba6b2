package accounter

import (
	"context"
	"sync"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// Ledger keeps this instance's usage; Origin must be set.
//
// Its totals never decrease. The usage that is not yet in the log is their excess over the usage that the log has
// counted for this origin, no matter which instance appended it.
type Ledger struct {
	Origin string

	mu      sync.Mutex
	totals  map[string]*recorder.TeamUsage
	counted map[string]*recorder.TeamUsage
	// version is the number of calls of Add; acknowledged is the latest version of which a peer holds a copy.
	version      uint64
	acknowledged uint64
	mirrored     bool
	dirty        chan struct{}
	// changed is closed when acknowledged or mirrored changes; it is nil while nobody waits.
	changed chan struct{}
}

// Add adds usage to the totals.
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

// Dirty returns a channel that receives a value after usage was added; one value may stand for several additions.
func (l *Ledger) Dirty() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.dirtyChan()
}

// Sync waits until a peer holds a copy of all usage added before the call, or until ctx ends and then returns its error.
// Without a peer it returns at once.
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

// SetMirrored sets whether there is a peer that can hold copies.
func (l *Ledger) SetMirrored(mirrored bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mirrored = mirrored
	l.signal()
}

// Unlogged returns the totals of the teams that have usage not yet in the log, or nil if there is none, and the version
// of the ledger.
func (l *Ledger) Unlogged() (*recorder.UsageDelta, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Uncounted(l.Origin, l.totals, l.counted), l.version
}

// SetCounted sets the usage that the log has counted for this instance.
func (l *Ledger) SetCounted(counted map[string]*recorder.TeamUsage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counted = counted
}

// Acknowledge records that a peer holds a copy of the usage up to a version.
func (l *Ledger) Acknowledge(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acknowledged = max(l.acknowledged, version)
	l.signal()
}

// Uncounted returns a delta with the totals of the teams whose usage exceeds what was counted, or nil if there is none.
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

// signal wakes the callers of Sync.
func (l *Ledger) signal() {
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
}
