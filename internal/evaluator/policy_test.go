package evaluator_test

import (
	"context"
	"math"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// policy is a way to decide; admit and place may be nil.
type policy struct {
	name  string
	route func(s *simulation, e *entry, a arrival, j *job, tried map[identifier.TargetID]bool) (tracker.Plan, bool)
	admit func(s *simulation, e *entry, a arrival, plan tracker.Plan) limiter.Decision
	place func(s *simulation)
}

func policies() []policy {
	return []policy{
		{name: "coltsfootscale", route: routeOwn, admit: admitOwn, place: placeOwn},
		{name: "no role changes", route: routeOwn, admit: admitOwn},
		{name: "fixed roles", route: routeOwn, admit: admitOwn, place: placeFixed},
		{name: "least reported load", route: routeLeastLoad},
		{name: "round robin", route: routeRoundRobin},
	}
}

func contextOf(stop <-chan struct{}) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	context.AfterFunc(ctx, func() {})
	go func() {
		select {
		case <-stop:
		case <-ctx.Done():
		}
		cancel()
	}()
	return ctx, cancel
}

func routeOwn(s *simulation, e *entry, a arrival, j *job, tried map[identifier.TargetID]bool) (tracker.Plan, bool) {
	s.mu.Lock()
	draw := s.r.Uint64()
	s.mu.Unlock()
	req := request(a, draw, tried)
	req.PromptTokens += identifier.Tokens(j.emitted)
	return e.tracker.Plan(tracker.ModelGroup(model), req, nil)
}

// admitOwn decides as the relayer does, with shares from the rates that the entries exchanged.
func admitOwn(s *simulation, e *entry, a arrival, plan tracker.Plan) limiter.Decision {
	rate, share := s.share(e, a.team)
	return limiter.Admit(limiter.AdmissionInput{Predicted: plan.Predicted, LateShare: plan.LateShare, Promised: promisedWait, TeamRate: rate, TeamShare: share})
}

func (s *simulation) share(e *entry, team identifier.TeamID) (rate, share float64) {
	prefill, decode := e.tracker.Capacity(tracker.ModelGroup(model))
	s.mu.Lock()
	defer s.mu.Unlock()
	var demands []limiter.Demand
	own := -1
	for _, t := range s.traffic.teams {
		if t.id == team {
			own = len(demands)
		}
		r := s.rates[limiter.RateKey{Team: t.id, Model: model}]
		demands = append(demands, limiter.Demand{Wanted: limiter.Cost(r, prefill, decode), Weight: t.weight})
	}
	limiter.Share(limiter.OverloadCapacity(demands), demands)
	return demands[own].Wanted, demands[own].Allowed
}

// placeOwn follows the demand as the lease holder does.
func placeOwn(s *simulation) {
	var long placer.Demand
	var changedAt time.Time
	for s.tick(time.Second) {
		short := s.demand()
		f := 1 - math.Exp(-1.0/8)
		long.Prompt += f * (short.Prompt - long.Prompt)
		long.Output += f * (short.Output - long.Output)
		situation := placer.RoleInput{
			Engines: s.roleEngines(), Short: short, Long: long, SinceChange: time.Since(changedAt),
		}
		for _, c := range placer.PlanRoles(situation) {
			changedAt = time.Now()
			s.group.Go(func() { s.change(c) })
		}
	}
}

// placeFixed gives a third of the engines to prefill once and for all.
func placeFixed(s *simulation) {
	for i, t := range s.targets {
		role := recorder.Role_Decode
		if i%3 == 0 {
			role = recorder.Role_Prefill
		}
		s.roles[identifier.TargetID(t.ID)] = role
	}
	s.applyRoles()
}

func (s *simulation) tick(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-s.stop:
		return false
	}
}

func (s *simulation) demand() placer.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	var d placer.Demand
	for _, rate := range s.rates {
		d.Prompt += rate.Prompt
		d.Output += rate.Output
	}
	return d
}

func (s *simulation) roleEngines() []placer.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []placer.Engine
	for i, t := range s.targets {
		id := identifier.TargetID(t.ID)
		s.engines[i].mu.Lock()
		gone := s.engines[i].dead || s.engines[i].leaving
		s.engines[i].mu.Unlock()
		if gone && !s.draining[id] {
			continue
		}
		list = append(list, placer.Engine{
			ID: id, Zone: identifier.ZoneID(t.Zone), Role: s.roles[id], Orderable: true, Changing: s.draining[id],
			PrefillPerSecond: t.PrefillTokensPerSecond, DecodePerSecond: t.DecodeTokensPerSecond * float64(t.Slots),
		})
	}
	return list
}

// routeLeastLoad sends to the engine with the lowest reported load.
func routeLeastLoad(s *simulation, e *entry, _ arrival, _ *job, tried map[identifier.TargetID]bool) (tracker.Plan, bool) {
	best, lowest := -1, int64(math.MaxInt64)
	for i, t := range s.targets {
		load, alive := s.engines[i].load()
		if !alive || load.Leaving || tried[identifier.TargetID(t.ID)] {
			continue
		}
		if n := load.Running + load.Waiting; n < lowest {
			best, lowest = i, n
		}
	}
	return s.plain(e, best)
}

// routeRoundRobin sends to one engine after the other.
func routeRoundRobin(s *simulation, e *entry, _ arrival, _ *job, tried map[identifier.TargetID]bool) (tracker.Plan, bool) {
	for range s.targets {
		s.mu.Lock()
		s.next++
		i := s.next % len(s.targets)
		s.mu.Unlock()
		_, alive := s.engines[i].load()
		if alive && !tried[identifier.TargetID(s.targets[i].ID)] {
			return s.plain(e, i)
		}
	}
	return tracker.Plan{}, false
}

// plain plans one mixed engine without the tracker's count.
func (s *simulation) plain(e *entry, i int) (tracker.Plan, bool) {
	if i < 0 {
		return tracker.Plan{}, false
	}
	t := s.targets[i]
	req := request(arrival{}, 1, nil)
	req.Excluded = func(id identifier.TargetID) bool { return id != identifier.TargetID(t.ID) }
	plan, ok := e.tracker.Plan(tracker.ModelGroup(model), req, nil)
	return plan, ok
}
