package relayer

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
	"github.com/coltsfootscale/coltsfootscale/internal/router"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrNotSent is returned when no connection to the target was established, so that the request cannot have run.
var ErrNotSent = errors.New("request not sent")

// serviceCall is a call to a plain service in progress.
type serviceCall struct {
	*call
	route *recorder.Route
	body  []byte
	tried map[identifier.TargetID]bool
}

// reply is the complete answer of a target.
type reply struct {
	status      int
	contentType string
	body        []byte
}

// Service serves a call to a plain service.
func (s *Relayer) Service(w http.ResponseWriter, r *http.Request) {
	route := s.View().Route(r.URL.Path)
	c := s.newCall(w, r)
	body, refusal := s.receive(c, route.GetOpen(), func(c *call) *refuser.Refusal { return checkRoute(route, c) })
	if refusal != nil {
		s.refuse(c, refusal)
		return
	}
	ctx, cancel := s.requestContext(r)
	defer cancel()
	c.ctx = ctx
	v := &serviceCall{call: c, route: route, body: body, tried: map[identifier.TargetID]bool{}}
	if !v.repeatable() && v.key() != "" {
		s.serveKeyed(v)
		return
	}
	s.serveService(v)
}

// checkRoute returns a refusal if there is no route or the team may not use it.
func checkRoute(route *recorder.Route, c *call) *refuser.Refusal {
	if route == nil {
		return &refuser.Refusal{Status: http.StatusNotFound, Code: refuser.CodeUnknownRoute, Run: refuser.NotRun, Message: "no route for " + c.r.URL.Path}
	}
	if len(route.Teams) > 0 && !route.Open && !slices.Contains(route.Teams, string(c.team)) {
		return &refuser.Refusal{Status: http.StatusForbidden, Code: refuser.CodeForbidden, Run: refuser.NotRun, Message: "the route is not open to this team"}
	}
	return nil
}

// repeatable reports whether the call may be sent more than once.
func (v *serviceCall) repeatable() bool {
	return v.route.Repeatable || v.r.Method == http.MethodGet || v.r.Method == http.MethodHead
}

func (v *serviceCall) key() string { return v.r.Header.Get(idempotencyKeyHeader) }

// serveService serves a call without a journal record. It retries only calls that are repeatable or were not sent.
func (s *Relayer) serveService(v *serviceCall) {
	s.Budget.AddRequest()
	run := refuser.NotRun
	for attempt := 1; ; attempt++ {
		answer, refusal, err := s.routeAndSend(v, attempt)
		if refusal != nil {
			s.refuse(v.call, refusal)
			return
		}
		if err == nil {
			s.answer(v, answer)
			return
		}
		notSent := errors.Is(err, ErrNotSent)
		if !notSent {
			run = refuser.Unknown
		}
		if attempt < maximumAttempts && (notSent || v.repeatable()) && v.ctx.Err() == nil && s.Budget.TakeRetry() {
			continue
		}
		s.refuse(v.call, targetFailed(run))
		return
	}
}

func targetFailed(run refuser.Run) *refuser.Refusal {
	return &refuser.Refusal{Status: http.StatusBadGateway, Code: refuser.CodeTargetFailed, Run: run, Message: "the target failed", RetryAfter: shortRetryAfter}
}

// routeAndSend chooses a target and sends the call to it.
func (s *Relayer) routeAndSend(v *serviceCall, attempt int) (*reply, *refuser.Refusal, error) {
	assignment, refusal := s.routeService(v, attempt)
	if refusal != nil {
		return nil, refusal, nil
	}
	answer, err := s.send(v, assignment)
	s.Tracker.Finish(assignment, err != nil && v.r.Context().Err() == nil)
	if err != nil {
		v.tried[assignment.ID] = true
		v.logger.Info("Retry", zap.String("Target", string(assignment.ID)), zap.Error(err))
	}
	return answer, nil, err
}

func (s *Relayer) routeService(v *serviceCall, attempt int) (tracker.Assignment, *refuser.Refusal) {
	req := &router.Request{
		Zone:        s.Zone,
		Random:      xxhash.Sum64String(string(v.id)) + uint64(attempt),
		RefuseCheap: !v.repeatable(),
		Allowed:     func(id identifier.TargetID) bool { return v.view.MayUse(v.team, id) },
		Excluded:    func(id identifier.TargetID) bool { return v.tried[id] },
	}
	assignment, _, ok := s.Tracker.Choose(tracker.ServiceGroup(v.route.Service), req, nil)
	if !ok {
		run := refuser.NotRun
		if len(v.tried) > 0 && v.repeatable() {
			run = refuser.Unknown
		}
		return assignment, &refuser.Refusal{
			Status: http.StatusServiceUnavailable, Code: refuser.CodeNoTarget, Run: run,
			Message: "no target can serve the call now", RetryAfter: shortRetryAfter,
		}
	}
	v.logger.Info("Route",
		zap.String("Service", v.route.Service),
		zap.Int("Attempt", attempt),
		zap.String("Chosen", string(assignment.ID)),
		zap.String("Reason", "LeastBusyDrawn"))
	return assignment, nil
}

// send sends the call to its target, on a new connection: a response of a service does not name its request. ErrNotSent
// means that the call cannot have run.
func (s *Relayer) send(v *serviceCall, assignment tracker.Assignment) (*reply, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		connected.Store(true)
		v.sent.Store(true)
	}}
	ctx := httptrace.WithClientTrace(v.ctx, trace)
	req, err := s.newTargetRequest(ctx, v, assignment)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	assertNoCallerKey(req)
	resp, err := s.NoKeepAliveHTTP.Do(req)
	if err != nil {
		if !connected.Load() {
			return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, s.Limits.BodyBytes+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > s.Limits.BodyBytes {
		return nil, fmt.Errorf("%w: larger than BodyBytes", ErrInvalidAnswer)
	}
	return &reply{status: resp.StatusCode, contentType: resp.Header.Get("Content-Type"), body: body}, nil
}

// newTargetRequest returns the request for the target, without the caller's key.
func (s *Relayer) newTargetRequest(ctx context.Context, v *serviceCall, assignment tracker.Assignment) (*http.Request, error) {
	url := "http://" + assignment.Address + v.r.URL.RequestURI()
	req, err := http.NewRequestWithContext(ctx, v.r.Method, url, bytes.NewReader(v.body))
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"Content-Type", "Accept", "Accept-Language", idempotencyKeyHeader} {
		if values := v.r.Header.Values(name); len(values) > 0 {
			req.Header[http.CanonicalHeaderKey(name)] = slices.Clone(values)
		}
	}
	req.Header.Set(chatter.RequestIDHeader, string(v.id))
	return req, nil
}

// answer accounts the call and writes the target's answer to the caller.
func (s *Relayer) answer(v *serviceCall, a *reply) {
	if v.team != "" {
		s.Ledger.Add(&recorder.TeamUsage{Team: string(v.team), Requests: 1})
		s.syncUsage(v.ctx)
	}
	writeReply(v, a)
	v.logger.Info("Finish", zap.Int("Status", a.status))
}

func writeReply(v *serviceCall, a *reply) {
	if a.contentType != "" {
		v.w.Header().Set("Content-Type", a.contentType)
	}
	v.w.WriteHeader(a.status)
	v.w.Write(a.body)
}
