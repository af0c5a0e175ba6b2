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
	// denialDelay is how long after its last crash a denied part is reported: until then other crashes at the same moment, of
	// which peers have told later, may show that one request explains them all.
	denialDelay = time.Second
	// maximumReports limits the crashes in one report.
	maximumReports = 128
)

// Crash is a request that broke because its target crashed.
type Crash struct {
	Target    identifier.TargetID
	StartedAt time.Time
	// Request is the part of the prompt that is the request's own, or zero.
	Request identifier.PartID
	// Digest identifies the request among those that are alike, or is zero if it is not known.
	Digest identifier.RequestDigest
	// Parts are the parts of the prompt that it shares with others.
	Parts []identifier.PartID
	// Began is set if the answer had begun.
	Began bool
	At    time.Time
}

// identity tells requests apart.
func (c *Crash) identity() identifier.RequestDigest {
	if c.Digest != 0 {
		return c.Digest
	}
	return identifier.RequestDigest(c.Request)
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

// Clearance is a part with which a request has completed or, if Digest is set, a request that has.
type Clearance struct {
	Part   identifier.PartID
	Digest identifier.RequestDigest
	At     time.Time
}

// Report is what an instance tells its peers.
type Report struct {
	Crashes    []Crash
	Clearances []Clearance
	Denials    []Denial
}

// Quarantine collects crashes and completed requests; the zero value is ready to use.
//
// A part is denied if requests with it broke at several crashes, at different moments, and none has completed since, unless one
// request broke at all of them. A request is denied, with all that are alike, if it broke at several crashes and none has
// completed. A completed request clears itself and its parts.
type Quarantine struct {
	// Logger may be nil.
	Logger *zap.Logger
	// Gone reports whether the incarnation of a target has ended; nil means that each that accepted no connection has.
	Gone func(target identifier.TargetID, startedAt time.Time) bool

	mu       sync.Mutex
	evidence map[identifier.PartID]*evidence
	crashes  map[crashKey]Crash
	cleared  map[identifier.PartID]time.Time
	// completed holds when a request with a part last completed at this instance.
	completed map[identifier.PartID]time.Time
	requests  requests
}

// crashKey identifies a request at a target.
type crashKey struct {
	incarnation
	request identifier.RequestDigest
}

// evidence holds the crashes that count against a part.
type evidence struct {
	moments  []moment
	requests map[identifier.RequestDigest]bool
	common   []identifier.PartID
}

// moment is a time of crashes with the highest weight among them, and the requests that broke. A denial of which a peer has told
// is a moment without requests.
type moment struct {
	at       time.Time
	score    int
	requests map[identifier.RequestDigest]bool
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
	return len(e.requests) >= minimumRequests && e.score() >= denyScore && !e.oneRequest()
}

// oneRequest reports whether one request broke at all moments, which then explains them as well as the part.
func (e *evidence) oneRequest() bool {
	for r := range e.moments[0].requests {
		if !slices.ContainsFunc(e.moments, func(m moment) bool { return !m.requests[r] }) {
			return true
		}
	}
	return false
}

// matches reports whether a prompt contains all parts that the requests that broke have in common.
func (e *evidence) matches(parts []identifier.PartID) bool {
	return !slices.ContainsFunc(e.common, func(p identifier.PartID) bool { return !slices.Contains(parts, p) })
}

// add counts a crash.
func (e *evidence) add(c Crash) {
	e.requests[c.identity()] = true
	e.common = slices.DeleteFunc(e.common, func(p identifier.PartID) bool { return !slices.Contains(c.Parts, p) })
	score := queuedScore
	if c.Began {
		score = beganScore
	}
	for i := range e.moments {
		if m := &e.moments[i]; c.At.Sub(m.at).Abs() < momentLength {
			m.score = max(m.score, score)
			if m.requests != nil {
				m.requests[c.identity()] = true
			}
			return
		}
	}
	e.moments = append(e.moments, moment{c.At, score, map[identifier.RequestDigest]bool{c.identity(): true}})
}

// Denied returns how much longer requests with the given shared parts are denied, or zero if they are not.
func (q *Quarantine) Denied(parts []identifier.PartID, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.denied(parts, now)
}

// DeniedRequest returns how much longer a request is denied, with all that are alike, or zero if it is not.
func (q *Quarantine) DeniedRequest(digest identifier.RequestDigest, now time.Time) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.requests.denied(digest, now)
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
	key := crashKey{incarnationOf(&c), c.identity()}
	if _, known := q.crashes[key]; known || q.requests.knows(&c) {
		return false
	}
	age := now.Sub(c.At)
	if age > evidenceLifetime && (c.Digest == 0 || age > crashLifetime || !q.gone(&c)) {
		return false
	}
	if q.crashes == nil {
		q.crashes = map[crashKey]Crash{}
	}
	if age <= evidenceLifetime {
		q.crashes[key] = c
	}
	if q.requests.add(c) {
		q.denyRequest(c.Digest)
	}
	if age <= evidenceLifetime {
		q.addEvidence(c)
	}
	return true
}

// addEvidence counts a crash against the parts of the request. The caller must hold mu.
func (q *Quarantine) addEvidence(c Crash) {
	for _, p := range c.Parts {
		if c.At.Sub(q.completed[p]) < recentCompletion || !q.cleared[p].Before(c.At) || q.requests.explains(&c, p) {
			continue
		}
		if q.evidence == nil {
			q.evidence = map[identifier.PartID]*evidence{}
		}
		e := q.evidence[p]
		if e == nil {
			e = &evidence{requests: map[identifier.RequestDigest]bool{}, common: slices.Clone(c.Parts)}
			q.evidence[p] = e
		}
		wasDenied := e.denied()
		if e.add(c); e.denied() && !wasDenied {
			q.deny(p, e)
		}
	}
}

// denyRequest logs a denied request, and drops the crashes that it explains from the evidence against parts that it does not
// have. The caller must hold mu.
func (q *Quarantine) denyRequest(digest identifier.RequestDigest) {
	s := q.requests.suspects[digest]
	if q.Logger != nil {
		q.Logger.Warn("request denied, targets crash under it", zap.String("Digest", hexadecimal(identifier.PartID(digest))), zap.Int("Crashes", len(s.crashes)))
	}
	for p, e := range q.evidence {
		if slices.Contains(s.parts, p) {
			continue
		}
		e.moments = slices.DeleteFunc(e.moments, func(m moment) bool { return s.crashedAt(m.at) })
		if len(e.moments) == 0 {
			delete(q.evidence, p)
		}
	}
}

// gone reports whether the target's incarnation has ended. The caller must hold mu.
func (q *Quarantine) gone(c *Crash) bool { return q.Gone == nil || q.Gone(c.Target, c.StartedAt) }

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

// Completed clears a request that has completed, and its shared parts. It reports whether peers should know of it.
func (q *Quarantine) Completed(digest identifier.RequestDigest, parts []identifier.PartID, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.completed == nil {
		q.completed = map[identifier.PartID]time.Time{}
	}
	isNews := q.requests.complete(digest, now)
	for _, p := range parts {
		q.completed[p] = now
		isNews = q.clear(Clearance{Part: p, At: now}) || isNews
	}
	return isNews
}

// clear drops the evidence against a part up to the time of a clearance, and reports whether there was any. The caller must
// hold mu.
func (q *Quarantine) clear(c Clearance) bool {
	if c.Digest != 0 {
		return q.requests.clear(c.Digest, c.At)
	}
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
	r.Crashes = append(r.Crashes, q.requests.deniedCrashes(now)...)
	for p, at := range q.cleared {
		if now.Sub(at) <= reportTime {
			r.Clearances = append(r.Clearances, Clearance{Part: p, At: at})
		}
	}
	r.Clearances = append(r.Clearances, q.requests.clearances(now)...)
	for p, e := range q.evidence {
		if e.denied() && now.Sub(e.lastAt()) >= denialDelay {
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
		if e != nil && e.denied() || !q.cleared[d.Part].Before(d.At) || now.Sub(d.At) > denialLifetime || q.requests.explainsDenial(&d) {
			continue
		}
		e = &evidence{moments: []moment{{at: d.At, score: denyScore}}, common: d.Common, requests: map[identifier.RequestDigest]bool{}}
		for i := range minimumRequests {
			e.requests[identifier.RequestDigest(i)] = true
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
	q.requests.expire(now, q.gone)
	maps.DeleteFunc(q.completed, func(_ identifier.PartID, at time.Time) bool { return now.Sub(at) > recentCompletion })
	maps.DeleteFunc(q.cleared, func(_ identifier.PartID, at time.Time) bool { return now.Sub(at) > denialLifetime })
	for p, e := range q.evidence {
		switch age := now.Sub(e.lastAt()); {
		case e.denied() && age > denialLifetime:
			e.moments = []moment{{at: now, score: denyScore - 1}} // One more crash denies it again.
		case !e.denied() && age > evidenceLifetime:
			delete(q.evidence, p)
		}
	}
}

// RequestDenials returns the number of denied requests.
func (q *Quarantine) RequestDenials(now time.Time) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	for digest := range q.requests.suspects {
		if q.requests.denied(digest, now) > 0 {
			n++
		}
	}
	return n
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
