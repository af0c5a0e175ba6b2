package journaler

import (
	"cmp"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// keyOffset is an idempotency key with the offset of its dispatch.
type keyOffset struct {
	key    string
	offset uint64
}

// keysByOffset returns the keys in the order of their dispatches.
func keysByOffset(entries map[string]*recorder.JournalEntry) []keyOffset {
	keys := make([]keyOffset, 0, len(entries))
	for key, e := range entries {
		keys = append(keys, keyOffset{key: key, offset: e.Offset})
	}
	slices.SortFunc(keys, func(a, b keyOffset) int { return cmp.Compare(a.offset, b.offset) })
	return keys
}
