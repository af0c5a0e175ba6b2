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

// mostReads is how many targets are tried for one prompt.
const mostReads = 3

// freeTimeout bounds giving back a handle; an unused one lapses by itself.
const freeTimeout = time.Second

// streamed has the prompt, if there is one, computed on one target and the answer generated on another.
func (j *job) streamed(ctx context.Context) *Refusal {
	stream := newStream(j)
	for {
		t, source, refusal := j.prepare(ctx)
		if refusal != nil {
			if stream.last > 0 {
				return open(ctx, "StreamBroken", refusal.Err)
			}
			return refusal
		}
		err := j.generate(ctx, stream, t, source)
		if err == nil {
			return nil
		}
		j.f.Logger.Info("answer target failed", zap.String("RequestID", string(j.call.ID)),
			zap.String("Target", string(t.ID)), zap.Int("Event", stream.last), zap.Error(err))
		j.f.States.Failed(t.ID, time.Now())
		j.failed = append(j.failed, t.ID)
		switch {
		case ctx.Err() != nil:
			return open(ctx, "Interrupted", err)
		case errors.Is(err, ErrNotSent):
		case errors.Is(err, ErrNotRun) && !j.mayRepeat():
			if j.began {
				return open(ctx, "StreamBroken", err)
			}
			return notRun("AnswerTargetFull", comeBack, err)
		case errors.Is(err, ErrNotRun):
		case !j.route.Resumable || !j.mayRepeat():
			return open(ctx, "StreamBroken", err)
		}
	}
}

// prepare chooses the answer target and has the prompt computed for it where there are targets for prompts.
func (j *job) prepare(ctx context.Context) (*registrar.Target, *CacheHandle, *Refusal) {
	for {
		if h := j.kept; h != nil {
			j.kept = nil
			return j.pair(h)
		}
		answer, ok := j.answerTarget()
		if !ok {
			return nil, nil, j.noTarget()
		}
		if !j.route.HasPrompts {
			return answer.Target, nil, nil
		}
		prompts := j.candidates(j.call.Parts, registrar.PrefillStage)
		prompt, ok := j.f.Chooser.Prompt(&chooser.Prompt{Zone: j.f.Zone, Parts: j.call.Parts, Jitter: j.draw()}, prompts)
		if !ok && j.promptsFailed && j.call.Body.Whole() {
			return nil, nil, j.givenUp(notRun("PromptTargetsFailed", comeBack, nil))
		}
		if !ok || !j.call.Body.Whole() {
			// No engine computes prompts apart, or the body can be sent only once, so the one that answers does both.
			return answer.Target, nil, nil
		}
		if j.sends == 0 && len(j.failed) == 0 {
			j.f.RecordDemand(j.target, prompt.Uncached, time.Now())
		}
		// The first prompt that is read for a request is free of the budget.
		if j.reads > 0 && !j.f.Budget.TakeRetry(j.target) {
			return nil, nil, j.givenUp(notRun("RetryBudgetSpent", comeBack, nil))
		}
		j.reads++
		h, err := j.read(ctx, prompt)
		if err == nil {
			return j.pair(h)
		}
		j.f.Logger.Info("prompt target failed", zap.String("RequestID", string(j.call.ID)),
			zap.String("Target", string(prompt.Target.ID)), zap.Duration("Predicted", prompt.Predicted), zap.Error(err))
		j.promptsFailed = true
		j.f.States.Failed(prompt.Target.ID, time.Now())
		j.failed = append(j.failed, prompt.Target.ID)
		switch {
		case ctx.Err() != nil:
			return nil, nil, &Refusal{Status: http.StatusGatewayTimeout, Reason: "PromptTimeout", Err: err}
		case errors.Is(err, ErrNotSent):
			j.reads--
		case j.reads >= mostReads:
			return nil, nil, j.givenUp(notRun("PromptTargetsFailed", comeBack, err))
		}
	}
}

// pair chooses the answer target for a prompt that was read.
func (j *job) pair(h *CacheHandle) (*registrar.Target, *CacheHandle, *Refusal) {
	answer, ok := j.answerTarget()
	if !ok {
		j.free(h)
		return nil, nil, j.noTarget()
	}
	return answer.Target, h, nil
}

// draw spreads this request's choices by as much as the loads that are known of peers may be off.
func (j *job) draw() chooser.Jitter {
	return chooser.Jitter{Seed: rand.Uint64(), Maximum: j.f.MaximumJitter()}
}

// givenUp turns a refusal that says not run into one that leaves it open, if a target may have run the request.
func (j *job) givenUp(r *Refusal) *Refusal {
	if j.began {
		return &Refusal{Status: http.StatusBadGateway, Reason: r.Reason, Err: r.Err}
	}
	return r
}

// read has the prompt computed.
func (j *job) read(ctx context.Context, v chooser.Choice) (*CacheHandle, error) {
	end := j.f.States.Begin(v.Target.ID, chooser.Load{PromptTokens: v.Uncached}, time.Now())
	defer end()
	started := time.Now()
	h, err := j.f.Backend.Prefill(ctx, j.call, j.send(v.Target, nil, ""))
	if err != nil {
		return nil, err
	}
	j.f.States.Succeeded(v.Target.ID, time.Now())
	j.f.States.Prefilled(v.Target.ID, j.call.Parts, time.Now())
	j.trace.promptTarget, j.trace.predicted, j.trace.fresh, j.trace.promptTook = v.Target.ID, v.Predicted, v.Uncached, time.Since(started)
	j.f.Metrics.Timer("PromptRead").Record(j.trace.promptTook)
	return h, nil
}

// free gives a handle back without holding up the request.
func (j *job) free(h *CacheHandle) {
	if h == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		defer cancel()
		if err := j.f.Backend.Free(ctx, h); err != nil {
			j.f.Logger.Info("handle not freed", zap.String("Target", string(h.Target.ID)), zap.Error(err))
		}
	}()
}

// generate runs the request on the answer target and relays its events.
func (j *job) generate(ctx context.Context, s *stream, t *registrar.Target, source *CacheHandle) error {
	tokens := j.call.AnswerTokens
	for _, part := range j.call.Parts {
		tokens += part.Tokens
	}
	end := j.f.States.Begin(t.ID, chooser.Load{Answers: 1, AnswerTokens: tokens}, time.Now())
	defer end()
	j.sends++
	j.trace.answerTarget = t.ID
	reply, err := j.f.Backend.Run(ctx, j.call, j.send(t, source, s.lastEvent))
	if err != nil {
		switch {
		case errors.Is(err, ErrNotSent):
			j.kept = source
		case errors.Is(err, ErrNotRun):
			j.free(source)
		}
		j.account(err)
		return err
	}
	defer reply.Body.Close()
	if reply.Status != http.StatusOK {
		j.begin()
		return j.relayFailure(reply, s)
	}
	if err := s.relay(reply); err != nil {
		return err
	}
	j.f.States.Succeeded(t.ID, time.Now())
	return nil
}

// relayFailure passes a target's own failure on, unless part of the answer went out already.
func (j *job) relayFailure(reply *Response, s *stream) error {
	body, err := io.ReadAll(io.LimitReader(reply.Body, heldAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: body: %w", ErrOutcomeUnknown, err)
	}
	if j.wrote || j.route.Resumable && j.sends < j.route.Attempts {
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, reply.Status)
	}
	j.writeWhole(reply, body)
	return nil
}

// head sends the head of the first target's answer.
func (j *job) head(reply *Response) {
	if j.wrote {
		return
	}
	j.wrote, j.status = true, reply.Status
	maps.Copy(j.w.Header(), reply.Header)
	j.w.WriteHeader(reply.Status)
}
