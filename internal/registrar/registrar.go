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

// Stage is the part of a request that a model target takes.
type Stage int

// Stages of targets.
const (
	// AnyStage is that of plain targets.
	AnyStage Stage = iota
	// PrefillStage computes prompts for other targets.
	PrefillStage
	// DecodeStage generates tokens.
	DecodeStage
)

// String returns the stage's name in logs.
func (s Stage) String() string { return [...]string{"Any", "Prompts", "Answers"}[s] }

// Target is one incarnation of a target as it describes itself.
type Target struct {
	ID      identifier.TargetID
	Service identifier.ServiceID
	Address string
	Zone    identifier.ZoneID
	Stage   Stage
	// Leaving targets take no new work.
	Leaving bool
	// Slots is how many requests it runs at once.
	Slots int
	// WarmUpRemaining is how much longer it stays slow after its start, as of its entry.
	WarmUpRemaining time.Duration
	// StartedAt is its start; another one means that everything it held is gone.
	StartedAt time.Time
	// Sequence numbers what the target said of itself since its start.
	Sequence uint64
	// Cheap targets may be reclaimed at short notice.
	Cheap bool
}

// reappearance is how long a lapsed target may take to be back after the store's return.
const reappearance = 2 * time.Second

// last is the newest of what one incarnation of a target said; it outlives the target's entry.
type last struct {
	born    time.Time
	beat    uint64
	leaving bool
	at      time.Time
}

// lastLife is how long it is kept: entries that were held up come within seconds.
const lastLife = time.Minute

// order is a stage that a target was told to change to.
type order struct {
	stage Stage
	until time.Time
}

// Registrar folds target entries into a list; the zero value is empty.
type Registrar struct {
	// StoreRestoredAt answers when the store last came back after an outage; zero: never away.
	StoreRestoredAt func() time.Time

	mu     sync.Mutex
	byID   map[identifier.TargetID]*Target
	lapsed map[identifier.TargetID]time.Time
	orders map[identifier.TargetID]order
	last   map[identifier.TargetID]last
	list   atomic.Pointer[[]*Target]
}

// Put adds or replaces a target, unless the entry is older than what is known of the same incarnation; it reports
// whether the entry was taken.
func (r *Registrar) Put(t Target, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.last[t.ID]
	if same := l.born.Equal(t.StartedAt) && !l.at.IsZero(); same && (t.Sequence < l.beat || l.leaving && !t.Leaving) {
		return false
	}
	if r.last == nil {
		r.last = map[identifier.TargetID]last{}
	}
	r.last[t.ID] = last{born: t.StartedAt, beat: t.Sequence, leaving: t.Leaving, at: now}
	if r.byID == nil {
		r.byID = map[identifier.TargetID]*Target{}
	}
	delete(r.lapsed, t.ID)
	r.byID[t.ID] = &t
	r.publish()
	return true
}

// Remove removes a target: at once, or, around an outage of the store, unless it is back soon.
func (r *Registrar) Remove(id identifier.TargetID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byID[id]
	if t == nil {
		return
	}
	if !t.Leaving && r.StoreRestoredAt != nil {
		if until := r.StoreRestoredAt().Add(reappearance); now.Before(until) {
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

// Expire removes lapsed targets that did not come back.
func (r *Registrar) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	maps.DeleteFunc(r.orders, func(_ identifier.TargetID, o order) bool { return now.After(o.until) })
	for id, l := range r.last {
		if r.byID[id] == nil && now.Sub(l.at) > lastLife {
			delete(r.last, id)
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

// Targets returns all targets in the order of their ids; the list and what it points to never change.
func (r *Registrar) Targets() []*Target {
	list := r.list.Load()
	if list == nil {
		return nil
	}
	return *list
}

// NotLeaving returns the targets of a service that do not leave.
func (r *Registrar) NotLeaving(service identifier.ServiceID) []*Target {
	var list []*Target
	for _, t := range r.Targets() {
		if t.Service == service && !t.Leaving {
			list = append(list, t)
		}
	}
	return list
}

// Available returns the targets of a service that take new work: they do not leave, and change no stage.
func (r *Registrar) Available(service identifier.ServiceID, now time.Time) []*Target {
	list := r.NotLeaving(service)
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(list, func(t *Target) bool {
		o, ordered := r.orders[t.ID]
		return ordered && now.Before(o.until) && o.stage != t.Stage
	})
}

// StageOrder is a change of stage that is not over yet.
type StageOrder struct {
	Target    identifier.TargetID
	Service   identifier.ServiceID
	Stage     Stage
	Remaining time.Duration
}

// PendingOrders returns the changes of stages that are not over yet.
func (r *Registrar) PendingOrders(now time.Time) []StageOrder {
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

// RecordOrder notes that a target was told to change its stage; it counts as changing until its entry shows the stage, at
// the latest until the given time.
func (r *Registrar) RecordOrder(id identifier.TargetID, stage Stage, until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.orders == nil {
		r.orders = map[identifier.TargetID]order{}
	}
	r.orders[id] = order{stage, until}
}

func (r *Registrar) publish() {
	list := make([]*Target, 0, len(r.byID))
	for _, t := range r.byID {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	r.list.Store(&list)
}
