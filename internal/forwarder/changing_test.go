package forwarder_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/prober"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// refusingBackend refuses all requests to some targets and serves the others.
type refusingBackend struct {
	backend
	refuses  map[identifier.TargetID]bool
	attempts map[identifier.TargetID]int
}

func (b *refusingBackend) Run(ctx context.Context, c *forwarder.Call, a *forwarder.Attempt) (*forwarder.Response, error) {
	b.attempts[a.Target.ID]++
	b.runs, b.received = []step{{status: 200, body: first}}, nil
	if b.refuses[a.Target.ID] {
		b.runs = []step{notRun}
	}
	return b.backend.Run(ctx, c, a)
}

func (b *refusingBackend) Prefill(ctx context.Context, c *forwarder.Call, a *forwarder.Attempt) (*forwarder.KVHandle, error) {
	b.attempts[a.Target.ID]++
	b.prefills, b.prefillCalls = nil, 0
	if b.refuses[a.Target.ID] {
		b.prefills = []step{notRun}
	}
	return b.backend.Prefill(ctx, c, a)
}

// stageForwarder returns a forwarder with two prompt targets and three answer targets of 64 slots. A request may be sent three times.
func stageForwarder(b forwarder.Backend, states *chooser.TargetStates, changing map[identifier.TargetID]bool) *forwarder.Forwarder {
	route := matcher.Route{
		Host: "h", Prefix: "/p/", Timeout: 5 * time.Second, Kind: matcher.Stream, HasPrompts: true, Attempts: 3,
		WeightedServices: []matcher.WeightedService{{Service: "s", Weight: 1}},
	}
	table := matcher.New(matcher.Configuration{Version: 1, Routes: []matcher.Route{route}, Teams: []matcher.Team{{ID: "team", Keys: []string{"key"}}}, Services: []matcher.Service{{ID: "s"}}})
	return &forwarder.Forwarder{
		Table: func() *matcher.Table { return table }, TableAge: func() time.Duration { return 0 },
		Targets: func(identifier.ServiceID, time.Time) []*registrar.Target {
			list := []*registrar.Target{}
			for _, id := range []identifier.TargetID{"p1", "p2", "a1", "a2", "a3"} {
				t := &registrar.Target{ID: id, Address: string(id), Stage: registrar.Answers, Slots: 64}
				if id[0] == 'p' {
					t.Stage = registrar.Prompts
				}
				list = append(list, t)
			}
			return list
		},
		Changing:     func(identifier.ServiceID, time.Time) map[identifier.TargetID]bool { return changing },
		TargetStates: states, Chooser: &chooser.Chooser{}, Backend: b, Budget: &budget{1000}, Quarantine: &quarantine{},
		Reach: &prober.Prober{}, Peers: func(identifier.ServiceID, int) []string { return nil }, Pins: noPins{},
		SoleBuild:     func(context.Context, identifier.ServiceID, string, string) (identifier.Build, bool) { return "", true },
		RecordDemand:  func(identifier.ServiceID, identifier.Tokens, time.Time) {},
		MaximumJitter: func() time.Duration { return 80 * time.Millisecond }, Instances: func() int { return 1 },
		Expected:     func(identifier.ServiceID, registrar.Stage, time.Time) (time.Duration, bool) { return 0, false },
		CountRequest: func(identifier.TeamID) {}, Logger: zap.NewNop(), Metrics: tally.NoopScope,
	}
}

func serveStage(f *forwarder.Forwarder) int {
	w := httptest.NewRecorder()
	f.Serve(context.Background(), w, &forwarder.Call{
		ID: "r", Host: "h", Path: "/p/x", Key: "key", Parts: []chooser.Part{{ID: 1, Tokens: 100}, {ID: 2, Tokens: 100}},
	})
	return w.Code
}

// TestChangingTargetsAreNotUsed guards against requests that go to targets which are about to change their stage, and refuse them, while
// others of that stage are left; and against refusals because only such targets are left.
func TestChangingTargetsAreNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := &refusingBackend{attempts: map[identifier.TargetID]int{}}
		f := stageForwarder(b, &chooser.TargetStates{}, map[identifier.TargetID]bool{"p1": true, "a1": true, "a2": true})
		for range 200 {
			quicktest.Assert(t, serveStage(f), quicktest.Equals, 200)
			time.Sleep(10 * time.Millisecond)
		}
		quicktest.Check(t, b.attempts, quicktest.DeepEquals, map[identifier.TargetID]int{"p2": 200, "a3": 200})
		b.refuses = map[identifier.TargetID]bool{"p2": true, "a3": true}
		quicktest.Check(t, serveStage(f), quicktest.Equals, 200, quicktest.Commentf("the others refuse"))
	})
}

// TestRefusingTargetIsAvoided guards against targets that get request after request although they refuse each one, as while they
// change their stage, and against a request that goes to such a target twice.
func TestRefusingTargetIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var states chooser.TargetStates
		b := &refusingBackend{attempts: map[identifier.TargetID]int{}, refuses: map[identifier.TargetID]bool{"p1": true, "a1": true}}
		f := stageForwarder(b, &states, nil)
		// The other targets are busy, so that the failure score alone would not keep requests away.
		states.UpdatePeer("peer", map[identifier.TargetID]chooser.Load{"p2": {PromptTokens: 25_000}, "a2": {Answers: 60}, "a3": {Answers: 60}}, time.Now())
		const seconds = 3
		for range seconds * 100 {
			quicktest.Assert(t, serveStage(f), quicktest.Equals, 200)
			time.Sleep(10 * time.Millisecond)
		}
		t.Logf("attempts in %d s: %v", seconds, b.attempts)
		// One request in each half second finds out whether a target still refuses.
		quicktest.Check(t, b.attempts["p1"] <= 2*seconds, quicktest.IsTrue, quicktest.Commentf("%d attempts", b.attempts["p1"]))
		quicktest.Check(t, b.attempts["a1"] <= 2*seconds, quicktest.IsTrue, quicktest.Commentf("%d attempts", b.attempts["a1"]))
	})
	synctest.Test(t, func(t *testing.T) {
		b := &refusingBackend{attempts: map[identifier.TargetID]int{}, refuses: map[identifier.TargetID]bool{"p1": true, "p2": true}}
		quicktest.Check(t, serveStage(stageForwarder(b, &chooser.TargetStates{}, nil)), quicktest.Equals, 503)
		quicktest.Check(t, b.attempts, quicktest.DeepEquals, map[identifier.TargetID]int{"p1": 1, "p2": 1})
	})
}
