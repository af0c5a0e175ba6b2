package journaler

import (
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// RetentionOffsets is the number of records after which an idempotency key expires.
const RetentionOffsets = 200_000

// Fold is the state of the Journal stream; the zero value is the state before the first record.
//
// The first dispatch of a key in stream order wins, and only its writer may send the request.
type Fold struct {
	state recorder.JournalState
	// byOffset lists the dispatched keys by offset, the order in which they expire.
	byOffset []keyOffset
}

// Next returns the offset after the last applied record.
func (f *Fold) Next() identifier.Offset { return identifier.Offset(f.state.Next) }

// Snapshot returns the encoded state.
func (f *Fold) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&f.state)
}

// Restore replaces the state with an encoded one.
func (f *Fold) Restore(state []byte) error {
	proto.Reset(&f.state)
	f.byOffset = nil
	if err := proto.Unmarshal(state, &f.state); err != nil {
		return err
	}
	f.byOffset = keysByOffset(f.state.Entries)
	return nil
}

// Entry returns a copy of the entry of an idempotency key, or nil.
func (f *Fold) Entry(key string) *recorder.JournalEntry {
	e := f.state.Entries[key]
	if e == nil {
		return nil
	}
	return proto.Clone(e).(*recorder.JournalEntry)
}

// Apply folds in the record at offset; records of other streams' types have no effect.
func (f *Fold) Apply(offset identifier.Offset, r *recorder.Record) {
	f.state.Next = uint64(offset) + 1
	f.expire(offset)
	switch b := r.Body.(type) {
	case *recorder.Record_Dispatch:
		f.dispatch(offset, r, b.Dispatch)
	case *recorder.Record_Result:
		f.result(b.Result)
	}
}

// dispatch adds an entry for the first dispatch of a key; later ones have no effect.
func (f *Fold) dispatch(offset identifier.Offset, r *recorder.Record, d *recorder.Dispatch) {
	if d.Key == "" || f.state.Entries[d.Key] != nil {
		return
	}
	if f.state.Entries == nil {
		f.state.Entries = map[string]*recorder.JournalEntry{}
	}
	f.state.Entries[d.Key] = &recorder.JournalEntry{
		DispatchID: r.ID,
		Writer:     r.Writer,
		Digest:     d.Digest,
		Offset:     uint64(offset),
	}
	f.byOffset = append(f.byOffset, keyOffset{key: d.Key, offset: uint64(offset)})
}

// result sets the result of a dispatch. The request of a released dispatch was never sent, so its key may be dispatched
// again.
func (f *Fold) result(result *recorder.Result) {
	e := f.state.Entries[result.Key]
	if e == nil || e.DispatchID != result.DispatchID || e.Result != nil {
		return
	}
	if result.Released {
		delete(f.state.Entries, result.Key)
		return
	}
	e.Result = result
}

// expire removes the keys that were dispatched at least RetentionOffsets before offset. A key that was released and
// dispatched again keeps its newer entry.
func (f *Fold) expire(offset identifier.Offset) {
	for len(f.byOffset) > 0 {
		oldest := f.byOffset[0]
		if oldest.offset+RetentionOffsets > uint64(offset) {
			return
		}
		f.byOffset = f.byOffset[1:]
		e := f.state.Entries[oldest.key]
		if e != nil && e.Offset == oldest.offset {
			delete(f.state.Entries, oldest.key)
		}
	}
}
