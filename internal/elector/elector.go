package elector

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Errors of a log; any other error leaves open whether the record was or will be appended.
var (
	// ErrLogAdvanced is returned when the log does not end where the writer thought.
	ErrLogAdvanced = errors.New("log has moved on")
	// ErrRefused is returned when nothing was done.
	ErrRefused = errors.New("store refused the call")
	// ErrFenced is returned by a receiver that has seen a higher fencing number, or cannot give what was asked for.
	ErrFenced = errors.New("refused by fencing number")
	// ErrNotHolder is returned when the lease is not held, or not for long enough.
	ErrNotHolder = errors.New("duties not held")
)

// Log is a log whose records are appended only at its known end.
type Log interface {
	Append(ctx context.Context, end identifier.Offset, record []byte) error
	// Read returns the records from an offset on and the offset after them.
	Read(ctx context.Context, from identifier.Offset) ([][]byte, identifier.Offset, error)
}

const (
	// renewalsPerLease is how often a holder renews within one lease.
	renewalsPerLease = 3
	// driftPart is what contenders wait beyond the lease, as a part of it, for clocks that run apart.
	driftPart = 0.15
	// stepPause is how often the lease is looked at.
	stepPause = 100 * time.Millisecond
	// sendTimeout bounds one call, so that a silent store costs less than a lease.
	sendTimeout = 800 * time.Millisecond
)

// LogHead is the newest record of the log that an instance knows, and since when.
type LogHead struct {
	Holder string
	Fence  identifier.Fence
	// Next is the offset after that record.
	Next identifier.Offset
	// Age is how long ago it was first known to be there.
	Age time.Duration
}

// Elector claims and renews the lease; exported fields must be set before Run.
//
// Authority ends one lease after the last successful claim or renewal was sent. A contender claims once it has known
// of no newer record for a lease and the drift; the claim is appended only if the log still ends there, so a renewal
// that was on its way either comes first and voids the claim, or is refused. Nobody gives the lease back early: the
// next holder's first action then lies a whole lease after the last one here.
type Elector struct {
	Holder string
	Log    Log
	Lease  time.Duration
	Logger *zap.Logger
	// Now is a steady clock that goes on while the machine is suspended.
	Now func() time.Duration
	// Eligible answers whether this instance may claim a lease that ran out so long ago.
	Eligible func(since time.Duration) bool

	mu     sync.Mutex
	fold   Fold
	seenAt time.Duration
	read   bool
	until  time.Duration
	// heard is the offset after the newest record that a peer told of; beyond fold.Next it is not yet read.
	heard    identifier.Offset
	fence    identifier.Fence
	attempts uint64
}

// Authority returns the fencing number, or ErrNotHolder.
func (e *Elector) Authority() (identifier.Fence, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.authority()
}

func (e *Elector) authority() (identifier.Fence, error) {
	if e.fence == 0 || e.Now() >= e.until {
		return 0, ErrNotHolder
	}
	return e.fence, nil
}

// WithLease runs send under the lease with a time limit that ends before the lease does.
func (e *Elector) WithLease(ctx context.Context, send func(ctx context.Context, fence identifier.Fence) error) error {
	e.mu.Lock()
	fence, err := e.authority()
	remaining := e.until - e.Now()
	e.mu.Unlock()
	if err != nil {
		return err
	}
	asserter.That(remaining > 0 && remaining <= e.Lease, asserter.LeaseHeldAtSend, "%s left of %s", remaining, e.Lease)
	ctx, cancel := context.WithTimeout(ctx, min(sendTimeout, remaining))
	defer cancel()
	return send(ctx, fence)
}

// Run claims and renews until ctx ends; the lease then runs out by itself.
func (e *Elector) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, stepPause) == nil {
		e.step(ctx)
	}
}

// Head returns what this instance knows of the log, or false before it has read it.
func (e *Elector) Head() (LogHead, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return LogHead{Holder: e.fold.Holder, Fence: e.fold.Fence, Next: max(e.fold.Next, e.heard), Age: e.Now() - e.seenAt}, e.read
}

// ReceiveHead takes what a peer knows of the log, so that contenders need not read it.
func (e *Elector) ReceiveHead(s LogHead) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Next <= max(e.heard, e.fold.Next) {
		return
	}
	// The records themselves are read before they are needed; their being there is what counts for the lease.
	e.heard = s.Next
	e.seenAt = max(e.seenAt, e.Now()-s.Age)
	if s.Fence > e.fence {
		e.lose("superseded")
	}
}

// Closed returns the closed windows that the log still holds.
func (e *Elector) Closed() map[int64]Figures {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.fold.Closed)
}

// Close fixes the figures of a window; it returns once the log holds figures for it.
func (e *Elector) Close(ctx context.Context, window int64, figures Figures) error {
	requests := map[string]uint64{}
	for team, n := range figures {
		requests[string(team)] = n
	}
	return e.WithLease(ctx, func(ctx context.Context, fence identifier.Fence) error {
		return e.append(ctx, &Duty{Body: &Duty_Close{Close: &Close{Fence: uint64(fence), Window: window, Requests: requests}}})
	})
}

func (e *Elector) step(ctx context.Context) {
	e.mu.Lock()
	_, err := e.authority()
	remaining := e.until - e.Now()
	since := e.Now() - e.seenAt - e.Lease - time.Duration(driftPart*float64(e.Lease))
	lapsed := since > 0
	fence, stale, read := e.fence, e.heard > e.fold.Next, e.read
	e.mu.Unlock()
	switch {
	case err == nil && remaining < e.Lease-e.Lease/renewalsPerLease:
		e.renew(ctx, fence)
	case err == nil:
	case !read, lapsed && stale && e.Eligible(since):
		if _, err := e.catchUp(ctx); err != nil {
			e.Logger.Debug("duties' log not read", zap.Error(err))
		}
	case lapsed && e.Eligible(since):
		e.claim(ctx)
	}
}

// catchUp reads the log up to its end and returns the records that it read.
func (e *Elector) catchUp(ctx context.Context) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	e.mu.Lock()
	from := e.fold.Next
	e.mu.Unlock()
	records, _, err := e.Log.Read(ctx, from)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fold.Next != from {
		return nil, fmt.Errorf("%w: while it was read from %d", ErrLogAdvanced, from)
	}
	for _, r := range records {
		e.fold.Apply(r)
	}
	switch {
	case e.fold.Next == 0:
		// An empty log has no holder to wait for.
		e.seenAt = e.Now() - 2*e.Lease
	case !e.read, len(records) > 0 && e.fold.Next > e.heard:
		e.seenAt = e.Now()
	}
	e.read = true
	if e.fold.Fence > e.fence {
		e.lose("superseded")
	}
	return records, nil
}

func (e *Elector) claim(ctx context.Context) {
	e.mu.Lock()
	end := e.fold.Next
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	started := e.Now()
	err := e.append(ctx, &Duty{Body: &Duty_Claim{Claim: &Claim{Holder: e.Holder, Attempt: e.nextAttempt()}}})
	if err != nil {
		e.Logger.Info("claim failed", zap.Uint64("End", uint64(end)), zap.Error(err))
		return
	}
	e.hold(identifier.Fence(end)+1, started)
	e.Logger.Info("duties claimed", zap.Uint64("Fence", uint64(end)+1))
}

func (e *Elector) renew(ctx context.Context, fence identifier.Fence) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	started := e.Now()
	err := e.append(ctx, &Duty{Body: &Duty_Renewal{Renewal: &Renewal{Holder: e.Holder, Fence: uint64(fence), Attempt: e.nextAttempt()}}})
	if err != nil {
		e.Logger.Info("renewal failed", zap.Uint64("Fence", uint64(fence)), zap.Error(err))
		return
	}
	e.hold(fence, started)
}

// nextAttempt numbers claims and renewals: one that arrives late must not pass for a later one, whose lease would
// count from a later instant than others saw the record.
func (e *Elector) nextAttempt() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts++
	return e.attempts
}

// append adds a record at the known end. After a lost answer or a moved end it reads what is there and answers by that.
func (e *Elector) append(ctx context.Context, d *Duty) error {
	record, err := proto.Marshal(d)
	if err != nil {
		return err
	}
	e.mu.Lock()
	end := e.fold.Next
	e.mu.Unlock()
	err = e.Log.Append(ctx, end, record)
	switch {
	case err == nil:
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.fold.Next != end {
			return fmt.Errorf("%w: while record %d was appended", ErrLogAdvanced, end)
		}
		e.fold.Apply(record)
		e.seenAt = e.Now()
		return nil
	case errors.Is(err, ErrRefused):
		return err
	}
	// The record counts as appended if it stands where it was meant to; a copy that comes later only makes others wait.
	records, readErr := e.catchUp(context.WithoutCancel(ctx))
	if readErr != nil {
		return fmt.Errorf("%w; not read back: %w", err, readErr)
	}
	if len(records) == 0 || !bytes.Equal(records[0], record) {
		return err
	}
	return nil
}

func (e *Elector) hold(fence identifier.Fence, started time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	asserter.That(fence >= e.fence, asserter.FenceRises, "fence %d after %d", fence, e.fence)
	if e.fold.Fence != fence {
		return
	}
	e.fence = fence
	e.until = started + e.Lease
}

// lose gives up the duties; the caller holds the lock.
func (e *Elector) lose(reason string) {
	if e.fence == 0 {
		return
	}
	e.fence, e.until = 0, 0
	e.Logger.Info("duties lost", zap.String("Reason", reason))
}
