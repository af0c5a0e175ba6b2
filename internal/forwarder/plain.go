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
	"runtime"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/gatekeeper"
	"github.com/coltsfootscale/coltsfootscale/internal/inspector"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
)

// servePlain tries targets of a plain service until one gives a final response.
func (rs *requestState) servePlain(ctx context.Context) *Refusal {
	memoryDeadline := rs.memoryDeadline()
	for {
		if refusal := rs.refuseDenied(); refusal != nil {
			return refusal
		}
		if rs.shouldHandOver() {
			if done, refusal := rs.handOver(ctx, nil); done {
				return refusal
			}
		}
		choice, ok := rs.chooseAnswerTarget()
		if !ok && rs.couldHandOver() {
			if done, refusal := rs.handOver(ctx, nil); done {
				return refusal
			}
		}
		if !ok && rs.awaitMemory(ctx, memoryDeadline) {
			continue
		}
		if !ok {
			return rs.refuseNoTarget()
		}
		if refusal := rs.judgePlain(choice); refusal != nil {
			return refusal
		}
		response, start, err := rs.attemptPlain(ctx, choice)
		if err != nil || response.Status >= http.StatusInternalServerError {
			rs.logFailedAttempt(choice.Target, response, err)
			rs.noteRefused(ctx, string(choice.Target.ID), err)
		}
		if errors.Is(err, ErrOutcomeUnknown) && ctx.Err() == nil {
			rs.reportBroken(choice.Target, false)
		}
		// A case that does not return leads to an attempt on another target.
		switch {
		case err == nil && !rs.retryableFailure(response):
			// A failing target is avoided, whatever the kind of the request that showed it.
			if response.Status >= http.StatusInternalServerError {
				rs.f.TargetStates.Failed(choice.Target.ID, time.Now())
			} else {
				rs.f.TargetStates.Succeeded(choice.Target.ID, time.Now())
			}
			return rs.writeResponse(ctx, response, start)
		case err == nil && !rs.takeRetry():
			return rs.writeResponse(ctx, response, start)
		case err == nil:
			response.Body.Close()
		case errors.Is(err, ErrNotSent) && ctx.Err() == nil:
		case errors.Is(err, ErrNotRun):
			if !rs.takeRetry() {
				return rs.adjustRefusal(refuseNotRun("TargetsFull", defaultRetryAfter, err))
			}
		case rs.route.Kind != matcher.Safe || ctx.Err() != nil || !rs.takeRetry():
			return refuseOutcomeUnknown(ctx, "TargetFailed", err)
		}
		rs.avoid(choice.Target, err)
	}
}

// avoid excludes a target from further attempts of this request after a failed one, which counts as a failure of the target
// unless the request was withheld from it. Other requests avoid a target for a while that has refused one.
func (rs *requestState) avoid(t *registrar.Target, err error) {
	if errors.Is(err, errMemory) {
		return // The target is a candidate again once it has memory.
	}
	if !errors.Is(err, gatekeeper.ErrWithheld) {
		rs.f.TargetStates.Failed(t.ID, time.Now())
	}
	if errors.Is(err, ErrNotRun) && !errors.Is(err, ErrNotSent) {
		rs.refusedBy = append(rs.refusedBy, t.ID)
		if rs.f.TargetStates.Refused(t, time.Now()) {
			rs.f.Metrics.Counter("UnexplainedRefusals").Inc(1)
		}
	}
	rs.failedTargets = append(rs.failedTargets, t.ID)
}

// logFailedAttempt logs the target of a failed attempt, with its status if it responded.
func (rs *requestState) logFailedAttempt(t *registrar.Target, response *Response, err error) {
	status := 0
	if response != nil {
		status = response.Status
	}
	rs.f.Logger.Info("target failed", zap.String("RequestID", string(rs.call.ID)), rs.digestField(), zap.String("Target", string(t.ID)),
		zap.Int("Status", status), zap.Int("Sends", rs.attempts), zap.Duration("After", time.Since(rs.start)), zap.Error(err))
}

// refuseNoTarget refuses a request for which no target is left. A request that may have run gets status 502, because 503
// would imply that it has not run.
func (rs *requestState) refuseNoTarget() *Refusal {
	if rs.started {
		return &Refusal{Status: http.StatusBadGateway, Reason: "TargetFailed"}
	}
	if refusal := rs.refuseAbsentBuild(); refusal != nil {
		return refusal
	}
	if rs.memoryFull {
		return rs.refuseMemory()
	}
	retryAfter := defaultRetryAfter
	if wait, expected := rs.f.Expected(rs.service, registrar.Answers, time.Now()); expected {
		retryAfter = wait + rand.N(retryAfterJitter)
	}
	return refuseNotRun("NoTarget", retryAfter, nil)
}

// retryableFailure reports whether the response is a target failure that may be retried on another target.
func (rs *requestState) retryableFailure(r *Response) bool {
	return rs.route.Kind == matcher.Safe && r.Status >= http.StatusInternalServerError
}

// countFailedAttempt updates the counts after a failed attempt: an attempt that was not sent does not count, and one
// with an unknown outcome counts the request as started.
func (rs *requestState) countFailedAttempt(err error) {
	rs.addEvidence(err)
	switch {
	case errors.Is(err, ErrNotSent):
		rs.attempts--
	case !errors.Is(err, ErrNotRun):
		rs.markStarted()
	}
}

// attemptPlain makes one attempt and buffers the start of the response, which is all of it in most cases. If the response
// breaks off there, the client receives none of it.
func (rs *requestState) attemptPlain(ctx context.Context, choice chooser.Choice) (*Response, bodyStart, error) {
	t, started := choice.Target, time.Now()
	end, ok := rs.f.TargetStates.BeginWithin(t.ID, rs.answerLoad(), rs.memoryLimit(), time.Now())
	if !ok {
		return nil, bodyStart{}, fmt.Errorf("%w: %w", ErrNotSent, errMemory)
	}
	defer end()
	sendCtx, done := rs.await(ctx, t, rs.route.Kind == matcher.Safe)
	rs.attempts++
	rs.logEntry.answerTarget = t.ID
	response, err := rs.run(sendCtx, t, nil, rs.call.LastEvent)
	rs.observe(ctx, t, err)
	if err != nil {
		done()
		rs.countFailedAttempt(err)
		return nil, bodyStart{}, err
	}
	response.Body = &endingBody{response.Body, done}
	rs.markStarted()
	start, err := rs.f.readStart(response)
	if err == nil && len(start.data) == 0 && response.Unframed && response.Status < http.StatusMultipleChoices {
		err = fmt.Errorf("%w: connection closed after its head", inspector.ErrEmpty)
	}
	if err == nil {
		rs.f.Quarantine.Completed(rs.digest(), nil, time.Now())
		if response.Status < http.StatusBadRequest && start.whole {
			rs.observePlain(choice, time.Since(started))
		}
	}
	if err != nil {
		response.Body.Close()
		return nil, bodyStart{}, fmt.Errorf("%w: reading the response body: %w", ErrOutcomeUnknown, err)
	}
	return response, start, nil
}

// bodyStart is the buffered start of a response's body.
type bodyStart struct {
	data  []byte
	whole bool
}

// readStart buffers the start of a response's body: up to bufferedResponseBytes, or less if the memory is full. The memory is released when the body is
// closed.
func (f *Forwarder) readStart(response *Response) (bodyStart, error) {
	data, reserved, err := f.Memory.ReadStart(response.Body, bufferedResponseBytes)
	response.Body = &endingBody{response.Body, sync.OnceFunc(func() { f.Memory.Release(reserved) })}
	switch err {
	case io.EOF:
		return bodyStart{data, true}, nil
	case reserver.ErrFull:
		err = nil
	}
	return bodyStart{data: data}, err
}

// endingBody ends the wait for its target when it is closed.
type endingBody struct {
	io.ReadCloser
	done func()
}

// Close closes the body and ends the wait.
func (b *endingBody) Close() error {
	defer b.done()
	return b.ReadCloser.Close()
}

// writeResponse relays a target's response unchanged; the client's connection is closed if the response breaks off.
func (rs *requestState) writeResponse(ctx context.Context, r *Response, start bodyStart) *Refusal {
	defer r.Body.Close()
	if start.whole {
		rs.writeBuffered(r, start.data)
		return nil
	}
	rs.headerSent, rs.status = true, r.Status
	maps.Copy(rs.w.Header(), r.Header)
	if r.Length >= 0 {
		rs.w.Header().Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	rs.w.WriteHeader(r.Status)
	body := io.MultiReader(bytes.NewReader(start.data), r.Body)
	if r.Length < 0 {
		body = &boundedReader{body, maximumUnframedBytes}
	}
	if _, err := io.Copy(rs.w, body); err != nil {
		rs.noteRefused(ctx, rs.responder(), err)
		return refuseOutcomeUnknown(ctx, "AnswerBroken", err)
	}
	return nil
}

const (
	// maximumUnframedBytes limits a response of unknown length, which a faulty target may never end.
	maximumUnframedBytes = 64 << 20
	// readBytes limits one read of such a response. In chunks of a byte it takes long.
	readBytes = 4 << 10
)

// boundedReader fails once the remaining bytes are read. Other requests get their turn before each read.
type boundedReader struct {
	io.Reader
	remaining int
}

// Read reads from the underlying reader.
func (r *boundedReader) Read(p []byte) (int, error) {
	runtime.Gosched()
	n, err := r.Reader.Read(p[:min(len(p), readBytes)])
	if r.remaining -= n; r.remaining < 0 {
		return n, fmt.Errorf("%w: over %d bytes", reserver.ErrTooLong, maximumUnframedBytes)
	}
	return n, err
}

// writeBuffered relays a completely buffered response unchanged.
func (rs *requestState) writeBuffered(r *Response, body []byte) {
	rs.headerSent, rs.status = true, r.Status
	maps.Copy(rs.w.Header(), r.Header)
	rs.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	rs.w.WriteHeader(r.Status)
	if _, err := rs.w.Write(body); err != nil {
		return // The client has disconnected.
	}
}
