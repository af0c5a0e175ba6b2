package apportioner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Rate is a number of requests a second.
type Rate float64

// Limit is what one incarnation of a target says about the requests that it accepts from all instances together.
type Limit struct {
	Target    identifier.TargetID
	StartedAt time.Time
	// Named is set if the target names a limit, which is Rate.
	Named bool
	Rate  Rate
	// At is when the answer arrived that named the limit. If it named none, At is when the request was sent, because the
	// target may have named one to another request since.
	At time.Time
}

// clockTolerance allows for the difference between the clocks of a target, which tells its start, and of this instance.
const clockTolerance = time.Second

// appliesTo reports whether the limit may be that of a target's incarnation: an answer to a request that was meant for one
// incarnation may be that of the next one.
func (l *Limit) appliesTo(t *registrar.Target) bool {
	return l.StartedAt.Equal(t.StartedAt) || t.StartedAt.Before(l.At.Add(clockTolerance))
}

// Apportioner keeps the limits that targets name; the zero value is ready to use. Exported fields must be set before use.
type Apportioner struct {
	// Logger and Metrics may be nil.
	Logger  *zap.Logger
	Metrics tally.Scope

	// named is the number of targets with a limit, so that choices among many targets need no lock while there are none.
	named atomic.Int64

	mu      sync.Mutex
	targets map[identifier.TargetID]*targetState
}

// targetState holds the newest limit of a target.
type targetState struct {
	limit Limit
}

// Observe applies what a target has said in an answer to this instance.
func (a *Apportioner) Observe(l Limit) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.apply(l)
}

// apply takes a limit if it is newer than the known one. The caller must hold mu.
func (a *Apportioner) apply(l Limit) {
	s := a.targets[l.Target]
	if s == nil && !l.Named || s != nil && !l.At.After(s.limit.At) {
		return
	}
	if s == nil {
		s = &targetState{}
		if a.targets == nil {
			a.targets = map[identifier.TargetID]*targetState{}
		}
		a.targets[l.Target] = s
	}
	old := s.limit
	s.limit = l
	if old.Named != l.Named || old.Rate != l.Rate {
		a.report(l)
	}
	a.count()
}

// count updates named. The caller must hold mu.
func (a *Apportioner) count() {
	n := 0
	for _, s := range a.targets {
		if s.limit.Named {
			n++
		}
	}
	a.named.Store(int64(n))
}

// report logs a changed limit.
func (a *Apportioner) report(l Limit) {
	if a.Metrics != nil {
		a.Metrics.Counter("TargetLimits").Inc(1)
	}
	if a.Logger != nil {
		a.Logger.Info("target limits requests", zap.String("Target", string(l.Target)), zap.Time("StartedAt", l.StartedAt),
			zap.Bool("Limited", l.Named), zap.Float64("RequestsPerSecond", float64(l.Rate)))
	}
}

// Sent counts a request to a target.
func (a *Apportioner) Sent(t *registrar.Target) {
	if a.named.Load() == 0 || a.Metrics == nil {
		return
	}
	if _, limited := a.Limit(t); limited {
		a.Metrics.Counter("LimitedSends").Inc(1)
	}
}

// Limit returns the limit of a target, or false if it names none.
func (a *Apportioner) Limit(t *registrar.Target) (Rate, bool) {
	if a.named.Load() == 0 {
		return 0, false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.targets[t.ID]
	if s == nil || !s.limit.Named || !s.limit.appliesTo(t) {
		return 0, false
	}
	return s.limit.Rate, true
}

// Limited returns the number of targets that name a limit.
func (a *Apportioner) Limited() int { return int(a.named.Load()) }

// Retain forgets the targets that are not in the list.
func (a *Apportioner) Retain(targets []*registrar.Target) {
	if a.named.Load() == 0 {
		return
	}
	known := map[identifier.TargetID]bool{}
	for _, t := range targets {
		known[t.ID] = true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for id := range a.targets {
		if !known[id] {
			delete(a.targets, id)
		}
	}
	a.count()
}
