package apportioner

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// The instances take turns at a target that names a limit: there are as many turns a second as it accepts requests, and they
// go round among the instances in the order of their IDs. Each instance computes its own turns from the time of day, the rate
// and its place, so that no message is needed for a request, and an instance that cannot be reached uses up no more than its
// turns. Instances that disagree about time or places still send no more often than once in a round.

// turnLifetime is how long after its beginning a turn may be used. In any time t all instances together then send no more
// requests than there are turns in t and turnLifetime.
const turnLifetime = time.Second

// Place is the position of this instance among all instances that may send requests. Zero instances mean that they are not
// known yet; this instance then sends none to targets that name a limit.
type Place struct {
	Rank      int
	Instances int
}

// turns are the turns of one instance at one target.
type turns struct {
	// last is the beginning of the last turn that was used, by the time of day.
	last float64
	// nextAt is when the next request would be due if all had been sent in equal intervals, by the monotonic clock.
	nextAt time.Time
}

// schedule holds what the turns follow from.
type schedule struct {
	target identifier.TargetID
	rate   Rate
	place  Place
}

// round returns the time between two turns of an instance, in seconds.
func (s *schedule) round() float64 {
	return float64(max(1, s.place.Instances)) / float64(s.rate)
}

// next returns the beginning of the first turn after a time, in seconds of the time of day.
func (s *schedule) next(after float64) float64 {
	round := s.round()
	// Another offset for each target keeps the turns of an instance at several targets apart.
	offset := float64(xxhash.Sum64String(string(s.target)))/math.MaxUint64 + float64(s.place.Rank)/float64(max(1, s.place.Instances))
	n := math.Floor(after/round-offset) + 1
	return max((n+offset)*round, math.Nextafter(after, math.Inf(1)))
}

// start begins the turns at the time of day, so that those before do not count.
func (t *turns) start(timeOfDay float64) { t.last = timeOfDay }

// wait returns how long this instance has to wait for a turn, and the beginning of the turn.
func (t *turns) wait(s *schedule, timeOfDay float64, now time.Time) (time.Duration, float64) {
	if t.last > timeOfDay {
		t.last = timeOfDay // The time of day was set back.
	}
	if t.nextAt.Before(now) {
		t.nextAt = now
	}
	if latest := now.Add(seconds(s.round()) + turnLifetime); t.nextAt.After(latest) {
		t.nextAt = latest // The round has become shorter.
	}
	turn := s.next(max(t.last, timeOfDay-turnLifetime.Seconds()))
	return max(0, seconds(turn-timeOfDay), t.nextAt.Sub(now)-turnLifetime), turn
}

// use counts a request that is sent in a turn, or in none if turn is zero. It follows a call of wait.
func (t *turns) use(s *schedule, turn float64) {
	t.last = max(t.last, turn)
	t.nextAt = t.nextAt.Add(seconds(s.round()))
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s*float64(time.Second), math.MaxInt64/4))
}
