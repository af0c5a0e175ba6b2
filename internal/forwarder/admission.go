package forwarder

import (
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/admitter"
	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// idleFailureScore is the failure score from which a target without work does not count as idle: it may be silent.
const idleFailureScore = 0.5

// Admission decides under overload which requests are sent.
type Admission interface {
	Judge(r *admitter.Request, now time.Time) admitter.Verdict
	// ObserveRest records the time from the end of a prefill to the first event.
	ObserveRest(id identifier.ServiceID, rest time.Duration, now time.Time)
}

// judgePrompt refuses a stream that cannot begin in time, or that gives way to more urgent ones, or returns nil.
func (rs *requestState) judgePrompt(choice chooser.Choice) *Refusal {
	if rs.f.Admission == nil {
		return nil
	}
	candidates, prompt := rs.promptCandidates, &chooser.Prompt{Zone: rs.f.Zone, Parts: rs.call.Parts}
	r := rs.admissionRequest(choice)
	r.HasRest, r.Capacity, r.MeanWait = true, len(candidates), rs.meanPromptWait
	idle := 0
	for i := range candidates {
		c := candidates[i]
		if c.Load.PromptTokens == 0 && rs.countsAsIdle(&c) {
			idle++
		}
		if c.Target == choice.Target {
			c.Load = chooser.Load{}
			r.Alone = rs.promptTime(prompt, c)
		}
	}
	r.Idle = admitter.Idle(idle, len(candidates))
	return rs.judge(r)
}

// judgePlain is judgePrompt for a request that one target answers without a separate prefill.
func (rs *requestState) judgePlain(choice chooser.Choice) *Refusal {
	if rs.f.Admission == nil || rs.route.HasPrompts {
		return nil
	}
	r := rs.admissionRequest(choice)
	idle := 0
	for i := range rs.answerCandidates {
		c := rs.answerCandidates[i]
		slots := max(1, c.Target.Slots)
		r.Capacity += slots
		if c.Load.Answers < slots && rs.countsAsIdle(&c) {
			idle++
		}
		busy := rs.plainTime(c)
		c.Load = chooser.Load{}
		alone := rs.plainTime(c)
		r.MeanWait += max(0, busy-alone) / time.Duration(len(rs.answerCandidates))
		if c.Target == choice.Target {
			r.Alone = alone
		}
	}
	r.Idle = admitter.Idle(idle, len(rs.answerCandidates))
	return rs.judge(r)
}

// spreadPrompts lets the choice of a prompt target be the more random the longer all of them are busy. It does nothing without
// admission control.
func (rs *requestState) spreadPrompts(p *chooser.Prompt, candidates []chooser.Candidate) {
	if rs.f.Admission == nil || len(candidates) == 0 {
		return
	}
	total, plain := time.Duration(0), &chooser.Prompt{Zone: p.Zone, Parts: p.Parts}
	for _, c := range candidates {
		busy := rs.promptTime(plain, c)
		c.Load = chooser.Load{}
		total += max(0, busy-rs.promptTime(plain, c))
	}
	rs.meanPromptWait = total / time.Duration(len(candidates))
	p.Jitter.Spread = admitter.Spread(rs.meanPromptWait)
}

// promptTime returns the predicted time until a prompt is prefilled at a target.
func (rs *requestState) promptTime(p *chooser.Prompt, c chooser.Candidate) time.Duration {
	choice, _ := rs.f.Chooser.Prompt(p, []chooser.Candidate{c})
	return choice.Predicted
}

// plainTime returns the predicted time until a target has answered a plain request.
func (rs *requestState) plainTime(c chooser.Candidate) time.Duration {
	choice, _ := rs.f.Chooser.Plain(rs.f.Zone, defaultPlainServiceTime, []chooser.Candidate{c})
	return choice.Predicted
}

func (rs *requestState) countsAsIdle(c *chooser.Candidate) bool {
	return c.FailureScore < idleFailureScore && !rs.f.Reach.Down(c.Target.Address)
}

func (rs *requestState) admissionRequest(choice chooser.Choice) *admitter.Request {
	now := time.Now()
	r := &admitter.Request{
		ID: rs.call.ID, Service: rs.service, Route: rs.route.ID, Team: rs.teamID(), Rank: matcher.AdmissionRank(rs.route, rs.team),
		GoesOn: rs.call.goesOn(), Predicted: choice.Predicted, Remaining: rs.deadline.Sub(now), Promised: rs.route.Latency,
		Repeated: rs.judged,
	}
	if rs.f.LiveInstances != nil {
		r.Instances = rs.f.LiveInstances()
	}
	if rs.f.LoadAge != nil {
		r.LoadAge = rs.f.LoadAge(now)
	}
	rs.judged = true
	return r
}

// judge refuses a request that is not admitted. A request that may have run, or whose answer has begun, is not refused.
func (rs *requestState) judge(r *admitter.Request) *Refusal {
	if rs.started || rs.headerSent {
		return nil
	}
	v := rs.f.Admission.Judge(r, time.Now())
	if v.Reason == "" {
		return nil
	}
	rs.f.Metrics.Tagged(map[string]string{"Rank": rankName(r.Rank)}).Counter("AdmissionRefusals").Inc(1)
	rs.f.Logger.Info("request not admitted", zap.String("RequestID", string(rs.call.ID)), zap.String("Reason", string(v.Reason)),
		zap.Duration("Predicted", v.Predicted), zap.Duration("Remaining", v.Remaining), zap.Int("Rank", r.Rank), zap.Int("JudgedRank", v.Rank),
		zap.Float64("Pressure", v.Pressure), zap.Duration("PressureAge", v.PressureAge), zap.Duration("RetryAfter", v.RetryAfter))
	return refuseNotRun(string(v.Reason), v.RetryAfter, nil)
}

// maximumRankName limits the names of ranks in metrics.
const maximumRankName = 99

// rankName returns the name of a rank in metrics.
func rankName(rank int) string { return strconv.Itoa(max(0, min(maximumRankName, rank))) }

// observeRest records the time from the end of the prefill to the first event.
func (rs *requestState) observeRest() {
	if rs.f.Admission != nil && !rs.prefilledAt.IsZero() {
		now := time.Now()
		rs.f.Admission.ObserveRest(rs.service, now.Sub(rs.prefilledAt), now)
		rs.prefilledAt = time.Time{}
	}
}

// otherLive reports whether the stage of a target has another target that can be reached and has not failed in this request.
func (f *Forwarder) otherLive(service identifier.ServiceID, t *registrar.Target, failed []identifier.TargetID) bool {
	for _, other := range f.Targets(service, time.Now()) {
		if other.ID != t.ID && other.Stage == t.Stage && !f.Reach.Down(other.Address) && !slices.Contains(failed, other.ID) {
			return true
		}
	}
	return false
}
