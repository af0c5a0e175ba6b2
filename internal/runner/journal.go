package runner

import (
	"context"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// journalOf is the journal as the relayer needs it.
type journalOf struct{ e *Entry }

// Ready reports whether dispatches can be recorded now.
func (j journalOf) Ready() bool { return j.e.journal.CaughtUp() && j.e.journal.Reachable() }

// Entry returns what is known of a key, or nil.
func (j journalOf) Entry(key string) *recorder.JournalEntry {
	var entry *recorder.JournalEntry
	j.e.journal.Query(func() { entry = j.e.journalFold.Entry(key) })
	return entry
}

// Commit appends a record with others and returns once it was read back.
func (j journalOf) Commit(ctx context.Context, r *recorder.Record) error {
	return j.e.committer.Commit(ctx, r)
}

// NewRecord returns a record of this incarnation under a fresh id.
func (j journalOf) NewRecord() *recorder.Record { return j.e.journal.NewRecord() }
