package chooser

import (
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// BeginWithin is Begin, unless the target's answer tokens, those of peers with them, would then exceed a limit; zero means no limit.
func (ts *TargetStates) BeginWithin(id identifier.TargetID, work Load, limit identifier.Tokens, now time.Time) (end func(), ok bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.targetState(id, now)
	if limit > 0 && s.own.AnswerTokens+s.peers.AnswerTokens+work.AnswerTokens > limit {
		return nil, false
	}
	return ts.begin(id, s, work), true
}

// LoadAge returns the median age of the peers' reports, or false without any.
func (ts *TargetStates) LoadAge(now time.Time) (age time.Duration, known bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if len(ts.peers) == 0 {
		return 0, false
	}
	ages := make([]time.Duration, 0, len(ts.peers))
	for _, report := range ts.peers {
		ages = append(ages, now.Sub(report.receivedAt))
	}
	slices.Sort(ages)
	return ages[len(ages)/2], true
}
