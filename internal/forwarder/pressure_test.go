package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/admitter"
	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/prober"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// engines are two prompt targets and two answer targets, of which prefill and run tell what they do.
type engines struct {
	mu       sync.Mutex
	prefill  func(ctx context.Context, call int, t *registrar.Target) error
	body     func() io.ReadCloser
	prefills []time.Time
	runs     []identifier.TargetID
}

func (e *engines) Prefill(ctx context.Context, _ *forwarder.Call, a *forwarder.Attempt) (*forwarder.KVHandle, error) {
	e.mu.Lock()
	e.prefills = append(e.prefills, time.Now())
	n := len(e.prefills)
	e.mu.Unlock()
	if e.prefill != nil {
		if err := e.prefill(ctx, n, a.Target); err != nil {
			return nil, err
		}
	}
	return &forwarder.KVHandle{Target: a.Target, ID: "h"}, nil
}

func (e *engines) Run(_ context.Context, _ *forwarder.Call, a *forwarder.Attempt) (*forwarder.Response, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, a.Target.ID)
	body := io.NopCloser(strings.NewReader(first + second))
	if e.body != nil {
		body = e.body()
	}
	return &forwarder.Response{Status: http.StatusOK, Header: http.Header{}, Body: body}, nil
}

func (e *engines) Reachable(context.Context, *registrar.Target) bool { return true }

func (e *engines) Free(context.Context, *forwarder.KVHandle) error { return nil }

const (
	promised    = 800 * time.Millisecond
	cacheTokens = 10_000
	callTokens  = 1_000
)

// newForwarder returns a forwarder before the engines, which promises its clients a first event within promised.
func newForwarder(b forwarder.Backend, retries int) *forwarder.Forwarder {
	table := matcher.New(matcher.Configuration{Version: 1, Routes: []matcher.Route{{
		ID: "r", Host: "h", Prefix: "/p/", Kind: matcher.Stream, HasPrompts: true, Public: true, Latency: promised, Timeout: 5 * time.Second, Attempts: 2,
		WeightedServices: []matcher.WeightedService{{Service: "s", Weight: 1}},
	}}, Services: []matcher.Service{{ID: "s", Engine: &matcher.Engine{CacheTokens: cacheTokens}}}})
	targets := []*registrar.Target{
		{ID: "p1", Address: "p1", Stage: registrar.Prompts}, {ID: "p2", Address: "p2", Stage: registrar.Prompts},
		{ID: "a1", Address: "a1", Stage: registrar.Answers}, {ID: "a2", Address: "a2", Stage: registrar.Answers},
	}
	return &forwarder.Forwarder{
		Table: func() *matcher.Table { return table }, TableAge: func() time.Duration { return 0 },
		Targets: func(identifier.ServiceID, time.Time) []*registrar.Target {
			return append([]*registrar.Target(nil), targets...)
		},
		TargetStates: &chooser.TargetStates{}, Chooser: &chooser.Chooser{}, Backend: b, Budget: &budget{retries}, Quarantine: &quarantine{},
		Reach: &prober.Prober{}, Peers: func(identifier.ServiceID, int) []string { return nil }, Pins: noPins{},
		SoleBuild:     func(context.Context, identifier.ServiceID, string, string) (identifier.Build, bool) { return "", true },
		RecordDemand:  func(identifier.ServiceID, identifier.Tokens, time.Time) {},
		MaximumJitter: func() time.Duration { return 0 }, Instances: func() int { return 1 },
		Expected:     func(identifier.ServiceID, registrar.Stage, time.Time) (time.Duration, bool) { return 0, false },
		CountRequest: func(identifier.TeamID) {}, Logger: zap.NewNop(), Metrics: tally.NoopScope,
	}
}

func stream(id string) *forwarder.Call {
	return &forwarder.Call{ID: identifier.RequestID(id), Host: "h", Path: "/p/x", Parts: []chooser.Part{{ID: 1, Tokens: callTokens - 100}}, AnswerTokens: 100}
}

// serveStream serves a call and returns the response.
func serveStream(ctx context.Context, f *forwarder.Forwarder, call *forwarder.Call) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			if err, ok := r.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(r)
			}
		}
	}()
	f.Serve(ctx, w, call)
	return w
}

// TestSilentPromptTarget guards against requests that wait to their deadline at a prompt target that is dark without a reset, while
// another could serve them. It states how long they wait there: a quarter of the promised latency. A target that is merely slow, or that
// has answered anything in the meantime, keeps its work, and without a retry budget or without admission control nothing is ended.
func TestSilentPromptTarget(t *testing.T) {
	for name, tc := range map[string]struct {
		retries   int
		accepts   bool
		answers   bool
		admission forwarder.Admission
		prefills  int
		status    int
	}{
		"dark":                                   {5, false, false, &admitter.Admitter{}, 2, http.StatusOK},
		"dark, no retry budget":                  {0, false, false, &admitter.Admitter{}, 1, http.StatusGatewayTimeout},
		"dark, no admission control":             {5, false, false, nil, 1, http.StatusGatewayTimeout},
		"slow, accepts connections":              {5, true, false, &admitter.Admitter{}, 1, http.StatusOK},
		"slow, has answered others in that time": {5, false, true, &admitter.Admitter{}, 1, http.StatusOK},
	} {
		synctest.Test(t, func(t *testing.T) {
			e := &engines{}
			f := newForwarder(e, tc.retries)
			f.Admission = tc.admission
			connections := 0
			reach := &prober.Prober{Connect: func(ctx context.Context, _ string) (reached, tried bool) {
				connections++
				if !tc.accepts {
					<-ctx.Done()
				}
				return tc.accepts, true
			}}
			f.Reach = reach
			e.prefill = func(ctx context.Context, call int, target *registrar.Target) error {
				if call > 1 {
					return nil
				}
				for range 20 {
					select {
					case <-ctx.Done():
						return fmt.Errorf("%w: %w", forwarder.ErrOutcomeUnknown, ctx.Err())
					case <-time.After(promised / 10):
					}
					if tc.answers {
						reach.Answered(target.Address)
					}
				}
				if tc.accepts || tc.answers {
					return nil
				}
				<-ctx.Done()
				return fmt.Errorf("%w: %w", forwarder.ErrOutcomeUnknown, ctx.Err())
			}
			began := time.Now()
			w := serveStream(t.Context(), f, stream("x"))
			quicktest.Check(t, w.Code, quicktest.Equals, tc.status, quicktest.Commentf(name))
			quicktest.Assert(t, e.prefills, quicktest.HasLen, tc.prefills, quicktest.Commentf(name))
			quicktest.Check(t, connections == 0 || tc.admission != nil, quicktest.IsTrue, quicktest.Commentf("%s: %d connections", name, connections))
			if tc.prefills > 1 {
				waited := e.prefills[1].Sub(began)
				t.Logf("%s: tried elsewhere after %v", name, waited)
				quicktest.Check(t, waited <= promised/4, quicktest.IsTrue, quicktest.Commentf("%s: %v", name, waited))
			}
		})
	}
}

// TestMemoryOfTargets guards against answer targets that crash because the requests that they hold exceed their KV memory: of two targets
// of 10,000 tokens, each takes nine requests of 1,000; the next one waits for a second, and is then refused unless one has ended.
func TestMemoryOfTargets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{}
		f := newForwarder(e, 9)
		var ends []func()
		for _, id := range []identifier.TargetID{"a1", "a2"} {
			for range 9 {
				end, ok := f.TargetStates.BeginWithin(id, chooser.Load{Answers: 1, AnswerTokens: callTokens}, cacheTokens*9/10, time.Now())
				quicktest.Assert(t, ok, quicktest.IsTrue)
				ends = append(ends, end)
			}
		}
		_, ok := f.TargetStates.BeginWithin("a1", chooser.Load{AnswerTokens: callTokens}, cacheTokens*9/10, time.Now())
		quicktest.Check(t, ok, quicktest.IsFalse)
		quicktest.Check(t, f.ReservedShare(time.Now()), quicktest.Equals, 0.9)
		began := time.Now()
		w := serveStream(t.Context(), f, stream("refused"))
		quicktest.Check(t, fmt.Sprint(w.Code, " ", w.Body, len(e.prefills)), quicktest.Equals, "503 MemoryFull\n 0")
		quicktest.Check(t, time.Since(began) <= 1100*time.Millisecond, quicktest.IsTrue)
		retryAfter, err := strconv.ParseFloat(w.Header().Get("Retry-After"), 64)
		quicktest.Check(t, err == nil && retryAfter > 0, quicktest.IsTrue)

		time.AfterFunc(300*time.Millisecond, func() { ends[9](); ends[9]() })
		w = serveStream(t.Context(), f, stream("served"))
		quicktest.Check(t, w.Code, quicktest.Equals, http.StatusOK)
		quicktest.Check(t, fmt.Sprint(e.runs), quicktest.Equals, "[a2]")
		quicktest.Check(t, f.TargetStates.Local()["a2"].AnswerTokens, quicktest.Equals, identifier.Tokens(8*callTokens), quicktest.Commentf("released once, after its end"))
	})
}

// TestRequestBeyondMemory guards against a request that waits for memory that no target will ever have for it.
func TestRequestBeyondMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := &engines{}
		call := stream("large")
		call.AnswerTokens = cacheTokens
		began := time.Now()
		w := serveStream(t.Context(), newForwarder(e, 9), call)
		quicktest.Check(t, fmt.Sprint(w.Code, " ", w.Body, len(e.prefills)), quicktest.Equals, "503 MemoryFull\n 0")
		quicktest.Check(t, time.Since(began), quicktest.Equals, time.Duration(0))
	})
}

// TestMemoryOfRestartedTarget guards against reservations that outlive their target, or that are released a second time, at its successor.
func TestMemoryOfRestartedTarget(t *testing.T) {
	var states chooser.TargetStates
	now := time.Now()
	before, after := &registrar.Target{ID: "a", StartedAt: now}, &registrar.Target{ID: "a", StartedAt: now.Add(time.Second)}
	held := func(of *registrar.Target) identifier.Tokens {
		return states.Candidates([]*registrar.Target{of}, nil, now)[0].Load.AnswerTokens
	}
	quicktest.Check(t, held(before), quicktest.Equals, identifier.Tokens(0))
	end := states.Begin("a", chooser.Load{AnswerTokens: 5}, now)
	quicktest.Check(t, held(before), quicktest.Equals, identifier.Tokens(5))
	quicktest.Check(t, held(after), quicktest.Equals, identifier.Tokens(0))
	states.Begin("a", chooser.Load{AnswerTokens: 7}, now)
	end()
	quicktest.Check(t, held(after), quicktest.Equals, identifier.Tokens(7))
}

// refuseAll refuses all requests, and keeps them.
type refuseAll struct{ judged []admitter.Request }

func (a *refuseAll) Judge(r *admitter.Request, _ time.Time) admitter.Verdict {
	a.judged = append(a.judged, *r)
	return admitter.Verdict{Reason: admitter.LessUrgent, RetryAfter: 70 * time.Millisecond}
}

func (a *refuseAll) ObserveRest(identifier.ServiceID, time.Duration, time.Time) {}

// TestRefusedBeforeTheFirstSend guards against requests that are judged after a target got them, or that count as run.
func TestRefusedBeforeTheFirstSend(t *testing.T) {
	e := &engines{}
	f := newForwarder(e, 9)
	a := &refuseAll{}
	f.Admission, f.LoadAge, f.LiveInstances = a, func(time.Time) time.Duration { return time.Second }, func() int { return 77 }
	f.TargetStates.Begin("p1", chooser.Load{PromptTokens: 50_000}, time.Now())
	f.TargetStates.Begin("p2", chooser.Load{PromptTokens: 50_000}, time.Now())
	call := stream("x")
	call.LastEvent = "1"
	w := serveStream(t.Context(), f, call)
	quicktest.Check(t, fmt.Sprint(w.Code, " ", w.Header().Get("Retry-After"), " ", w.Body), quicktest.Equals, "503 0.070 LessUrgent\n")
	quicktest.Check(t, fmt.Sprint(len(e.prefills), len(e.runs)), quicktest.Equals, "0 0")
	quicktest.Assert(t, a.judged, quicktest.HasLen, 1)
	r := a.judged[0]
	quicktest.Check(t, r.Predicted > r.Alone && r.Alone > 0 && r.MeanWait > time.Second, quicktest.IsTrue, quicktest.Commentf("%+v", r))
	quicktest.Check(t, r.Idle || !r.GoesOn || r.LoadAge != time.Second || r.Capacity != 2 || r.Instances != 77 || r.Promised != promised, quicktest.IsFalse, quicktest.Commentf("%+v", r))
	f.Admission = nil
	quicktest.Check(t, serveStream(t.Context(), f, stream("y")).Code, quicktest.Equals, http.StatusOK)
}
