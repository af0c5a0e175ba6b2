package pinner

import (
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Sightings records when targets of each build were last listed. A stream of which nothing else is known can only have begun
// at the one build that was listed in all the time since it may have begun. The zero value knows nothing.
type Sightings struct {
	mu sync.Mutex
	// All sightings from since to through are known; since is zero if none are.
	since, through time.Time
	seen           map[Pin]time.Time
}

// maximumGap is the longest time between two complete lists in which no build comes and goes unseen: the entry of a target that
// has crashed stays for three heartbeats of a second.
const maximumGap = 3 * time.Second

// Sighting is when a target of a build was last listed.
type Sighting struct {
	Pin
	Age time.Duration
}

// Complete records that a list was complete at the given time. After a longer gap, what came and went in it is not known, so
// the time that is covered begins again.
func (s *Sightings) Complete(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() || at.Sub(s.through) > maximumGap {
		s.since = at
	}
	if at.After(s.through) {
		s.through = at
	}
}

// Cover records that a peer knows all sightings between two times. It has no effect unless they reach to the time from which this
// instance knows them itself.
func (s *Sightings) Cover(from, to time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.since.IsZero() && !to.Before(s.since) && from.Before(s.since) {
		s.since = from
	}
}

// Saw records that a target of a build was listed at the given time.
func (s *Sightings) Saw(p Pin, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.seen == nil {
		s.seen = map[Pin]time.Time{}
	}
	if at.After(s.seen[p]) {
		s.seen[p] = at
	}
}

// Sole returns the only build of a service that was listed within the given time, or false if there were several or none, or
// not all of the time is covered.
func (s *Sightings) Sole(service identifier.ServiceID, within time.Duration, now time.Time) (identifier.Build, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() || now.Sub(s.since) < within || now.Sub(s.through) > maximumGap {
		return "", false
	}
	sole, builds := identifier.Build(""), 0
	for p, at := range s.seen {
		if p.Service == service && now.Sub(at) <= within {
			sole = p.Build
			builds++
		}
	}
	if builds != 1 {
		return "", false
	}
	return sole, true
}

// Span returns how much of the time until now is covered.
func (s *Sightings) Span(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.since.IsZero() || now.Sub(s.through) > maximumGap {
		return 0
	}
	return now.Sub(s.since)
}

// Recent returns the sightings of the given time, or of the last minute if that is longer, and drops older ones.
func (s *Sightings) Recent(within time.Duration, now time.Time) []Sighting {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []Sighting
	for p, at := range s.seen {
		age := now.Sub(at)
		if age > max(pinLifetime, within) {
			delete(s.seen, p)
			continue
		}
		list = append(list, Sighting{p, age})
	}
	return list
}
