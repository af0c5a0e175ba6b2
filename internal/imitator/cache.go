package imitator

import (
	"slices"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
)

// partCache is a prefix cache of prompt parts with least-recently-used eviction; the zero value is empty.
type partCache struct {
	recent []uint64
}

// cachedPrefix returns how many leading parts are cached.
func (c *partCache) cachedPrefix(parts []uint64) int64 {
	n := int64(0)
	for _, p := range parts {
		if !slices.Contains(c.recent, p) {
			break
		}
		n++
	}
	return n
}

// add caches the parts, evicts parts beyond the limit and returns the events of both.
func (c *partCache) add(parts []uint64, limit int) []chatter.CacheEvent {
	var events []chatter.CacheEvent
	for _, p := range parts {
		if i := slices.Index(c.recent, p); i >= 0 {
			c.recent = slices.Delete(c.recent, i, i+1)
		} else {
			events = append(events, chatter.CacheEvent{Piece: p, Stored: true})
		}
		c.recent = append(c.recent, p)
	}
	for len(c.recent) > limit {
		events = append(events, chatter.CacheEvent{Piece: c.recent[0]})
		c.recent = c.recent[1:]
	}
	return events
}
