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

// plain sends a request to targets of a plain service until one answer stands.
func (j *job) plain(ctx context.Context) *Refusal {
	for {
		v, ok := j.answerTarget()
		if !ok {
			return j.noTarget()
		}
		reply, start, err := j.sendPlain(ctx, v.Target)
		if err != nil || reply.Status >= http.StatusInternalServerError {
			j.logFailedSend(v.Target, reply, err)
		}
		switch {
		case err == nil && !j.repeatable(reply):
			j.f.States.Succeeded(v.Target.ID, time.Now())
			return j.write(ctx, reply, start)
		case err == nil && !j.mayRepeat():
			return j.write(ctx, reply, start)
		case err == nil:
			reply.Body.Close()
		case errors.Is(err, ErrNotSent) && ctx.Err() == nil:
		case errors.Is(err, ErrNotRun):
			if !j.mayRepeat() {
				return notRun("TargetsFull", comeBack, err)
			}
		case j.route.Kind != matcher.Safe || ctx.Err() != nil || !j.mayRepeat():
			return open(ctx, "TargetFailed", err)
		}
		j.f.States.Failed(v.Target.ID, time.Now())
		j.failed = append(j.failed, v.Target.ID)
	}
}

// logFailedSend tells which target failed a send, with its status if it answered.
func (j *job) logFailedSend(t *registrar.Target, reply *Response, err error) {
	status := 0
	if reply != nil {
		status = reply.Status
	}
	j.f.Logger.Info("target failed", zap.String("RequestID", string(j.call.ID)), zap.String("Target", string(t.ID)),
		zap.Int("Status", status), zap.Int("Sends", j.sends), zap.Duration("After", time.Since(j.start)), zap.Error(err))
}

// noTarget refuses for want of a target that answers, truthfully if one was tried.
func (j *job) noTarget() *Refusal {
	if j.began {
		return &Refusal{Status: http.StatusBadGateway, Reason: "TargetFailed"}
	}
	back := comeBack
	if wait, expected := j.f.Expected(j.target, registrar.DecodeStage, time.Now()); expected {
		back = wait + rand.N(returnSpread)
	}
	return notRun("NoTarget", back, nil)
}

// repeatable tells a failure of the target that another target may mend.
func (j *job) repeatable(r *Response) bool {
	return j.route.Kind == matcher.Safe && r.Status >= http.StatusInternalServerError
}

// account notes what a failed send means for the request: one that did not leave is no send, and one whose outcome is
// open counts as run.
func (j *job) account(err error) {
	switch {
	case errors.Is(err, ErrNotSent):
		j.sends--
	case !errors.Is(err, ErrNotRun):
		j.begin()
	}
}

// sendPlain sends once and reads the start of the answer, which is all of most answers: what breaks off there reaches no
// client.
func (j *job) sendPlain(ctx context.Context, t *registrar.Target) (*Response, []byte, error) {
	end := j.f.States.Begin(t.ID, chooser.Load{Answers: 1}, time.Now())
	defer end()
	j.sends++
	j.trace.answerTarget = t.ID
	reply, err := j.f.Backend.Run(ctx, j.call, j.send(t, nil, j.call.LastEvent))
	if err != nil {
		j.account(err)
		return nil, nil, err
	}
	j.begin()
	start, err := io.ReadAll(io.LimitReader(reply.Body, heldAnswerBytes))
	if err != nil {
		reply.Body.Close()
		return nil, nil, fmt.Errorf("%w: body: %w", ErrOutcomeUnknown, err)
	}
	return reply, start, nil
}

// write sends a target's answer unchanged; the client's connection is closed if the answer breaks off.
func (j *job) write(ctx context.Context, r *Response, start []byte) *Refusal {
	defer r.Body.Close()
	if len(start) < heldAnswerBytes {
		j.writeWhole(r, start)
		return nil
	}
	j.wrote, j.status = true, r.Status
	maps.Copy(j.w.Header(), r.Header)
	if r.Length >= 0 {
		j.w.Header().Set("Content-Length", strconv.FormatInt(r.Length, 10))
	}
	j.w.WriteHeader(r.Status)
	if _, err := io.Copy(j.w, io.MultiReader(bytes.NewReader(start), r.Body)); err != nil {
		return open(ctx, "AnswerBroken", err)
	}
	return nil
}

// writeWhole sends a target's whole answer unchanged.
func (j *job) writeWhole(r *Response, body []byte) {
	j.wrote, j.status = true, r.Status
	maps.Copy(j.w.Header(), r.Header)
	j.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	j.w.WriteHeader(r.Status)
	if _, err := j.w.Write(body); err != nil {
		return // The client is gone.
	}
}
