package runner

import (
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// shares caches each team's cost and fair share on each model's engines.
type shares struct {
	mu         sync.Mutex
	computedAt time.Time
	team       map[limiter.RateKey]limiter.Demand
}

// share returns a team's recent cost on a model's engines, summed over all entries, and its fair share, both as
// fractions of the capacity.
func (e *Entry) share(team identifier.TeamID, model identifier.ModelID) (rate, share float64) {
	e.shares.mu.Lock()
	defer e.shares.mu.Unlock()
	if time.Since(e.shares.computedAt) >= maximumSharesAge {
		e.shares.team = e.computeShares()
		e.shares.computedAt = time.Now()
	}
	d, ok := e.shares.team[limiter.RateKey{Team: team, Model: model}]
	if !ok {
		return 0, 1
	}
	return d.Wanted, d.Allowed
}

func (e *Entry) computeShares() map[limiter.RateKey]limiter.Demand {
	byModel := map[identifier.ModelID]map[identifier.TeamID]limiter.Rate{}
	for key, rate := range e.allRates() {
		if key.Team == "" { // refused requests
			continue
		}
		if byModel[key.Model] == nil {
			byModel[key.Model] = map[identifier.TeamID]limiter.Rate{}
		}
		byModel[key.Model][key.Team] = rate
	}
	result := map[limiter.RateKey]limiter.Demand{}
	for model, rates := range byModel {
		e.computeModelShares(model, rates, result)
	}
	return result
}

func (e *Entry) computeModelShares(model identifier.ModelID, rates map[identifier.TeamID]limiter.Rate, result map[limiter.RateKey]limiter.Demand) {
	prefill, decode := e.tracker.Capacity(tracker.ModelGroup(model))
	view := e.view.Load()
	teams := make([]identifier.TeamID, 0, len(rates))
	demands := make([]limiter.Demand, 0, len(rates))
	for team, rate := range rates {
		teams = append(teams, team)
		demands = append(demands, limiter.Demand{Wanted: limiter.Cost(rate, prefill, decode), Weight: view.Weight(team)})
	}
	limiter.Share(limiter.OverloadCapacity(demands), demands)
	for i, team := range teams {
		result[limiter.RateKey{Team: team, Model: model}] = demands[i]
	}
}

// allRates returns the token rates of this entry plus the rates in the recent heartbeats of the other entries.
func (e *Entry) allRates() map[limiter.RateKey]limiter.Rate {
	total := e.meter.Rates()
	for _, heartbeat := range e.observer.RecentHeartbeats(maximumHeartbeatAge) {
		for _, r := range heartbeat.Rates {
			key := limiter.RateKey{Team: identifier.TeamID(r.Team), Model: identifier.ModelID(r.Model)}
			t := total[key]
			t.Prompt += r.PromptTokensPerSecond
			t.Output += r.OutputTokensPerSecond
			total[key] = t
		}
	}
	return total
}
