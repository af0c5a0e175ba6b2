package gatekeeper

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/apportioner"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrWithheld is returned for a request that must not be sent because its target leaves or wants none for a while.
var ErrWithheld = errors.New("target accepts no requests")

const (
	// MaximumPause limits the time for which a target may turn this instance away.
	MaximumPause = 5 * time.Minute
	// returnSpreadFraction and maximumReturnSpread limit the random time by which an instance returns later than the
	// target asked, so that not all instances return at once.
	returnSpreadFraction = 0.2
	maximumReturnSpread  = time.Second
)

// Notice is what a target says about itself in an answer.
type Notice struct {
	// Leaving is set if the target leaves.
	Leaving bool
	// Pause is how long the target wants no requests from this instance; zero if it does not say.
	Pause time.Duration
	// Limited is set if the target names a limit for the requests of all instances together, which is Limit. Unlimited is set
	// if it names none; neither is set if the answer does not tell.
	Limited   bool
	Limit     apportioner.Rate
	Unlimited bool
	// Invalid describes a value that could not be used, or is empty.
	Invalid string
}

// Registry keeps which incarnations of targets leave or are gone.
type Registry interface {
	MarkLeaving(id identifier.TargetID, startedAt, now time.Time) bool
	Departed(id identifier.TargetID, startedAt time.Time) bool
}

// Gatekeeper records the notices of targets; the zero value admits all requests to targets that have not asked for a
// pause. Exported fields must be set before use.
//
// What a target has said concerns one incarnation, as far as that can be told. It depends neither on the store nor on peers.
type Gatekeeper struct {
	// Registry may be nil; marks of leaving targets then have no effect.
	Registry Registry
	// OnLeaving is called when a target says for the first time that it leaves; it may be nil.
	OnLeaving func()
	// Limits keeps the limits that targets name.
	Limits apportioner.Apportioner
	// Logger and Metrics may be nil.
	Logger  *zap.Logger
	Metrics tally.Scope

	// pausing is the number of pauses, so that choices among many targets need no lock while there are none.
	pausing atomic.Int64

	mu     sync.Mutex
	pauses map[identifier.TargetID]pause
	// invalid holds the incarnations whose invalid values were logged.
	invalid map[identifier.TargetID]time.Time
}

// pause is the time for which a target wants no requests. startedAt is the start of the incarnation that the answered request
// was meant for. The answer may be that of the next one, which then had started before saidAt.
type pause struct {
	startedAt time.Time
	saidAt    time.Time
	until     time.Time
}

// clockTolerance allows for the difference between the clocks of a target, which tells its start, and of this instance.
const clockTolerance = time.Second

// appliesTo reports whether the pause may be that of a target's incarnation.
func (p *pause) appliesTo(t *registrar.Target) bool {
	return p.startedAt.Equal(t.StartedAt) || t.StartedAt.After(p.startedAt) && t.StartedAt.Before(p.saidAt.Add(clockTolerance))
}

// Admit returns an error that wraps ErrWithheld if nothing may be sent to the target.
func (g *Gatekeeper) Admit(t *registrar.Target, now time.Time) error {
	if g.Registry != nil && g.Registry.Departed(t.ID, t.StartedAt) {
		return fmt.Errorf("%w: %s leaves or is gone", ErrWithheld, t.ID)
	}
	if remaining := g.Paused(t, now); remaining > 0 {
		return fmt.Errorf("%w: %s wants none for %s", ErrWithheld, t.ID, remaining)
	}
	return nil
}

// Send is Admit for a request that is sent right after it. It counts the request against the target's limit, and stops it if
// that allows none now. A control call, of which there are few, is counted only.
func (g *Gatekeeper) Send(t *registrar.Target, control bool, now time.Time) error {
	if err := g.Admit(t, now); err != nil {
		return err
	}
	if control {
		g.Limits.Charge(t, now)
		return nil
	}
	if !g.Limits.Take(t, now) {
		return fmt.Errorf("%w: the limit of %s allows none now", ErrWithheld, t.ID)
	}
	return nil
}

// Wait returns how much longer the target wants no requests from this instance, or its limit allows none, or zero.
func (g *Gatekeeper) Wait(t *registrar.Target, now time.Time) time.Duration {
	return max(g.Paused(t, now), g.Limits.Wait(t, now))
}

// Paused returns how much longer the target wants no requests, or zero.
func (g *Gatekeeper) Paused(t *registrar.Target, now time.Time) time.Duration {
	if g.pausing.Load() == 0 {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.pauses[t.ID]
	if !ok || !p.appliesTo(t) {
		return 0
	}
	return max(0, p.until.Sub(now))
}

// Observe applies the notice in an answer of the target to a request that was sent at sentAt.
func (g *Gatekeeper) Observe(t *registrar.Target, n Notice, sentAt, now time.Time) {
	if n.Invalid != "" {
		g.reportInvalid(t, n.Invalid)
	}
	switch {
	case n.Limited:
		g.Limits.Observe(apportioner.Limit{Target: t.ID, StartedAt: t.StartedAt, Named: true, Rate: n.Limit, At: now}, now)
	case n.Unlimited:
		g.Limits.Observe(apportioner.Limit{Target: t.ID, StartedAt: t.StartedAt, At: sentAt}, now)
	}
	if n.Leaving && g.Registry != nil && g.Registry.MarkLeaving(t.ID, t.StartedAt, now) {
		g.report("TargetsLeaving", "target says that it leaves", t)
		if g.OnLeaving != nil {
			g.OnLeaving()
		}
	}
	if n.Pause > 0 {
		length := min(n.Pause, MaximumPause)
		spread := min(maximumReturnSpread, time.Duration(returnSpreadFraction*float64(length)))
		g.pause(t, now, now.Add(length+rand.N(max(spread, 1))))
		g.report("TargetPauses", "target wants no requests", t, zap.Duration("For", length))
	}
}

func (g *Gatekeeper) pause(t *registrar.Target, saidAt, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pauses == nil {
		g.pauses = map[identifier.TargetID]pause{}
	}
	next := pause{startedAt: t.StartedAt, saidAt: saidAt, until: until}
	// A late answer may be to a request that was meant for an earlier incarnation.
	if old, ok := g.pauses[t.ID]; ok && !old.startedAt.Before(t.StartedAt) {
		if old.until.After(until) {
			return
		}
		next.startedAt = old.startedAt
	}
	g.pauses[t.ID] = next
	g.pausing.Store(int64(len(g.pauses)))
}

// Expire forgets the pauses that are over, and the targets that are not in the list.
func (g *Gatekeeper) Expire(targets []*registrar.Target, now time.Time) {
	known := map[identifier.TargetID]bool{}
	for _, t := range targets {
		known[t.ID] = true
	}
	g.Limits.Retain(targets)
	g.mu.Lock()
	defer g.mu.Unlock()
	for id, p := range g.pauses {
		if !now.Before(p.until) {
			delete(g.pauses, id)
		}
	}
	g.pausing.Store(int64(len(g.pauses)))
	for id := range g.invalid {
		if !known[id] {
			delete(g.invalid, id)
		}
	}
}

// Contradicted records that a target has answered a request after a refusal of it: it has written an earlier refusal once more.
func (g *Gatekeeper) Contradicted(t *registrar.Target) {
	g.report("RefusalsContradicted", "target answered a request after refusing it", t)
}

// Unconfirmed records a refusal of a target on a connection in use before that does not count, because nothing shows that it is no copy.
func (g *Gatekeeper) Unconfirmed(t *registrar.Target) {
	g.report("RefusalsUnconfirmed", "refusal of a target not confirmed", t)
}

// reportInvalid counts an invalid value, and logs the first one of an incarnation.
func (g *Gatekeeper) reportInvalid(t *registrar.Target, value string) {
	g.mu.Lock()
	startedAt, logged := g.invalid[t.ID]
	logged = logged && startedAt.Equal(t.StartedAt)
	if g.invalid == nil {
		g.invalid = map[identifier.TargetID]time.Time{}
	}
	g.invalid[t.ID] = t.StartedAt
	g.mu.Unlock()
	if g.Metrics != nil {
		g.Metrics.Counter("InvalidNotices").Inc(1)
	}
	if !logged && g.Logger != nil {
		g.Logger.Warn("notice of a target ignored", zap.String("Target", string(t.ID)), zap.String("Value", value))
	}
}

func (g *Gatekeeper) report(counter, message string, t *registrar.Target, fields ...zap.Field) {
	if g.Metrics != nil {
		g.Metrics.Counter(counter).Inc(1)
	}
	if g.Logger != nil {
		g.Logger.Info(message, append(fields, zap.String("Target", string(t.ID)), zap.Time("StartedAt", t.StartedAt))...)
	}
}
