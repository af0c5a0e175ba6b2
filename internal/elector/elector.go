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

// Errors of the elector and its log. After any other error of an append, the record may have been appended or may still
// be appended later.
var (
	// ErrLogAdvanced is returned when the log does not end at the offset that the writer expected.
	ErrLogAdvanced = errors.New("log does not end at the expected offset")
	// ErrRefused is returned when the store refused the call and changed nothing.
	ErrRefused = errors.New("store refused the call")
	// ErrFenced is returned by a receiver that has seen a higher fencing number, or that cannot provide what was ordered.
	ErrFenced = errors.New("refused by fencing number")
	// ErrEraChanged is returned when the store has come back from an older copy during a call.
	ErrEraChanged = errors.New("the era of the store has changed")
	// ErrNotHolder is returned when this instance does not hold the lease, or its lease has expired.
	ErrNotHolder = errors.New("duties not held")
)

// Log is a log that accepts a record only at its current end.
type Log interface {
	// Append adds a record if the log ends at the given offset.
	Append(ctx context.Context, end identifier.Offset, record []byte) error
	// Read returns all records starting at an offset, and the offset after the last of them. Records that have expired
	// are skipped.
	Read(ctx context.Context, from identifier.Offset) ([][]byte, identifier.Offset, error)
	// Era returns the highest era of the store that is known. An answer of an earlier one is an error.
	Era() identifier.Era
}

const (
	// renewalsPerLease is the number of renewals within the duration of one lease.
	renewalsPerLease = 3
	// driftFraction is the additional wait of contenders, as a fraction of the lease, to allow for clock drift.
	driftFraction = 0.15
	// stepInterval is the time between two checks of the lease.
	stepInterval = 100 * time.Millisecond
	// sendTimeout bounds one call, so that a store that does not respond delays the holder by less than a lease.
	sendTimeout = 800 * time.Millisecond
)

// LogHead describes the newest record of the log that an instance knows of.
type LogHead struct {
	// Holder and Fence are those of the newest claim that was read; Next may be after records that were not read yet.
	Holder string
	Fence  identifier.Fence
	// Next is the position after that record.
	Next identifier.Position
	// Age is the time since the record was first known to be in the log.
	Age time.Duration
}

// Elector claims and renews the lease; exported fields must be set before Run.
//
// Authority ends one lease after the last successful claim or renewal was sent. A contender claims once it has known
// of no newer record for the duration of a lease plus the drift allowance. The claim is appended only if the log still
// ends there, so a renewal in flight either is appended first and invalidates the claim, or is refused. A lease is
// never released early, so the first action of the next holder comes a whole lease after the last action of this one.
//
// When the store comes back from an older copy, the records that granted a lease may be lost and their offsets given out
// again. A new era of the store therefore ends the authority of the holder that learns of it. Contenders read the log
// again and wait a whole lease from then on, as after a renewal. A holder that has not learned of the era sent its last
// renewal before the return, so its authority ends before theirs begins. Fencing numbers rise with the era.
//
// The closes of usage windows may be lost as well, after a holder has reported their figures. CompleteFrom tells which windows this
// concerns: those that had ended when this instance learned of the era, unless it held the lease then, or a holder of the era has told
// in the log that it knows more.
type Elector struct {
	Holder string
	Log    Log
	Lease  time.Duration
	Logger *zap.Logger
	// Now is a monotonic clock that keeps running while the machine is suspended.
	Now func() time.Duration
	// MayHold reports whether this instance can do the duties; while it cannot, it does not renew its lease. nil means that it can.
	MayHold func() bool
	// Eligible reports whether this instance may claim a lease that has been expired for the given time.
	Eligible func(expiredFor time.Duration) bool
	// Window returns the number of the usage window in which the given time ago was. It is called with the lock held; nil means that no
	// windows are closed.
	Window func(ago time.Duration) int64

	mu sync.Mutex
	// era is the era of the store to which fold, peerNext and fence belong.
	era  identifier.Era
	fold Fold
	// remembered holds the figures of windows that are known to have been closed, also if the log has lost them.
	remembered map[int64]Figures
	// enteredAt is when this instance learned of the era, on the clock of Now. If it held the lease then, it knows all closes of earlier
	// eras from the window inherited on; else inherited is nil.
	enteredAt time.Duration
	inherited *int64
	// headSince is when the newest record was first known to be in the log, on the clock of Now.
	headSince time.Duration
	logRead   bool
	expiresAt time.Duration
	// precededUntil is when calls of earlier holders can no longer arrive.
	precededUntil time.Duration
	// peerNext is the offset after the newest record that a peer reported; records from fold.Next on are not read yet.
	peerNext identifier.Offset
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
	if e.fence == 0 || e.Now() >= e.expiresAt || e.Log.Era() != e.era {
		return 0, ErrNotHolder
	}
	return e.fence, nil
}

// enterEra discards what belongs to an earlier era of the store.
func (e *Elector) enterEra() {
	era := e.Log.Era()
	e.mu.Lock()
	defer e.mu.Unlock()
	if era <= e.era {
		return
	}
	e.Logger.Info("duties log is of a new era", zap.Uint64("Was", uint64(e.era)), zap.Uint64("Era", uint64(era)),
		zap.Uint64("End", uint64(e.fold.Next)), zap.Uint64("Fence", uint64(e.fold.Fence)))
	for window, figures := range e.fold.Closed {
		e.remember(window, figures)
	}
	held, from := e.fence != 0 && e.Now() < e.expiresAt, e.completeFrom()
	if e.inherited = nil; held {
		e.inherited = &from // Nobody else can have closed a window before this lease ends.
	}
	e.enteredAt = e.Now()
	e.era, e.fold, e.peerNext, e.logRead = era, Fold{Era: era}, 0, false
	e.headSince = e.Now()
	e.dropLease("new era")
}

// WithLease calls send with the fencing number if the lease is held; the context of send ends before the lease does.
func (e *Elector) WithLease(ctx context.Context, send func(ctx context.Context, fence identifier.Fence) error) error {
	e.mu.Lock()
	fence, err := e.authority()
	remaining := e.expiresAt - e.Now()
	e.mu.Unlock()
	if err != nil {
		return err
	}
	asserter.That(remaining > 0 && remaining <= e.Lease, asserter.LeaseHeldAtSend, "%s remain of a lease of %s", remaining, e.Lease)
	ctx, cancel := context.WithTimeout(ctx, min(sendTimeout, remaining))
	defer cancel()
	return send(ctx, fence)
}

// Run claims and renews the lease until ctx ends; the lease then expires by itself.
func (e *Elector) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, stepInterval) == nil {
		e.step(ctx)
	}
}

// Head returns the newest record that this instance knows of, or false if it has not read the log yet.
func (e *Elector) Head() (LogHead, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := identifier.Position{Era: e.era, Offset: max(e.fold.Next, e.peerNext)}
	return LogHead{Holder: e.fold.Holder, Fence: e.fold.Fence, Next: next, Age: e.Now() - e.headSince}, e.logRead
}

// ReceiveHead takes the head of the log that a peer reports, so that contenders need not read the log. A head of another
// era is ignored.
func (e *Elector) ReceiveHead(h LogHead) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if h.Next.Era != e.era || h.Next.Offset <= max(e.peerNext, e.fold.Next) {
		return
	}
	// For the lease it is enough to know that the records exist; their contents are read before they are needed.
	e.peerNext = h.Next.Offset
	e.headSince = max(e.headSince, e.Now()-h.Age)
	if h.Fence > e.fence {
		e.dropLease("superseded")
	}
}

// Closed returns the closed windows that the fold still holds.
func (e *Elector) Closed() map[int64]Figures {
	e.mu.Lock()
	defer e.mu.Unlock()
	return maps.Clone(e.fold.Closed)
}

// Remembered returns the figures of all windows that are known to have been closed, also of those that the log has lost.
// They come before those in the log, where a late record may have taken the place of a lost one.
func (e *Elector) Remembered() map[int64]Figures {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := maps.Clone(e.fold.Closed)
	if all == nil {
		all = map[int64]Figures{}
	}
	maps.Copy(all, e.remembered)
	return all
}

// CompleteFrom returns the first window from which on each close that was ever made is known to a holder. An earlier window that is neither
// closed nor remembered may have been closed, and reported, in an earlier era of the store.
func (e *Elector) CompleteFrom() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.completeFrom()
}

// completeFrom is CompleteFrom for a caller that holds mu.
func (e *Elector) completeFrom() int64 {
	if e.era == 0 || e.Window == nil {
		return 0 // The log has lost nothing.
	}
	from := e.Window(e.Now() - e.enteredAt)
	for _, told := range []*int64{e.inherited, e.fold.completeFrom} {
		if told != nil {
			from = min(from, *told)
		}
	}
	return from
}

// loggedFrom returns the first window from which on the log has each close that was ever made. A window that is only remembered is not in
// the log. The caller must hold mu.
func (e *Elector) loggedFrom() int64 {
	from := e.completeFrom()
	for window := range e.remembered {
		if _, closed := e.fold.Closed[window]; !closed {
			from = max(from, window+1)
		}
	}
	return from
}

// Remember records the figures of a window that a peer knows to have been closed. The first figures stand.
func (e *Elector) Remember(window int64, figures Figures) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, closed := e.fold.Closed[window]; !closed {
		e.remember(window, figures)
	}
}

// remember records the figures of a closed window. The caller must hold mu.
func (e *Elector) remember(window int64, figures Figures) {
	if e.remembered == nil {
		e.remembered = map[int64]Figures{}
	}
	if _, known := e.remembered[window]; known {
		return
	}
	e.remembered[window] = figures
	dropOldest(e.remembered, window)
}

// Close fixes the figures of a window. After it returns without an error, the log holds figures for the window.
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
	e.enterEra()
	e.mu.Lock()
	_, err := e.authority()
	remaining := e.expiresAt - e.Now()
	expiredFor := e.Now() - e.headSince - e.Lease - time.Duration(driftFraction*float64(e.Lease))
	expired := expiredFor > 0
	fence, stale, logRead := e.fence, e.peerNext > e.fold.Next, e.logRead
	e.mu.Unlock()
	switch {
	case err == nil && e.MayHold != nil && !e.MayHold(): // The lease runs out, and another instance claims it.
	case err == nil && remaining < e.Lease-e.Lease/renewalsPerLease:
		e.renew(ctx, fence)
	case err == nil: // The lease is held, and its renewal is not due yet.
	case !logRead, expired && stale && e.Eligible(expiredFor):
		if _, err := e.catchUp(ctx); err != nil {
			e.Logger.Debug("cannot read the duties log", zap.Error(err))
		}
	case expired && e.Eligible(expiredFor):
		e.claim(ctx)
	}
}

// catchUp reads the log to its end, applies the new records and returns them.
func (e *Elector) catchUp(ctx context.Context) ([][]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	e.mu.Lock()
	era, from := e.era, e.fold.Next
	e.mu.Unlock()
	records, next, err := e.Log.Read(ctx, from)
	if err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.era != era || e.Log.Era() != era {
		return nil, fmt.Errorf("%w: it was %d", ErrEraChanged, era)
	}
	if e.fold.Next != from {
		return nil, fmt.Errorf("%w: it advanced while it was read from offset %d", ErrLogAdvanced, from)
	}
	e.fold.Next = next - identifier.Offset(len(records))
	for _, r := range records {
		e.fold.Apply(r)
	}
	switch {
	case e.fold.Next == 0 && e.era == 0:
		// A log that was always empty has no holder to wait for.
		e.headSince = e.Now() - 2*e.Lease
	case !e.logRead, len(records) > 0 && e.fold.Next > e.peerNext:
		e.headSince = e.Now()
	}
	e.logRead = true
	if e.fold.Fence > e.fence {
		e.dropLease("superseded")
	}
	return records, nil
}

func (e *Elector) claim(ctx context.Context) {
	e.mu.Lock()
	end, from := identifier.Position{Era: e.era, Offset: e.fold.Next}, e.loggedFrom()
	if end != (identifier.Position{}) {
		e.precededUntil = e.Now() + flightTime
	}
	e.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	started := e.Now()
	err := e.append(ctx, &Duty{Body: &Duty_Claim{Claim: &Claim{Holder: e.Holder, Attempt: e.nextAttempt(), Era: uint64(end.Era), CompleteFrom: &from}}})
	if err != nil {
		e.Logger.Info("claim failed", zap.Uint64("Era", uint64(end.Era)), zap.Uint64("End", uint64(end.Offset)), zap.Error(err))
		return
	}
	fence := identifier.FenceAt(end)
	e.setLease(fence, started)
	e.Logger.Info("duties claimed", zap.Uint64("Fence", uint64(fence)), zap.Int64("CompleteFrom", from))
}

func (e *Elector) renew(ctx context.Context, fence identifier.Fence) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	e.mu.Lock()
	from := e.loggedFrom()
	e.mu.Unlock()
	started := e.Now()
	renewal := &Renewal{Holder: e.Holder, Fence: uint64(fence), Attempt: e.nextAttempt(), CompleteFrom: &from}
	err := e.append(ctx, &Duty{Body: &Duty_Renewal{Renewal: renewal}})
	if err != nil {
		e.Logger.Info("renewal failed", zap.Uint64("Fence", uint64(fence)), zap.Error(err))
		return
	}
	e.setLease(fence, started)
}

// nextAttempt numbers claims and renewals, so that a delayed one cannot be mistaken for a later one: the lease would
// then count from a later time than the one at which other instances saw the record.
func (e *Elector) nextAttempt() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.attempts++
	return e.attempts
}

// append adds a record at the known end of the log. If the response is lost or the log has advanced, it reads the log
// back and returns nil if the record is there.
func (e *Elector) append(ctx context.Context, d *Duty) error {
	record, err := proto.Marshal(d)
	if err != nil {
		return err
	}
	e.mu.Lock()
	era, end := e.era, e.fold.Next
	e.mu.Unlock()
	if e.Log.Era() != era {
		return fmt.Errorf("%w: it was %d", ErrEraChanged, era)
	}
	err = e.Log.Append(ctx, end, record)
	switch {
	case e.Log.Era() != era:
		return fmt.Errorf("%w: it was %d", ErrEraChanged, era)
	case err == nil:
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.era != era {
			return fmt.Errorf("%w: it was %d", ErrEraChanged, era)
		}
		if e.fold.Next != end {
			return fmt.Errorf("%w: it advanced while record %d was appended", ErrLogAdvanced, end)
		}
		e.fold.Apply(record)
		e.headSince = e.Now()
		return nil
	case errors.Is(err, ErrRefused):
		return err
	}
	// The record counts as appended if it is at its intended offset; a duplicate that arrives later only makes other
	// contenders wait.
	records, readErr := e.catchUp(context.WithoutCancel(ctx))
	if readErr != nil {
		return fmt.Errorf("%w; cannot read the log back: %w", err, readErr)
	}
	if len(records) == 0 || !bytes.Equal(records[0], record) {
		return err
	}
	return nil
}

// setLease starts or extends the lease, counted from the time at which the claim or renewal was sent.
func (e *Elector) setLease(fence identifier.Fence, started time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	asserter.That(fence >= e.fence, asserter.FenceRises, "fence %d after %d", fence, e.fence)
	if e.fold.Fence != fence || e.Log.Era() != e.era {
		return
	}
	e.fence = fence
	e.expiresAt = started + e.Lease
}

// dropLease ends the authority of this instance; the caller holds the lock.
func (e *Elector) dropLease(reason string) {
	if e.fence == 0 {
		return
	}
	e.fence, e.expiresAt = 0, 0
	e.Logger.Info("duties lost", zap.String("Reason", reason))
}
