package apportioner

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// reportTime is how long a changed limit is reported to peers: some messages.
	reportTime = 3 * time.Second
	// maximumReports limits the limits in one report.
	maximumReports = 256
	// refreshInterval is how long place and time of day are reused: finding them takes time with the size of the fleet.
	refreshInterval = 100 * time.Millisecond
)

// Apportioner keeps the limits that targets name, and tells when it is this instance's turn to send a request to such a
// target; the zero value is that of the only instance. Exported fields must be set before use.
type Apportioner struct {
	// Place returns this instance's place among all that may send requests; nil means that it is the only one.
	Place func(now time.Time) Place
	// TimeOfDay returns the time of day that all instances agree on; nil means the time of this instance's clock.
	TimeOfDay func(now time.Time) time.Time
	// OnChange is called when a target has told this instance of a change; it may be nil.
	OnChange func()
	// Logger and Metrics may be nil.
	Logger  *zap.Logger
	Metrics tally.Scope

	// named is the number of targets with a limit, so that choices among many targets need no lock while there are none.
	named atomic.Int64

	mu      sync.Mutex
	targets map[identifier.TargetID]*targetState
	// place and timeOfDay, in seconds, are those of refreshedAt.
	place       Place
	timeOfDay   float64
	refreshedAt time.Time
}

// targetState holds the newest limit of a target.
type targetState struct {
	limit Limit
	// firstHand is set if the target has told this instance.
	firstHand bool
	changedAt time.Time
	turns     turns
}

// Observe applies what a target has said in an answer to this instance.
func (a *Apportioner) Observe(l Limit, now time.Time) {
	if !l.Named && a.named.Load() == 0 {
		return
	}
	a.mu.Lock()
	changed := a.apply(l, true, now)
	a.mu.Unlock()
	if changed && a.OnChange != nil {
		a.OnChange()
	}
}

// Apply applies what peers report. It returns whether this instance's own peers should know of it.
func (a *Apportioner) Apply(reported []Limit, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	isNews := false
	for _, l := range reported {
		isNews = a.apply(l, false, now) || isNews
	}
	return isNews
}

// apply takes a limit if it is newer than the known one, and reports whether it differs. The caller must hold mu.
func (a *Apportioner) apply(l Limit, firstHand bool, now time.Time) bool {
	s := a.targets[l.Target]
	if s == nil && !l.Named || s != nil && !l.replaces(s) {
		return false
	}
	if s == nil {
		s = &targetState{}
		if a.targets == nil {
			a.targets = map[identifier.TargetID]*targetState{}
		}
		a.targets[l.Target] = s
	}
	old := s.limit
	s.limit, s.firstHand = l, firstHand
	if old.sameAs(&l) {
		return false
	}
	s.changedAt = now
	if !old.Named || !old.StartedAt.Equal(l.StartedAt) {
		s.turns.start(a.refresh(now))
	}
	a.count()
	a.report(l, firstHand)
	return true
}

// replaces reports whether a limit is newer than the known one. A peer's report may seem older than it is, but an answer
// to a request that was sent before the target named its limit must not end it.
func (l *Limit) replaces(s *targetState) bool {
	known := s.limit.At
	if s.limit.Named && !l.Named && !s.firstHand {
		known = known.Add(transitTolerance)
	}
	return l.At.After(known)
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

// report logs and counts a changed limit.
func (a *Apportioner) report(l Limit, firstHand bool) {
	if a.Metrics != nil {
		a.Metrics.Counter("TargetLimits").Inc(1)
	}
	if a.Logger != nil {
		a.Logger.Info("target limits requests", zap.String("Target", string(l.Target)), zap.Time("StartedAt", l.StartedAt),
			zap.Bool("Limited", l.Named), zap.Float64("RequestsPerSecond", float64(l.Rate)), zap.Bool("FromPeer", !firstHand))
	}
}

// refresh finds this instance's place and the time of day anew if they are old, and returns the time of day in seconds. The
// caller must hold mu.
func (a *Apportioner) refresh(now time.Time) float64 {
	age := now.Sub(a.refreshedAt)
	if !a.refreshedAt.IsZero() && age >= 0 && age < refreshInterval {
		return a.timeOfDay + age.Seconds()
	}
	a.place, a.refreshedAt = Place{Instances: 1}, now
	if a.Place != nil {
		a.place = a.Place(now)
	}
	timeOfDay := now
	if a.TimeOfDay != nil {
		timeOfDay = a.TimeOfDay(now)
	}
	a.timeOfDay = float64(timeOfDay.UnixNano()) / float64(time.Second)
	return a.timeOfDay
}

// limited returns the state of a target if it names a limit. The caller must hold mu.
func (a *Apportioner) limited(t *registrar.Target) *targetState {
	s := a.targets[t.ID]
	if s == nil || !s.limit.Named || !s.limit.appliesTo(t) {
		return nil
	}
	return s
}

// nextTurn returns what the turns at a target follow from, how long this instance has to wait for its next one, and when that
// begins. The caller must hold mu.
func (a *Apportioner) nextTurn(s *targetState, now time.Time) (sch schedule, wait time.Duration, turn float64) {
	timeOfDay := a.refresh(now)
	sch = schedule{s.limit.Target, s.limit.Rate.effective(), a.place}
	wait, turn = s.turns.wait(&sch, timeOfDay, now)
	if a.place.Instances == 0 {
		wait = max(wait, refreshInterval)
	}
	return sch, wait, turn
}

// Wait returns how long this instance has to wait until it may send a request to a target, or zero.
func (a *Apportioner) Wait(t *registrar.Target, now time.Time) time.Duration {
	if a.named.Load() == 0 {
		return 0
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.limited(t)
	if s == nil {
		return 0
	}
	_, wait, _ := a.nextTurn(s, now)
	return wait
}

// Take reports whether this instance may send a request to a target now and, if so, counts the request.
func (a *Apportioner) Take(t *registrar.Target, now time.Time) bool {
	return a.send(t, now, false)
}

// Charge counts a request that is sent without waiting for a turn: later ones wait longer.
func (a *Apportioner) Charge(t *registrar.Target, now time.Time) { a.send(t, now, true) }

func (a *Apportioner) send(t *registrar.Target, now time.Time, always bool) bool {
	if a.named.Load() == 0 {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.limited(t)
	if s == nil {
		return true
	}
	sch, wait, turn := a.nextTurn(s, now)
	if wait > 0 && !always {
		return false
	}
	if wait > 0 {
		turn = 0
	}
	s.turns.use(&sch, turn)
	if a.Metrics != nil {
		a.Metrics.Counter("LimitedSends").Inc(1)
	}
	return true
}

// Limit returns the limit of a target, or false if it names none.
func (a *Apportioner) Limit(t *registrar.Target) (Rate, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.limited(t)
	if s == nil {
		return 0, false
	}
	return s.limit.Rate, true
}

// Limited returns the number of targets that name a limit.
func (a *Apportioner) Limited() int { return int(a.named.Load()) }

// Report returns the limits that changed recently, or with all those in force, which a peer lacks.
func (a *Apportioner) Report(all bool, now time.Time) []Limit {
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []Limit
	for _, s := range a.targets {
		if now.Sub(s.changedAt) <= reportTime || all && s.limit.Named {
			list = append(list, s.limit)
		}
	}
	slices.SortFunc(list, func(a, b Limit) int { return cmp.Or(b.At.Compare(a.At), cmp.Compare(a.Target, b.Target)) })
	return list[:min(len(list), maximumReports)]
}

// Retain forgets the targets that are not in the list.
func (a *Apportioner) Retain(targets []*registrar.Target) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.targets) == 0 {
		return
	}
	known := map[identifier.TargetID]bool{}
	for _, t := range targets {
		known[t.ID] = true
	}
	for id := range a.targets {
		if !known[id] {
			delete(a.targets, id)
		}
	}
	a.count()
}
