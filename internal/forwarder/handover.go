package forwarder

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// maximumUnreachable is the number of targets that a request may find unreachable before it is passed to a peer, whatever is
	// known of the others.
	maximumUnreachable = 2
	// maximumHandovers is the number of peers to which a request may be passed one after the other.
	maximumHandovers = 2
	// maximumPeersAsked also counts the peers that answer at once that they are cut off too.
	maximumPeersAsked = 8
)

// Reach knows which targets cannot be reached from this instance.
type Reach interface {
	Down(address string) bool
	// Begin records an attempt that waits for a target until done is called. end, which may be nil, is called while the target is
	// down and silent.
	Begin(address string, end func()) (done func())
	Answered(address string)
	// Silent reports whether a target has answered nothing since and accepts no connection within the given time.
	Silent(ctx context.Context, address string, since time.Time, limit time.Duration) bool
	Failed(address string)
}

// Handover passes calls to another instance, which answers as it would its own clients. It never retries.
type Handover interface {
	// Run passes a call on; errors wrap ErrNotRun or ErrOutcomeUnknown.
	Run(ctx context.Context, c *Call, a *HandoverAttempt) (*Response, error)
}

// HandoverAttempt describes an attempt to pass a call to a peer.
type HandoverAttempt struct {
	Address string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	// MaximumIdle is the maximum idle time of a connection that may be reused; zero requires a new connection.
	MaximumIdle time.Duration
}

// await records that an attempt waits for a target until done is called. If the attempt may be repeated, the returned context ends
// once the target turns out to be unreachable from here while peers reach more targets.
func (rs *requestState) await(ctx context.Context, t *registrar.Target, mayRepeat bool) (_ context.Context, done func()) {
	if !mayRepeat || rs.call.HandedOver {
		return ctx, rs.f.Reach.Begin(t.Address, nil)
	}
	ctx, cancel := context.WithCancel(ctx)
	f, service := rs.f, rs.service
	stop := f.Reach.Begin(t.Address, func() {
		if len(f.Peers(service, 0)) > 0 {
			cancel()
		}
	})
	return ctx, func() { stop(); cancel() }
}

// observe tells what the outcome of an attempt says about the connection to a target.
func (rs *requestState) observe(ctx context.Context, t *registrar.Target, err error) {
	switch {
	case err == nil, errors.Is(err, ErrNotRun) && !errors.Is(err, ErrNotSent):
		rs.f.Reach.Answered(t.Address)
	case ctx.Err() != nil:
	case errors.Is(err, ErrUnreachable):
		rs.unreachable++
		rs.f.Reach.Failed(t.Address)
	case errors.Is(err, ErrOutcomeUnknown):
		rs.f.Reach.Failed(t.Address)
	}
}

// withoutDown returns the targets that can be reached from here: none if these are less than half and a peer may serve the request,
// and all if none can be reached and no peer may.
func (rs *requestState) withoutDown(targets []*registrar.Target) []*registrar.Target {
	var up []*registrar.Target
	for _, t := range targets {
		if !rs.f.Reach.Down(t.Address) {
			up = append(up, t)
		}
	}
	switch {
	case len(up) == len(targets):
		return targets
	case 2*len(up) >= len(targets):
		return up
	case rs.mayHandOver():
		// The few that are left would get all requests.
		rs.hidden = true
		return nil
	case len(up) == 0:
		return targets
	}
	return up
}

// mayHandOver reports whether there is a peer to which the request may be passed.
func (rs *requestState) mayHandOver() bool {
	return !rs.call.HandedOver && !rs.peersTried && (rs.call.Body.Whole() || rs.attempts == 0) && len(rs.f.Peers(rs.service, rs.unreachable)) > 0
}

// shouldHandOver reports whether a peer is more likely to reach a target than this instance.
func (rs *requestState) shouldHandOver() bool {
	return rs.unreachable >= maximumUnreachable && rs.mayHandOver()
}

// couldHandOver reports whether a peer may reach targets that this instance cannot use.
func (rs *requestState) couldHandOver() bool {
	return (rs.unreachable > 0 || rs.hidden) && rs.mayHandOver()
}

// repeatable reports whether a request may run again that may have run.
func (rs *requestState) repeatable() bool {
	return rs.route.Kind == matcher.Safe || rs.route.Kind == matcher.Stream && rs.route.Resumable
}

// refusePassedOn refuses a request that a peer has passed on to an instance that cannot reach most targets either, which the peer did not
// know, or that is overloaded. It returns nil for all others.
func (rs *requestState) refusePassedOn() *Refusal {
	switch {
	case !rs.call.HandedOver:
	case rs.f.CutOff != nil && rs.f.CutOff(rs.service):
		return &Refusal{Status: http.StatusMisdirectedRequest, Reason: "CutOff"}
	case rs.f.Overloaded != nil && rs.f.Overloaded():
		return refuseNotRun("Overloaded", defaultRetryAfter, nil)
	}
	return nil
}

// handOver passes the request to peers until one answers. It returns false if none could be reached. s is nil for a plain
// request.
func (rs *requestState) handOver(ctx context.Context, s *stream) (done bool, refusal *Refusal) {
	peers := rs.f.Peers(rs.service, rs.unreachable)
	rs.peersTried = true
	refused, tried := false, 0
	for _, address := range peers[:min(maximumPeersAsked, len(peers))] {
		if tried == maximumHandovers {
			break
		}
		err := rs.handOverTo(ctx, address, s)
		if err == nil {
			return true, nil
		}
		rs.f.Logger.Info("peer failed", zap.String("RequestID", string(rs.call.ID)), zap.String("Peer", address), zap.Error(err))
		rs.noteRefused(ctx, address, err)
		if errors.Is(err, ErrPeerCutOff) {
			rs.f.OnPeerCutOff(rs.service, address)
		} else {
			tried++
		}
		switch {
		case errors.Is(err, ErrNotRun):
			refused = refused || !errors.Is(err, ErrNotSent) && !errors.Is(err, ErrPeerCutOff)
			// The peer may have read a part of the body that cannot be sent again.
			bodySpent := !rs.call.Body.Whole() && !errors.Is(err, ErrNotSent)
			if ctx.Err() != nil || bodySpent {
				return true, rs.adjustRefusal(refuseNotRun("PeersRefused", defaultRetryAfter, err))
			}
		case !rs.repeatable() || !rs.takeRetry():
			return true, refuseOutcomeUnknown(ctx, "PeerFailed", err)
		}
	}
	switch {
	case rs.headerSent:
		return true, refuseOutcomeUnknown(ctx, "StreamBroken", nil)
	case refused:
		return true, rs.adjustRefusal(refuseNotRun("PeersRefused", defaultRetryAfter, nil))
	}
	return false, nil
}

// handOverTo passes the request to one peer and relays its response.
func (rs *requestState) handOverTo(ctx context.Context, address string, s *stream) error {
	call := *rs.call
	call.AttemptsBefore, call.PrefillsBefore, call.Counted, call.Cache = rs.attempts, rs.prefills, rs.started, rs.unusedCache
	call.RefusedBy = rs.refusedBy
	if s != nil {
		call.LastEvent = s.lastEvent
		if rs.headerSent && call.Origin == "" {
			call.Origin = rs.call.ID
		}
	}
	maximumIdle := unrepeatableMaximumIdle
	if rs.repeatable() {
		maximumIdle = repeatableMaximumIdle
	}
	rs.attempts++
	rs.logEntry.peer = address
	response, err := rs.f.Handover.Run(ctx, &call, &HandoverAttempt{Address: address, Remaining: time.Until(rs.deadline), MaximumIdle: maximumIdle})
	switch {
	case errors.Is(err, ErrNotRun):
		rs.attempts--
		rs.evidence = max(rs.evidence, NothingSent)
		if !errors.Is(err, ErrNotSent) {
			rs.evidence = PeerSaid
		}
		return err
	case err != nil:
		rs.started, rs.unusedCache = true, nil
		return err
	}
	rs.unusedCache = nil
	defer func() { response.Body.Close() }() // readStart replaces the body.
	rs.f.Metrics.Counter("HandedOver").Inc(1)
	// The peer counts the request, and announces where its stream begins.
	rs.started = true
	if s != nil && response.Status == http.StatusOK {
		return s.relay(ctx, response, nil)
	}
	start, err := rs.f.readStart(response)
	if err != nil {
		return fmt.Errorf("%w: reading the response body: %w", ErrOutcomeUnknown, err)
	}
	if rs.headerSent {
		return fmt.Errorf("%w: error response with status %d", ErrOutcomeUnknown, response.Status)
	}
	if refusal := rs.writeResponse(ctx, response, start); refusal != nil {
		return fmt.Errorf("%w: relaying the response body: %w", ErrOutcomeUnknown, refusal.Err)
	}
	return nil
}

// peerField shows the peer that has served a request, if one has.
func (rs *requestState) peerField() zap.Field { return zap.String("Peer", rs.logEntry.peer) }

// countStarted counts a request that has started, unless a peer has.
func (rs *requestState) countStarted(team identifier.TeamID) {
	if !rs.call.Counted {
		rs.f.CountRequest(team)
	}
}
