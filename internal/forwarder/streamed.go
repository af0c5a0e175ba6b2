package forwarder

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
)

// maximumPrefills is the number of prefills of one request after which a failed one is not retried; prefills that were
// not sent do not count.
const maximumPrefills = 3

// maximumAnswerWait limits how long a prefilled prompt waits for an answer target, in waits of at least minimumAnswerWait. A
// prefilled prompt is kept for some seconds.
const (
	maximumAnswerWait = time.Second
	minimumAnswerWait = 20 * time.Millisecond
)

// freeTimeout bounds the release of a KV cache handle; a handle that is not released expires by itself.
const freeTimeout = time.Second

// serveStream prefills the prompt, if there is one, on one target and generates the answer on another.
func (rs *requestState) serveStream(ctx context.Context) *Refusal {
	if refusal := rs.findPin(ctx); refusal != nil {
		return refusal
	}
	stream := newStream(rs)
	for {
		if refusal := rs.refuseDenied(); refusal != nil {
			rs.free(rs.unusedCache)
			return refusal
		}
		if rs.shouldHandOver() {
			if done, refusal := rs.handOver(ctx, stream); done {
				return refusal
			}
		}
		t, source, refusal := rs.prepare(ctx)
		if refusal != nil && ctx.Err() == nil && rs.couldHandOver() {
			if done, refusal := rs.handOver(ctx, stream); done {
				return refusal
			}
		}
		if refusal != nil {
			if rs.headerSent {
				return refuseOutcomeUnknown(ctx, "StreamBroken", refusal.Err)
			}
			return refusal
		}
		err := rs.generate(ctx, stream, t, source)
		if err == nil {
			return nil
		}
		rs.f.Logger.Info("answer target failed", zap.String("RequestID", string(rs.call.ID)), rs.digestField(),
			zap.String("Target", string(t.ID)), zap.String("Build", string(t.Build)), zap.Int("Event", stream.lastID), zap.Error(err))
		rs.noteRefused(ctx, string(t.ID), err)
		rs.avoid(t, err)
		switch {
		case ctx.Err() != nil:
			return refuseOutcomeUnknown(ctx, "Interrupted", err)
		case errors.Is(err, ErrNotSent):
		case errors.Is(err, ErrNotRun) && !rs.takeRetry():
			if rs.started {
				return refuseOutcomeUnknown(ctx, "StreamBroken", err)
			}
			return refuseNotRun("AnswerTargetFull", defaultRetryAfter, err)
		case errors.Is(err, ErrNotRun):
		case !rs.route.Resumable || !rs.takeRetry():
			return refuseOutcomeUnknown(ctx, "StreamBroken", err)
		}
	}
}

// prepare chooses the answer target and prefills the prompt for it if the service has prompt targets.
func (rs *requestState) prepare(ctx context.Context) (*registrar.Target, *KVHandle, *Refusal) {
	memoryDeadline := rs.memoryDeadline()
	for {
		if handle := rs.unusedCache; handle != nil {
			rs.unusedCache = nil
			return rs.pairWithAnswerTarget(ctx, handle)
		}
		answerChoice, ok := rs.chooseAnswerTarget()
		if !ok && rs.awaitMemory(ctx, memoryDeadline) {
			continue
		}
		if !ok {
			return nil, nil, rs.refuseNoTarget()
		}
		if !rs.route.HasPrompts {
			return answerChoice.Target, nil, rs.judgePlain(answerChoice)
		}
		promptChoice, ok := rs.choosePromptTarget()
		if !ok && rs.couldHandOver() {
			return nil, nil, rs.refuseNoTarget()
		}
		if !ok && rs.prefillFailed && rs.call.Body.Whole() {
			return nil, nil, rs.adjustRefusal(refuseNotRun("PromptTargetsFailed", defaultRetryAfter, nil))
		}
		if !ok || !rs.call.Body.Whole() {
			// No target prefills separately, or the body can be sent only once, so the answer target does both.
			return answerChoice.Target, nil, nil
		}
		if rs.attempts == 0 && len(rs.failedTargets) == 0 {
			rs.f.RecordDemand(rs.service, promptChoice.Uncached, time.Now())
		}
		if refusal := rs.judgePrompt(promptChoice); refusal != nil {
			return nil, nil, refusal
		}
		// The first prefill of a request does not count against the retry budget.
		if rs.prefills > 0 && !rs.takeFromBudget() {
			return nil, nil, rs.adjustRefusal(refuseNotRun("RetryBudgetSpent", defaultRetryAfter, nil))
		}
		rs.prefills++
		handle, err := rs.prefill(ctx, promptChoice)
		rs.observe(ctx, promptChoice.Target, err)
		if err == nil {
			return rs.pairWithAnswerTarget(ctx, handle)
		}
		rs.f.Logger.Info("prompt target failed", zap.String("RequestID", string(rs.call.ID)),
			zap.String("Target", string(promptChoice.Target.ID)), zap.Duration("Predicted", promptChoice.Predicted), zap.Error(err))
		rs.noteRefused(ctx, string(promptChoice.Target.ID), err)
		rs.avoidPromptTarget(promptChoice.Target, err)
		switch {
		case ctx.Err() != nil:
			return nil, nil, rs.refuseUnprompted(ctx, err)
		case rs.shouldHandOver():
			return nil, nil, rs.adjustRefusal(refuseNotRun("PromptTargetsFailed", defaultRetryAfter, err))
		case errors.Is(err, ErrNotSent):
			rs.prefills--
		case rs.prefills >= maximumPrefills:
			return nil, nil, rs.adjustRefusal(refuseNotRun("PromptTargetsFailed", defaultRetryAfter, err))
		}
	}
}

// avoidPromptTarget excludes a target from further attempts of this request after a failed prefill.
func (rs *requestState) avoidPromptTarget(t *registrar.Target, err error) {
	rs.prefillFailed = true
	rs.addEvidence(err)
	rs.avoid(t, err)
	if errors.Is(err, ErrOutcomeUnknown) {
		// Its late response to the prefill would have the ID of the request.
		rs.refusedBy = append(rs.refusedBy, t.ID)
	}
}

// choosePromptTarget chooses the target that prefills the prompt.
func (rs *requestState) choosePromptTarget() (chooser.Choice, bool) {
	list := rs.candidates(rs.call.Parts, registrar.Prompts)
	rs.promptCandidates = rs.keep(list)
	defer rs.release(list)
	prompt := &chooser.Prompt{Zone: rs.f.Zone, Parts: rs.call.Parts, Jitter: rs.jitter()}
	rs.spreadPrompts(prompt, list)
	return rs.f.Chooser.Prompt(prompt, list)
}

// pairWithAnswerTarget chooses the answer target for a prefilled prompt. If none accepts requests now but one is expected to
// soon, it waits for that: refusing the request would waste the prefill.
func (rs *requestState) pairWithAnswerTarget(ctx context.Context, handle *KVHandle) (*registrar.Target, *KVHandle, *Refusal) {
	for waited := time.Duration(0); ; {
		if choice, ok := rs.chooseAnswerTarget(); ok {
			return choice.Target, handle, nil
		}
		wait, expected := rs.f.Expected(rs.service, registrar.Answers, time.Now())
		if rs.memoryFull {
			wait, expected = minimumAnswerWait, true
		}
		wait = max(wait, minimumAnswerWait)
		if !expected || waited+wait > maximumAnswerWait || wait > time.Until(rs.deadline)/2 {
			rs.free(handle)
			return nil, nil, rs.refuseNoTarget()
		}
		if err := sleeper.Sleep(ctx, wait); err != nil {
			rs.free(handle)
			return nil, nil, rs.adjustRefusal(refuseNotRun("NoTarget", defaultRetryAfter, err))
		}
		waited += wait
	}
}

// jitter returns a new jitter that covers the possible error of the loads reported by peers.
func (rs *requestState) jitter() chooser.Jitter {
	return chooser.Jitter{Seed: rand.Uint64(), MaximumJitter: rs.f.MaximumJitter()}
}

// adjustRefusal checks a refusal that implies that the request has not run, and replaces it if a target may have run the
// request.
func (rs *requestState) adjustRefusal(r *Refusal) *Refusal {
	if rs.started {
		return &Refusal{Status: http.StatusBadGateway, Reason: r.Reason, Err: r.Err}
	}
	return r
}

// prefill computes the prompt's KV cache on the chosen target.
func (rs *requestState) prefill(ctx context.Context, choice chooser.Choice) (*KVHandle, error) {
	end := rs.f.TargetStates.Begin(choice.Target.ID, chooser.Load{PromptTokens: choice.Uncached}, time.Now())
	defer end()
	ctx, done := rs.await(ctx, choice.Target, true)
	defer done()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	started := time.Now()
	stop := rs.endIfSilent(ctx, choice.Target, cancel, rs.mayPrefillElsewhere(choice.Target))
	handle, err := rs.f.Backend.Prefill(ctx, rs.call, rs.attempt(choice.Target, nil, ""))
	rs.retryTaken = stop() && err != nil
	if err != nil {
		return nil, err
	}
	rs.prefilledAt = time.Now()
	rs.f.TargetStates.Succeeded(choice.Target.ID, time.Now())
	rs.f.TargetStates.Prefilled(choice.Target.ID, rs.call.Parts, time.Now())
	rs.logEntry.promptTarget, rs.logEntry.predicted, rs.logEntry.uncached, rs.logEntry.prefillTook =
		choice.Target.ID, choice.Predicted, choice.Uncached, time.Since(started)
	rs.f.Metrics.Timer("PromptRead").Record(rs.logEntry.prefillTook)
	rs.observePrefill(choice, rs.logEntry.prefillTook)
	return handle, nil
}

// free releases a handle in the background, so that the request does not wait for it.
func (rs *requestState) free(handle *KVHandle) {
	if handle == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := rs.f.Backend.Free(ctx, handle); err != nil {
			rs.f.Logger.Info("KV cache handle not released", zap.String("Target", string(handle.Target.ID)), zap.Error(err))
		}
	}()
}

// generate runs the request on the answer target and relays the events.
func (rs *requestState) generate(ctx context.Context, s *stream, t *registrar.Target, source *KVHandle) error {
	end, ok := rs.f.TargetStates.BeginWithin(t.ID, rs.answerLoad(), rs.memoryLimit(), time.Now())
	if !ok {
		rs.unusedCache = source
		return fmt.Errorf("%w: %w", ErrNotSent, errMemory)
	}
	defer end()
	began := time.Now()
	rs.attempts++
	rs.logEntry.answerTarget, rs.logEntry.build = t.ID, t.Build
	sendCtx, done := rs.await(ctx, t, rs.route.Resumable)
	defer done()
	response, err := rs.run(sendCtx, t, source, s.lastEvent)
	rs.observe(ctx, t, err)
	if err != nil {
		switch {
		case errors.Is(err, ErrNotSent):
			rs.unusedCache = source
		case errors.Is(err, ErrNotRun):
			rs.free(source)
		}
		if errors.Is(err, ErrOutcomeUnknown) && ctx.Err() == nil && s.lastID == 0 {
			rs.reportBroken(t, false)
		}
		rs.countFailedAttempt(err)
		return err
	}
	defer func() { response.Body.Close() }() // readStart replaces the body.
	if response.Status != http.StatusOK {
		rs.markStarted()
		return rs.relayErrorResponse(ctx, response)
	}
	if err := s.relay(ctx, response, t); err != nil {
		if ctx.Err() == nil && s.lastID == 0 {
			rs.reportBroken(t, true)
		}
		return err
	}
	rs.f.Quarantine.Completed(rs.digest(), rs.call.sharedParts(), time.Now())
	rs.f.TargetStates.Succeeded(t.ID, time.Now())
	rs.f.answers.add(rs.service, time.Since(began))
	return nil
}

// relayErrorResponse relays a target's error response, unless the client has already received a header or the request
// can be retried.
func (rs *requestState) relayErrorResponse(ctx context.Context, response *Response) error {
	start, err := rs.f.readStart(response)
	if err != nil {
		return fmt.Errorf("%w: reading the response body: %w", ErrOutcomeUnknown, err)
	}
	if rs.headerSent || rs.route.Resumable && rs.attempts < rs.route.Attempts {
		return fmt.Errorf("%w: error response with status %d", ErrOutcomeUnknown, response.Status)
	}
	if refusal := rs.writeResponse(ctx, response, start); refusal != nil {
		return fmt.Errorf("%w: relaying the response body: %w", ErrOutcomeUnknown, refusal.Err)
	}
	return nil
}

// writeHeader sends the header of the first target's response; later targets continue the same response.
func (rs *requestState) writeHeader(response *Response) {
	if rs.headerSent {
		return
	}
	rs.headerSent, rs.status = true, response.Status
	maps.Copy(rs.w.Header(), response.Header)
	rs.w.WriteHeader(response.Status)
}
