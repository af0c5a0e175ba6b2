package forwarder

import (
	"context"
	"net/http"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/ratelimiter"
)

// Quotas counts the requests of teams over all instances.
type Quotas interface {
	// Ask asks whether a request is within its team's quota, and counts it if so.
	Ask(ctx context.Context, r ratelimiter.Request) ratelimiter.Permit
	// Return gives back a request that was counted and that no target ran.
	Return(p ratelimiter.Permit)
}

// takeQuota counts the request against the quota of its team. A request that a peer passed on was counted there.
func (rs *requestState) takeQuota(ctx context.Context) *Refusal {
	if rs.team == nil || rs.team.Quota == nil || rs.call.HandedOver {
		return nil
	}
	p := rs.f.Quotas.Ask(ctx, ratelimiter.Request{
		Team: rs.team.ID, ID: rs.call.ID, Cost: rs.team.Quota.Cost(rs.call.Tokens), Remaining: time.Until(rs.deadline)})
	switch p.Verdict {
	case ratelimiter.Verdict_Admitted:
		rs.permit = &p
		return nil
	case ratelimiter.Verdict_Refused:
		return &Refusal{Status: http.StatusTooManyRequests, Reason: "QuotaExceeded", RetryAfter: p.RetryAfter}
	}
	return refuseNotRun("QuotaUndecided", p.RetryAfter, nil)
}

// returnQuota gives the request back if no target has run it.
func (rs *requestState) returnQuota() {
	if rs.permit != nil && !rs.started {
		rs.f.Quotas.Return(*rs.permit)
	}
}
