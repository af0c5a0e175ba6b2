package committer

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrFull is returned when the queue is full; the record was not appended.
var ErrFull = errors.New("commit queue full")

// ErrUnconfirmed is returned when the caller's context or Run ended before the append was confirmed; the record may
// still take effect.
var ErrUnconfirmed = errors.New("commit not confirmed")

// Appender appends a batch and returns once all its records were read back.
type Appender interface {
	Append(ctx context.Context, records ...*recorder.Record) (identifier.Offset, error)
}

const (
	// queueLength is the number of records that may wait for an append.
	queueLength = 4096
	// defaultBatch is the maximum number of records in one append if New is called with zero.
	defaultBatch = 256
)

// Committer batches records into appends, one append at a time; use New.
type Committer struct {
	appender Appender
	// batch is the maximum number of records in one append.
	batch   int
	queue   chan *commit
	stopped chan struct{}
	appends atomic.Int64
	records atomic.Int64
}

// commit is a queued record with its caller's context.
type commit struct {
	ctx    context.Context
	record *recorder.Record
	done   chan error
}

// New returns a Committer that appends at most batch records at once, or a default number if batch is zero.
func New(appender Appender, batch int) *Committer {
	if batch == 0 {
		batch = defaultBatch
	}
	return &Committer{
		appender: appender,
		batch:    batch,
		queue:    make(chan *commit, queueLength),
		stopped:  make(chan struct{}),
	}
}

// Commit queues a record for the next batch and returns once it was read back, or with the error of its append. The
// record was not appended if the error is ErrFull, and may still take effect if it is ErrUnconfirmed.
func (c *Committer) Commit(ctx context.Context, r *recorder.Record) error {
	w := &commit{ctx: ctx, record: r, done: make(chan error, 1)}
	select {
	case c.queue <- w:
	default:
		return ErrFull
	}
	select {
	case err := <-w.done:
		return err
	case <-c.stopped:
	case <-ctx.Done():
	}
	return ErrUnconfirmed
}

// Counts returns the number of appends and of records appended so far.
func (c *Committer) Counts() (appends, records int64) {
	return c.appends.Load(), c.records.Load()
}

// Run appends queued records until ctx ends. It must be called only once.
func (c *Committer) Run(ctx context.Context) {
	defer close(c.stopped)
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-c.queue:
			c.flush(ctx, c.gather(first))
		}
	}
}

// gather returns a batch of the first commit and those already queued, without commits whose context has ended.
func (c *Committer) gather(first *commit) []*commit {
	batch := []*commit{first}
	for len(batch) < c.batch {
		select {
		case w := <-c.queue:
			batch = append(batch, w)
		default:
			return removeEnded(batch)
		}
	}
	return removeEnded(batch)
}

// removeEnded drops the commits whose context has ended and returns ErrUnconfirmed to their callers.
func removeEnded(batch []*commit) []*commit {
	active := batch[:0]
	for _, w := range batch {
		if w.ctx.Err() != nil {
			w.done <- ErrUnconfirmed
			continue
		}
		active = append(active, w)
	}
	return active
}

// flush appends a batch and returns the result to every caller in it.
func (c *Committer) flush(ctx context.Context, batch []*commit) {
	if len(batch) == 0 {
		return
	}
	records := make([]*recorder.Record, len(batch))
	for i, w := range batch {
		records[i] = w.record
	}
	ctx, cancel := c.limit(ctx, batch)
	defer cancel()
	_, err := c.appender.Append(ctx, records...)
	c.appends.Add(1)
	c.records.Add(int64(len(batch)))
	for _, w := range batch {
		w.done <- err
	}
}

// limit returns a context with the latest deadline in the batch, or with none if any commit has none, so that an append
// goes on as long as one of its callers may wait for it.
func (c *Committer) limit(ctx context.Context, batch []*commit) (context.Context, context.CancelFunc) {
	last, allHave := batch[0].ctx.Deadline()
	for _, w := range batch[1:] {
		d, hasDeadline := w.ctx.Deadline()
		allHave = allHave && hasDeadline
		if d.After(last) {
			last = d
		}
	}
	if !allHave {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, last)
}
