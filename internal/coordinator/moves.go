package coordinator

import (
	"maps"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
)

const (
	// moveMemory is the least time for which it is remembered that the requests of a path went to other services.
	moveMemory = time.Minute
	// maximumMoves is the number of paths beyond which all count as moved: each message holds them.
	maximumMoves = 256
)

// Moves records which paths led to other services lately: a stream of which nothing else is known may have begun there. The zero value
// knows nothing. All times are the caller's.
type Moves struct {
	mu sync.Mutex
	// since is the time from which on all moves are known, or zero.
	since time.Time
	at    map[matcher.PathID]time.Time
	// latest is the time of the latest move.
	latest time.Time
}

// Record takes the paths that moved with a configuration that is in force from now on.
func (m *Moves) Record(ids []matcher.PathID, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.since.IsZero() {
		m.since = now
	}
	for _, id := range ids {
		m.add(id, now)
	}
}

// add records a move. The caller must hold mu.
func (m *Moves) add(id matcher.PathID, at time.Time) {
	if m.at == nil {
		m.at = map[matcher.PathID]time.Time{}
	}
	if at.After(m.latest) {
		m.latest = at
	}
	if _, known := m.at[id]; !known && len(m.at) >= maximumMoves {
		clear(m.at)
		id, at = matcher.AllPaths, m.latest
	}
	if at.After(m.at[id]) {
		m.at[id] = at
	}
}

// Within reports whether one of the given paths may have moved within the given time.
func (m *Moves) Within(ids []matcher.PathID, within time.Duration, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.since.IsZero() || now.Sub(m.since) < within {
		return true
	}
	for _, id := range append(ids[:len(ids):len(ids)], matcher.AllPaths) {
		if at, ok := m.at[id]; ok && now.Sub(at) <= within {
			return true
		}
	}
	return false
}

// Compose adds the moves of the time for which streams may go on, or of the last minute if that is longer, to a message, and how long all
// of them are known.
func (m *Moves) Compose(b *gossiper.Beat, streamAge time.Duration, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.since.IsZero() {
		return
	}
	b.MovesSpanMilliseconds = now.Sub(m.since).Milliseconds()
	maps.DeleteFunc(m.at, func(_ matcher.PathID, at time.Time) bool { return now.Sub(at) > max(moveMemory, streamAge) })
	for id, at := range m.at {
		b.Moves = append(b.Moves, &gossiper.Move{Path: uint64(id), AgeMilliseconds: now.Sub(at).Milliseconds()})
	}
}

// Apply takes over what a peer knew of moves when it composed its message, unless that time is unknown or long ago. Earlier builds
// know of none.
func (m *Moves) Apply(b *gossiper.Beat, composedAt, now time.Time) {
	if composedAt.IsZero() || now.Sub(composedAt) > maximumTransit {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, move := range b.Moves {
		m.add(matcher.PathID(move.Path), composedAt.Add(-time.Duration(move.AgeMilliseconds)*time.Millisecond))
	}
	since := composedAt.Add(-time.Duration(b.MovesSpanMilliseconds) * time.Millisecond)
	if b.MovesSpanMilliseconds > 0 && !m.since.IsZero() && !composedAt.Before(m.since) && since.Before(m.since) {
		m.since = since
	}
}
