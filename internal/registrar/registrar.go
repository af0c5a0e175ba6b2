package registrar

import (
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
	// Prompts computes prompts for other targets.
	Prompts
	// Answers generates tokens.
	Answers
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
	// Cold is how much longer it stays slow after its start, as of its entry.
	Cold time.Duration
	// Born is its start; another one means that everything it held is gone.
	Born time.Time
	// Cheap targets may be reclaimed at short notice.
	Cheap bool
}

// reappearance is how long a lapsed target may take to be back after the store was away.
const reappearance = 2 * time.Second

// Registrar folds target entries into a list; the zero value is empty.
type Registrar struct {
	// StoreReturned answers when the store last came back after an outage; zero: never away.
	StoreReturned func() time.Time

	mu     sync.Mutex
	byID   map[identifier.TargetID]*Target
	lapsed map[identifier.TargetID]time.Time
	list   atomic.Pointer[[]*Target]
}

// Put adds or replaces a target.
func (r *Registrar) Put(t Target) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byID == nil {
		r.byID = map[identifier.TargetID]*Target{}
	}
	delete(r.lapsed, t.ID)
	r.byID[t.ID] = &t
	r.publish()
}

// Drop removes a target: at once, or, around an outage of the store, unless it is back soon.
func (r *Registrar) Drop(id identifier.TargetID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.byID[id]
	if t == nil {
		return
	}
	if !t.Leaving && r.StoreReturned != nil && now.Sub(r.StoreReturned()) < reappearance {
		if r.lapsed == nil {
			r.lapsed = map[identifier.TargetID]time.Time{}
		}
		r.lapsed[id] = now
		return
	}
	delete(r.byID, id)
	r.publish()
}

// Expire removes lapsed targets that did not come back.
func (r *Registrar) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, since := range r.lapsed {
		if now.Sub(since) >= reappearance {
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

// Of returns the targets of a service that take new work.
func (r *Registrar) Of(service identifier.ServiceID) []*Target {
	var list []*Target
	for _, t := range r.Targets() {
		if t.Service == service && !t.Leaving {
			list = append(list, t)
		}
	}
	return list
}

func (r *Registrar) publish() {
	list := make([]*Target, 0, len(r.byID))
	for _, t := range r.byID {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	r.list.Store(&list)
}
