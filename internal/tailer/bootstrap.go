package tailer

import (
	"context"
	"errors"
	"fmt"

	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrNoCheckpoint is returned when a truncated stream holds no usable checkpoint.
var ErrNoCheckpoint = errors.New("no usable checkpoint")

// bootstrap reads all retained records, restores the newest usable checkpoint among them and applies the records after
// it.
func (t *Tailer) bootstrap(ctx context.Context) error {
	page, started, err := t.read(ctx, provider.OldestOffset, 0)
	if err != nil {
		return err
	}
	var records []*recorder.Record
	first := page.Offset
	for {
		records = append(records, decode(page)...)
		next := first + identifier.Offset(len(records))
		if next >= page.End {
			break
		}
		if page, started, err = t.read(ctx, next, 0); err != nil {
			return err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.restore(first, records); err != nil {
		return err
	}
	for i, r := range records {
		t.applyOne(first+identifier.Offset(i), r)
	}
	t.markRead(first+identifier.Offset(len(records)), started)
	t.signal()
	return nil
}

// restore restores the newest checkpoint that is ahead of the fold and covers every record before first, the oldest
// retained offset. Without one, the fold must already contain those records.
func (t *Tailer) restore(first identifier.Offset, records []*recorder.Record) error {
	newest := t.Fold.Next()
	var state []byte
	for _, r := range records {
		c := r.GetCheckpoint()
		if c != nil && identifier.Offset(c.Next) > newest && identifier.Offset(c.Next) >= first {
			newest = identifier.Offset(c.Next)
			state = c.State
		}
	}
	if state != nil {
		return t.Fold.Restore(state)
	}
	if t.Fold.Next() < first {
		return fmt.Errorf("%w: stream %s starts at %d", ErrNoCheckpoint, t.Stream, first)
	}
	return nil
}
