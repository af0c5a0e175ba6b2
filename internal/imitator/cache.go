package imitator

import (
	"slices"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
)

// pieceCache is a prefix cache in pieces with least-recently-used eviction; the zero value is empty.
type pieceCache struct {
	recent []uint64
}

// hit returns how many leading pieces are cached.
func (c *pieceCache) hit(pieces []uint64) int64 {
	n := int64(0)
	for _, p := range pieces {
		if !slices.Contains(c.recent, p) {
			break
		}
		n++
	}
	return n
}

// add caches the pieces and returns the events of what came and went.
func (c *pieceCache) add(pieces []uint64, limit int) []chatter.CacheEvent {
	var events []chatter.CacheEvent
	for _, p := range pieces {
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
