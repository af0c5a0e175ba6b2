package admitter

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// idleDivisor gives the share of the targets of a stage that must be idle for nothing to be refused.
	idleDivisor = 4
	// maximumSpread is the work that a busy target gets within the age of the loads; below minimumSpreadWait nothing is spread.
	maximumSpread     = time.Second
	minimumSpreadWait = 80 * time.Millisecond
	// pressureSpan, offeredSpan, mixSpan and restSpan are the time constants of the smoothed pressure, the offered work, the shares
	// of the ranks in it and the time from the prefill to the first event. An instance sees three requests per second of a service, and ten under overload.
	pressureSpan = 300 * time.Millisecond
	offeredSpan  = time.Second
	mixSpan      = 4 * time.Second
	restSpan     = 2 * time.Second
	// startSpan is the time after the first request in which the state is not used.
	startSpan = 2 * time.Second
	// returnSlack is how much later than its Retry-After, as a share of it and in any case, a client counts as returning, and
	// returnEarly the share by which it may be early.
	returnSlack        = 0.5
	minimumReturnSlack = 250 * time.Millisecond
	returnEarly        = 0.9
	// maximumReturns limits the refusals that are remembered for each service.
	maximumReturns = 1024
	// rankSpan is how long a rank without requests counts as in use.
	rankSpan = 10 * time.Second
)

// Request describes a request before its first send.
type Request struct {
	ID      identifier.RequestID
	Service identifier.ServiceID
	Route   identifier.RouteID
	Team    identifier.TeamID
	// Rank orders requests; 0 is the most urgent.
	Rank int
	// GoesOn is set if the client has received a part of the answer: the request is judged one rank more urgent.
	GoesOn bool
	// Predicted is the predicted time until the prompt is prefilled or a plain request answered, and Alone the same at an idle target.
	Predicted time.Duration
	Alone     time.Duration
	// MeanWait is the mean of the predicted waits of all candidates. That of the best one is too low: it is best because its load is
	// not known yet.
	MeanWait time.Duration
	// HasRest is set if the first event follows the predicted work by the measured rest.
	HasRest   bool
	Remaining time.Duration
	Promised  time.Duration
	LoadAge   time.Duration
	Idle      bool
	// Capacity is the number of requests that the reachable targets of the stage run at once, and Instances the number of live
	// instances that share them; zero means unknown.
	Capacity  int
	Instances int
	// Repeated is set for later sends of a request, whose client has not returned.
	Repeated bool
}

// Verdict is the decision on a request, with what it rests on.
type Verdict struct {
	Input
	Reason     Reason
	RetryAfter time.Duration
	// Rank is the rank at which the request was judged; Returned is set if it counts as returning.
	Rank     int
	Returned bool
}

// Idle reports whether so many of the targets of a stage have no work that nothing is refused: a quarter. Loads are a second old, so
// that a single target without work gets requests from all instances until they learn of each other's.
func Idle(idle, targets int) bool { return idle > 0 && idle*idleDivisor >= targets }

// Spread returns the scale of the random costs by which targets are chosen while they have queues. Instances whose loads are a second
// old would otherwise all choose the few targets that seem free; with random costs of Gumbel's distribution, a target gets requests in
// proportion to the exponential of its wait over the spread.
func Spread(meanWait time.Duration) time.Duration {
	return max(0, min(maximumSpread, meanWait-minimumSpreadWait))
}

// Admitter keeps the state of each service; the zero value is ready to use.
type Admitter struct {
	mu       sync.Mutex
	services map[identifier.ServiceID]*service
}

// service is the state of one service.
type service struct {
	startedAt time.Time
	// pressure and promised are smoothed, in pressureSpan.
	pressure   float64
	promised   float64
	pressureAt time.Time
	rest       float64
	restAt     time.Time
	// work is the offered work of all ranks, in seconds of a target per second.
	work    float64
	workAt  time.Time
	ranks   map[int]*rank
	returns []refusal
}

// rank is the offered work of one rank, smoothed over a longer time: an instance sees few requests of each.
type rank struct {
	offered float64
	at      time.Time
}

// refusal is a refusal whose client may return.
type refusal struct {
	route       identifier.RouteID
	team        identifier.TeamID
	from, until time.Time
}

// Judge decides on a request and adds it to the state of its service.
func (a *Admitter) Judge(r *Request, now time.Time) Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.service(r.Service, now)
	v := Verdict{Rank: r.Rank, Input: s.input(r, now)}
	v.Rank, v.Returned = s.effectiveRank(r, now)
	s.observe(r, v.Rank, &v.Input, now)
	v.Position, v.Offered = s.position(v.Rank, hashShare(r.ID), now), 1
	if r.Capacity > 0 && r.Instances > 0 {
		v.Offered = s.work * float64(r.Instances) / float64(r.Capacity)
	}
	d := Decide(&v.Input)
	v.Reason = d.Reason
	if d.Reason != "" {
		// Up to half as much again spreads the clients that return, also of those whose Retry-After is limited by the time left.
		base := min(d.RetryAfter, r.Remaining/remainingDivisor*2/3)
		v.RetryAfter = max(minimumRetryAfter, base+time.Duration(hashShare("retry "+r.ID)/2*float64(base)))
		s.remember(r, v.RetryAfter, now)
	}
	return v
}

// ObserveRest records the time from the end of a prefill to the first event.
func (a *Admitter) ObserveRest(id identifier.ServiceID, rest time.Duration, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.service(id, now)
	s.rest = smooth(s.rest, rest.Seconds(), s.restAt, now, restSpan)
	s.restAt = now
}

// Pressures returns the smoothed pressure of each service that had a request recently.
func (a *Admitter) Pressures(now time.Time) map[identifier.ServiceID]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	list := map[identifier.ServiceID]float64{}
	for id, s := range a.services {
		list[id] = 0
		if now.Sub(s.pressureAt) <= maximumAge {
			list[id] = s.pressure
		}
	}
	return list
}

func (a *Admitter) service(id identifier.ServiceID, now time.Time) *service {
	if a.services == nil {
		a.services = map[identifier.ServiceID]*service{}
	}
	s := a.services[id]
	if s == nil {
		s = &service{startedAt: now, ranks: map[int]*rank{}}
		a.services[id] = s
	}
	return s
}

// input returns what is known before the request is added to the state.
func (s *service) input(r *Request, now time.Time) Input {
	in := Input{
		Predicted: r.Predicted, Wait: max(0, r.Predicted-r.Alone), Remaining: r.Remaining, LoadAge: r.LoadAge, Idle: r.Idle,
		Starting: now.Sub(s.startedAt) < startSpan,
	}
	if r.HasRest {
		in.Predicted += time.Duration(s.rest * float64(time.Second))
	}
	return in
}

// observe adds a request to the pressure and the offered work, and completes its input with them.
func (s *service) observe(r *Request, judged int, in *Input, now time.Time) {
	if r.LoadAge <= maximumAge && r.Promised > 0 {
		s.pressure = smooth(s.pressure, r.MeanWait.Seconds()/r.Promised.Seconds(), s.pressureAt, now, pressureSpan)
		s.promised = smooth(s.promised, r.Promised.Seconds(), s.pressureAt, now, pressureSpan)
		s.pressureAt = now
	}
	k := s.ranks[judged]
	if k == nil {
		k = &rank{at: now}
		s.ranks[judged] = k
	}
	k.offered = k.now(now) + r.Alone.Seconds()/mixSpan.Seconds()
	k.at = now
	s.work = s.work*math.Exp(-now.Sub(s.workAt).Seconds()/offeredSpan.Seconds()) + r.Alone.Seconds()/offeredSpan.Seconds()
	s.workAt = now
	in.Pressure, in.PressureAge = s.pressure, now.Sub(s.pressureAt)
	in.Promised = time.Duration(s.promised * float64(time.Second))
}

// now returns the offered work of a rank, which decays without new requests.
func (k *rank) now(now time.Time) float64 {
	return k.offered * math.Exp(-now.Sub(k.at).Seconds()/mixSpan.Seconds())
}

// position returns the share of the offered work that comes before a request: all of the more urgent ranks, and the given share of
// its own rank.
func (s *service) position(of int, share float64, now time.Time) float64 {
	before, own, total := 0.0, 0.0, 0.0
	for n, k := range s.ranks {
		work := k.now(now)
		total += work
		switch {
		case n < of:
			before += work
		case n == of:
			own = work
		}
	}
	if total == 0 {
		return 0
	}
	return (before + share*own) / total
}

// effectiveRank returns the rank at which a request is judged: one rank in use more urgent than its own for each that it goes on
// with a stream or returns after a refusal.
func (s *service) effectiveRank(r *Request, now time.Time) (effective int, returned bool) {
	returned = !r.Repeated && s.takeReturn(r, now)
	effective = r.Rank
	if r.GoesOn {
		effective = s.moreUrgent(effective, now)
	}
	if returned {
		effective = s.moreUrgent(effective, now)
	}
	return effective, returned
}

// moreUrgent returns the next rank in use that is more urgent, or a rank before all others.
func (s *service) moreUrgent(than int, now time.Time) int {
	next, found := 0, false
	for n, k := range s.ranks {
		if n < than && now.Sub(k.at) <= rankSpan && (!found || n > next) {
			next, found = n, true
		}
	}
	if !found {
		return than - 1
	}
	return next
}

// remember records a refusal, so that its client is recognized when it returns.
func (s *service) remember(r *Request, retryAfter time.Duration, now time.Time) {
	s.returns = slices.DeleteFunc(s.returns, func(f refusal) bool { return now.After(f.until) })
	if len(s.returns) >= maximumReturns {
		return
	}
	slack := max(minimumReturnSlack, time.Duration(returnSlack*float64(retryAfter)))
	s.returns = append(s.returns, refusal{
		route: r.Route, team: r.Team, from: now.Add(time.Duration(returnEarly * float64(retryAfter))), until: now.Add(retryAfter + slack),
	})
}

// takeReturn reports whether a request is one that was refused and has come back when it was asked to; each refusal counts once.
func (s *service) takeReturn(r *Request, now time.Time) bool {
	i := slices.IndexFunc(s.returns, func(f refusal) bool {
		return f.route == r.Route && f.team == r.Team && !now.Before(f.from) && !now.After(f.until)
	})
	if i < 0 {
		return false
	}
	s.returns = slices.Delete(s.returns, i, i+1)
	return true
}

// smooth moves a value toward a sample, by as much as the time since the last sample calls for.
func smooth(value, sample float64, last, now time.Time, span time.Duration) float64 {
	if last.IsZero() {
		return sample
	}
	// Samples that arrive together count a tenth each at least.
	weight := max(0.1, 1-math.Exp(-now.Sub(last).Seconds()/span.Seconds()))
	return value + weight*(sample-value)
}

// hashShare maps a request ID evenly to 0 to 1.
func hashShare(id identifier.RequestID) float64 {
	return float64(xxhash.Sum64String(string(id))>>11) / (1 << 53)
}
