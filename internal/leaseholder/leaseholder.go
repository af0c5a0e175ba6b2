package leaseholder

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/authorizer"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrNotHeld is returned when the lease is not held, or is held under another fencing number.
var ErrNotHeld = errors.New("lease not held")

const (
	// renewalsPerLease sets when a renewal is due: once 1/renewalsPerLease of the lease has passed.
	renewalsPerLease = 4
	// pollsPerLease is how many times per lease duration the holder checks whether to renew or claim.
	pollsPerLease = 20
)

// Holder claims the lease of one scope and renews it until Run ends; all exported fields must be set.
type Holder struct {
	Scope   string
	ID      string
	Control *tailer.Tailer
	Fold    *authorizer.Fold
	Lease   time.Duration
	// DriftMargin is how much longer than the lease a contender waits, to allow for clock drift.
	DriftMargin time.Duration
	Logger      *zap.Logger

	mu         sync.Mutex
	fence      identifier.Fence
	expiresAt  time.Time
	seenOffset uint64
	seenAt     time.Time
}

// Authority returns the fencing number and the remaining time of the lease, or ErrNotHeld.
func (h *Holder) Authority() (identifier.Fence, time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	remaining := time.Until(h.expiresAt)
	if remaining <= 0 {
		return 0, 0, ErrNotHeld
	}
	return h.fence, remaining, nil
}

// WithLease runs send if the lease is held under fence, for at most timeout and no longer than the lease lasts.
func (h *Holder) WithLease(ctx context.Context, fence identifier.Fence, timeout time.Duration, send func(ctx context.Context) error) error {
	current, remaining, err := h.Authority()
	if err != nil {
		return err
	}
	if current != fence {
		return fmt.Errorf("%w: fencing number %d was superseded by %d", ErrNotHeld, fence, current)
	}
	asserter.That(remaining > 0 && remaining <= h.Lease, asserter.LeaseHeldAtSend, "%s remaining of a lease of %s", remaining, h.Lease)
	ctx, cancel := context.WithTimeout(ctx, min(timeout, remaining))
	defer cancel()
	return send(ctx)
}

// Run claims and renews the lease until ctx ends, then releases it.
func (h *Holder) Run(ctx context.Context) {
	ticker := time.NewTicker(h.Lease / pollsPerLease)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			h.release()
			return
		case <-ticker.C:
		}
		h.step(ctx)
	}
}

// step renews the lease when a renewal is due, or claims it once it is free.
func (h *Holder) step(ctx context.Context) {
	if !h.Control.CaughtUp() {
		return
	}
	lease := h.observe()
	_, remaining, err := h.Authority()
	switch {
	case err == nil && remaining < h.Lease-h.Lease/renewalsPerLease:
		h.renew(ctx, false)
	case err == nil:
		return
	case h.expired(lease):
		h.claim(ctx, lease)
	}
}

// observe returns the lease as folded from the log and records when its latest claim or renewal was first seen here. It
// ends the lease locally once the log has it under another fencing number.
func (h *Holder) observe() *recorder.Lease {
	var lease *recorder.Lease
	h.Control.Query(func() { lease = h.Fold.Lease(h.Scope) })
	h.mu.Lock()
	defer h.mu.Unlock()
	if lease.SeenOffset != h.seenOffset || h.seenAt.IsZero() {
		h.seenOffset = lease.SeenOffset
		h.seenAt = time.Now()
	}
	if h.fence != 0 && lease.Fence != uint64(h.fence) {
		h.expiresAt = time.Time{}
	}
	return lease
}

// expired reports whether the lease may be claimed: it was never held, was released, or was not renewed for its
// duration plus the drift margin.
func (h *Holder) expired(lease *recorder.Lease) bool {
	if lease.Released || lease.Fence == 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.seenAt) > h.Lease+h.DriftMargin
}

// claim appends a claim and takes the lease if the claim won. The fencing number of a claim is its offset plus one.
func (h *Holder) claim(ctx context.Context, lease *recorder.Lease) {
	r := h.Control.NewRecord()
	r.Body = &recorder.Record_Claim{Claim: &recorder.Claim{Scope: h.Scope, Holder: h.ID, SeenOffset: lease.SeenOffset}}
	sentAt := time.Now()
	offset, err := h.append(ctx, r)
	if err != nil {
		return
	}
	var current *recorder.Lease
	h.Control.Query(func() { current = h.Fold.Lease(h.Scope) })
	if current.Fence != uint64(offset)+1 || current.Holder != h.ID {
		return
	}
	h.extend(identifier.Fence(current.Fence), sentAt)
	h.Logger.Info("lease claimed", zap.String("Scope", h.Scope), zap.Uint64("Fence", current.Fence))
}

// renew appends a renewal, or a release if release is set. It extends the lease locally after a renewal, and ends it
// after a release or if another claim came first.
func (h *Holder) renew(ctx context.Context, release bool) {
	h.mu.Lock()
	fence := h.fence
	h.mu.Unlock()
	r := h.Control.NewRecord()
	r.Body = &recorder.Record_Renew{Renew: &recorder.Renew{Scope: h.Scope, Holder: h.ID, Fence: uint64(fence), Release: release}}
	sentAt := time.Now()
	if _, err := h.append(ctx, r); err != nil {
		return
	}
	var current *recorder.Lease
	h.Control.Query(func() { current = h.Fold.Lease(h.Scope) })
	if current.Fence != uint64(fence) || release {
		h.invalidate()
		return
	}
	h.extend(fence, sentAt)
}

// release ends the lease locally before it appends the release, so that nothing is sent under a lease that another
// instance may have claimed already.
func (h *Holder) release() {
	if _, _, err := h.Authority(); err != nil {
		return
	}
	h.invalidate()
	ctx, cancel := context.WithTimeout(context.Background(), h.Lease)
	defer cancel()
	h.renew(ctx, true)
}

func (h *Holder) append(ctx context.Context, r *recorder.Record) (identifier.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Lease)
	defer cancel()
	return h.Control.Append(ctx, r)
}

// extend sets the end of the lease, counted from the instant before its claim or renewal was sent.
func (h *Holder) extend(fence identifier.Fence, sentAt time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	asserter.That(fence >= h.fence, asserter.FenceRises, "fencing number %d after %d", fence, h.fence)
	h.fence = fence
	h.expiresAt = sentAt.Add(h.Lease)
}

// invalidate ends the lease locally.
func (h *Holder) invalidate() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.expiresAt = time.Time{}
}
