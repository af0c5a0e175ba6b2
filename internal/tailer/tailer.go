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

// ErrUnconfirmed is returned by Append when the records were not read back in time; they may still take effect.
var ErrUnconfirmed = errors.New("append not confirmed")

const (
	readWait       = 500 * time.Millisecond
	readTimeout    = 2 * time.Second
	appendTimeout  = time.Second
	retryInitial   = 20 * time.Millisecond
	retryMaximum   = 400 * time.Millisecond
	readBackWait   = 300 * time.Millisecond
	maximumPending = 1 << 16
)

// Log is the part of the platform that a tailer needs.
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
	Stream  identifier.StreamID
	Log     Log
	Fold    Fold
	Writer  identifier.InstanceID
	Logger  *zap.Logger
	OnApply func()

	mu        sync.Mutex
	changed   chan struct{}
	pending   map[string]*readBack
	freshAt     time.Time
	reachable bool
	caughtUp  bool
	readFromLog  bool
}

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
		t.noteFailure(err)
		sleeper.Sleep(ctx, retry.NextBackOff())
	}
}

// Query runs f while no record is applied.
func (t *Tailer) Query(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f()
}

// FreshAt returns the latest instant at which the fold was known to hold the whole stream.
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

// CaughtUp reports whether the fold has once held the whole stream.
func (t *Tailer) CaughtUp() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.caughtUp
}

// ReadFromLog reports whether the fold has held the whole stream by this process's own reading.
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

// InstallSnapshot replaces the state by a peer's newer one, known to be whole at the instant fresh.
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

// ConfirmFresh records that a peer with the same offset was fresh at the given instant.
func (t *Tailer) ConfirmFresh(next identifier.Offset, freshAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.caughtUp && next == t.Fold.Next() && freshAt.After(t.freshAt) {
		t.freshAt = freshAt
	}
}

// WaitFor returns once cond, called while no record is applied, is true, or with the error of ctx.
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

// NewRecord returns a record of this writer under a fresh id.
func (t *Tailer) NewRecord() *recorder.Record {
	return &recorder.Record{ID: uuid.NewString(), Writer: string(t.Writer)}
}

// Append adds records and returns the offset of the first once all were read back; ErrUnknown leaves the outcome open.
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
		sent := t.send(ctx, data)
		wait := readBackWait + retry.NextBackOff()
		if sent == nil {
			wait = appendTimeout
		}
		if awaitReadBack(ctx, last.done, wait) {
			return waits[0].offset, nil
		}
		if errors.Is(sent, provider.ErrRefused) {
			return 0, sent
		}
		if ctx.Err() != nil {
			return 0, fmt.Errorf("%w: stream %s: %w", ErrUnconfirmed, t.Stream, ctx.Err())
		}
	}
}

// AppendCheckpoint re-appends the folded state so that older records may expire.
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

// step reads one page and applies it, or starts over from a checkpoint where the log was truncated.
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
	t.noteRead(page.End, started)
	if len(records) > 0 {
		t.signal()
	}
}

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

func (t *Tailer) noteRead(end identifier.Offset, started time.Time) {
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

func (t *Tailer) noteFailure(err error) {
	t.mu.Lock()
	t.reachable = false
	t.mu.Unlock()
	if t.Logger != nil {
		t.Logger.Debug("stream read failed", zap.String("Stream", string(t.Stream)), zap.Error(err))
	}
}

func (t *Tailer) signal() {
	if t.changed != nil {
		close(t.changed)
		t.changed = nil
	}
	if t.OnApply != nil {
		t.OnApply()
	}
}

func (t *Tailer) watch() <-chan struct{} {
	if t.changed == nil {
		t.changed = make(chan struct{})
	}
	return t.changed
}

// decode returns a page's records; one that cannot be decoded is void at every reader alike.
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
