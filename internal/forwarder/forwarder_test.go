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
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/gatekeeper"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
	"github.com/coltsfootscale/coltsfootscale/internal/prober"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// step is the scripted result of one attempt.
type step struct {
	status int
	body   string
	err    error
	// truncated ends the body with an error.
	truncated bool
	// unframed marks a response that ends with its connection.
	unframed bool
}

var (
	notRun  = step{err: fmt.Errorf("%w: full", forwarder.ErrNotRun)}
	notSent = step{err: fmt.Errorf("%w: connection refused", forwarder.ErrNotSent)}
	broken  = step{err: fmt.Errorf("%w: reset", forwarder.ErrOutcomeUnknown)}
)

// backend returns scripted results, one for each attempt.
type backend struct {
	runs, prefills []step
	received       []forwarder.Attempt
	prefillCalls   int
	freed          int
	// crashed is set if targets accept no connections after a failed attempt.
	crashed bool
}

func (b *backend) Run(_ context.Context, _ *forwarder.Call, a *forwarder.Attempt) (*forwarder.Response, error) {
	b.received = append(b.received, *a)
	st := b.runs[min(len(b.received), len(b.runs))-1]
	if st.err != nil {
		return nil, st.err
	}
	var body io.Reader = strings.NewReader(st.body)
	if st.truncated {
		body = io.MultiReader(body, errorReader{})
	}
	h := http.Header{"X-Test-Seal": {string(a.Target.ID)}}
	return &forwarder.Response{Status: st.status, Header: h, Unframed: st.unframed, Body: io.NopCloser(body)}, nil
}

func (b *backend) Prefill(_ context.Context, _ *forwarder.Call, a *forwarder.Attempt) (*forwarder.KVHandle, error) {
	b.prefillCalls++
	if len(b.prefills) > 0 {
		if err := b.prefills[min(b.prefillCalls, len(b.prefills))-1].err; err != nil {
			return nil, err
		}
	}
	return &forwarder.KVHandle{Target: a.Target, ID: "h"}, nil
}

func (b *backend) Reachable(context.Context, *registrar.Target) bool { return !b.crashed }

func (b *backend) Free(context.Context, *forwarder.KVHandle) error { b.freed++; return nil }

// noPins knows nothing of any stream.
type noPins struct{}

func (noPins) Announce(context.Context, pinner.Key, pinner.Pin) bool { return true }

func (noPins) Find(context.Context, pinner.Key) (pinner.Pin, error) {
	return pinner.Pin{}, pinner.ErrUnknown
}

type errorReader struct{}

func (errorReader) Read([]byte) (int, error) { return 0, errors.New("reset") }

type budget struct{ left int }

func (b *budget) AddRequest(identifier.ServiceID) {}

func (b *budget) TakeRetry(identifier.ServiceID) bool { b.left--; return b.left >= 0 }

const (
	first  = "id: 1\ndata: a\n\n"
	second = "id: 2\ndata: b\n\n"
	third  = "id: 3\ndata: c\n\n"
)

type result struct {
	*httptest.ResponseRecorder
	aborted bool
	started int
}

// serve handles one call with a forwarder that has two prompt targets and two answer targets, or two plain targets if
// the route has no prompts.
func serve(b *backend, route matcher.Route, call *forwarder.Call, retries int) result {
	return serveWith(b, route, call, retries, &chooser.TargetStates{})
}

func serveWith(b forwarder.Backend, route matcher.Route, call *forwarder.Call, retries int, states *chooser.TargetStates) result {
	return serveQuarantined(b, route, call, retries, states, &quarantine{})
}

func serveQuarantined(b forwarder.Backend, route matcher.Route, call *forwarder.Call, retries int, states *chooser.TargetStates, q forwarder.Quarantine) result {
	return serveAmong(b, route, call, retries, states, q, 5)
}

const connectionLimit = 110

// answersWait is how long answer targets accept nothing once the prompt is prefilled, on the route "answers wait".
const answersWait = 300 * time.Millisecond

// serveAmong is serveQuarantined at one of several instances.
func serveAmong(b forwarder.Backend, route matcher.Route, call *forwarder.Call, retries int, states *chooser.TargetStates, q forwarder.Quarantine, instances int) (res result) {
	route.Host, route.Prefix, route.Timeout = "h", "/p/", 5*time.Second
	if route.Attempts == 0 {
		route.Attempts = 2
	}
	route.WeightedServices = []matcher.WeightedService{{Service: "s", Weight: 1}}
	table := matcher.New(matcher.Configuration{Version: 1, Routes: []matcher.Route{route}, Teams: []matcher.Team{{ID: "team", Keys: []string{"key"}}},
		Services: []matcher.Service{{ID: "s", ConnectionLimit: connectionLimit}}})
	targets := []*registrar.Target{{ID: "p1", Stage: registrar.Prompts}, {ID: "p2", Stage: registrar.Prompts}, {ID: "a1", Stage: registrar.Answers}, {ID: "a2", Stage: registrar.Answers}}
	if route.ID == "changing" {
		targets = targets[:2]
	}
	if route.ID == "no service" {
		targets = nil
	} else if !route.HasPrompts {
		targets = []*registrar.Target{{ID: "x1"}, {ID: "x2"}}
	}
	expected, prefilled := 2*time.Second, func() bool { return false }
	if fake, ok := b.(*backend); ok && route.ID == "answers wait" {
		expected, prefilled = answersWait, func() bool { return fake.prefillCalls > 0 }
	}
	answersFrom := time.Time{}
	learner, _ := states.Model.(forwarder.Calibrator)
	f := &forwarder.Forwarder{
		Calibrator: learner,
		Table:      func() *matcher.Table { return table }, TableAge: func() time.Duration { return 0 },
		Targets: func(_ identifier.ServiceID, now time.Time) []*registrar.Target {
			if prefilled() && answersFrom.IsZero() {
				answersFrom = now.Add(answersWait)
			}
			if now.Before(answersFrom) {
				return append([]*registrar.Target(nil), targets[:2]...)
			}
			return append([]*registrar.Target(nil), targets...)
		},
		TargetStates: states, Chooser: &chooser.Chooser{}, Backend: b, Budget: &budget{retries}, Quarantine: q,
		Reach: &prober.Prober{}, Peers: func(identifier.ServiceID, int) []string { return nil }, Pins: noPins{}, SoleBuild: func(context.Context, identifier.ServiceID, string, string) (identifier.Build, bool) { return "", true },
		RecordDemand:  func(identifier.ServiceID, identifier.Tokens, time.Time) {},
		MaximumJitter: func() time.Duration { return 0 }, Instances: func() int { return instances },
		Expected: func(identifier.ServiceID, registrar.Stage, time.Time) (time.Duration, bool) {
			return expected, true
		},
		CountRequest: func(identifier.TeamID) { res.started++ },
		Logger:       zap.NewNop(), Metrics: tally.NoopScope,
	}
	if call.Host == "" {
		call.Host, call.Path, call.Key = "h", "/p/x", "key"
	}
	res.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			if err, ok := r.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(r)
			}
			res.aborted = true
		}
	}()
	f.Serve(context.Background(), res, call)
	return res
}

func TestPlain(t *testing.T) {
	done := step{status: 200, body: "ok"}
	failed := step{status: 500, body: "bad"}
	for name, tc := range map[string]struct {
		kind     matcher.Kind
		runs     []step
		status   int
		body     string
		attempts int
		started  int
	}{
		"safe, first response is final":              {matcher.Safe, []step{done}, 200, "ok", 1, 1},
		"safe, failure retried on another target":    {matcher.Safe, []step{failed, done}, 200, "ok", 2, 1},
		"safe, attempts exhausted":                   {matcher.Safe, []step{failed, failed, done}, 500, "bad", 2, 1},
		"safe, broken connection":                    {matcher.Safe, []step{broken, done}, 200, "ok", 2, 1},
		"safe, truncated body":                       {matcher.Safe, []step{{status: 200, body: "o", truncated: true}, done}, 200, "ok", 2, 1},
		"unsafe, a failure of the target is relayed": {matcher.Unsafe, []step{failed, done}, 500, "bad", 1, 1},
		"unsafe, no retry after a broken connection": {matcher.Unsafe, []step{broken, done}, 502, "TargetFailed\n", 1, 1},
		"unsafe, no retry after a truncated body":    {matcher.Unsafe, []step{{status: 200, body: "o", truncated: true}, done}, 502, "TargetFailed\n", 1, 1},
		"unsafe, retried if it has not run":          {matcher.Unsafe, []step{notRun, done}, 200, "ok", 2, 1},
		"unsafe, the first target cannot be reached": {matcher.Unsafe, []step{notSent, done}, 200, "ok", 2, 1},
		"refused by all":                             {matcher.Unsafe, []step{notRun, notRun}, 503, "TargetsFull\n", 2, 0},
		"safe, it may have run before it is refused": {matcher.Safe, []step{broken, notRun}, 502, "TargetsFull\n", 2, 1},
	} {
		b := &backend{runs: tc.runs}
		res := serve(b, matcher.Route{Kind: tc.kind}, &forwarder.Call{}, 5)
		quicktest.Check(t, res.Code, quicktest.Equals, tc.status, quicktest.Commentf(name))
		quicktest.Check(t, res.Body.String(), quicktest.Equals, tc.body, quicktest.Commentf(name))
		quicktest.Check(t, b.received, quicktest.HasLen, tc.attempts, quicktest.Commentf(name))
		quicktest.Check(t, res.started, quicktest.Equals, tc.started, quicktest.Commentf("%s: started", name))
		quicktest.Check(t, res.Code != 503 || res.Header().Get("Retry-After") != "", quicktest.IsTrue, quicktest.Commentf("%s: no Retry-After header", name))
	}
	b := &backend{runs: []step{failed, done}}
	quicktest.Check(t, serve(b, matcher.Route{Kind: matcher.Safe}, &forwarder.Call{}, 0).Code, quicktest.Equals, 500, quicktest.Commentf("no budget, no retry"))
}

func TestPrompted(t *testing.T) {
	complete := step{status: 200, body: first + second + third}
	partial := step{status: 200, body: first + "id: 2\nda", truncated: true}
	rest := step{status: 200, body: second + third}
	for name, tc := range map[string]struct {
		resumable    bool
		attempts     int
		prefills     []step
		runs         []step
		budget       int
		status       int
		body         string
		aborted      bool
		prefillCalls int
		attemptCalls int
	}{
		"whole stream":                            {false, 1, nil, []step{complete}, 0, 200, first + second + third, false, 1, 1},
		"resumed after a break within an event":   {true, 2, nil, []step{partial, rest}, 5, 200, first + second + third, false, 2, 2},
		"not resumable: broken off":               {false, 2, nil, []step{partial, rest}, 5, 200, first, true, 1, 1},
		"duplicate event":                         {true, 2, nil, []step{partial, complete}, 5, 200, first, true, 2, 2},
		"no budget to resume":                     {true, 2, nil, []step{partial, rest}, 0, 200, first, true, 1, 1},
		"prompt refused, another target prefills": {false, 1, []step{notRun, {}}, []step{complete}, 1, 200, first + second + third, false, 2, 1},
		"prompt refused, no budget":               {false, 1, []step{notRun}, nil, 0, 503, "RetryBudgetSpent\n", false, 1, 0},
		"prompt refused by all":                   {false, 1, []step{notRun}, nil, 9, 503, "", false, 2, 0},
		"answer target full, one attempt":         {false, 1, nil, []step{notRun, complete}, 9, 503, "AnswerTargetFull\n", false, 1, 1},
		"answer target full, two attempts":        {false, 2, nil, []step{notRun, complete}, 9, 200, first + second + third, false, 2, 2},
		"answer target not reached, one attempt":  {false, 1, nil, []step{notSent, complete}, 0, 200, first + second + third, false, 1, 2},
		"prompt target not reached, no budget":    {false, 1, []step{notSent, {}}, []step{complete}, 0, 200, first + second + third, false, 2, 1},
		"connection lost before the first event":  {false, 2, nil, []step{broken, complete}, 9, 502, "StreamBroken\n", false, 1, 1},
		"resumable: lost before the first event":  {true, 2, nil, []step{broken, complete}, 9, 200, first + second + third, false, 2, 2},
		"a target's failure is relayed":           {false, 1, nil, []step{{status: 500, body: "bad"}}, 9, 500, "bad", false, 1, 1},
	} {
		b := &backend{runs: tc.runs, prefills: tc.prefills}
		route := matcher.Route{Kind: matcher.Stream, HasPrompts: true, Resumable: tc.resumable, Attempts: tc.attempts}
		res := serve(b, route, &forwarder.Call{Parts: []chooser.Part{{ID: 1, Tokens: 100}}}, tc.budget)
		quicktest.Check(t, res.Code, quicktest.Equals, tc.status, quicktest.Commentf(name))
		if tc.body != "" {
			quicktest.Check(t, res.Body.String(), quicktest.Equals, tc.body, quicktest.Commentf(name))
		}
		quicktest.Check(t, res.aborted, quicktest.Equals, tc.aborted, quicktest.Commentf("%s: aborted", name))
		quicktest.Check(t, b.prefillCalls, quicktest.Equals, tc.prefillCalls, quicktest.Commentf("%s: prefills", name))
		quicktest.Check(t, b.received, quicktest.HasLen, tc.attemptCalls, quicktest.Commentf("%s: attempts", name))
	}
}

func TestResumptionKeepsTheFirstHeader(t *testing.T) {
	b := &backend{runs: []step{{status: 200, body: first, truncated: true}, {status: 200, body: second}}}
	res := serve(b, matcher.Route{Kind: matcher.Stream, HasPrompts: true, Resumable: true}, &forwarder.Call{}, 5)
	quicktest.Assert(t, res.Header().Get("X-Test-Seal"), quicktest.Equals, string(b.received[0].Target.ID))
	quicktest.Assert(t, b.received[1].LastEvent, quicktest.Equals, "1")
	quicktest.Assert(t, b.received[1].Target.ID == b.received[0].Target.ID, quicktest.IsFalse)
}

// TestRetryAfterWhenATargetIsExpected covers the time after the loss of all answer targets, while others change their
// stage: clients must be asked to retry when the first one is expected to be ready.
func TestRetryAfterWhenATargetIsExpected(t *testing.T) {
	res := serve(&backend{}, matcher.Route{ID: "changing", Kind: matcher.Stream, HasPrompts: true}, &forwarder.Call{Parts: []chooser.Part{{ID: 1, Tokens: 10}}}, 0)
	quicktest.Assert(t, res.Code, quicktest.Equals, http.StatusServiceUnavailable)
	retryAfter, err := strconv.ParseFloat(res.Header().Get("Retry-After"), 64)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, retryAfter >= 2 && retryAfter < 2.5, quicktest.IsTrue, quicktest.Commentf("Retry-After %v", retryAfter))
}

func TestStreamsOfPlainTargets(t *testing.T) {
	b := &backend{runs: []step{{status: 200, body: first + second}}}
	res := serve(b, matcher.Route{Kind: matcher.Stream}, &forwarder.Call{}, 0)
	quicktest.Check(t, res.Body.String(), quicktest.Equals, first+second)
	quicktest.Check(t, res.Flushed, quicktest.IsTrue, quicktest.Commentf("events are relayed as they arrive"))
	quicktest.Check(t, b.prefillCalls, quicktest.Equals, 0)
	res = serve(&backend{runs: []step{{status: 200, body: first + "id: 2\n"}}}, matcher.Route{Kind: matcher.Stream}, &forwarder.Call{}, 0)
	quicktest.Check(t, res.aborted, quicktest.IsTrue)
	// A prompt whose answer is not streamed is sent to an answer target.
	b = &backend{runs: []step{{status: 200, body: "ok"}}}
	res = serve(b, matcher.Route{Kind: matcher.Safe, HasPrompts: true}, &forwarder.Call{}, 0)
	quicktest.Check(t, res.Body.String(), quicktest.Equals, "ok")
	quicktest.Check(t, b.received[0].Target.Stage, quicktest.Equals, registrar.Answers)
}

func TestLongBodiesAreSentOnce(t *testing.T) {
	long := func() *forwarder.Call {
		return &forwarder.Call{Body: forwarder.Body{Buffered: []byte("start"), Rest: forwarder.NewRest(strings.NewReader("rest")), RestBytes: 4}, Parts: []chooser.Part{{ID: 1, Tokens: 10}}}
	}
	b := &backend{runs: []step{notRun, {status: 200, body: "ok"}}}
	res := serve(b, matcher.Route{Kind: matcher.Safe}, long(), 5)
	quicktest.Check(t, res.Code, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, b.received, quicktest.HasLen, 1)
	b = &backend{runs: []step{broken, {status: 200, body: "ok"}}}
	res = serve(b, matcher.Route{Kind: matcher.Safe}, long(), 5)
	quicktest.Check(t, res.Code, quicktest.Equals, http.StatusBadGateway)
	quicktest.Check(t, b.received, quicktest.HasLen, 1)
	b = &backend{runs: []step{notSent, {status: 200, body: first}}}
	res = serve(b, matcher.Route{Kind: matcher.Stream, HasPrompts: true}, long(), 5)
	quicktest.Check(t, res.Body.String(), quicktest.Equals, first)
	quicktest.Check(t, b.prefillCalls, quicktest.Equals, 0, quicktest.Commentf("the body can be sent only once"))
}

func TestLongAnswers(t *testing.T) {
	text := strings.Repeat("0123456789abcdef", 40_000)
	res := serve(&backend{runs: []step{{status: 200, body: text}}}, matcher.Route{}, &forwarder.Call{}, 0)
	quicktest.Check(t, res.Body.String() == text, quicktest.IsTrue)
	res = serve(&backend{runs: []step{{status: 200, body: text, truncated: true}}}, matcher.Route{}, &forwarder.Call{}, 0)
	quicktest.Check(t, res.aborted, quicktest.IsTrue, quicktest.Commentf("a truncated response must not look complete"))
	b := &backend{runs: []step{{status: 200, body: "short", truncated: true}, {status: 200, body: "ok"}}}
	res = serve(b, matcher.Route{Kind: matcher.Safe}, &forwarder.Call{}, 5)
	quicktest.Check(t, res.Body.String(), quicktest.Equals, "ok", quicktest.Commentf("a truncated short response is retried"))
}

func TestBodyBuffersAreBounded(t *testing.T) {
	bodies := &forwarder.BodyBuffers{Memory: reserver.Memory{MaximumBytes: 1 << 20}}
	short, release, err := bodies.Read(strings.NewReader("text"), 4)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, short.Whole() && string(short.Buffered) == "text", quicktest.IsTrue)
	release()
	var releases []func()
	for range 100 {
		_, release, err := bodies.Read(strings.NewReader("text"), -1)
		quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("a short body of unknown length reserves only its size"))
		releases = append(releases, release)
	}
	for _, release := range releases {
		release()
	}
	text := strings.Repeat("x", 600<<10)
	long, release, err := bodies.Read(strings.NewReader(text), int64(len(text)))
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, int64(len(long.Buffered))+long.RestBytes, quicktest.Equals, int64(len(text)))
	unknown, _, err := bodies.Read(strings.NewReader(text), -1)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, unknown.RestBytes, quicktest.Equals, int64(-1))
	_, _, err = bodies.Read(strings.NewReader(text), -1)
	quicktest.Check(t, err, quicktest.ErrorIs, forwarder.ErrBodyMemory)
	release()
	_, _, err = bodies.Read(strings.NewReader(text), -1)
	quicktest.Check(t, err, quicktest.IsNil)
}

func TestConnectionsOfATargetAreShared(t *testing.T) {
	b := &backend{runs: []step{{status: 200, body: "ok"}}}
	serve(b, matcher.Route{}, &forwarder.Call{}, 0)
	quicktest.Assert(t, b.received[0].Connections, quicktest.Equals, 22, quicktest.Commentf("a fifth of 110"))
}

// TestPrefilledPromptWaitsForAnswerTarget guards against prompts that are prefilled and then refused because no answer target takes
// requests at that moment, though one is expected right after: all answer targets name limits, or one is about to change its stage.
func TestPrefilledPromptWaitsForAnswerTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		started := time.Now()
		b := &backend{runs: []step{{status: 200, body: first}}}
		res := serve(b, matcher.Route{ID: "answers wait", Kind: matcher.Stream, HasPrompts: true}, &forwarder.Call{}, 5)
		quicktest.Check(t, res.Code, quicktest.Equals, http.StatusOK)
		quicktest.Check(t, time.Since(started) >= answersWait, quicktest.IsTrue)
		quicktest.Check(t, b.prefillCalls, quicktest.Equals, 1)
		synctest.Wait()
	})
}

// TestWithheldRequestIsNoFailure guards against targets that are avoided as failing because a request was withheld from them: they
// would get less than the limit that they name.
func TestWithheldRequestIsNoFailure(t *testing.T) {
	withheld := step{err: fmt.Errorf("%w: %w", forwarder.ErrNotSent, gatekeeper.ErrWithheld)}
	for _, kind := range []matcher.Kind{matcher.Safe, matcher.Stream} {
		for _, tc := range []struct {
			first  step
			failed bool
		}{{withheld, false}, {notSent, true}} {
			var states chooser.TargetStates
			b := &backend{runs: []step{tc.first, {status: 200, body: first}}}
			res := serveWith(b, matcher.Route{Kind: kind}, &forwarder.Call{}, 5, &states)
			quicktest.Check(t, res.Code, quicktest.Equals, http.StatusOK)
			score := states.Candidates([]*registrar.Target{b.received[0].Target}, nil, time.Now())[0].FailureScore
			quicktest.Check(t, score > 0, quicktest.Equals, tc.failed)
		}
	}
}

// TestSharesOfConnectionsAddUpToTheLimit guards against a least share that many instances together open beyond what a target accepts.
func TestSharesOfConnectionsAddUpToTheLimit(t *testing.T) {
	for _, instances := range []int{5, 28, 64, 110} {
		b := &backend{runs: []step{{status: 200, body: "ok"}}}
		serveAmong(b, matcher.Route{}, &forwarder.Call{}, 0, &chooser.TargetStates{}, &quarantine{}, instances)
		quicktest.Check(t, b.received[0].Connections > 0, quicktest.IsTrue)
		quicktest.Check(t, instances*b.received[0].Connections <= connectionLimit, quicktest.IsTrue, quicktest.Commentf("%d instances with %d connections each", instances, b.received[0].Connections))
	}
}

func TestAdmission(t *testing.T) {
	for name, tc := range map[string]struct {
		call   forwarder.Call
		status int
	}{
		"unknown host":   {forwarder.Call{Host: "other", Path: "/p/x", Key: "key"}, 404},
		"unknown prefix": {forwarder.Call{Host: "h", Path: "/q/x", Key: "key"}, 404},
		"unknown key":    {forwarder.Call{Host: "h", Path: "/p/x", Key: "other"}, 401},
		"no key":         {forwarder.Call{Host: "h:80", Path: "/p/x"}, 401},
	} {
		b := &backend{runs: []step{{status: 200}}}
		res := serve(b, matcher.Route{Kind: matcher.Safe}, &tc.call, 5)
		quicktest.Check(t, res.Code, quicktest.Equals, tc.status, quicktest.Commentf(name))
		quicktest.Check(t, b.received, quicktest.HasLen, 0, quicktest.Commentf(name))
	}
	public := serve(&backend{runs: []step{{status: 200, body: "ok"}}}, matcher.Route{Kind: matcher.Safe, Public: true}, &forwarder.Call{Host: "h", Path: "/p/x"}, 5)
	quicktest.Check(t, public.Code, quicktest.Equals, 200)

	// A service that has no targets or is not in the configuration.
	for _, kind := range []matcher.Kind{matcher.Unsafe, matcher.Safe, matcher.Stream} {
		b := &backend{}
		res := serve(b, matcher.Route{ID: "no service", Kind: kind}, &forwarder.Call{}, 5)
		quicktest.Check(t, fmt.Sprint(res.Code, res.Body, len(b.received)), quicktest.Equals, "503 NoTarget\n 0")
	}

	// Before the first configuration, and while a newer one may have the route, clients are asked to retry.
	for _, table := range []*matcher.Table{nil, matcher.New(matcher.Configuration{})} {
		f := &forwarder.Forwarder{
			Table: func() *matcher.Table { return table }, TableAge: func() time.Duration { return time.Minute },
			Logger: zap.NewNop(), Metrics: tally.NoopScope,
		}
		w := httptest.NewRecorder()
		f.Serve(context.Background(), w, &forwarder.Call{Host: "h", Path: "/p/x"})
		quicktest.Check(t, w.Code, quicktest.Equals, 503)
		quicktest.Check(t, w.Header().Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
	}
}

// TestRouteWithoutServiceRefusesAtOnce guards against requests of a route without a weight above zero that wait for a target, or get one.
func TestRouteWithoutServiceRefusesAtOnce(t *testing.T) {
	table := matcher.New(matcher.Configuration{Public: true, Routes: []matcher.Route{{Host: "h", Prefix: "/p/", WeightedServices: []matcher.WeightedService{{Service: "s"}}}}})
	f := &forwarder.Forwarder{
		Table: func() *matcher.Table { return table }, TableAge: func() time.Duration { return 0 },
		Logger: zap.NewNop(), Metrics: tally.NoopScope,
	}
	w := httptest.NewRecorder()
	f.Serve(context.Background(), w, &forwarder.Call{Host: "h", Path: "/p/x"})
	quicktest.Check(t, fmt.Sprint(w.Code, w.Body), quicktest.Equals, "503 NoService\n")
	quicktest.Check(t, w.Header().Get("Retry-After"), quicktest.Not(quicktest.Equals), "")
	quicktest.Check(t, table.Omitted().UnservedRoutes, quicktest.Equals, 1)
}

// TestLongErrorResponses checks that an error response that exceeds the buffer is relayed whole, or visibly breaks off.
func TestLongErrorResponses(t *testing.T) {
	text := strings.Repeat("0123456789abcdef", 40_000)
	route := matcher.Route{Kind: matcher.Stream, HasPrompts: true, Attempts: 1}
	call := &forwarder.Call{Parts: []chooser.Part{{ID: 1, Tokens: 100}}}
	res := serve(&backend{runs: []step{{status: 500, body: text}}}, route, call, 0)
	quicktest.Check(t, res.Code == 500 && res.Body.String() == text, quicktest.IsTrue, quicktest.Commentf("%d bytes of %d", res.Body.Len(), len(text)))
	res = serve(&backend{runs: []step{{status: 500, body: text, truncated: true}}}, route, call, 0)
	quicktest.Check(t, res.aborted, quicktest.IsTrue)
}

// endless is a body of a single line without an end.
type endless struct{ read int }

func (e *endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	e.read += len(p)
	return len(p), nil
}

// endlessBackend answers each request with a line that does not end.
type endlessBackend struct {
	backend
	body endless
}

func (b *endlessBackend) Run(_ context.Context, _ *forwarder.Call, a *forwarder.Attempt) (*forwarder.Response, error) {
	return &forwarder.Response{Status: 200, Header: http.Header{}, Length: -1, Body: io.NopCloser(&b.body)}, nil
}

// TestEndlessEventIsBounded checks that a target that never ends a line does not fill the memory of the instance.
func TestEndlessEventIsBounded(t *testing.T) {
	b := &endlessBackend{}
	res := serveWith(b, matcher.Route{Kind: matcher.Stream}, &forwarder.Call{}, 0, &chooser.TargetStates{})
	quicktest.Check(t, res.Code, quicktest.Equals, http.StatusBadGateway)
	quicktest.Check(t, b.body.read < 2<<20, quicktest.IsTrue, quicktest.Commentf("%d bytes read", b.body.read))
}

// TestFailingTargetIsAvoided checks that a target that answers requests that must not be repeated with errors is not
// taken for a sound one.
func TestFailingTargetIsAvoided(t *testing.T) {
	states := &chooser.TargetStates{}
	b := &backend{runs: []step{{status: 500, body: "bad"}, {status: 200, body: "ok"}}}
	for range 2 {
		serveWith(b, matcher.Route{Kind: matcher.Unsafe}, &forwarder.Call{}, 0, states)
	}
	quicktest.Check(t, b.received[1].Target.ID != b.received[0].Target.ID, quicktest.IsTrue)
}

// TestResponseWithoutEndIsCutOff guards against a target whose response never ends: it must break off visibly.
func TestResponseWithoutEndIsCutOff(t *testing.T) {
	const maximumBytes = 100 << 20
	for _, kind := range []matcher.Kind{matcher.Safe, matcher.Unsafe} {
		b := &endlessBackend{}
		res := serveWith(b, matcher.Route{Kind: kind}, &forwarder.Call{}, 0, &chooser.TargetStates{})
		quicktest.Check(t, res.aborted, quicktest.IsTrue, quicktest.Commentf("%v", kind))
		quicktest.Check(t, b.body.read < maximumBytes, quicktest.IsTrue, quicktest.Commentf("%v: %d bytes", kind, b.body.read))
	}
}
