package forwarder_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/prober"
	"github.com/coltsfootscale/coltsfootscale/internal/ratelimiter"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// quotas decides all requests alike and records them.
type quotas struct {
	decision ratelimiter.Decision
	asked    []ratelimiter.Request
	returned int
}

func (q *quotas) Ask(_ context.Context, r ratelimiter.Request) ratelimiter.Permit {
	q.asked = append(q.asked, r)
	return ratelimiter.Permit{Decision: q.decision}
}

func (q *quotas) Return(ratelimiter.Permit) { q.returned++ }

// serveLimited handles a call of a team with a quota of tokens.
func serveLimited(b *backend, q *quotas, call *forwarder.Call) *httptest.ResponseRecorder {
	table := matcher.New(matcher.Configuration{
		Routes: []matcher.Route{
			{Host: "h", Prefix: "/p/", Timeout: time.Second, Attempts: 2, WeightedServices: []matcher.WeightedService{{Service: "s", Weight: 1}}},
			{Host: "h", Prefix: "/public/", Public: true, Timeout: time.Second, Attempts: 2, WeightedServices: []matcher.WeightedService{{Service: "s", Weight: 1}}},
		},
		Teams:    []matcher.Team{{ID: "team", Keys: []string{"key"}, Quota: &matcher.Quota{Kind: matcher.TokenQuota, Rate: 1, PlainCost: 200}}, {ID: "free", Keys: []string{"free"}}},
		Services: []matcher.Service{{ID: "s"}},
	})
	f := &forwarder.Forwarder{
		Table: func() *matcher.Table { return table }, TableAge: func() time.Duration { return 0 },
		Targets: func(identifier.ServiceID, time.Time) []*registrar.Target {
			return []*registrar.Target{{ID: "x1"}, {ID: "x2"}}
		},
		TargetStates: &chooser.TargetStates{}, Chooser: &chooser.Chooser{}, Backend: b, Budget: &budget{5}, Quarantine: &quarantine{},
		Reach: &prober.Prober{}, Peers: func(identifier.ServiceID, int) []string { return nil }, Pins: noPins{},
		MaximumJitter: func() time.Duration { return 0 }, Instances: func() int { return 1 }, Quotas: q,
		Expected: func(identifier.ServiceID, registrar.Stage, time.Time) (time.Duration, bool) {
			return 0, false
		},
		CountRequest: func(identifier.TeamID) {}, Logger: zap.NewNop(), Metrics: tally.NoopScope,
	}
	w := httptest.NewRecorder()
	call.Host, call.Method = "h", http.MethodPost
	if call.Path == "" {
		call.Path = "/p/x"
	}
	f.Serve(context.Background(), w, call)
	return w
}

// TestQuota guards against requests over the quota that reach a target, against requests that are counted twice or of teams without
// a quota, and against those that no target ran and that are not given back.
func TestQuota(t *testing.T) {
	tokens := identifier.Tokens(1540)
	admitted := ratelimiter.Decision{Verdict: ratelimiter.Verdict_Admitted}
	served := []step{{status: 200, body: "ok"}}
	for name, tc := range map[string]struct {
		decision   ratelimiter.Decision
		call       forwarder.Call
		runs       []step
		status     int
		retryAfter string
		cost       float64
		returned   int
		attempts   int
	}{
		"within":                      {admitted, forwarder.Call{Key: "key", Tokens: &tokens}, served, 200, "", 1540, 0, 1},
		"no counts":                   {admitted, forwarder.Call{Key: "key"}, served, 200, "", 200, 0, 1},
		"over":                        {ratelimiter.Decision{Verdict: ratelimiter.Verdict_Refused, RetryAfter: 1234 * time.Millisecond}, forwarder.Call{Key: "key"}, served, 429, "1.234", 200, 0, 0},
		"undecided":                   {ratelimiter.Decision{RetryAfter: 200 * time.Millisecond}, forwarder.Call{Key: "key"}, served, 503, "0.200", 200, 0, 0},
		"no target runs it":           {admitted, forwarder.Call{Key: "key"}, []step{notRun}, 503, "0.150", 200, 1, 2},
		"second target runs it":       {admitted, forwarder.Call{Key: "key"}, []step{notRun, served[0]}, 200, "", 200, 0, 2},
		"may have run":                {admitted, forwarder.Call{Key: "key"}, []step{broken}, 502, "", 200, 0, 1},
		"a target answers with error": {admitted, forwarder.Call{Key: "key"}, []step{{status: 500, body: "bad"}}, 500, "", 200, 0, 1},
		"from a peer":                 {ratelimiter.Decision{Verdict: ratelimiter.Verdict_Refused}, forwarder.Call{Key: "key", HandedOver: true}, served, 200, "", -1, 0, 1},
		"team without a quota":        {ratelimiter.Decision{Verdict: ratelimiter.Verdict_Refused}, forwarder.Call{Key: "free"}, served, 200, "", -1, 0, 1},
		"public":                      {ratelimiter.Decision{Verdict: ratelimiter.Verdict_Refused}, forwarder.Call{Path: "/public/x"}, served, 200, "", -1, 0, 1},
	} {
		q, b := &quotas{decision: tc.decision}, &backend{runs: tc.runs}
		w := serveLimited(b, q, &tc.call)
		quicktest.Check(t, w.Code, quicktest.Equals, tc.status, quicktest.Commentf(name))
		quicktest.Check(t, q.returned, quicktest.Equals, tc.returned, quicktest.Commentf(name))
		quicktest.Check(t, len(b.received), quicktest.Equals, tc.attempts, quicktest.Commentf(name))
		if tc.retryAfter != "" {
			quicktest.Check(t, w.Header().Get("Retry-After"), quicktest.Equals, tc.retryAfter, quicktest.Commentf(name))
		}
		if tc.cost < 0 {
			quicktest.Check(t, q.asked, quicktest.HasLen, 0, quicktest.Commentf(name))
			continue
		}
		quicktest.Assert(t, q.asked, quicktest.HasLen, 1, quicktest.Commentf(name))
		quicktest.Check(t, float64(q.asked[0].Cost), quicktest.Equals, tc.cost, quicktest.Commentf(name))
	}
}
