package tailer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrUnconfirmed is returned by Append when the records were not read back before its context ended; they may still
// take effect.
var ErrUnconfirmed = errors.New("append not confirmed")

const (
	// readWait is how long the platform holds a read open when there is no new record.
	readWait    = 500 * time.Millisecond
	readTimeout = 2 * time.Second
	// appendTimeout limits one append call and, after a successful one, the wait until its records are read back.
	appendTimeout = time.Second
	retryInitial  = 20 * time.Millisecond
	retryMaximum  = 400 * time.Millisecond
	// readBackWait is the minimum wait for the records of a failed append, which may have taken effect.
	readBackWait = 300 * time.Millisecond
	// maximumPending is the number of appended records that may wait to be read back.
	maximumPending = 1 << 16
)

// Log is the part of the platform's client that a Tailer uses.
type Log interface {
	Append(ctx context.Context, stream identifier.StreamID, records [][]byte) (identifier.Offset, error)
	Read(ctx context.Context, stream identifier.StreamID, from identifier.Offset, wait time.Duration) (provider.Page, error)
}

// Fold is a state that is a pure function of a stream's records.
type Fold interface {
	Apply(offset identifier.Offset, r *recorder.Record)
	Next() identifier.Offset
	Snapshot() ([]byte, error)
	Restore(state []byte) error
}

// Tailer follows one stream; Stream, Log, Fold and Writer must be set before Run.
type Tailer struct {
	Stream identifier.StreamID
	Log    Log
	Fold   Fold
	Writer identifier.InstanceID
	Logger *zap.Logger
	// OnApply, if set, is called with the fold locked after records were applied or a snapshot was installed.
	OnApply func()

	mu sync.Mutex
	// changed is closed at the next change of the fold; it is nil while nobody waits.
	changed chan struct{}
	// pending holds the appended records that were not yet read back, by record ID.
	pending     map[string]*readBack
	freshAt     time.Time
	reachable   bool
	caughtUp    bool
	readFromLog bool
}

// readBack is the offset at which an appended record was read back, valid once done is closed.
type readBack struct {
	done   chan struct{}
	offset identifier.Offset
}

// Run follows the stream until ctx ends.
func (t *Tailer) Run(ctx context.Context) {
	retry := newRetry()
	for ctx.Err() == nil {
		err := t.step(ctx)
		if err == nil {
			retry.Reset()
			continue
		}
		t.markUnreachable(err)
		sleeper.Sleep(ctx, retry.NextBackOff())
	}
}

// Query runs f with the fold locked, so that no record is applied meanwhile.
func (t *Tailer) Query(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// FreshAt returns the latest instant at which the fold was known to contain the whole stream.
func (t *Tailer) FreshAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.freshAt
}

// Reachable reports whether the last read of the stream succeeded.
func (t *Tailer) Reachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reachable
}

// CaughtUp reports whether the fold has ever contained the whole stream.
func (t *Tailer) CaughtUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caughtUp
}

// ReadFromLog reports whether this process itself has read the stream to its end, not only installed a peer's snapshot.
func (t *Tailer) ReadFromLog() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.readFromLog
}

// Next returns the offset after the last applied record.
func (t *Tailer) Next() identifier.Offset {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Fold.Next()
}

// InstallSnapshot replaces the state with a peer's if that is newer. freshAt is when the peer's state was known to
// contain the whole stream.
func (t *Tailer) InstallSnapshot(next identifier.Offset, state []byte, freshAt time.Time) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if next > t.Fold.Next() {
		if err := t.Fold.Restore(state); err != nil {
			return fmt.Errorf("restore %s: %w", t.Stream, err)
		}
		t.signal()
	}
	t.caughtUp = true
	if next >= t.Fold.Next() && freshAt.After(t.freshAt) {
		t.freshAt = freshAt
	}
	return nil
}

// ConfirmFresh records that a peer's state was known to contain the whole stream at freshAt. It has an effect only if
// both have applied the same records.
func (t *Tailer) ConfirmFresh(next identifier.Offset, freshAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.caughtUp && next == t.Fold.Next() && freshAt.After(t.freshAt) {
		t.freshAt = freshAt
	}
}

// WaitFor waits until cond returns true, or until ctx ends and then returns its error. cond is called with the fold
// locked.
func (t *Tailer) WaitFor(ctx context.Context, cond func() bool) error {
	for {
		t.mu.Lock()
		ok := cond()
		changed := t.watch()
		t.mu.Unlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// NewRecord returns an empty record with this writer and a new ID.
func (t *Tailer) NewRecord() *recorder.Record {
	return &recorder.Record{ID: uuid.NewString(), Writer: string(t.Writer)}
}

// Append appends records and returns the offset of the first once all were read back. It retries until then, or until
// the platform refuses the records or ctx ends; with ErrUnconfirmed they may still take effect.
func (t *Tailer) Append(ctx context.Context, records ...*recorder.Record) (identifier.Offset, error) {
	data := make([][]byte, len(records))
	waits := make([]*readBack, len(records))
	for i, r := range records {
		b, err := proto.Marshal(r)
		if err != nil {
			return 0, fmt.Errorf("encode record: %w", err)
		}
		data[i] = b
	}
	if err := t.register(records, waits); err != nil {
		return 0, err
	}
	defer t.unregister(records)
	last := waits[len(waits)-1]
	retry := newRetry()
	for {
		sendErr := t.send(ctx, data)
		wait := readBackWait + retry.NextBackOff()
		if sendErr == nil {
			wait = appendTimeout
		}
		if awaitReadBack(ctx, last.done, wait) {
			return waits[0].offset, nil
		}
		if errors.Is(sendErr, provider.ErrRefused) {
			return 0, sendErr
		}
		if ctx.Err() != nil {
			return 0, fmt.Errorf("%w: stream %s: %w", ErrUnconfirmed, t.Stream, ctx.Err())
		}
	}
}

// AppendCheckpoint appends a checkpoint of the folded state, so that older records may expire.
func (t *Tailer) AppendCheckpoint(ctx context.Context) error {
	var state []byte
	var next identifier.Offset
	var err error
	t.Query(func() {
		state, err = t.Fold.Snapshot()
		next = t.Fold.Next()
	})
	if err != nil {
		return fmt.Errorf("snapshot %s: %w", t.Stream, err)
	}
	r := t.NewRecord()
	r.Body = &recorder.Record_Checkpoint{Checkpoint: &recorder.Checkpoint{Next: uint64(next), State: state}}
	_, err = t.Append(ctx, r)
	return err
}

func (t *Tailer) send(ctx context.Context, data [][]byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := t.Log.Append(ctx, t.Stream, data)
	return err
}

func (t *Tailer) register(records []*recorder.Record, waits []*readBack) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending == nil {
		t.pending = map[string]*readBack{}
	}
	if len(t.pending)+len(records) > maximumPending {
		return fmt.Errorf("%w: too many appends wait", provider.ErrRefused)
	}
	for i, r := range records {
		waits[i] = &readBack{done: make(chan struct{})}
		t.pending[r.ID] = waits[i]
	}
	return nil
}

func (t *Tailer) unregister(records []*recorder.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range records {
		delete(t.pending, r.ID)
	}
}

// step reads one page and applies it. It bootstraps instead until the fold has caught up, and when the log was truncated
// beyond the next offset.
func (t *Tailer) step(ctx context.Context) error {
	t.mu.Lock()
	from, caughtUp := t.Fold.Next(), t.caughtUp
	t.mu.Unlock()
	if !caughtUp {
		return t.bootstrap(ctx)
	}
	page, started, err := t.read(ctx, from, readWait)
	if errors.Is(err, provider.ErrTruncated) {
		return t.bootstrap(ctx)
	}
	if err != nil {
		return err
	}
	t.apply(page, started)
	return nil
}

func (t *Tailer) read(ctx context.Context, from identifier.Offset, wait time.Duration) (provider.Page, time.Time, error) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	page, err := t.Log.Read(ctx, t.Stream, from, wait)
	return page, started, err
}

func (t *Tailer) apply(page provider.Page, started time.Time) {
	records := decode(page)
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, r := range records {
		t.applyOne(page.Offset+identifier.Offset(i), r)
	}
	t.markRead(page.End, started)
	if len(records) > 0 {
		t.signal()
	}
}

// applyOne applies a record if it is the next one of the stream, and completes the append that waits for it.
func (t *Tailer) applyOne(offset identifier.Offset, r *recorder.Record) {
	if offset != t.Fold.Next() {
		return
	}
	t.Fold.Apply(offset, r)
	if w, ok := t.pending[r.ID]; ok && !closed(w.done) {
		w.offset = offset
		close(w.done)
	}
}

// markRead records a successful read that began at started. If the fold has reached end, the end of the stream at that
// read, it contained the whole stream at started.
func (t *Tailer) markRead(end identifier.Offset, started time.Time) {
	t.reachable = true
	if t.Fold.Next() < end {
		return
	}
	t.caughtUp = true
	t.readFromLog = true
	if started.After(t.freshAt) {
		t.freshAt = started
	}
}

func (t *Tailer) markUnreachable(err error) {
	t.mu.Lock()
	t.reachable = false
	t.mu.Unlock()
	if t.Logger != nil {
		t.Logger.Debug("stream read failed", zap.String("Stream", string(t.Stream)), zap.Error(err))
	}
}

// signal wakes the callers of WaitFor and calls OnApply.
func (t *Tailer) signal() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	if t.OnApply != nil {
		t.OnApply()
	}
}

// watch returns a channel that is closed at the next change of the fold.
func (t *Tailer) watch() <-chan struct{} {
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// decode returns the records of a page. One that cannot be decoded becomes an empty record, so that it has no effect at
// any reader.
func decode(page provider.Page) []*recorder.Record {
	records := make([]*recorder.Record, len(page.Records))
	for i, data := range page.Records {
		records[i] = &recorder.Record{}
		if err := proto.Unmarshal(data, records[i]); err != nil {
			records[i] = &recorder.Record{}
		}
	}
	return records
}

func awaitReadBack(ctx context.Context, done <-chan struct{}, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return closed(done)
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func newRetry() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = retryInitial
	b.MaxInterval = retryMaximum
	return b
}
