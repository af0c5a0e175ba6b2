package forwarder

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
)

// maximumPrefills is the number of prefills of one request after which a failed one is not retried; prefills that were
// not sent do not count.
const maximumPrefills = 3

// freeTimeout bounds the release of a KV cache handle; a handle that is not released expires by itself.
const freeTimeout = time.Second

// serveStream prefills the prompt, if there is one, on one target and generates the answer on another.
func (j *job) serveStream(ctx context.Context) *Refusal {
	stream := newStream(j)
	for {
		t, source, refusal := j.prepare(ctx)
		if refusal != nil {
			if stream.lastID > 0 {
				return refuseOutcomeUnknown(ctx, "StreamBroken", refusal.Err)
			}
			return refusal
		}
		err := j.generate(ctx, stream, t, source)
		if err == nil {
			return nil
		}
		j.f.Logger.Info("answer target failed", zap.String("RequestID", string(j.call.ID)),
			zap.String("Target", string(t.ID)), zap.Int("Event", stream.lastID), zap.Error(err))
		j.f.TargetStates.Failed(t.ID, time.Now())
		j.failedTargets = append(j.failedTargets, t.ID)
		switch {
		case ctx.Err() != nil:
			return refuseOutcomeUnknown(ctx, "Interrupted", err)
		case errors.Is(err, ErrNotSent):
		case errors.Is(err, ErrNotRun) && !j.takeRetry():
			if j.started {
				return refuseOutcomeUnknown(ctx, "StreamBroken", err)
			}
			return refuseNotRun("AnswerTargetFull", defaultRetryAfter, err)
		case errors.Is(err, ErrNotRun):
		case !j.route.Resumable || !j.takeRetry():
			return refuseOutcomeUnknown(ctx, "StreamBroken", err)
		}
	}
}

// prepare chooses the answer target and prefills the prompt for it if the service has prompt targets.
func (j *job) prepare(ctx context.Context) (*registrar.Target, *KVHandle, *Refusal) {
	for {
		if handle := j.unusedCache; handle != nil {
			j.unusedCache = nil
			return j.pairWithAnswerTarget(handle)
		}
		answerChoice, ok := j.chooseAnswerTarget()
		if !ok {
			return nil, nil, j.refuseNoTarget()
		}
		if !j.route.HasPrompts {
			return answerChoice.Target, nil, nil
		}
		promptTargets := j.candidates(j.call.Parts, registrar.Prompts)
		promptChoice, ok := j.f.Chooser.Prompt(&chooser.Prompt{Zone: j.f.Zone, Parts: j.call.Parts, Jitter: j.jitter()}, promptTargets)
		if !ok && j.prefillFailed && j.call.Body.Whole() {
			return nil, nil, j.adjustRefusal(refuseNotRun("PromptTargetsFailed", defaultRetryAfter, nil))
		}
		if !ok || !j.call.Body.Whole() {
			// No target prefills separately, or the body can be sent only once, so the answer target does both.
			return answerChoice.Target, nil, nil
		}
		if j.attempts == 0 && len(j.failedTargets) == 0 {
			j.f.RecordDemand(j.service, promptChoice.Uncached, time.Now())
		}
		// The first prefill of a request does not count against the retry budget.
		if j.prefills > 0 && !j.f.Budget.TakeRetry(j.service) {
			return nil, nil, j.adjustRefusal(refuseNotRun("RetryBudgetSpent", defaultRetryAfter, nil))
		}
		j.prefills++
		handle, err := j.prefill(ctx, promptChoice)
		if err == nil {
			return j.pairWithAnswerTarget(handle)
		}
		j.f.Logger.Info("prompt target failed", zap.String("RequestID", string(j.call.ID)),
			zap.String("Target", string(promptChoice.Target.ID)), zap.Duration("Predicted", promptChoice.Predicted), zap.Error(err))
		j.prefillFailed = true
		j.f.TargetStates.Failed(promptChoice.Target.ID, time.Now())
		j.failedTargets = append(j.failedTargets, promptChoice.Target.ID)
		switch {
		case ctx.Err() != nil:
			return nil, nil, &Refusal{Status: http.StatusGatewayTimeout, Reason: "PromptTimeout", Err: err}
		case errors.Is(err, ErrNotSent):
			j.prefills--
		case j.prefills >= maximumPrefills:
			return nil, nil, j.adjustRefusal(refuseNotRun("PromptTargetsFailed", defaultRetryAfter, err))
		}
	}
}

// pairWithAnswerTarget chooses the answer target for a prefilled prompt.
func (j *job) pairWithAnswerTarget(handle *KVHandle) (*registrar.Target, *KVHandle, *Refusal) {
	choice, ok := j.chooseAnswerTarget()
	if !ok {
		j.free(handle)
		return nil, nil, j.refuseNoTarget()
	}
	return choice.Target, handle, nil
}

// jitter returns a new jitter that covers the possible error of the loads reported by peers.
func (j *job) jitter() chooser.Jitter {
	return chooser.Jitter{Seed: rand.Uint64(), MaximumJitter: j.f.MaximumJitter()}
}

// adjustRefusal checks a refusal that implies that the request has not run, and replaces it if a target may have run the
// request.
func (j *job) adjustRefusal(r *Refusal) *Refusal {
	if j.started {
		return &Refusal{Status: http.StatusBadGateway, Reason: r.Reason, Err: r.Err}
	}
	return r
}

// prefill computes the prompt's KV cache on the chosen target.
func (j *job) prefill(ctx context.Context, choice chooser.Choice) (*KVHandle, error) {
	end := j.f.TargetStates.Begin(choice.Target.ID, chooser.Load{PromptTokens: choice.Uncached}, time.Now())
	defer end()
	started := time.Now()
	handle, err := j.f.Backend.Prefill(ctx, j.call, j.attempt(choice.Target, nil, ""))
	if err != nil {
		return nil, err
	}
	j.f.TargetStates.Succeeded(choice.Target.ID, time.Now())
	j.f.TargetStates.Prefilled(choice.Target.ID, j.call.Parts, time.Now())
	j.trace.promptTarget, j.trace.predicted, j.trace.uncached, j.trace.prefillTook =
		choice.Target.ID, choice.Predicted, choice.Uncached, time.Since(started)
	j.f.Metrics.Timer("PromptRead").Record(j.trace.prefillTook)
	return handle, nil
}

// free releases a handle in the background, so that the request does not wait for it.
func (j *job) free(handle *KVHandle) {
	if handle == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := j.f.Backend.Free(ctx, handle); err != nil {
			j.f.Logger.Info("KV cache handle not released", zap.String("Target", string(handle.Target.ID)), zap.Error(err))
		}
	}()
}

// generate runs the request on the answer target and relays the events.
func (j *job) generate(ctx context.Context, s *stream, t *registrar.Target, source *KVHandle) error {
	tokens := j.call.AnswerTokens
	for _, part := range j.call.Parts {
		tokens += part.Tokens
	}
	end := j.f.TargetStates.Begin(t.ID, chooser.Load{Answers: 1, AnswerTokens: tokens}, time.Now())
	defer end()
	j.attempts++
	j.trace.answerTarget = t.ID
	response, err := j.f.Backend.Run(ctx, j.call, j.attempt(t, source, s.lastEvent))
	if err != nil {
		switch {
		case errors.Is(err, ErrNotSent):
			j.unusedCache = source
		case errors.Is(err, ErrNotRun):
			j.free(source)
		}
		j.countFailedAttempt(err)
		return err
	}
	defer response.Body.Close()
	if response.Status != http.StatusOK {
		j.markStarted()
		return j.relayErrorResponse(response, s)
	}
	if err := s.relay(response); err != nil {
		return err
	}
	j.f.TargetStates.Succeeded(t.ID, time.Now())
	return nil
}

// relayErrorResponse relays a target's error response, unless the client has already received a header or the request
// can be retried.
func (j *job) relayErrorResponse(response *Response, s *stream) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, bufferedResponseBytes))
	if err != nil {
		return fmt.Errorf("%w: reading the response body: %w", ErrOutcomeUnknown, err)
	}
	if j.headerSent || j.route.Resumable && j.attempts < j.route.Attempts {
		return fmt.Errorf("%w: error response with status %d", ErrOutcomeUnknown, response.Status)
	}
	j.writeBuffered(response, body)
	return nil
}

// writeHeader sends the header of the first target's response; later targets continue the same response.
func (j *job) writeHeader(response *Response) {
	if j.headerSent {
		return
	}
	j.headerSent, j.status = true, response.Status
	maps.Copy(j.w.Header(), response.Header)
	j.w.WriteHeader(response.Status)
}
