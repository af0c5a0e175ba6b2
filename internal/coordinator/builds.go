package coordinator

import (
	"sync/atomic"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// minimumStreamAge is the least time for which an instance that does not know where a stream began assumes that it may have
	// begun; routes with longer timeouts extend it.
	minimumStreamAge = 5 * time.Second
	// listAgeForBuilds is the age of the list of targets beyond which it may lack a build that others use.
	listAgeForBuilds = 2 * time.Second
)

// Builds decides whether a stream of which nothing else is known can only have begun at one build. The zero value knows no
// builds. All times are the caller's, so that tests run it on a clock of their own.
type Builds struct {
	sightings pinner.Sightings
	streamAge atomic.Int64
}

// BuildList is a list of the builds of all targets.
type BuildList struct {
	Pins []pinner.Pin
	// AsOf is when the list was known to be complete, or zero if it never was.
	AsOf time.Time
}

// Contact is how many instances are in contact, this one included, of those that may be running.
type Contact struct {
	Alive, Running int
}

// SetLongestTimeout takes the longest timeout of a stream in the configuration that comes into force.
func (b *Builds) SetLongestTimeout(timeout time.Duration, _ time.Time) {
	b.streamAge.Store(int64(max(minimumStreamAge, timeout+timeout/2)))
}

// StreamAge returns the longest time for which clients wait for the end of a stream, with half as much again for what comes
// late.
func (b *Builds) StreamAge(time.Time) time.Duration {
	return max(minimumStreamAge, time.Duration(b.streamAge.Load()))
}

// Record records the builds of all listed targets, and up to when a complete list is known.
func (b *Builds) Record(l BuildList, c Contact, now time.Time) {
	if asOf, ok := currentAsOf(l, c, now); ok {
		b.sightings.Complete(asOf)
	}
	b.Saw(l.Pins, now)
}

// Saw records builds of targets that are listed.
func (b *Builds) Saw(pins []pinner.Pin, now time.Time) {
	for _, p := range pins {
		b.sightings.Saw(p, now)
	}
}

// currentAsOf returns up to when a list holds all builds that any instance uses, or false if it may lack one: it is stale, and the
// instances in contact, which send each other their lists, are a minority.
func currentAsOf(l BuildList, c Contact, now time.Time) (time.Time, bool) {
	switch {
	case l.AsOf.IsZero():
		return time.Time{}, false
	case now.Sub(l.AsOf) <= listAgeForBuilds:
		return l.AsOf, true
	}
	return now, 2*c.Alive > c.Running
}

// Sole returns the only build of a service that targets had while a stream that is still going on may have begun.
func (b *Builds) Sole(service identifier.ServiceID, l BuildList, c Contact, now time.Time) (identifier.Build, bool) {
	// A process that was frozen may be asked before its periodic tasks run.
	if b.Record(l, c, now); !isCurrent(l, c, now) {
		return "", false
	}
	return b.sightings.Sole(service, b.StreamAge(now), now)
}

func isCurrent(l BuildList, c Contact, now time.Time) bool {
	_, ok := currentAsOf(l, c, now)
	return ok
}

// Compose adds how long the builds of all targets are known, and which they were if the peer knows less.
func (b *Builds) Compose(m, last *gossiper.Beat, now time.Time) {
	m.SightingsSpanMilliseconds = b.sightings.Span(now).Milliseconds()
	if last != nil && last.SightingsSpanMilliseconds >= min(b.StreamAge(now).Milliseconds(), m.SightingsSpanMilliseconds) {
		return
	}
	for _, s := range b.sightings.Recent(now) {
		m.Sightings = append(m.Sightings, &gossiper.Sighting{Service: string(s.Service), Build: string(s.Build), AgeMilliseconds: s.Age.Milliseconds()})
	}
}

// Apply takes over what a peer knows about earlier builds. Ages count from the arrival: a sighting that seems later than it was
// does no harm.
func (b *Builds) Apply(m *gossiper.Beat, _, now time.Time) {
	if len(m.Sightings) == 0 {
		return
	}
	for _, s := range m.Sightings {
		pin := pinner.Pin{Service: identifier.ServiceID(s.Service), Build: identifier.Build(s.Build)}
		b.sightings.Saw(pin, now.Add(-time.Duration(s.AgeMilliseconds)*time.Millisecond))
	}
	b.sightings.Cover(now.Add(-time.Duration(m.SightingsSpanMilliseconds)*time.Millisecond), now)
}
