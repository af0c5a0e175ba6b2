package forwarder_test

import (
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/quarantiner"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// quarantine records what it is told; it denies requests with the part denied, from the second look at them on if later is set.
type quarantine struct {
	mu        sync.Mutex
	denied    identifier.PartID
	later     bool
	crashes   []quarantiner.Crash
	completed []identifier.PartID
}

func (q *quarantine) Denied(parts []identifier.PartID, _ time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, p := range parts {
		if p == q.denied && !q.later {
			return time.Minute
		}
	}
	q.later = false
	return 0
}

func (q *quarantine) Crashed(c quarantiner.Crash) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.crashes = append(q.crashes, c)
}

func (q *quarantine) DeniedRequest(identifier.RequestDigest, time.Time) time.Duration { return 0 }

func (q *quarantine) Completed(_ identifier.RequestDigest, parts []identifier.PartID, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.completed = append(q.completed, parts...)
}

// servePrompt serves a request of which the prompt has two shared parts and one of its own.
func servePrompt(t *testing.T, b *backend, q *quarantine) (res result) {
	synctest.Test(t, func(*testing.T) {
		route := matcher.Route{Kind: matcher.Stream, HasPrompts: true, Resumable: true}
		call := &forwarder.Call{Parts: []chooser.Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 100}, {ID: 3, Tokens: 100}}}
		res = serveQuarantined(b, route, call, 5, &chooser.TargetStates{}, q)
		synctest.Wait()
	})
	return res
}

// TestCrashesUnderRequestsAreReported checks which broken requests count against the parts of their prompts.
func TestCrashesUnderRequestsAreReported(t *testing.T) {
	done := step{status: 200, body: first + second}
	for name, tc := range map[string]struct {
		failed         step
		crashed        bool
		reports, began int
	}{
		"no answer, the target has crashed":      {broken, true, 1, 0},
		"no answer, the target is there":         {broken, false, 0, 0},
		"answer without event, crashed":          {step{status: 200, truncated: true}, true, 1, 1},
		"answer within its first event, crashed": {step{status: 200, body: first[:5], truncated: true}, true, 1, 1},
		"answer with an event, crashed":          {step{status: 200, body: first, truncated: true}, true, 0, 0},
		"not sent":                               {notSent, true, 0, 0},
	} {
		q := &quarantine{}
		resumed := done
		if tc.failed.body == first {
			resumed.body = second
		}
		res := servePrompt(t, &backend{runs: []step{tc.failed, resumed}, crashed: tc.crashed}, q)
		quicktest.Check(t, res.Code, quicktest.Equals, http.StatusOK, quicktest.Commentf(name))
		began := 0
		for _, c := range q.crashes {
			quicktest.Check(t, c.Parts, quicktest.DeepEquals, []identifier.PartID{1, 2}, quicktest.Commentf(name))
			quicktest.Check(t, c.Request, quicktest.Equals, identifier.PartID(3), quicktest.Commentf(name))
			if c.Began {
				began++
			}
		}
		quicktest.Check(t, []int{len(q.crashes), began}, quicktest.DeepEquals, []int{tc.reports, tc.began}, quicktest.Commentf(name))
		quicktest.Check(t, q.completed, quicktest.DeepEquals, []identifier.PartID{1, 2}, quicktest.Commentf(name))
	}
}

// TestDeniedPromptReachesNoTarget checks that a request under which targets crash is refused at once, also before a second
// attempt.
func TestDeniedPromptReachesNoTarget(t *testing.T) {
	b := &backend{runs: []step{{status: 200, body: first}}}
	res := servePrompt(t, b, &quarantine{denied: 2})
	quicktest.Check(t, res.Code, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, res.Header().Get("Retry-After"), quicktest.Equals, "60.000")
	quicktest.Check(t, b.prefillCalls+len(b.received), quicktest.Equals, 0)

	b = &backend{runs: []step{broken, {status: 200, body: first}}, crashed: true}
	res = servePrompt(t, b, &quarantine{denied: 2, later: true})
	quicktest.Check(t, res.Code, quicktest.Equals, http.StatusBadGateway, quicktest.Commentf("it may have run"))
	quicktest.Check(t, b.received, quicktest.HasLen, 1)
}
