package pinner

import (
	"errors"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

var (
	// ErrUnknown is returned for a stream of which it is not known where it began.
	ErrUnknown = errors.New("unknown where the stream began")
	// ErrAmbiguous is returned for a key under which streams have begun at several builds. It wraps no other error.
	ErrAmbiguous = errors.New("streams with the same ID began at different builds")
)

const (
	// pinLifetime is how long it is remembered where a stream began. Clients go on with a stream within the time that they
	// wait for its end, which is some seconds.
	pinLifetime = time.Minute
	// maximumPins limits the remembered streams, the oldest of which are dropped. They take some 200 bytes each.
	maximumPins = 1 << 15
	// maximumNameBytes limits the names of a service and a build that a datagram announces, and with it the memory of the pins.
	maximumNameBytes = 512
)

// Key identifies a stream: the request that began it, and its team.
type Key uint64

// KeyOf returns the key of the stream that a team's request began.
func KeyOf(team identifier.TeamID, id identifier.RequestID) Key {
	d := xxhash.New()
	// Errors are impossible: a digest accepts all writes.
	_, _ = d.WriteString(string(team))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return Key(d.Sum64())
}

// Pin is where a stream began, which is the only place where it may go on.
type Pin struct {
	Service identifier.ServiceID
	Build   identifier.Build
}

type storedPin struct {
	Pin
	at        time.Time
	ambiguous bool
}

// memory holds a bounded number of recent pins; the zero value is empty.
type memory struct {
	mu   sync.Mutex
	pins *simplelru.LRU[Key, storedPin]
}

// store remembers a pin. A key with two different pins is ambiguous from then on.
func (m *memory) store(k Key, p Pin, ambiguous bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pins == nil {
		var err error
		if m.pins, err = simplelru.NewLRU[Key, storedPin](maximumPins, nil); err != nil {
			panic(err) // Only a size below one is an error.
		}
	}
	if old, ok := m.pins.Peek(k); ok && now.Sub(old.at) <= pinLifetime {
		ambiguous = ambiguous || old.ambiguous || old.Pin != p
	}
	m.pins.Add(k, storedPin{p, now, ambiguous})
}

// find returns a remembered pin, ErrUnknown or ErrAmbiguous.
func (m *memory) find(k Key, now time.Time) (Pin, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.pins == nil {
		return Pin{}, ErrUnknown
	}
	p, ok := m.pins.Peek(k)
	switch {
	case !ok || now.Sub(p.at) > pinLifetime:
		return Pin{}, ErrUnknown
	case p.ambiguous:
		return p.Pin, ErrAmbiguous
	}
	return p.Pin, nil
}
