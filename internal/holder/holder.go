package holder

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

// ErrNotHeld is returned when the lease is not held, or not for long enough.
var ErrNotHeld = errors.New("lease not held")

const (
	renewalsPerLease = 4
	pollsPerLease    = 20
)

// Holder claims the lease of one scope and renews it while it can; all exported fields must be set.
type Holder struct {
	Scope       string
	ID          string
	Control     *tailer.Tailer
	Fold        *authorizer.Fold
	Lease       time.Duration
	DriftMargin time.Duration
	Logger      *zap.Logger

	mu     sync.Mutex
	fence  identifier.Fence
	until  time.Time
	seen   uint64
	seenAt time.Time
}

// Authority returns the fencing number and how long the lease still lasts, or ErrLost.
func (h *Holder) Authority() (identifier.Fence, time.Duration, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	remaining := time.Until(h.until)
	if remaining <= 0 {
		return 0, 0, ErrNotHeld
	}
	return h.fence, remaining, nil
}

// WithLease runs send under the lease, with a time limit that ends before the lease does.
func (h *Holder) WithLease(ctx context.Context, fence identifier.Fence, timeout time.Duration, send func(ctx context.Context) error) error {
	held, remaining, err := h.Authority()
	if err != nil {
		return err
	}
	if held != fence {
		return fmt.Errorf("%w: fencing number %d was superseded by %d", ErrNotHeld, fence, held)
	}
	asserter.That(remaining > 0 && remaining <= h.Lease, asserter.LeaseHeldAtSend, "%s left of %s", remaining, h.Lease)
	ctx, cancel := context.WithTimeout(ctx, min(timeout, remaining))
	defer cancel()
	return send(ctx)
}

// Run claims and renews until ctx ends, then releases the lease.
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

// observe reads the lease and notes when its last renewal was first seen here.
func (h *Holder) observe() *recorder.Lease {
	var lease *recorder.Lease
	h.Control.Query(func() { lease = h.Fold.Lease(h.Scope) })
	h.mu.Lock()
	defer h.mu.Unlock()
	if lease.SeenOffset != h.seen || h.seenAt.IsZero() {
		h.seen = lease.SeenOffset
		h.seenAt = time.Now()
	}
	if h.fence != 0 && lease.Fence != uint64(h.fence) {
		h.until = time.Time{}
	}
	return lease
}

func (h *Holder) expired(lease *recorder.Lease) bool {
	if lease.Released || lease.Fence == 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Since(h.seenAt) > h.Lease+h.DriftMargin
}

func (h *Holder) claim(ctx context.Context, lease *recorder.Lease) {
	r := h.Control.NewRecord()
	r.Body = &recorder.Record_Claim{Claim: &recorder.Claim{Scope: h.Scope, Holder: h.ID, SeenOffset: lease.SeenOffset}}
	started := time.Now()
	offset, err := h.append(ctx, r)
	if err != nil {
		return
	}
	var now *recorder.Lease
	h.Control.Query(func() { now = h.Fold.Lease(h.Scope) })
	if now.Fence != uint64(offset)+1 || now.Holder != h.ID {
		return
	}
	h.hold(identifier.Fence(now.Fence), started)
	h.Logger.Info("lease claimed", zap.String("Scope", h.Scope), zap.Uint64("Fence", now.Fence))
}

func (h *Holder) renew(ctx context.Context, release bool) {
	h.mu.Lock()
	fence := h.fence
	h.mu.Unlock()
	r := h.Control.NewRecord()
	r.Body = &recorder.Record_Renew{Renew: &recorder.Renew{Scope: h.Scope, Holder: h.ID, Fence: uint64(fence), Release: release}}
	started := time.Now()
	if _, err := h.append(ctx, r); err != nil {
		return
	}
	var now *recorder.Lease
	h.Control.Query(func() { now = h.Fold.Lease(h.Scope) })
	if now.Fence != uint64(fence) || release {
		h.lose()
		return
	}
	h.hold(fence, started)
}

func (h *Holder) release() {
	if _, _, err := h.Authority(); err != nil {
		return
	}
	h.lose()
	ctx, cancel := context.WithTimeout(context.Background(), h.Lease)
	defer cancel()
	h.renew(ctx, true)
}

func (h *Holder) append(ctx context.Context, r *recorder.Record) (identifier.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, h.Lease)
	defer cancel()
	return h.Control.Append(ctx, r)
}

// hold extends the lease from the instant before its claim or renewal was sent.
func (h *Holder) hold(fence identifier.Fence, started time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	asserter.That(fence >= h.fence, asserter.FenceRises, "fence %d after %d", fence, h.fence)
	h.fence = fence
	h.until = started.Add(h.Lease)
}

func (h *Holder) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.until = time.Time{}
}
