package forwarder

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
)

// servePlain tries targets of a plain service until one gives a final response.
func (j *job) servePlain(ctx context.Context) *Refusal {
	for {
		choice, ok := j.chooseAnswerTarget()
		if !ok {
			return j.refuseNoTarget()
		}
		response, buffered, err := j.attemptPlain(ctx, choice.Target)
		if err != nil || response.Status >= http.StatusInternalServerError {
			j.logFailedAttempt(choice.Target, response, err)
		}
		// A case that does not return leads to an attempt on another target.
		switch {
		case err == nil && !j.retryableFailure(response):
			j.f.TargetStates.Succeeded(choice.Target.ID, time.Now())
			return j.writeResponse(ctx, response, buffered)
		case err == nil && !j.takeRetry():
			return j.writeResponse(ctx, response, buffered)
		case err == nil:
			response.Body.Close()
		case errors.Is(err, ErrNotSent) && ctx.Err() == nil:
		case errors.Is(err, ErrNotRun):
			if !j.takeRetry() {
				return refuseNotRun("TargetsFull", defaultRetryAfter, err)
			}
		case j.route.Kind != matcher.Safe || ctx.Err() != nil || !j.takeRetry():
			return refuseOutcomeUnknown(ctx, "TargetFailed", err)
		}
		j.f.TargetStates.Failed(choice.Target.ID, time.Now())
		j.failedTargets = append(j.failedTargets, choice.Target.ID)
	}
}

// logFailedAttempt logs the target of a failed attempt, with its status if it responded.
func (j *job) logFailedAttempt(t *registrar.Target, response *Response, err error) {
	status := 0
	if response != nil {
		status = response.Status
	}
	j.f.Logger.Info("target failed", zap.String("RequestID", string(j.call.ID)), zap.String("Target", string(t.ID)),
		zap.Int("Status", status), zap.Int("Sends", j.attempts), zap.Duration("After", time.Since(j.start)), zap.Error(err))
}

// refuseNoTarget refuses a request for which no target is left. A request that may have run gets status 502, because 503
// would imply that it has not run.
func (j *job) refuseNoTarget() *Refusal {
	if j.started {
		return &Refusal{Status: http.StatusBadGateway, Reason: "TargetFailed"}
	}
	retryAfter := defaultRetryAfter
	if wait, expected := j.f.Expected(j.service, registrar.Answers, time.Now()); expected {
		retryAfter = wait + rand.N(retryAfterJitter)
	}
	return refuseNotRun("NoTarget", retryAfter, nil)
}

// retryableFailure reports whether the response is a target failure that may be retried on another target.
func (j *job) retryableFailure(r *Response) bool {
	return j.route.Kind == matcher.Safe && r.Status >= http.StatusInternalServerError
}

// countFailedAttempt updates the counts after a failed attempt: an attempt that was not sent does not count, and one
// with an unknown outcome counts the request as started.
func (j *job) countFailedAttempt(err error) {
	switch {
	case errors.Is(err, ErrNotSent):
		j.attempts--
	case !errors.Is(err, ErrNotRun):
		j.markStarted()
	}
}

// attemptPlain makes one attempt and buffers the start of the response, which is all of it in most cases. If the response
// breaks off there, the client receives none of it.
func (j *job) attemptPlain(ctx context.Context, t *registrar.Target) (*Response, []byte, error) {
	end := j.f.TargetStates.Begin(t.ID, chooser.Load{Answers: 1}, time.Now())
	defer end()
	j.attempts++
	j.trace.answerTarget = t.ID
	response, err := j.f.Backend.Run(ctx, j.call, j.attempt(t, nil, j.call.LastEvent))
	if err != nil {
		j.countFailedAttempt(err)
		return nil, nil, err
	}
	j.markStarted()
	buffered, err := io.ReadAll(io.LimitReader(response.Body, bufferedResponseBytes))
	if err != nil {
		response.Body.Close()
		return nil, nil, fmt.Errorf("%w: reading the response body: %w", ErrOutcomeUnknown, err)
	}
	return response, buffered, nil
}

// writeResponse relays a target's response unchanged; the client's connection is closed if the response breaks off.
func (j *job) writeResponse(ctx context.Context, r *Response, buffered []byte) *Refusal {
	defer r.Body.Close()
	if len(buffered) < bufferedResponseBytes {
		j.writeBuffered(r, buffered)
		return nil
	}
	j.headerSent, j.status = true, r.Status
	maps.Copy(j.w.Header(), r.Header)
	if r.Length >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	j.w.WriteHeader(r.Status)
	if _, err := io.Copy(j.w, io.MultiReader(bytes.NewReader(buffered), r.Body)); err != nil {
		return refuseOutcomeUnknown(ctx, "AnswerBroken", err)
	}
	return nil
}

// writeBuffered relays a completely buffered response unchanged.
func (j *job) writeBuffered(r *Response, body []byte) {
	j.headerSent, j.status = true, r.Status
	maps.Copy(j.w.Header(), r.Header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(r.Status)
	if _, err := j.w.Write(body); err != nil {
		return // The client has disconnected.
	}
}
