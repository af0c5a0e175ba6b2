package quarantiner

import (
	"maps"
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// denyCrashes is the number of targets that must have crashed under a request.
	denyCrashes = 3
	// recentRequestCompletion is how long after its completion a request is not suspected.
	recentRequestCompletion = 30 * time.Second
	// confirmationTime is how long a crash counts before the target's entry has to show it: a target that an instance cannot
	// reach looks like one that has crashed.
	confirmationTime = 8 * time.Second
	// crashLifetime is how long the crashes under a request are remembered. After a denial one more then denies it again.
	crashLifetime = 2 * denialLifetime
)

// incarnation identifies one incarnation of a target.
type incarnation struct {
	target    identifier.TargetID
	startedAt int64
}

func incarnationOf(c *Crash) incarnation { return incarnation{c.Target, c.StartedAt.UnixMilli()} }

// requests holds the requests under which targets crashed; the zero value is ready to use.
type requests struct {
	suspects map[identifier.RequestDigest]*suspect
	// completed holds when a request last completed at this instance, and cleared when one that was suspected did anywhere.
	completed, cleared map[identifier.RequestDigest]time.Time
}

// suspect holds the crashes under requests that are alike, and the shared parts of their prompts.
type suspect struct {
	crashes map[incarnation]*suspectedCrash
	parts   []identifier.PartID
}

type suspectedCrash struct {
	Crash
	// confirmed is set once the target's entry has shown that its incarnation has ended.
	confirmed bool
}

// crashedAt reports whether a target crashed under the request at about the given time.
func (s *suspect) crashedAt(at time.Time) bool {
	for _, c := range s.crashes {
		if c.At.Sub(at).Abs() < momentLength {
			return true
		}
	}
	return false
}

func (r *requests) knows(c *Crash) bool {
	s := r.suspects[c.Digest]
	return s != nil && s.crashes[incarnationOf(c)] != nil
}

// add counts a crash, and reports whether the request is denied because of it.
func (r *requests) add(c Crash) bool {
	if c.Digest == 0 || c.At.Sub(r.completed[c.Digest]) < recentRequestCompletion || !r.cleared[c.Digest].Before(c.At) {
		return false
	}
	s := r.suspects[c.Digest]
	if s == nil {
		s = &suspect{crashes: map[incarnation]*suspectedCrash{}}
		if r.suspects == nil {
			r.suspects = map[identifier.RequestDigest]*suspect{}
		}
		r.suspects[c.Digest] = s
	}
	s.crashes[incarnationOf(&c)] = &suspectedCrash{Crash: c}
	s.parts = c.Parts
	return len(s.crashes) == denyCrashes
}

// denied returns how much longer a request is denied, or zero.
func (r *requests) denied(digest identifier.RequestDigest, now time.Time) time.Duration {
	s := r.suspects[digest]
	if s == nil || len(s.crashes) < denyCrashes {
		return 0
	}
	last := time.Time{}
	for _, c := range s.crashes {
		if c.At.After(last) {
			last = c.At
		}
	}
	return max(0, last.Add(denialLifetime).Sub(now))
}

// explains reports whether a denied request that does not have the part explains a crash.
func (r *requests) explains(c *Crash, part identifier.PartID) bool {
	for _, s := range r.suspects {
		if len(s.crashes) >= denyCrashes && s.crashes[incarnationOf(c)] != nil && !slices.Contains(s.parts, part) {
			return true
		}
	}
	return false
}

// explainsDenial reports whether a part that a peer denies is one that only accompanied a denied request.
func (r *requests) explainsDenial(d *Denial) bool {
	for _, s := range r.suspects {
		if len(s.crashes) >= denyCrashes && s.crashedAt(d.At) && slices.ContainsFunc(d.Common, func(p identifier.PartID) bool { return !slices.Contains(s.parts, p) }) {
			return true
		}
	}
	return false
}

// deniedCrashes returns the crashes under denied requests that are no longer reported as recent ones, so that peers which have
// missed them conclude the same.
func (r *requests) deniedCrashes(now time.Time) []Crash {
	var list []Crash
	for digest, s := range r.suspects {
		if r.denied(digest, now) == 0 {
			continue
		}
		for _, c := range s.crashes {
			if now.Sub(c.At) > reportTime {
				list = append(list, c.Crash)
			}
		}
	}
	return list
}

// complete records that a request has completed, and reports whether it was suspected.
func (r *requests) complete(digest identifier.RequestDigest, now time.Time) bool {
	if digest == 0 {
		return false
	}
	if r.completed == nil {
		r.completed = map[identifier.RequestDigest]time.Time{}
	}
	r.completed[digest] = now
	return r.clear(digest, now)
}

// clear drops the crashes under a request up to the time of its completion, and reports whether there were any.
func (r *requests) clear(digest identifier.RequestDigest, at time.Time) bool {
	s := r.suspects[digest]
	if s == nil {
		return false
	}
	before := len(s.crashes)
	maps.DeleteFunc(s.crashes, func(_ incarnation, c *suspectedCrash) bool { return !c.At.After(at) })
	if len(s.crashes) == 0 {
		delete(r.suspects, digest)
	}
	if len(s.crashes) == before {
		return false
	}
	if r.cleared == nil {
		r.cleared = map[identifier.RequestDigest]time.Time{}
	}
	r.cleared[digest] = at
	return true
}

func (r *requests) clearances(now time.Time) []Clearance {
	var list []Clearance
	for digest, at := range r.cleared {
		if now.Sub(at) <= reportTime {
			list = append(list, Clearance{Digest: digest, At: at})
		}
	}
	return list
}

// expire drops what no longer counts, and crashes of targets that have not ended.
func (r *requests) expire(now time.Time, gone func(c *Crash) bool) {
	maps.DeleteFunc(r.completed, func(_ identifier.RequestDigest, at time.Time) bool { return now.Sub(at) > recentRequestCompletion })
	maps.DeleteFunc(r.cleared, func(_ identifier.RequestDigest, at time.Time) bool { return now.Sub(at) > evidenceLifetime })
	for digest, s := range r.suspects {
		maps.DeleteFunc(s.crashes, func(_ incarnation, c *suspectedCrash) bool {
			c.confirmed = c.confirmed || gone(&c.Crash)
			age := now.Sub(c.At)
			return age > crashLifetime || age > confirmationTime && !c.confirmed
		})
		if len(s.crashes) == 0 {
			delete(r.suspects, digest)
		}
	}
}
