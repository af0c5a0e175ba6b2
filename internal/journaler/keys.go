package journaler

import (
	"cmp"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// keysByOffset returns the keys in the order in which they were dispatched.
func keysByOffset(entries map[string]*recorder.JournalEntry) []string {
	keys := make([]string, 0, len(entries))
	for key := range entries {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Compare(entries[a].Offset, entries[b].Offset)
	})
	return keys
}
