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
	Build   identifier.Build
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
	// gone is set once the target was removed, in the store's era goneEra.
	gone    bool
	goneEra identifier.Era
	// at is when these fields last changed; zero means that nothing is known.
	at time.Time
	// departedAt is when it was first known to be leaving or gone.
	departedAt time.Time
}

// Departure is one incarnation of a target that is leaving or gone.
type Departure struct {
	Target    identifier.TargetID
	StartedAt time.Time
	Revision  uint64
	Gone      bool
	Age       time.Duration
}

// DepartureLifetime is how long it is remembered that a target left: delayed entries arrive within seconds, and the store
// may come back from a copy that is seconds old.
const DepartureLifetime = time.Minute

// pendingOrder is an order to change a target's stage.
type pendingOrder struct {
	stage Stage
	until time.Time
}

// Registrar folds target entries into a list; the zero value is an empty list.
type Registrar struct {
	// StoreRestoredAt returns the end of the store's last outage, or the zero time if there was none.
	StoreRestoredAt func() time.Time
	// Era returns the era of the store that the entries come from; nil means that there is only one.
	Era func() identifier.Era

	mu        sync.Mutex
	byID      map[identifier.TargetID]*Target
	lapsed    map[identifier.TargetID]time.Time
	orders    map[identifier.TargetID]pendingOrder
	lastEntry map[identifier.TargetID]lastEntry
	snapshot  atomic.Pointer[snapshot]
}

// snapshot holds immutable lists of targets, sorted by ID.
type snapshot struct {
	all []*Target
	// notLeaving holds the targets of each service that are not leaving.
	notLeaving map[identifier.ServiceID][]*Target
}

// Put adds or replaces a target, unless the entry is older than the newest one of the same incarnation, or would cancel
// its leaving, or was removed in an earlier era of the store. It reports whether the entry was accepted.
func (r *Registrar) Put(t Target, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lastEntry[t.ID]
	if same := l.startedAt.Equal(t.StartedAt) && !l.at.IsZero(); same && !l.allows(t, r.era()) {
		return false
	}
	next := lastEntry{startedAt: t.StartedAt, revision: t.Revision, leaving: t.Leaving, at: now}
	if next.leaving {
		next.departedAt = now
		if l.leaving && l.startedAt.Equal(t.StartedAt) {
			next.departedAt = l.departedAt
		}
	}
	r.setLastEntry(t.ID, next)
	if r.byID == nil {
		r.byID = map[identifier.TargetID]*Target{}
	}
	delete(r.lapsed, t.ID)
	r.byID[t.ID] = &t
	r.publish()
	return true
}

// allows reports whether an entry of the same incarnation may follow in the given era of the store.
func (l *lastEntry) allows(t Target, era identifier.Era) bool {
	outdated := l.gone && l.goneEra < era && t.Revision <= l.revision
	return t.Revision >= l.revision && (t.Leaving || !l.leaving) && !outdated
}

func (r *Registrar) era() identifier.Era {
	if r.Era == nil {
		return 0
	}
	return r.Era()
}

// setLastEntry sets the last entry of a target. The caller must hold mu.
func (r *Registrar) setLastEntry(id identifier.TargetID, l lastEntry) {
	if r.lastEntry == nil {
		r.lastEntry = map[identifier.TargetID]lastEntry{}
	}
	r.lastEntry[id] = l
}

// MarkLeaving records that one incarnation of a target leaves, as the target itself or a peer has said. It reports
// whether that was new. The mark outlives the target's entry and does not concern a later incarnation.
func (r *Registrar) MarkLeaving(id identifier.TargetID, startedAt, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lastEntry[id]
	known := !l.at.IsZero()
	switch {
	case known && l.startedAt.Equal(startedAt):
		if l.leaving {
			return false
		}
		l.leaving, l.departedAt, l.at = true, now, now
	case known && startedAt.Before(l.startedAt):
		return false
	default:
		l = lastEntry{startedAt: startedAt, leaving: true, at: now, departedAt: now}
	}
	r.setLastEntry(id, l)
	if t := r.byID[id]; t != nil && t.StartedAt.Equal(startedAt) && !t.Leaving {
		leaving := *t
		leaving.Leaving = true
		r.byID[id] = &leaving
		r.publish()
	}
	return true
}

// Departed reports whether one incarnation of a target is known to be leaving or gone.
func (r *Registrar) Departed(id identifier.TargetID, startedAt time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lastEntry[id]
	return !l.at.IsZero() && l.startedAt.Equal(startedAt) && (l.leaving || l.gone)
}

// Departures returns the targets that were found to be leaving or gone within the given time.
func (r *Registrar) Departures(within time.Duration, now time.Time) []Departure {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Departure
	for id, l := range r.lastEntry {
		if age := now.Sub(l.departedAt); !l.departedAt.IsZero() && age <= within {
			list = append(list, Departure{Target: id, StartedAt: l.startedAt, Revision: l.revision, Gone: l.gone, Age: age})
		}
	}
	return list
}

// AddDeparture applies a departure that a peer reports. It reports whether it was new.
func (r *Registrar) AddDeparture(d Departure, now time.Time) bool {
	if !d.Gone {
		return r.MarkLeaving(d.Target, d.StartedAt, now)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.lastEntry[d.Target]
	known := !l.at.IsZero()
	if known && (d.StartedAt.Before(l.startedAt) || l.startedAt.Equal(d.StartedAt) && (l.gone || l.revision > d.Revision)) {
		return false
	}
	r.setLastEntry(d.Target, lastEntry{
		startedAt: d.StartedAt, revision: d.Revision, leaving: l.leaving && l.startedAt.Equal(d.StartedAt),
		gone: true, at: now, departedAt: now.Add(-d.Age),
	})
	if t := r.byID[d.Target]; t != nil && !t.StartedAt.After(d.StartedAt) {
		delete(r.byID, d.Target)
		r.publish()
	}
	return true
}

// setGone marks the last entry of a removed target. The caller must hold mu.
func (r *Registrar) setGone(id identifier.TargetID, now time.Time) {
	l, known := r.lastEntry[id]
	if !known {
		return
	}
	l.gone, l.goneEra, l.at = true, r.era(), now
	if l.departedAt.IsZero() {
		l.departedAt = now
	}
	r.lastEntry[id] = l
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
	r.setGone(id, now)
	r.publish()
}

// Expire removes lapsed targets whose entries did not return in time, expired orders, and the old entries of
// removed targets.
func (r *Registrar) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.orders, func(_ identifier.TargetID, o pendingOrder) bool { return now.After(o.until) })
	for id, l := range r.lastEntry {
		if r.byID[id] == nil && now.Sub(l.at) > DepartureLifetime {
			delete(r.lastEntry, id)
		}
	}
	for id, until := range r.lapsed {
		if !now.Before(until) {
			delete(r.lapsed, id)
			delete(r.byID, id)
			r.setGone(id, now)
			r.publish()
		}
	}
}

// Targets returns an immutable snapshot of all targets, sorted by ID.
func (r *Registrar) Targets() []*Target {
	s := r.snapshot.Load()
	if s == nil {
		return nil
	}
	return s.all
}

// NotLeaving returns the targets of a service that are not leaving. The caller may modify the list.
func (r *Registrar) NotLeaving(service identifier.ServiceID) []*Target {
	s := r.snapshot.Load()
	if s == nil {
		return nil
	}
	return slices.Clone(s.notLeaving[service])
}

// Available returns the targets of a service that accept new requests: they are neither leaving nor changing stage. The
// caller may modify the list.
func (r *Registrar) Available(service identifier.ServiceID, now time.Time) []*Target {
	list := r.NotLeaving(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.orders) == 0 {
		return list
	}
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
// new stage, but no longer than until the given time, or the latest one if several are given for the same stage.
func (r *Registrar) RecordOrder(id identifier.TargetID, stage Stage, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orders == nil {
		r.orders = map[identifier.TargetID]pendingOrder{}
	}
	if old := r.orders[id]; old.stage == stage && old.until.After(until) {
		until = old.until
	}
	r.orders[id] = pendingOrder{stage, until}
}

func (r *Registrar) publish() {
	s := &snapshot{all: make([]*Target, 0, len(r.byID)), notLeaving: map[identifier.ServiceID][]*Target{}}
	for _, t := range r.byID {
		s.all = append(s.all, t)
	}
	slices.SortFunc(s.all, func(a, b *Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	for _, t := range s.all {
		if !t.Leaving {
			s.notLeaving[t.Service] = append(s.notLeaving[t.Service], t)
		}
	}
	r.snapshot.Store(s)
}
