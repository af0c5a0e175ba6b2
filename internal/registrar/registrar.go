package registrar

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Stage is the step of model requests that a target runs.
type Stage int

// Stages of targets.
const (
	// AnyStage is the stage of plain targets.
	AnyStage Stage = iota
	// Prompts targets prefill: they compute the KV cache of prompts for other targets.
	Prompts
	// Answers targets decode: they generate answer tokens.
	Answers
)

// String returns the stage's name in logs.
func (s Stage) String() string { return [...]string{"Any", "Prompts", "Answers"}[s] }

// Target is one incarnation of a target, with the properties that the target reports in its entry.
type Target struct {
	ID      identifier.TargetID
	Service identifier.ServiceID
	Address string
	Zone    identifier.ZoneID
	Stage   Stage
	// Leaving targets accept no new requests.
	Leaving bool
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// WarmUpRemaining is how much longer it is slow after its start, counted from its entry.
	WarmUpRemaining time.Duration
	// StartedAt is its start time; a different one means a new incarnation, which has lost all earlier state.
	StartedAt time.Time
	// Revision numbers the target's entries since its start.
	Revision uint64
	// Cheap targets may be reclaimed at short notice.
	Cheap bool
}

// returnTimeout is the time after the end of a store outage within which a target must renew its lapsed entry.
const returnTimeout = 2 * time.Second

// lastEntry holds the fields of the newest entry of one incarnation of a target that outlive the entry's removal.
type lastEntry struct {
	startedAt time.Time
	revision  uint64
	leaving   bool
	at        time.Time
}

// lastEntryLifetime is how long after its arrival the lastEntry of a removed target is kept: delayed entries arrive
// within seconds.
const lastEntryLifetime = time.Minute

// pendingOrder is an order to change a target's stage.
type pendingOrder struct {
	stage Stage
	until time.Time
}

// Registrar folds target entries into a list; the zero value is an empty list.
type Registrar struct {
	// StoreRestoredAt returns the end of the store's last outage, or the zero time if there was none.
	StoreRestoredAt func() time.Time

	mu        sync.Mutex
	byID      map[identifier.TargetID]*Target
	lapsed    map[identifier.TargetID]time.Time
	orders    map[identifier.TargetID]pendingOrder
	lastEntry map[identifier.TargetID]lastEntry
	list      atomic.Pointer[[]*Target]
}

// Put adds or replaces a target, unless the entry is older than the newest one of the same incarnation, or would cancel
// its leaving. It reports whether the entry was accepted.
func (r *Registrar) Put(t Target, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lastEntry[t.ID]
	if same := l.startedAt.Equal(t.StartedAt) && !l.at.IsZero(); same && (t.Revision < l.revision || l.leaving && !t.Leaving) {
		return false
	}
	if r.lastEntry == nil {
		r.lastEntry = map[identifier.TargetID]lastEntry{}
	}
	r.lastEntry[t.ID] = lastEntry{startedAt: t.StartedAt, revision: t.Revision, leaving: t.Leaving, at: now}
	if r.byID == nil {
		r.byID = map[identifier.TargetID]*Target{}
	}
	delete(r.lapsed, t.ID)
	r.byID[t.ID] = &t
	r.publish()
	return true
}

// Remove removes a target whose entry is gone. Shortly after an outage of the store, a target that was not leaving is
// kept, and Expire removes it unless its entry returns.
func (r *Registrar) Remove(id identifier.TargetID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byID[id]
	if t == nil {
		return
	}
	if !t.Leaving && r.StoreRestoredAt != nil {
		if until := r.StoreRestoredAt().Add(returnTimeout); now.Before(until) {
			if r.lapsed == nil {
				r.lapsed = map[identifier.TargetID]time.Time{}
			}
			r.lapsed[id] = until
			return
		}
	}
	delete(r.byID, id)
	r.publish()
}

// Expire removes lapsed targets whose entries did not return in time, expired orders, and the old entries of
// removed targets.
func (r *Registrar) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.orders, func(_ identifier.TargetID, o pendingOrder) bool { return now.After(o.until) })
	for id, l := range r.lastEntry {
		if r.byID[id] == nil && now.Sub(l.at) > lastEntryLifetime {
			delete(r.lastEntry, id)
		}
	}
	for id, until := range r.lapsed {
		if !now.Before(until) {
			delete(r.lapsed, id)
			delete(r.byID, id)
			r.publish()
		}
	}
}

// Targets returns an immutable snapshot of all targets, sorted by ID.
func (r *Registrar) Targets() []*Target {
	list := r.list.Load()
	if list == nil {
		return nil
	}
	return *list
}

// NotLeaving returns the targets of a service that are not leaving.
func (r *Registrar) NotLeaving(service identifier.ServiceID) []*Target {
	var list []*Target
	for _, t := range r.Targets() {
		if t.Service == service && !t.Leaving {
			list = append(list, t)
		}
	}
	return list
}

// Available returns the targets of a service that accept new requests: they are neither leaving nor changing stage.
func (r *Registrar) Available(service identifier.ServiceID, now time.Time) []*Target {
	list := r.NotLeaving(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(list, func(t *Target) bool {
		o, ordered := r.orders[t.ID]
		return ordered && now.Before(o.until) && o.stage != t.Stage
	})
}

// StageOrder is a pending change of a target's stage.
type StageOrder struct {
	Target    identifier.TargetID
	Service   identifier.ServiceID
	Stage     Stage
	Remaining time.Duration
}

// Orders returns the stage changes in progress.
func (r *Registrar) Orders(now time.Time) []StageOrder {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []StageOrder
	for id, o := range r.orders {
		if t := r.byID[id]; now.Before(o.until) && t != nil && t.Stage != o.stage {
			list = append(list, StageOrder{Target: id, Service: t.Service, Stage: o.stage, Remaining: o.until.Sub(now)})
		}
	}
	return list
}

// RecordOrder records that a target was ordered to change its stage. It counts as changing until its entry shows the
// new stage, but no longer than until the given time.
func (r *Registrar) RecordOrder(id identifier.TargetID, stage Stage, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orders == nil {
		r.orders = map[identifier.TargetID]pendingOrder{}
	}
	r.orders[id] = pendingOrder{stage, until}
}

func (r *Registrar) publish() {
	list := make([]*Target, 0, len(r.byID))
	for _, t := range r.byID {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	r.list.Store(&list)
}
