package quarantiner

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// beganScore and queuedScore are the weights of a crash for the parts of a request of which the answer had begun without
	// an event, and for those of one without an answer. denyScore is the score from which on a part is denied.
	beganScore  = 2
	queuedScore = 1
	denyScore   = 5
	// minimumRequests is the number of different requests that must have broken.
	minimumRequests = 2
	// momentLength is the time within which crashes count once: targets that fail together break many requests.
	momentLength = 300 * time.Millisecond
	// recentCompletion is how long after a completed request its parts are not suspected.
	recentCompletion = 2 * time.Second
	// evidenceLifetime is how long crashes count against a part that is not denied.
	evidenceLifetime = 30 * time.Second
	// denialLifetime is how long a part is denied. For evidenceLifetime, one more crash then denies it again.
	denialLifetime = 10 * time.Minute
	// reportTime is how long crashes and clearances are reported to peers: some messages.
	reportTime = 3 * time.Second
	// maximumReports limits the crashes in one report.
	maximumReports = 128
)

// Crash is a request that broke because its target crashed.
type Crash struct {
	Target    identifier.TargetID
	StartedAt time.Time
	// Request identifies the request by the part of the prompt that is its own.
	Request identifier.PartID
	// Parts are the parts that it shares with others.
	Parts []identifier.PartID
	// Began is set if the answer had begun.
	Began bool
	At    time.Time
}

// Denial is a part under which targets crash.
type Denial struct {
	Part identifier.PartID
	// Common are the parts that all requests that broke have in common, Part among them. Requests that lack one of them are
	// not denied.
	Common []identifier.PartID
	// At is the time of the last crash.
	At time.Time
}

// Clearance is a part with which a request has completed.
type Clearance struct {
	Part identifier.PartID
	At   time.Time
}

// Report is what an instance tells its peers.
type Report struct {
	Crashes    []Crash
	Clearances []Clearance
	Denials    []Denial
}

// Quarantine collects crashes and completed requests; the zero value is ready to use.
//
// A part is denied if requests with it broke at several crashes, at different moments, and none has completed since. A completed
// request clears its parts.
type Quarantine struct {
	// Logger may be nil.
	Logger *zap.Logger

	mu       sync.Mutex
	evidence map[identifier.PartID]*evidence
	crashes  map[crashKey]Crash
	cleared  map[identifier.PartID]time.Time
	// completed holds when a request with a part last completed at this instance.
	completed map[identifier.PartID]time.Time
}

// crashKey identifies a request at a target.
type crashKey struct {
	target    identifier.TargetID
	startedAt int64
	request   identifier.PartID
}

// evidence holds the crashes that count against a part.
type evidence struct {
	moments  []moment
	requests map[identifier.PartID]bool
	common   []identifier.PartID
}

// moment is a time of crashes with the highest weight among them.
type moment struct {
	at    time.Time
	score int
}

func (e *evidence) score() int {
	total := 0
	for _, m := range e.moments {
		total += m.score
	}
	return total
}

// lastAt returns the time of the last crash.
func (e *evidence) lastAt() time.Time {
	last := time.Time{}
	for _, m := range e.moments {
		if m.at.After(last) {
			last = m.at
		}
	}
	return last
}

func (e *evidence) denied() bool {
	return len(e.requests) >= minimumRequests && e.score() >= denyScore
}

// matches reports whether a prompt contains all parts that the requests that broke have in common.
func (e *evidence) matches(parts []identifier.PartID) bool {
	return !slices.ContainsFunc(e.common, func(p identifier.PartID) bool { return !slices.Contains(parts, p) })
}

// add counts a crash.
func (e *evidence) add(c Crash) {
	e.requests[c.Request] = true
	e.common = slices.DeleteFunc(e.common, func(p identifier.PartID) bool { return !slices.Contains(c.Parts, p) })
	score := queuedScore
	if c.Began {
		score = beganScore
	}
	for i := range e.moments {
		if m := &e.moments[i]; c.At.Sub(m.at).Abs() < momentLength {
			m.score = max(m.score, score)
			return
		}
	}
	e.moments = append(e.moments, moment{c.At, score})
}

// Denied returns how much longer requests with the given shared parts are denied, or zero if they are not.
func (q *Quarantine) Denied(parts []identifier.PartID, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.denied(parts, now)
}

func (q *Quarantine) denied(parts []identifier.PartID, now time.Time) time.Duration {
	for _, p := range parts {
		if e := q.evidence[p]; e != nil && e.denied() && e.matches(parts) {
			return max(0, e.lastAt().Add(denialLifetime).Sub(now))
		}
	}
	return 0
}

// Crashed counts a request that broke at a crash. It reports whether the crash was new, so that peers should know of it.
func (q *Quarantine) Crashed(c Crash, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := crashKey{c.Target, c.StartedAt.UnixMilli(), c.Request}
	if _, known := q.crashes[key]; known || now.Sub(c.At) > evidenceLifetime {
		return false
	}
	if q.crashes == nil {
		q.crashes, q.evidence = map[crashKey]Crash{}, map[identifier.PartID]*evidence{}
	}
	q.crashes[key] = c
	if q.denied(c.Parts, now) > 0 {
		return true // The denied part explains it.
	}
	for _, p := range c.Parts {
		if c.At.Sub(q.completed[p]) < recentCompletion || !q.cleared[p].Before(c.At) {
			continue
		}
		e := q.evidence[p]
		if e == nil {
			e = &evidence{requests: map[identifier.PartID]bool{}, common: slices.Clone(c.Parts)}
			q.evidence[p] = e
		}
		if e.add(c); e.denied() {
			q.deny(p, e)
		}
	}
	return true
}

// deny logs a denied part and drops the evidence against the parts that it explains. The caller must hold mu.
func (q *Quarantine) deny(part identifier.PartID, e *evidence) {
	maps.DeleteFunc(q.evidence, func(p identifier.PartID, other *evidence) bool {
		return !other.denied() && !slices.Contains(e.common, p)
	})
	if q.Logger != nil {
		var common []string
		for _, p := range e.common {
			common = append(common, hexadecimal(p))
		}
		q.Logger.Warn("prompt part denied, targets crash under it", zap.String("Part", hexadecimal(part)), zap.Strings("Common", common),
			zap.Int("Score", e.score()), zap.Int("Requests", len(e.requests)))
	}
}

// hexadecimal returns a part's ID as requests name it.
func hexadecimal(p identifier.PartID) string { return strconv.FormatUint(uint64(p), 16) }

// Completed clears the shared parts of a request that has completed. It reports whether peers should know of it.
func (q *Quarantine) Completed(parts []identifier.PartID, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.completed == nil {
		q.completed = map[identifier.PartID]time.Time{}
	}
	isNews := false
	for _, p := range parts {
		q.completed[p] = now
		isNews = q.clear(Clearance{p, now}) || isNews
	}
	return isNews
}

// clear drops the evidence against a part up to the time of a clearance, and reports whether there was any. The caller must
// hold mu.
func (q *Quarantine) clear(c Clearance) bool {
	e := q.evidence[c.Part]
	if e == nil || e.lastAt().After(c.At) {
		return false
	}
	if e.denied() && q.Logger != nil {
		q.Logger.Info("prompt part no longer denied, a request with it has completed", zap.String("Part", hexadecimal(c.Part)))
	}
	delete(q.evidence, c.Part)
	if q.cleared == nil {
		q.cleared = map[identifier.PartID]time.Time{}
	}
	q.cleared[c.Part] = c.At
	return true
}

// Report returns what peers should know.
func (q *Quarantine) Report(now time.Time) Report {
	q.mu.Lock()
	defer q.mu.Unlock()
	var r Report
	for _, c := range q.crashes {
		if now.Sub(c.At) <= reportTime {
			r.Crashes = append(r.Crashes, c)
		}
	}
	if len(r.Crashes) > maximumReports {
		slices.SortFunc(r.Crashes, func(a, b Crash) int { return b.At.Compare(a.At) })
		r.Crashes = r.Crashes[:maximumReports]
	}
	for p, at := range q.cleared {
		if now.Sub(at) <= reportTime {
			r.Clearances = append(r.Clearances, Clearance{p, at})
		}
	}
	for p, e := range q.evidence {
		if e.denied() {
			r.Denials = append(r.Denials, Denial{Part: p, Common: slices.Clone(e.common), At: e.lastAt()})
		}
	}
	return r
}

// Apply takes the report of a peer. It returns whether this instance's own peers should know of it.
func (q *Quarantine) Apply(r Report, now time.Time) bool {
	isNews := false
	for _, c := range r.Crashes {
		isNews = q.Crashed(c, now) || isNews
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, d := range r.Denials {
		e := q.evidence[d.Part]
		if e != nil && e.denied() || !q.cleared[d.Part].Before(d.At) || now.Sub(d.At) > denialLifetime {
			continue
		}
		e = &evidence{moments: []moment{{d.At, denyScore}}, common: d.Common, requests: map[identifier.PartID]bool{}}
		for i := range minimumRequests {
			e.requests[identifier.PartID(i)] = true
		}
		if q.evidence == nil {
			q.evidence = map[identifier.PartID]*evidence{}
		}
		q.evidence[d.Part] = e
		q.deny(d.Part, e)
		isNews = true
	}
	for _, c := range r.Clearances {
		isNews = q.clear(c) || isNews
	}
	return isNews
}

// Expire drops what no longer counts.
func (q *Quarantine) Expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	maps.DeleteFunc(q.crashes, func(_ crashKey, c Crash) bool { return now.Sub(c.At) > evidenceLifetime })
	maps.DeleteFunc(q.completed, func(_ identifier.PartID, at time.Time) bool { return now.Sub(at) > recentCompletion })
	maps.DeleteFunc(q.cleared, func(_ identifier.PartID, at time.Time) bool { return now.Sub(at) > denialLifetime })
	for p, e := range q.evidence {
		switch age := now.Sub(e.lastAt()); {
		case e.denied() && age > denialLifetime:
			e.moments = []moment{{now, denyScore - 1}} // One more crash denies it again.
		case !e.denied() && age > evidenceLifetime:
			delete(q.evidence, p)
		}
	}
}

// Denials returns the number of denied parts.
func (q *Quarantine) Denials() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for _, e := range q.evidence {
		if e.denied() {
			n++
		}
	}
	return n
}
