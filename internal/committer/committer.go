package committer

import (
	"context"
	"errors"
	"sync/atomic"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrFull is returned when too many records wait; the record was not appended.
var ErrFull = errors.New("commit queue full")

// ErrUnconfirmed is returned when the caller stopped waiting; the record may still take effect.
var ErrUnconfirmed = errors.New("commit not confirmed")

// Appender appends a batch and returns once it was read back.
type Appender interface {
	Append(ctx context.Context, records ...*recorder.Record) (identifier.Offset, error)
}

const (
	queueLength  = 4096
	defaultBatch = 256
)

// Committer batches appends; use New.
type Committer struct {
	appender Appender
	batch    int
	queue    chan *commit
	stopped  chan struct{}
	appends  atomic.Int64
	records  atomic.Int64
}

type commit struct {
	ctx    context.Context
	record *recorder.Record
	done   chan error
}

// New returns a committer that appends at most batch records at once, or a default number where batch is zero.
func New(appender Appender, batch int) *Committer {
	if batch == 0 {
		batch = defaultBatch
	}
	return &Committer{appender: appender, batch: batch, queue: make(chan *commit, queueLength), stopped: make(chan struct{})}
}

// Commit appends one record with others and returns once it was read back; ErrFull means that it was not appended.
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

// Run appends what waits until ctx ends; it is called once.
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

// gather takes all that waits, without those whose callers have gone.
func (c *Committer) gather(first *commit) []*commit {
	batch := []*commit{first}
	for len(batch) < c.batch {
		select {
		case w := <-c.queue:
			batch = append(batch, w)
		default:
			return live(batch)
		}
	}
	return live(batch)
}

func live(batch []*commit) []*commit {
	kept := batch[:0]
	for _, w := range batch {
		if w.ctx.Err() != nil {
			w.done <- ErrUnconfirmed
			continue
		}
		kept = append(kept, w)
	}
	return kept
}

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

// limit ends an append when the most patient of its callers has given up.
func (c *Committer) limit(ctx context.Context, batch []*commit) (context.Context, context.CancelFunc) {
	last, ok := batch[0].ctx.Deadline()
	for _, w := range batch[1:] {
		d, has := w.ctx.Deadline()
		ok = ok && has
		if d.After(last) {
			last = d
		}
	}
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, last)
}
