package ratelimiter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// maximumTeamNames limits the values of the tag Team; other teams are counted as otherTeams.
const (
	maximumTeamNames = 100
	otherTeams       = "Other"
)

// meter holds the scopes of the teams; the zero value is empty.
type meter struct {
	mu     sync.Mutex
	scopes map[identifier.TeamID]tally.Scope
}

// team returns the scope of a team.
func (l *Limiter) team(id identifier.TeamID) tally.Scope {
	l.meter.mu.Lock()
	defer l.meter.mu.Unlock()
	if s, found := l.meter.scopes[id]; found {
		return s
	}
	if len(l.meter.scopes) >= maximumTeamNames {
		return l.Metrics.Tagged(map[string]string{"Team": otherTeams})
	}
	if l.meter.scopes == nil {
		l.meter.scopes = map[identifier.TeamID]tally.Scope{}
	}
	s := l.Metrics.Tagged(map[string]string{"Team": string(id)})
	l.meter.scopes[id] = s
	return s
}

// record counts the outcome of a request, in the unit of the quota.
func (l *Limiter) record(p *Permit, wait time.Duration) {
	l.Metrics.Timer("QuotaWait").Record(wait)
	switch p.Verdict {
	case Verdict_Admitted:
		l.team(p.request.Team).Counter("QuotaAdmitted").Inc(int64(p.request.Cost))
	case Verdict_Refused:
		l.team(p.request.Team).Counter("QuotaRefused").Inc(int64(p.request.Cost))
	default:
		l.Metrics.Counter("QuotaUndecided").Inc(1)
	}
}
