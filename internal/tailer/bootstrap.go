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

// bootstrap reads all retained records, restores the newest checkpoint among them and applies the rest.
func (t *Tailer) bootstrap(ctx context.Context) error {
	page, started, err := t.read(ctx, provider.OldestOffset, 0)
	if err != nil {
		return err
	}
	var all []*recorder.Record
	offset := page.Offset
	for {
		all = append(all, decode(page)...)
		next := offset + identifier.Offset(len(all))
		if next >= page.End {
			break
		}
		if page, started, err = t.read(ctx, next, 0); err != nil {
			return err
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err := t.restore(offset, all); err != nil {
		return err
	}
	for i, r := range all {
		t.applyOne(offset+identifier.Offset(i), r)
	}
	t.noteRead(offset+identifier.Offset(len(all)), started)
	t.signal()
	return nil
}

func (t *Tailer) restore(offset identifier.Offset, all []*recorder.Record) error {
	best := t.Fold.Next()
	var state []byte
	for _, r := range all {
		c := r.GetCheckpoint()
		if c != nil && identifier.Offset(c.Next) > best && identifier.Offset(c.Next) >= offset {
			best = identifier.Offset(c.Next)
			state = c.State
		}
	}
	if state != nil {
		return t.Fold.Restore(state)
	}
	if t.Fold.Next() < offset {
		return fmt.Errorf("%w: stream %s starts at %d", ErrNoCheckpoint, t.Stream, offset)
	}
	return nil
}
