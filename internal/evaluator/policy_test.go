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

// policy is one way to route, admit and place. A nil admit admits every request; a nil place changes no roles.
type policy struct {
	name  string
	route func(s *simulation, e *entry, a arrival, r *engineRequest, tried map[identifier.TargetID]bool) (tracker.Plan, bool)
	admit func(s *simulation, e *entry, a arrival, plan tracker.Plan) limiter.Decision
	place func(s *simulation)
}

func policies() []policy {
	return []policy{
		{name: "coltsfootscale", route: routeByPlan, admit: admitByShare, place: placeByDemand},
		{name: "no role changes", route: routeByPlan, admit: admitByShare},
		{name: "fixed roles", route: routeByPlan, admit: admitByShare, place: placeFixedRoles},
		{name: "least reported load", route: routeLeastLoad},
		{name: "round robin", route: routeRoundRobin},
	}
}

// contextUntil returns a context that is canceled when stop is closed.
func contextUntil(stop <-chan struct{}) (context.Context, context.CancelFunc) {
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

// routeByPlan uses the cheapest plan of the product's tracker.
func routeByPlan(s *simulation, e *entry, a arrival, r *engineRequest, tried map[identifier.TargetID]bool) (tracker.Plan, bool) {
	s.mu.Lock()
	random := s.rng.Uint64()
	s.mu.Unlock()
	req := routerRequest(a, random, tried)
	req.PromptTokens += identifier.Tokens(r.emitted)
	return e.tracker.Plan(tracker.ModelGroup(model), req, nil)
}

// admitByShare admits as the relayer does, with team shares computed from the rates that the entries exchange.
func admitByShare(s *simulation, e *entry, a arrival, plan tracker.Plan) limiter.Decision {
	rate, share := s.share(e, a.team)
	return limiter.Admit(limiter.AdmissionInput{Predicted: plan.Predicted, LateShare: plan.LateShare, Promised: promisedFirstToken, TeamRate: rate, TeamShare: share})
}

// share returns the share of the capacity that a team uses and the share that it is allowed, both in the unit of
// limiter.Cost.
func (s *simulation) share(e *entry, team identifier.TeamID) (rate, share float64) {
	prefill, decode := e.tracker.Capacity(tracker.ModelGroup(model))
	s.mu.Lock()
	defer s.mu.Unlock()
	var demands []limiter.Demand
	index := -1
	for _, t := range s.scenario.teams {
		if t.id == team {
			index = len(demands)
		}
		r := s.rates[limiter.RateKey{Team: t.id, Model: model}]
		demands = append(demands, limiter.Demand{Wanted: limiter.Cost(r, prefill, decode), Weight: t.weight})
	}
	limiter.Share(limiter.OverloadCapacity(demands), demands)
	return demands[index].Wanted, demands[index].Allowed
}

// placeByDemand changes engine roles to follow the demand, as the lease holder does. The long-term demand is an
// exponential average with a time constant of 8 s.
func placeByDemand(s *simulation) {
	var long placer.Demand
	var changedAt time.Time
	for s.tick(time.Second) {
		short := s.demand()
		smoothing := 1 - math.Exp(-1.0/8)
		long.Prompt += smoothing * (short.Prompt - long.Prompt)
		long.Output += smoothing * (short.Output - long.Output)
		input := placer.RoleInput{
			Engines: s.roleEngines(), Short: short, Long: long, SinceChange: time.Since(changedAt),
		}
		for _, c := range placer.PlanRoles(input) {
			changedAt = time.Now()
			s.group.Go(func() { s.changeRole(c) })
		}
	}
}

// placeFixedRoles gives a third of the engines the prefill role and the rest the decode role for the whole run.
func placeFixedRoles(s *simulation) {
	for i, t := range s.targets {
		role := recorder.Role_Decode
		if i%3 == 0 {
			role = recorder.Role_Prefill
		}
		s.roles[identifier.TargetID(t.ID)] = role
	}
	s.applyRoles()
}

// tick waits for d and returns true, or returns false as soon as the run stops.
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

// demand returns the token rates of all teams together.
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

// roleEngines returns the engines as the placer sees them, without those that have crashed or are leaving.
// An engine in the middle of a role change stays in the list.
func (s *simulation) roleEngines() []placer.Engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []placer.Engine
	for i, t := range s.targets {
		id := identifier.TargetID(t.ID)
		s.engines[i].mu.Lock()
		unavailable := s.engines[i].crashed || s.engines[i].leaving
		s.engines[i].mu.Unlock()
		if unavailable && !s.draining[id] {
			continue
		}
		list = append(list, placer.Engine{
			ID: id, Zone: identifier.ZoneID(t.Zone), Role: s.roles[id], Orderable: true, Changing: s.draining[id],
			PrefillPerSecond: t.PrefillTokensPerSecond, DecodePerSecond: t.DecodeTokensPerSecond * float64(t.Slots),
		})
	}
	return list
}

// routeLeastLoad chooses the engine with the lowest reported load.
func routeLeastLoad(s *simulation, e *entry, _ arrival, _ *engineRequest, tried map[identifier.TargetID]bool) (tracker.Plan, bool) {
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
	return s.planTarget(e, best)
}

// routeRoundRobin chooses the engines in turn.
func routeRoundRobin(s *simulation, e *entry, _ arrival, _ *engineRequest, tried map[identifier.TargetID]bool) (tracker.Plan, bool) {
	for range s.targets {
		s.mu.Lock()
		s.nextEngine++
		i := s.nextEngine % len(s.targets)
		s.mu.Unlock()
		_, alive := s.engines[i].load()
		if alive && !tried[identifier.TargetID(s.targets[i].ID)] {
			return s.planTarget(e, i)
		}
	}
	return tracker.Plan{}, false
}

// planTarget returns a plan for engine i alone, for policies that choose the engine themselves.
func (s *simulation) planTarget(e *entry, i int) (tracker.Plan, bool) {
	if i < 0 {
		return tracker.Plan{}, false
	}
	t := s.targets[i]
	req := routerRequest(arrival{}, 1, nil)
	req.Excluded = func(id identifier.TargetID) bool { return id != identifier.TargetID(t.ID) }
	plan, ok := e.tracker.Plan(tracker.ModelGroup(model), req, nil)
	return plan, ok
}
