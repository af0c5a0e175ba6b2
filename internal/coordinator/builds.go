package coordinator

import (
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// timeoutMemory is the least time for which a longer timeout counts after it was in force here. Streams begin under it until the
	// next configuration is in force everywhere.
	timeoutMemory = time.Minute
	// unknownStreamAge is the least stream age while configurations before the start may count.
	unknownStreamAge = 10 * time.Second
	// contactAge is how long a peer may count as live after its last message, with hubs: as long it may have used a build that is
	// not known here.
	contactAge = 4 * time.Second
	// maximumTransit is the longest time in transit of a message whose knowledge of builds is used. It is within the half of a
	// timeout by which streams may be older.
	maximumTransit = time.Second
	// maximumDeadline is the longest deadline of a client that counts: half as much again is as long as sightings are remembered.
	maximumDeadline = 40 * time.Second
	// deadlineRefresh is the time after which a deadline that is seen again counts anew.
	deadlineRefresh = time.Second
	// minimumStreamAge is the least time for which an instance that does not know where a stream began assumes that it may have
	// begun; routes with longer timeouts extend it.
	minimumStreamAge = 5 * time.Second
	// listAgeForBuilds is the age of the list of targets beyond which it may lack a build that others use.
	listAgeForBuilds = 2 * time.Second
)

// Errors of Builds.Sole.
var (
	ErrSeveralBuilds = errors.New("streams may have begun at several builds")
	ErrListOlder     = errors.New("the list of targets is older than the question")
)

// Builds decides whether a stream of which nothing else is known can only have begun at one build. The zero value knows no
// builds. All times are the caller's, so that tests run it on a clock of their own.
type Builds struct {
	sightings pinner.Sightings

	mu        sync.Mutex
	startedAt time.Time
	// timeout is the longest timeout in force. earlier holds those that were in force before, and longer deadlines of clients, until
	// they no longer count.
	timeout time.Duration
	earlier []expiredTimeout
}

// expiredTimeout is a longest timeout of earlier configurations, and until when streams may go on that began under it.
type expiredTimeout struct {
	timeout time.Duration
	until   time.Time
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

// SetLongestTimeout takes the longest timeout of a stream in the configuration in force.
func (b *Builds) SetLongestTimeout(timeout time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin(now)
	if timeout < b.timeout {
		b.remember(b.timeout, now.Add(memoryOf(b.timeout)), now)
	}
	b.timeout = timeout
}

// memoryOf returns how long a timeout counts after it was in force.
func memoryOf(timeout time.Duration) time.Duration { return max(timeoutMemory, streamAge(timeout)) }

// begin takes the first time that this process tells as its start. The caller must hold mu.
func (b *Builds) begin(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
}

// remember keeps an earlier timeout, and drops those that no longer count. The caller must hold mu.
func (b *Builds) remember(timeout time.Duration, until, now time.Time) {
	b.earlier = slices.DeleteFunc(b.earlier, func(e expiredTimeout) bool {
		return now.After(e.until) || e.timeout <= timeout && !e.until.After(until)
	})
	if !slices.ContainsFunc(b.earlier, func(e expiredTimeout) bool { return e.timeout >= timeout && !e.until.Before(until) }) {
		b.earlier = append(b.earlier, expiredTimeout{timeout, until})
	}
}

// addEarlier takes an earlier timeout from a peer.
func (b *Builds) addEarlier(timeout time.Duration, until, now time.Time) {
	if timeout <= 0 || !now.Before(until) {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	// A peer's clock error must not make it count for longer than its own.
	b.remember(timeout, earlierOf(until, now.Add(memoryOf(timeout))), now)
}

// SawDeadline takes how long a client waits for a stream, with all attempts to go on with it. That may be longer than the timeouts of
// the routes, each of which limits one attempt.
func (b *Builds) SawDeadline(deadline time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	deadline, until := min(deadline, maximumDeadline), now.Add(timeoutMemory)
	known := slices.ContainsFunc(b.earlier, func(e expiredTimeout) bool { return e.timeout >= deadline && until.Sub(e.until) < deadlineRefresh })
	if deadline > b.timeout && !known {
		b.remember(deadline, until, now)
	}
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// longestEarlier returns the longest earlier timeout that still counts and is longer than the present one.
func (b *Builds) longestEarlier(now time.Time) (expiredTimeout, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	longest := expiredTimeout{timeout: b.timeout}
	for _, e := range b.earlier {
		if now.Before(e.until) && e.timeout > longest.timeout {
			longest = e
		}
	}
	return longest, longest.timeout > b.timeout
}

// Recall takes the longest time for which streams could go on that was known before this process started. It counts until streams of
// then have ended.
func (b *Builds) Recall(longest time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin(now)
	if until := b.startedAt.Add(memoryOf(longest)); longest > 0 && now.Before(until) {
		b.remember(longest, until, now)
	}
}

// Longest returns the longest timeout that streams may have begun under, or a longer deadline of a client.
func (b *Builds) Longest(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.longest(now)
}

// longest is Longest; the caller must hold mu.
func (b *Builds) longest(now time.Time) time.Duration {
	longest := b.timeout
	for _, e := range b.earlier {
		if now.Before(e.until) {
			longest = max(longest, e.timeout)
		}
	}
	return longest
}

// streamAge returns the longest age of a stream that clients wait for as long as given, with half as much again for what comes late.
func streamAge(longest time.Duration) time.Duration { return longest + longest/2 }

// StreamAge returns the longest time for which clients wait for the end of a stream, with half as much again for what comes
// late. Timeouts that streams may have begun under count, and longer deadlines of clients.
func (b *Builds) StreamAge(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin(now)
	longest := b.longest(now)
	least := minimumStreamAge
	if now.Sub(b.startedAt) < timeoutMemory {
		least = unknownStreamAge
	}
	return max(least, streamAge(longest))
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

// currentAsOf returns up to when a list holds all builds that any instance uses, or false if it may lack one: it is stale, and an
// instance that may be running is not in contact, which might read the store.
func currentAsOf(l BuildList, c Contact, now time.Time) (time.Time, bool) {
	switch {
	case l.AsOf.IsZero():
		return time.Time{}, false
	case now.Sub(l.AsOf) <= listAgeForBuilds:
		return l.AsOf, true
	}
	return now.Add(-contactAge), c.Alive >= c.Running
}

// Sole returns the only build of a service that targets had while a stream that is still going on may have begun, for a question
// that was asked at the given time. It returns ErrListOlder if the list that is known does not reach to that time yet, and
// ErrSeveralBuilds if there were several builds, or may have been.
func (b *Builds) Sole(service identifier.ServiceID, l BuildList, c Contact, asked, now time.Time) (identifier.Build, error) {
	// A process that was frozen may be asked before its periodic tasks run.
	b.Record(l, c, now)
	asOf, current := currentAsOf(l, c, now)
	build, sole := b.sightings.Sole(service, b.StreamAge(now), now)
	switch {
	case !current || !sole:
		return "", ErrSeveralBuilds
	case asOf.Before(asked):
		return build, ErrListOlder
	}
	return build, nil
}

// Compose adds how long the builds of all targets are known here. It adds which they were if the peer knows less, or if a service
// had several lately: a peer that was cut off may have missed one without knowing it.
func (b *Builds) Compose(m, last *gossiper.Beat, now time.Time) {
	m.SightingsSpanMilliseconds = b.sightings.Span(now).Milliseconds()
	if e, ok := b.longestEarlier(now); ok {
		m.EarlierTimeoutMilliseconds, m.EarlierTimeoutRemainingMilliseconds = e.timeout.Milliseconds(), e.until.Sub(now).Milliseconds()
	}
	recent := b.sightings.Recent(b.StreamAge(now), now)
	known := last != nil && last.SightingsSpanMilliseconds >= min(b.StreamAge(now).Milliseconds(), m.SightingsSpanMilliseconds)
	if known && !severalBuilds(recent) {
		return
	}
	for _, s := range recent {
		m.Sightings = append(m.Sightings, &gossiper.Sighting{Service: string(s.Service), Build: string(s.Build), AgeMilliseconds: s.Age.Milliseconds()})
	}
}

func severalBuilds(list []pinner.Sighting) bool {
	builds := map[identifier.ServiceID]identifier.Build{}
	for _, s := range list {
		if other, ok := builds[s.Service]; ok && other != s.Build {
			return true
		}
		builds[s.Service] = s.Build
	}
	return false
}

// Apply takes over what a peer knew about builds and timeouts when it composed its message. If that time is unknown, or the
// message was long in transit, the next one tells: a sighting that seemed later than it was would outlast itself as peers
// send it back and forth, and one that seemed earlier would be forgotten too soon.
func (b *Builds) Apply(m *gossiper.Beat, composedAt, now time.Time) {
	if composedAt.IsZero() || now.Sub(composedAt) > maximumTransit {
		return
	}
	b.addEarlier(time.Duration(m.EarlierTimeoutMilliseconds)*time.Millisecond,
		composedAt.Add(time.Duration(m.EarlierTimeoutRemainingMilliseconds)*time.Millisecond), now)
	if len(m.Sightings) == 0 {
		return
	}
	for _, s := range m.Sightings {
		pin := pinner.Pin{Service: identifier.ServiceID(s.Service), Build: identifier.Build(s.Build)}
		b.sightings.Saw(pin, composedAt.Add(-time.Duration(s.AgeMilliseconds)*time.Millisecond))
	}
	b.sightings.Cover(composedAt.Add(-time.Duration(m.SightingsSpanMilliseconds)*time.Millisecond), composedAt)
}
