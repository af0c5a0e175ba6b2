package forwarder_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// recordingCalibrator counts the measurements that it receives. As a model it leaves candidates at the defaults.
type recordingCalibrator struct {
	prefilled      []identifier.Tokens
	plain, answers int
}

func (c *recordingCalibrator) Assess([]chooser.Candidate, time.Time) {}

func (c *recordingCalibrator) ObservePrefill(_ *registrar.Target, tokens identifier.Tokens, _ time.Duration, _ time.Time) {
	c.prefilled = append(c.prefilled, tokens)
}

func (c *recordingCalibrator) ObservePlain(*registrar.Target, time.Duration, time.Time) { c.plain++ }

func (c *recordingCalibrator) ObserveAnswer(*registrar.Target, time.Duration, time.Time) { c.answers++ }

// TestMeasurements checks which calls are measured: a prefill on an idle target with the tokens that it had to read, a plain call
// that succeeded on a target with a free slot, and an answer with enough events. Others would distort what is learned.
func TestMeasurements(t *testing.T) {
	prompted := matcher.Route{Kind: matcher.Stream, HasPrompts: true}
	call := func() *forwarder.Call {
		return &forwarder.Call{Parts: []chooser.Part{{ID: 1, Tokens: 300}, {ID: 2, Tokens: 100}}}
	}
	events := ""
	for i := range 12 {
		events += fmt.Sprintf("id: %d\ndata: a\n\n", i+1)
	}
	answer := &backend{runs: []step{{status: 200, body: events}}}
	c := &recordingCalibrator{}
	states := &chooser.TargetStates{Model: c}
	for range 2 {
		serveWith(answer, prompted, call(), 0, states)
	}
	quicktest.Check(t, c.prefilled, quicktest.DeepEquals, []identifier.Tokens{400, 0}, quicktest.Commentf("the second prompt is cached"))
	quicktest.Check(t, c.answers, quicktest.Equals, 2)
	for _, id := range []identifier.TargetID{"p1", "p2"} {
		states.Begin(id, chooser.Load{PromptTokens: 50}, time.Now())
	}
	serveWith(&backend{runs: []step{{status: 200, body: first + second}}}, prompted, call(), 0, states)
	quicktest.Check(t, c.prefilled, quicktest.HasLen, 2, quicktest.Commentf("both targets have a queue"))
	quicktest.Check(t, c.answers, quicktest.Equals, 2, quicktest.Commentf("two events show no pace"))
	for _, st := range []step{{status: 200, body: "ok"}, {status: 500, body: "bad"}, {status: 404, body: "none"}} {
		serveWith(&backend{runs: []step{st}}, matcher.Route{}, &forwarder.Call{}, 0, states)
	}
	quicktest.Check(t, c.plain, quicktest.Equals, 1, quicktest.Commentf("calls that fail show no duration"))
}
