package tracker

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/router"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// kvTransferTime is the assumed time to move a KV cache between engines.
const kvTransferTime = 20 * time.Millisecond

// Plan assigns a chat completion to one target or, if Split, its prefill to one target and its decoding to another.
type Plan struct {
	Answer    Assignment
	Prefill   Assignment
	Split     bool
	Predicted time.Duration
	LateShare float64
	Cached    identifier.Tokens
}

// Plan chooses the plan with the lowest cost: a mixed engine alone, or a prefill engine together with a decode or mixed
// engine that imports the KV cache. If neither is available, a decode engine also prefills the prompt.
func (t *Tracker) Plan(name string, req router.Request, onScore func(identifier.TargetID, router.Score)) (Plan, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		return Plan{}, false
	}
	now := time.Now()
	t.refresh(g, now)
	mixedReq, prefillReq, decodeReq, importedReq := req, req, req, req
	mixedReq.Role = recorder.Role_Mixed
	prefillReq.Role = recorder.Role_Prefill
	decodeReq.Role, decodeReq.Prefilled = recorder.Role_Decode, true
	importedReq.Role, importedReq.Prefilled = recorder.Role_Mixed, true
	mixedScore, hasMixed := choose(now, g, &mixedReq, onScore)
	prefillScore, hasPrefill := choose(now, g, &prefillReq, onScore)
	decodeScore, hasDecode := choose(now, g, &decodeReq, onScore)
	answerReq, answerScore, hasAnswer := &decodeReq, decodeScore, hasDecode
	if importedScore, ok := choose(now, g, &importedReq, nil); ok && (!hasDecode || importedScore.Cost < decodeScore.Cost) {
		answerReq, answerScore, hasAnswer = &importedReq, importedScore, true
	}
	splitCost := prefillScore.Cost + kvTransferTime + answerScore.Cost
	switch {
	case hasPrefill && hasAnswer && (!hasMixed || splitCost < mixedScore.Cost):
		return Plan{
			Prefill: g.assign(now, &prefillReq, prefillScore), Answer: g.assign(now, answerReq, answerScore),
			Split: true, Predicted: prefillScore.Predicted + kvTransferTime + answerScore.Predicted, LateShare: answerScore.LateShare, Cached: prefillScore.Cached,
		}, true
	case hasMixed:
		return Plan{Answer: g.assign(now, &mixedReq, mixedScore), Predicted: mixedScore.Predicted, LateShare: mixedScore.LateShare, Cached: mixedScore.Cached}, true
	case hasDecode:
		decodeReq.Prefilled = false
		decodeScore, _ = choose(now, g, &decodeReq, nil)
		return Plan{Answer: g.assign(now, &decodeReq, decodeScore), Predicted: decodeScore.Predicted, LateShare: decodeScore.LateShare, Cached: decodeScore.Cached}, true
	}
	return Plan{}, false
}

// Release undoes the accounting of a plan whose requests were not sent.
func (t *Tracker) Release(p Plan) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p.Answer.target.cancelSend(p.Answer.cost)
	if p.Split {
		p.Prefill.target.cancelSend(p.Prefill.cost)
	}
}
