package forwarder_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
	"github.com/coltsfootscale/coltsfootscale/internal/prober"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// pins knows the given streams by the ID of the request that began them.
type pins struct {
	known map[identifier.RequestID]pinner.Pin
	err   error
	// announced holds the announced pins, and writtenBefore how much of the response had been written at the first one.
	announced     []pinner.Pin
	writtenBefore int
	w             *httptest.ResponseRecorder
}

func (p *pins) Announce(_ context.Context, _ pinner.Key, pin pinner.Pin) bool {
	if len(p.announced) == 0 {
		p.writtenBefore = p.w.Body.Len()
	}
	p.announced = append(p.announced, pin)
	return true
}

func (p *pins) Find(_ context.Context, k pinner.Key) (pinner.Pin, error) {
	for id, pin := range p.known {
		if pinner.KeyOf("", id) == k {
			return pin, p.err
		}
	}
	return pinner.Pin{}, pinner.ErrUnknown
}

// servePinned handles a call on a route of two services, before targets of two builds, or on a route of one service.
func servePinned(b *backend, p *pins, call *forwarder.Call, services []string, targets []*registrar.Target, sole identifier.Build) (w *httptest.ResponseRecorder) {
	route := matcher.Route{
		ID: "r", Host: "h", Prefix: "/p/", Kind: matcher.Stream, HasPrompts: true, Resumable: true, Attempts: 3, Timeout: 5 * time.Second, Public: true,
	}
	cfg := matcher.Configuration{Version: 1}
	for _, s := range services {
		route.WeightedServices = append(route.WeightedServices, matcher.WeightedService{Service: identifier.ServiceID(s), Weight: 1})
		cfg.Services = append(cfg.Services, matcher.Service{ID: identifier.ServiceID(s)})
	}
	cfg.Routes = []matcher.Route{route}
	table := matcher.New(cfg)
	w = httptest.NewRecorder()
	p.w = w
	f := &forwarder.Forwarder{
		Table: func() *matcher.Table { return table }, TableAge: func() time.Duration { return 0 },
		Targets: func(s identifier.ServiceID, _ time.Time) (list []*registrar.Target) {
			for _, t := range targets {
				if t.Service == s {
					list = append(list, t)
				}
			}
			return list
		},
		TargetStates: &chooser.TargetStates{}, Chooser: &chooser.Chooser{}, Backend: b, Budget: &budget{9}, Quarantine: &quarantine{},
		Reach: &prober.Prober{}, Peers: func(identifier.ServiceID, int) []string { return nil }, Pins: p, SoleBuild: func(context.Context, identifier.ServiceID, string, string) (identifier.Build, bool) {
			return sole, sole != ""
		},
		RecordDemand:  func(identifier.ServiceID, identifier.Tokens, time.Time) {},
		MaximumJitter: func() time.Duration { return 0 }, Instances: func() int { return 1 },
		Expected:     func(identifier.ServiceID, registrar.Stage, time.Time) (time.Duration, bool) { return 0, false },
		CountRequest: func(identifier.TeamID) {}, Logger: zap.NewNop(), Metrics: tally.NoopScope,
	}
	call.Host, call.Path = "h", "/p/x"
	defer func() { _ = recover() }() // A response that breaks off aborts the handler.
	f.Serve(context.Background(), w, call)
	return w
}

// TestTakenUpStreams guards against streams that go on at another build or service than the one that began them, and against
// refusals that do not say what is true.
func TestTakenUpStreams(t *testing.T) {
	target := func(id, service, build string) *registrar.Target {
		return &registrar.Target{ID: identifier.TargetID(id), Service: identifier.ServiceID(service), Build: identifier.Build(build)}
	}
	both := []*registrar.Target{target("a1", "s", "v1"), target("a2", "s", "v2"), target("u1", "u", "v1")}
	known := map[identifier.RequestID]pinner.Pin{"x": {Service: "s", Build: "v2"}, "u": {Service: "u", Build: "v1"}, "w": {Service: "w", Build: "v1"}}
	rest := step{status: 200, body: second + third}
	for name, tc := range map[string]struct {
		origin   identifier.RequestID
		services []string
		targets  []*registrar.Target
		err      error
		sole     identifier.Build
		result   string
		at       string
	}{
		"known":                      {"x", []string{"s"}, both, nil, "", "200 " + second + third, "a2"},
		"known, whatever is sole":    {"x", []string{"s"}, both, nil, "v1", "200 " + second + third, "a2"},
		"known, in another service":  {"u", []string{"s", "u"}, both, nil, "", "200 " + second + third, "u1"},
		"its service is not allowed": {"w", []string{"s", "u"}, both, nil, "", "503 StreamOfOtherService\n", ""},
		"its build is absent":        {"x", []string{"s"}, both[:1], nil, "", "503 BuildAbsent\n", ""},
		"unknown":                    {"y", []string{"s"}, both, nil, "", "503 StreamUnknown\n", ""},
		"no origin":                  {"", []string{"s"}, both, nil, "", "503 StreamUnknown\n", ""},
		"no origin, one build":       {"", []string{"s"}, both[:1], nil, "v1", "200 " + second + third, "a1"},
		"unknown, several services":  {"y", []string{"s", "u"}, both, nil, "v1", "503 StreamUnknown\n", ""},
		"ambiguous":                  {"x", []string{"s"}, both, pinner.ErrAmbiguous, "v1", "503 StreamUnknown\n", ""},
	} {
		b := &backend{runs: []step{rest}}
		w := servePinned(b, &pins{known: known, err: tc.err}, &forwarder.Call{ID: "z", Origin: tc.origin, LastEvent: "1"}, tc.services, tc.targets, tc.sole)
		quicktest.Check(t, fmt.Sprint(w.Code, " ", w.Body), quicktest.Equals, tc.result, quicktest.Commentf(name))
		at := ""
		if len(b.received) > 0 {
			at = string(b.received[0].Target.ID)
		}
		quicktest.Check(t, at, quicktest.Equals, tc.at, quicktest.Commentf(name))
	}
}

// TestPinPrecedesFirstEvent guards against streams that a client takes up before any other instance can know where they began, and
// against answers that go on at another build once their target has broken off.
func TestPinPrecedesFirstEvent(t *testing.T) {
	targets := []*registrar.Target{{ID: "a1", Service: "s", Build: "v1"}, {ID: "b1", Service: "s", Build: "v2"}, {ID: "b2", Service: "s", Build: "v2"}}
	b := &backend{runs: []step{{status: 200, body: first, truncated: true}, {status: 200, body: second, truncated: true}, {status: 200, body: third}}}
	p := &pins{}
	w := servePinned(b, p, &forwarder.Call{ID: "z"}, []string{"s"}, targets, "")
	quicktest.Check(t, p.announced, quicktest.DeepEquals, []pinner.Pin{{Service: "s", Build: "v2"}}, quicktest.Commentf("the build with two targets"))
	quicktest.Check(t, p.writtenBefore, quicktest.Equals, 0)
	quicktest.Check(t, w.Body.String(), quicktest.Equals, first+second, quicktest.Commentf("no third target of the build"))
	quicktest.Check(t, b.received, quicktest.HasLen, 2)
	for _, a := range b.received {
		quicktest.Check(t, a.Target.Build, quicktest.Equals, identifier.Build("v2"))
	}
}
