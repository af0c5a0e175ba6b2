package elector

import (
	"context"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// flightTime is how long after the end of its time limit a call without an answer may still arrive at a platform: it is reset at
// that limit, but a sender that is frozen cannot reset it, and the platform may have read it already.
const flightTime = 2 * time.Second

// Unfenced is the lease for calls to a receiver that does not check fencing numbers, so that a call of an earlier holder which
// arrives late would take effect. The holder itself judges whether a call may still be sent.
//
// A call is sent only if its whole time limit ends before the lease does, on the clock of Elector.Now. A new holder claims after the
// earlier lease and the drift allowance, and sends its first call flightTime later.
type Unfenced struct {
	*Elector
}

// Authority returns the fencing number, or ErrNotHolder also while calls of earlier holders may still arrive.
func (u Unfenced) Authority() (identifier.Fence, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.unfencedAuthority()
}

// unfencedAuthority is Authority for a caller that holds mu.
func (u Unfenced) unfencedAuthority() (identifier.Fence, error) {
	fence, err := u.authority()
	if err == nil && u.Now() < u.precededUntil {
		return 0, ErrNotHolder
	}
	return fence, err
}

// WithLease calls send with the fencing number if the lease outlasts the time limit of a call. The context of send ends at that
// limit, and CheckSend with it tells whether the call may still be sent.
func (u Unfenced) WithLease(ctx context.Context, send func(ctx context.Context, fence identifier.Fence) error) error {
	u.mu.Lock()
	fence, err := u.unfencedAuthority()
	limit := u.Now() + sendTimeout
	outlasts := limit < u.expiresAt
	u.mu.Unlock()
	switch {
	case err != nil:
		return err
	case !outlasts:
		return ErrNotHolder
	}
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	check := func() error { return u.checkSend(fence, limit) }
	if err := check(); err != nil {
		return err
	}
	return send(context.WithValue(ctx, sendCheck{}, check), fence)
}

// checkSend returns ErrNotHolder unless a call under a fencing number may still be sent until its limit.
func (u Unfenced) checkSend(fence identifier.Fence, limit time.Duration) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	if held, err := u.unfencedAuthority(); err != nil || held != fence || u.Now() >= limit {
		return ErrNotHolder
	}
	return nil
}

// sendCheck is the key of the check in the context of a call.
type sendCheck struct{}

// Guarded reports whether a call with the context goes to a receiver that does not check fencing numbers.
func Guarded(ctx context.Context) bool { return ctx.Value(sendCheck{}) != nil }

// CheckSend returns ErrNotHolder if a call with the context of Unfenced.WithLease must not be sent any more. It is to be asked right
// before the first byte is sent. Other contexts have no check.
func CheckSend(ctx context.Context) error {
	if check, ok := ctx.Value(sendCheck{}).(func() error); ok {
		return check()
	}
	return nil
}
