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
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// step is what a target does with one send.
type step struct {
	status int
	body   string
	err    error
	// torn ends the body with an error.
	torn bool
}

var (
	notRun  = step{err: fmt.Errorf("%w: full", forwarder.ErrNotRun)}
	notSent = step{err: fmt.Errorf("%w: connection refused", forwarder.ErrNotSent)}
	broken  = step{err: fmt.Errorf("%w: reset", forwarder.ErrOutcomeUnknown)}
)

// backend plays scripted steps, one for each send.
type backend struct {
	runs, reads []step
	sent        []forwarder.Attempt
	prompts     int
	freed       int
}

func (b *backend) Run(_ context.Context, _ *forwarder.Call, s *forwarder.Attempt) (*forwarder.Response, error) {
	b.sent = append(b.sent, *s)
	st := b.runs[min(len(b.sent), len(b.runs))-1]
	if st.err != nil {
		return nil, st.err
	}
	var body io.Reader = strings.NewReader(st.body)
	if st.torn {
		body = io.MultiReader(body, errorReader{})
	}
	h := http.Header{"X-Test-Seal": {string(s.Target.ID)}}
	return &forwarder.Response{Status: st.status, Header: h, Body: io.NopCloser(body)}, nil
}

func (b *backend) Prefill(_ context.Context, _ *forwarder.Call, s *forwarder.Attempt) (*forwarder.CacheHandle, error) {
	b.prompts++
	if len(b.reads) > 0 {
		if err := b.reads[min(b.prompts, len(b.reads))-1].err; err != nil {
			return nil, err
		}
	}
	return &forwarder.CacheHandle{Target: s.Target, ID: "h"}, nil
}

func (b *backend) Free(context.Context, *forwarder.CacheHandle) error { b.freed++; return nil }

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

type outcome struct {
	*httptest.ResponseRecorder
	aborted bool
	began   int
}

// serve sends one call of a route's kind through a forwarder with two prompt targets, two answer targets and two plain ones.
func serve(b *backend, route matcher.Route, call *forwarder.Call, retries int) (out outcome) {
	route.Host, route.Prefix, route.Timeout = "h", "/p/", 5*time.Second
	if route.Attempts == 0 {
		route.Attempts = 2
	}
	route.Services = []matcher.WeightedService{{Service: "s", Weight: 1}}
	table := matcher.New(matcher.Configuration{Version: 1, Routes: []matcher.Route{route}, Teams: []matcher.Team{{ID: "team", Keys: []string{"key"}}},
		Services: []matcher.Service{{ID: "s", ConnectionLimit: 110}}})
	targets := []*registrar.Target{{ID: "p1", Stage: registrar.PrefillStage}, {ID: "p2", Stage: registrar.PrefillStage}, {ID: "a1", Stage: registrar.DecodeStage}, {ID: "a2", Stage: registrar.DecodeStage}}
	if route.ID == "changing" {
		targets = targets[:2]
	}
	if route.ID == "no service" {
		targets = nil
	} else if !route.HasPrompts {
		targets = []*registrar.Target{{ID: "x1"}, {ID: "x2"}}
	}
	f := &forwarder.Forwarder{
		Table: func() *matcher.Table { return table }, TableAge: func() time.Duration { return 0 },
		Targets: func(identifier.ServiceID, time.Time) []*registrar.Target {
			return append([]*registrar.Target(nil), targets...)
		},
		States: &chooser.TargetStates{}, Chooser: &chooser.Chooser{}, Backend: b, Budget: &budget{retries},
		RecordDemand:  func(identifier.ServiceID, identifier.Tokens, time.Time) {},
		MaximumJitter: func() time.Duration { return 0 }, Instances: func() int { return 5 },
		Expected: func(identifier.ServiceID, registrar.Stage, time.Time) (time.Duration, bool) {
			return 2 * time.Second, true
		},
		CountRequest: func(identifier.TeamID) { out.began++ },
		Logger:       zap.NewNop(), Metrics: tally.NoopScope,
	}
	if call.Host == "" {
		call.Host, call.Path, call.Key = "h", "/p/x", "key"
	}
	out.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			if err, ok := r.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(r)
			}
			out.aborted = true
		}
	}()
	f.Serve(context.Background(), out, call)
	return out
}

func TestPlain(t *testing.T) {
	done := step{status: 200, body: "ok"}
	failed := step{status: 500, body: "bad"}
	for name, tc := range map[string]struct {
		kind   matcher.Kind
		runs   []step
		status int
		body   string
		sends  int
		began  int
	}{
		"safe, first answer stands":                     {matcher.Safe, []step{done}, 200, "ok", 1, 1},
		"safe, another target mends a failure":          {matcher.Safe, []step{failed, done}, 200, "ok", 2, 1},
		"safe, attempts end":                            {matcher.Safe, []step{failed, failed, done}, 500, "bad", 2, 1},
		"safe, broken connection":                       {matcher.Safe, []step{broken, done}, 200, "ok", 2, 1},
		"safe, torn body":                               {matcher.Safe, []step{{status: 200, body: "o", torn: true}, done}, 200, "ok", 2, 1},
		"unsafe, a failure of the target is passed on":  {matcher.Unsafe, []step{failed, done}, 500, "bad", 1, 1},
		"unsafe, never again after a broken connection": {matcher.Unsafe, []step{broken, done}, 502, "TargetFailed\n", 1, 1},
		"unsafe, never again after a torn body":         {matcher.Unsafe, []step{{status: 200, body: "o", torn: true}, done}, 502, "TargetFailed\n", 1, 1},
		"unsafe, again where it has not run":            {matcher.Unsafe, []step{notRun, done}, 200, "ok", 2, 1},
		"unsafe, the first target cannot be reached":    {matcher.Unsafe, []step{notSent, done}, 200, "ok", 2, 1},
		"refused by all":                                {matcher.Unsafe, []step{notRun, notRun}, 503, "TargetsFull\n", 2, 0},
	} {
		b := &backend{runs: tc.runs}
		out := serve(b, matcher.Route{Kind: tc.kind}, &forwarder.Call{}, 5)
		quicktest.Check(t, out.Code, quicktest.Equals, tc.status, quicktest.Commentf(name))
		quicktest.Check(t, out.Body.String(), quicktest.Equals, tc.body, quicktest.Commentf(name))
		quicktest.Check(t, b.sent, quicktest.HasLen, tc.sends, quicktest.Commentf(name))
		quicktest.Check(t, out.began, quicktest.Equals, tc.began, quicktest.Commentf("%s: counted", name))
		quicktest.Check(t, out.Code != 503 || out.Header().Get("Retry-After") != "", quicktest.IsTrue, quicktest.Commentf("%s: no time to come back", name))
	}
	b := &backend{runs: []step{failed, done}}
	quicktest.Check(t, serve(b, matcher.Route{Kind: matcher.Safe}, &forwarder.Call{}, 0).Code, quicktest.Equals, 500, quicktest.Commentf("no budget, no retry"))
}

func TestPrompted(t *testing.T) {
	whole := step{status: 200, body: first + second + third}
	half := step{status: 200, body: first + "id: 2\nda", torn: true}
	rest := step{status: 200, body: second + third}
	for name, tc := range map[string]struct {
		resumable bool
		attempts  int
		reads     []step
		runs      []step
		budget    int
		status    int
		body      string
		aborted   bool
		prompts   int
		sends     int
	}{
		"whole stream":                           {false, 1, nil, []step{whole}, 0, 200, first + second + third, false, 1, 1},
		"resumed after a cut inside an event":    {true, 2, nil, []step{half, rest}, 5, 200, first + second + third, false, 2, 2},
		"not resumable: broken off":              {false, 2, nil, []step{half, rest}, 5, 200, first, true, 1, 1},
		"an event comes twice":                   {true, 2, nil, []step{half, whole}, 5, 200, first, true, 2, 2},
		"no budget to resume":                    {true, 2, nil, []step{half, rest}, 0, 200, first, true, 1, 1},
		"prompt refused, another target reads":   {false, 1, []step{notRun, {}}, []step{whole}, 1, 200, first + second + third, false, 2, 1},
		"prompt refused, no budget":              {false, 1, []step{notRun}, nil, 0, 503, "RetryBudgetSpent\n", false, 1, 0},
		"prompt refused by all":                  {false, 1, []step{notRun}, nil, 9, 503, "", false, 2, 0},
		"answer target full, one attempt":        {false, 1, nil, []step{notRun, whole}, 9, 503, "AnswerTargetFull\n", false, 1, 1},
		"answer target full, two attempts":       {false, 2, nil, []step{notRun, whole}, 9, 200, first + second + third, false, 2, 2},
		"answer target not reached, one attempt": {false, 1, nil, []step{notSent, whole}, 0, 200, first + second + third, false, 1, 2},
		"prompt target not reached, no budget":   {false, 1, []step{notSent, {}}, []step{whole}, 0, 200, first + second + third, false, 2, 1},
		"connection lost before the first event": {false, 2, nil, []step{broken, whole}, 9, 502, "StreamBroken\n", false, 1, 1},
		"resumable: lost before the first event": {true, 2, nil, []step{broken, whole}, 9, 200, first + second + third, false, 2, 2},
		"a target's own failure is passed on":    {false, 1, nil, []step{{status: 500, body: "bad"}}, 9, 500, "bad", false, 1, 1},
	} {
		b := &backend{runs: tc.runs, reads: tc.reads}
		route := matcher.Route{Kind: matcher.Stream, HasPrompts: true, Resumable: tc.resumable, Attempts: tc.attempts}
		out := serve(b, route, &forwarder.Call{Parts: []chooser.Part{{ID: 1, Tokens: 100}}}, tc.budget)
		quicktest.Check(t, out.Code, quicktest.Equals, tc.status, quicktest.Commentf(name))
		if tc.body != "" {
			quicktest.Check(t, out.Body.String(), quicktest.Equals, tc.body, quicktest.Commentf(name))
		}
		quicktest.Check(t, out.aborted, quicktest.Equals, tc.aborted, quicktest.Commentf("%s: aborted", name))
		quicktest.Check(t, b.prompts, quicktest.Equals, tc.prompts, quicktest.Commentf("%s: prompts read", name))
		quicktest.Check(t, b.sent, quicktest.HasLen, tc.sends, quicktest.Commentf("%s: sends", name))
	}
}

func TestResumptionKeepsTheFirstHead(t *testing.T) {
	b := &backend{runs: []step{{status: 200, body: first, torn: true}, {status: 200, body: second}}}
	out := serve(b, matcher.Route{Kind: matcher.Stream, HasPrompts: true, Resumable: true}, &forwarder.Call{}, 5)
	quicktest.Assert(t, out.Header().Get("X-Test-Seal"), quicktest.Equals, string(b.sent[0].Target.ID))
	quicktest.Assert(t, b.sent[1].LastEvent, quicktest.Equals, "1")
	quicktest.Assert(t, b.sent[1].Target.ID == b.sent[0].Target.ID, quicktest.IsFalse)
}

// TestReturnWhenATargetIsExpected answers the seconds in which all targets for answers were lost and others are changing.
func TestReturnWhenATargetIsExpected(t *testing.T) {
	out := serve(&backend{}, matcher.Route{ID: "changing", Kind: matcher.Stream, HasPrompts: true}, &forwarder.Call{Parts: []chooser.Part{{ID: 1, Tokens: 10}}}, 0)
	quicktest.Assert(t, out.Code, quicktest.Equals, http.StatusServiceUnavailable)
	back, err := strconv.ParseFloat(out.Header().Get("Retry-After"), 64)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, back >= 2 && back < 2.5, quicktest.IsTrue, quicktest.Commentf("Retry-After %v", back))
}

func TestStreamsOfPlainTargets(t *testing.T) {
	b := &backend{runs: []step{{status: 200, body: first + second}}}
	out := serve(b, matcher.Route{Kind: matcher.Stream}, &forwarder.Call{}, 0)
	quicktest.Check(t, out.Body.String(), quicktest.Equals, first+second)
	quicktest.Check(t, out.Flushed, quicktest.IsTrue, quicktest.Commentf("events go on as they come"))
	quicktest.Check(t, b.prompts, quicktest.Equals, 0)
	out = serve(&backend{runs: []step{{status: 200, body: first + "id: 2\n"}}}, matcher.Route{Kind: matcher.Stream}, &forwarder.Call{}, 0)
	quicktest.Check(t, out.aborted, quicktest.IsTrue)
	// A prompt whose answer does not come as events goes to the targets for answers.
	b = &backend{runs: []step{{status: 200, body: "ok"}}}
	out = serve(b, matcher.Route{Kind: matcher.Safe, HasPrompts: true}, &forwarder.Call{}, 0)
	quicktest.Check(t, out.Body.String(), quicktest.Equals, "ok")
	quicktest.Check(t, b.sent[0].Target.Stage, quicktest.Equals, registrar.DecodeStage)
}

func TestLongBodiesAreSentOnce(t *testing.T) {
	long := func() *forwarder.Call {
		return &forwarder.Call{Body: forwarder.Body{Buffered: []byte("start"), Rest: strings.NewReader("rest"), RestBytes: 4}, Parts: []chooser.Part{{ID: 1, Tokens: 10}}}
	}
	b := &backend{runs: []step{notRun, {status: 200, body: "ok"}}}
	out := serve(b, matcher.Route{Kind: matcher.Safe}, long(), 5)
	quicktest.Check(t, out.Code, quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, b.sent, quicktest.HasLen, 1)
	b = &backend{runs: []step{broken, {status: 200, body: "ok"}}}
	out = serve(b, matcher.Route{Kind: matcher.Safe}, long(), 5)
	quicktest.Check(t, out.Code, quicktest.Equals, http.StatusBadGateway)
	quicktest.Check(t, b.sent, quicktest.HasLen, 1)
	b = &backend{runs: []step{notSent, {status: 200, body: first}}}
	out = serve(b, matcher.Route{Kind: matcher.Stream, HasPrompts: true}, long(), 5)
	quicktest.Check(t, out.Body.String(), quicktest.Equals, first)
	quicktest.Check(t, b.prompts, quicktest.Equals, 0, quicktest.Commentf("the body goes to one target only"))
}

func TestLongAnswers(t *testing.T) {
	text := strings.Repeat("0123456789abcdef", 40_000)
	out := serve(&backend{runs: []step{{status: 200, body: text}}}, matcher.Route{}, &forwarder.Call{}, 0)
	quicktest.Check(t, out.Body.String() == text, quicktest.IsTrue)
	out = serve(&backend{runs: []step{{status: 200, body: text, torn: true}}}, matcher.Route{}, &forwarder.Call{}, 0)
	quicktest.Check(t, out.aborted, quicktest.IsTrue, quicktest.Commentf("a broken answer must not look whole"))
	b := &backend{runs: []step{{status: 200, body: "short", torn: true}, {status: 200, body: "ok"}}}
	out = serve(b, matcher.Route{Kind: matcher.Safe}, &forwarder.Call{}, 5)
	quicktest.Check(t, out.Body.String(), quicktest.Equals, "ok", quicktest.Commentf("a short one is mended"))
}

func TestBodiesAreBounded(t *testing.T) {
	bodies := &forwarder.BodyBuffers{MaximumBytes: 1 << 20}
	whole, release, err := bodies.Read(strings.NewReader("text"), 4)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, whole.Whole() && string(whole.Buffered) == "text", quicktest.IsTrue)
	release()
	var short []func()
	for range 100 {
		_, release, err := bodies.Read(strings.NewReader("text"), -1)
		quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("short bodies in chunks take up what they hold"))
		short = append(short, release)
	}
	for _, release := range short {
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
	quicktest.Assert(t, b.sent[0].Connections, quicktest.Equals, 22, quicktest.Commentf("a fifth of 110"))
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
		out := serve(b, matcher.Route{Kind: matcher.Safe}, &tc.call, 5)
		quicktest.Check(t, out.Code, quicktest.Equals, tc.status, quicktest.Commentf(name))
		quicktest.Check(t, b.sent, quicktest.HasLen, 0, quicktest.Commentf(name))
	}
	public := serve(&backend{runs: []step{{status: 200, body: "ok"}}}, matcher.Route{Kind: matcher.Safe, Public: true}, &forwarder.Call{Host: "h", Path: "/p/x"}, 5)
	quicktest.Check(t, public.Code, quicktest.Equals, 200)

	// A service that has no targets, or that no configuration holds.
	for _, kind := range []matcher.Kind{matcher.Unsafe, matcher.Safe, matcher.Stream} {
		b := &backend{}
		out := serve(b, matcher.Route{ID: "no service", Kind: kind}, &forwarder.Call{}, 5)
		quicktest.Check(t, fmt.Sprint(out.Code, out.Body, len(b.sent)), quicktest.Equals, "503 NoTarget\n 0")
	}

	// Before the first configuration, and while a newer one may hold what is asked for, nothing is refused for good.
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
