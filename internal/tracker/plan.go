package tracker

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/router"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const transferTime = 20 * time.Millisecond

// Plan says where a chat completion runs: on one target, or computed on one and answered by another.
type Plan struct {
	Answer    Assignment
	Prefill   Assignment
	Split     bool
	Predicted time.Duration
	Late      float64
	Cached    identifier.Tokens
}

// PlanCompletion picks the way with the lowest cost: a mixed engine, or a prefill engine and one that answers.
// Where there is neither, a decode engine computes the prompt itself.
func (t *Tracker) PlanCompletion(name string, req router.Request, note func(identifier.TargetID, router.Score)) (Plan, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		return Plan{}, false
	}
	now := time.Now()
	t.refresh(g, now)
	mixed, prefill, decode, imported := req, req, req, req
	mixed.Role = recorder.Role_Mixed
	prefill.Role = recorder.Role_Prefill
	decode.Role, decode.Prefilled = recorder.Role_Decode, true
	imported.Role, imported.Prefilled = recorder.Role_Mixed, true
	onMixed, hasMixed := choose(now, g, &mixed, note)
	onPrefill, hasPrefill := choose(now, g, &prefill, note)
	onDecode, hasDecode := choose(now, g, &decode, note)
	answer, onAnswer, hasAnswer := &decode, onDecode, hasDecode
	if onImported, ok := choose(now, g, &imported, nil); ok && (!hasDecode || onImported.Cost < onDecode.Cost) {
		answer, onAnswer, hasAnswer = &imported, onImported, true
	}
	split := onPrefill.Cost + transferTime + onAnswer.Cost
	switch {
	case hasPrefill && hasAnswer && (!hasMixed || split < onMixed.Cost):
		return Plan{
			Prefill: g.take(now, &prefill, onPrefill), Answer: g.take(now, answer, onAnswer),
			Split: true, Predicted: onPrefill.Predicted + transferTime + onAnswer.Predicted, Late: onAnswer.LateShare, Cached: onPrefill.Cached,
		}, true
	case hasMixed:
		return Plan{Answer: g.take(now, &mixed, onMixed), Predicted: onMixed.Predicted, Late: onMixed.LateShare, Cached: onMixed.Cached}, true
	case hasDecode:
		decode.Prefilled = false
		onDecode, _ = choose(now, g, &decode, nil)
		return Plan{Answer: g.take(now, &decode, onDecode), Predicted: onDecode.Predicted, Late: onDecode.LateShare, Cached: onDecode.Cached}, true
	}
	return Plan{}, false
}

// Release takes back a plan that was not carried out.
func (t *Tracker) Release(p Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.Answer.target.unsend(p.Answer.cost)
	if p.Split {
		p.Prefill.target.unsend(p.Prefill.cost)
	}
}
