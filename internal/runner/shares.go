package runner

import (
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// shares caches the fair shares of the teams.
type shares struct {
	mu   sync.Mutex
	at   time.Time
	team map[limiter.RateKey]limiter.Demand
}

// share returns a team's recent cost on a model's engines over all entries, and its fair share, both
// as parts of the capacity.
func (e *Entry) share(team identifier.TeamID, model identifier.ModelID) (rate, share float64) {
	e.shares.mu.Lock()
	defer e.shares.mu.Unlock()
	if time.Since(e.shares.at) >= shareLifetime {
		e.shares.team = e.computeShares()
		e.shares.at = time.Now()
	}
	d, ok := e.shares.team[limiter.RateKey{Team: team, Model: model}]
	if !ok {
		return 0, 1
	}
	return d.Wanted, d.Allowed
}

func (e *Entry) computeShares() map[limiter.RateKey]limiter.Demand {
	byModel := map[identifier.ModelID]map[identifier.TeamID]limiter.Rate{}
	for subject, rate := range e.allRates() {
		if subject.Team == "" {
			continue
		}
		if byModel[subject.Model] == nil {
			byModel[subject.Model] = map[identifier.TeamID]limiter.Rate{}
		}
		byModel[subject.Model][subject.Team] = rate
	}
	result := map[limiter.RateKey]limiter.Demand{}
	for model, rates := range byModel {
		e.shareModel(model, rates, result)
	}
	return result
}

func (e *Entry) shareModel(model identifier.ModelID, rates map[identifier.TeamID]limiter.Rate, result map[limiter.RateKey]limiter.Demand) {
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

// allRates adds the rates that the other entries sent with their heartbeats to those of this one.
func (e *Entry) allRates() map[limiter.RateKey]limiter.Rate {
	total := e.meter.Rates()
	for _, beat := range e.observer.RecentHeartbeats(beatMaximumAge) {
		for _, r := range beat.Rates {
			s := limiter.RateKey{Team: identifier.TeamID(r.Team), Model: identifier.ModelID(r.Model)}
			t := total[s]
			t.Prompt += r.PromptTokensPerSecond
			t.Output += r.OutputTokensPerSecond
			total[s] = t
		}
	}
	return total
}
