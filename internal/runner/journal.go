package runner

import (
	"context"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// relayerJournal gives the relayer access to the journal.
type relayerJournal struct{ e *Entry }

// Ready reports whether dispatches can be recorded now: the last read of the journal's stream succeeded, and the stream
// has been read to its end at least once.
func (j relayerJournal) Ready() bool { return j.e.journal.CaughtUp() && j.e.journal.Reachable() }

// Entry returns the journal entry of an idempotency key, or nil.
func (j relayerJournal) Entry(key string) *recorder.JournalEntry {
	var entry *recorder.JournalEntry
	j.e.journal.Query(func() { entry = j.e.journalFold.Entry(key) })
	return entry
}

// Commit appends a record as part of a batch and returns once it has been read back.
func (j relayerJournal) Commit(ctx context.Context, r *recorder.Record) error {
	return j.e.committer.Commit(ctx, r)
}

// NewRecord returns a record of this incarnation with a new ID.
func (j relayerJournal) NewRecord() *recorder.Record { return j.e.journal.NewRecord() }
