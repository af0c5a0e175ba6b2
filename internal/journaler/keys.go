package journaler

import (
	"cmp"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// keyAt is a key with the offset of its dispatch.
type keyAt struct {
	key    string
	offset uint64
}

// keysByOffset returns the keys in the order in which they were dispatched.
func keysByOffset(entries map[string]*recorder.JournalEntry) []keyAt {
	keys := make([]keyAt, 0, len(entries))
	for key, e := range entries {
		keys = append(keys, keyAt{key: key, offset: e.Offset})
	}
	slices.SortFunc(keys, func(a, b keyAt) int { return cmp.Compare(a.offset, b.offset) })
	return keys
}
