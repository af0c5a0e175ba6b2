package chooser

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// cacheFraction is the fraction of a target's memory that is assumed to hold prompt parts; running requests need the
	// rest.
	cacheFraction = 0.7
	// defaultCacheTokens is the KV cache capacity assumed for targets without one in the configuration.
	defaultCacheTokens = 300_000
	// failureHalfLife is the half-life of the failure score.
	failureHalfLife = 2 * time.Second
	// refusalPause is how long a target is avoided after a refusal without a reason in its load.
	refusalPause = 500 * time.Millisecond
	// reportInterval is how often a part that stays in use is reported to peers again.
	reportInterval = 3 * time.Second
	// recentPartsKept is the least number of recent parts kept for peers that have not received them yet.
	recentPartsKept = 256
	// peerLoadLifetime is how long a peer's reported load counts without a new report.
	peerLoadLifetime = 3 * time.Second
	// reportedLoadLifetime is how long a target's own count of its requests replaces what peers report: their reports are up to 1.5 s
	// old, and requests take some hundred milliseconds.
	reportedLoadLifetime = 300 * time.Millisecond
	// maximumReleased is the number of lists of candidates kept for later choices: few choices are made at the same time.
	maximumReleased = 2
)

// CachedPart is a prompt part in the KV cache of a target; instances report new ones to their peers.
type CachedPart struct {
	Target identifier.TargetID
	Part   Part
}

// TargetStates holds what this instance knows about each target: load, cached prompt parts and failures. The zero value
// is ready to use.
type TargetStates struct {
	// SharedPartsOnly reports whether the last part of a prompt, which belongs to the request or its session, is not
	// reported to peers; nil means that it is.
	SharedPartsOnly func() bool
	// CacheTokens returns the KV cache capacity of a service's targets, or zero if it is not known; nil means that it is not.
	CacheTokens func(identifier.ServiceID) identifier.Tokens
	// Model assesses candidates; nil leaves them at the defaults.
	Model Model

	mu      sync.Mutex
	targets map[identifier.TargetID]*targetState
	// released holds lists of candidates to be used again: one for 720 targets takes 80 KB.
	released [][]Candidate
	peers    map[string]peerReport
	// recentParts holds the parts recorded last, to be reported to peers; the last one has the offset nextOffset-1.
	recentParts []recentPart
	nextOffset  uint64
}

// recentPart is a part to be reported; relayed is set if the peer that reported it had received it from another one.
type recentPart struct {
	CachedPart
	relayed bool
}

type targetState struct {
	// own is the work that this instance has in flight, and peers the sum of the loads that peers reported.
	own   Load
	peers Load
	parts map[identifier.PartID]*partState
	// tokens is the total size of all parts.
	tokens identifier.Tokens
	// capacity is the size of the KV cache; zero means the default.
	capacity identifier.Tokens
	// reportedOthers is the number of requests that were not this instance's when the target reported its count at loadReportedAt, and
	// reportedWaiting the number that waited.
	reportedOthers  int
	reportedWaiting int
	loadReportedAt  time.Time
	failures        float64
	failuresAt      time.Time
	// refusedAt is when the target last refused a request although its load gives no reason.
	refusedAt time.Time
	firstSeen time.Time
	startedAt time.Time
	// restarts counts the changes of startedAt.
	restarts int
}

// peerReport holds the loads of a peer's last report.
type peerReport struct {
	loads      map[identifier.TargetID]Load
	receivedAt time.Time
}

type partState struct {
	tokens     identifier.Tokens
	usedAt     time.Time
	reportedAt time.Time
}

// Candidates returns the state of the given targets for a choice; parts may be empty.
func (ts *TargetStates) Candidates(targets []*registrar.Target, parts []Part, now time.Time) []Candidate {
	list := ts.candidates(targets, parts, now)
	if ts.Model != nil {
		ts.Model.Assess(list, now)
	}
	return list
}

// Release lets a later choice use the memory of a list of candidates, which the caller must not use any more.
func (ts *TargetStates) Release(list []Candidate) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	if cap(list) > 0 && len(ts.released) < maximumReleased {
		ts.released = append(ts.released, list[:0])
	}
}

// newList returns an empty list for n candidates.
func (ts *TargetStates) newList(n int) []Candidate {
	if last := len(ts.released) - 1; last >= 0 {
		list := ts.released[last]
		ts.released = ts.released[:last]
		if cap(list) >= n {
			return list
		}
	}
	return make([]Candidate, 0, n)
}

func (ts *TargetStates) candidates(targets []*registrar.Target, parts []Part, now time.Time) []Candidate {
	capacity := identifier.Tokens(0)
	if ts.CacheTokens != nil && len(targets) > 0 {
		capacity = ts.CacheTokens(targets[0].Service)
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	list := ts.newList(len(targets))
	for _, t := range targets {
		s := ts.targetState(t.ID, now)
		// A restarted target has an empty cache.
		if !t.StartedAt.Equal(s.startedAt) {
			if !s.startedAt.IsZero() {
				// Nor has it the work that was in flight, whose ends are still to come.
				s.own, s.restarts = Load{}, s.restarts+1
			}
			s.parts, s.tokens, s.startedAt, s.loadReportedAt = nil, 0, t.StartedAt, time.Time{}
		}
		s.capacity = capacity
		c := Candidate{
			Target: t, Load: s.loadAt(t.Stage, now), Cached: s.cached(parts), FailureScore: s.failureScore(now), Age: now.Sub(s.firstSeen),
			Busy: s.busy(t.Stage, now),
		}
		if !s.refusedAt.IsZero() && now.Sub(s.refusedAt) < refusalPause {
			c.Surcharge = AvoidanceCost
		}
		list = append(list, c)
	}
	return list
}

// Begin adds work to this instance's load of a target; the returned function removes it and may be called repeatedly.
func (ts *TargetStates) Begin(id identifier.TargetID, work Load, now time.Time) (end func()) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	return ts.begin(id, ts.targetState(id, now), work)
}

// begin adds work to a target's state. The returned function removes it, unless the target has restarted. The caller must hold mu.
func (ts *TargetStates) begin(id identifier.TargetID, s *targetState, work Load) (end func()) {
	s.own.add(work, 1)
	restarts := s.restarts
	var once sync.Once
	return func() {
		once.Do(func() {
			ts.mu.Lock()
			defer ts.mu.Unlock()
			if s.restarts == restarts && ts.targets[id] == s {
				s.own.add(work, -1)
			}
		})
	}
}

// Prefilled records that a target now caches the parts of a prompt, and queues the parts to be reported to peers.
func (ts *TargetStates) Prefilled(id identifier.TargetID, parts []Part, now time.Time) {
	sharedOnly := ts.SharedPartsOnly != nil && ts.SharedPartsOnly()
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.targetState(id, now)
	for i, part := range parts {
		if sharedOnly && i == len(parts)-1 {
			s.addPart(part, now)
			continue
		}
		ts.record(s, recentPart{CachedPart: CachedPart{Target: id, Part: part}}, now)
	}
}

// record adds a part to a target's state and queues it to be reported to peers, unless it was reported recently.
func (ts *TargetStates) record(s *targetState, part recentPart, now time.Time) {
	if !s.addPart(part.Part, now) {
		return
	}
	ts.recentParts = append(ts.recentParts, part)
	ts.nextOffset++
	if len(ts.recentParts) > 2*recentPartsKept {
		ts.recentParts = slices.Clone(ts.recentParts[len(ts.recentParts)-recentPartsKept:])
	}
}

// AddReported records a cached part that a peer reported.
func (ts *TargetStates) AddReported(part CachedPart, now time.Time) {
	ts.addReported(recentPart{CachedPart: part}, now)
}

// AddRelayed records a cached part that a peer reported and sends to all hubs itself.
func (ts *TargetStates) AddRelayed(part CachedPart, now time.Time) {
	ts.addReported(recentPart{CachedPart: part, relayed: true}, now)
}

func (ts *TargetStates) addReported(part recentPart, now time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.record(ts.targetState(part.Target, now), part, now)
}

// PartsSince returns the parts recorded since an offset, as far as they are still kept, and the next offset.
func (ts *TargetStates) PartsSince(from uint64) ([]CachedPart, uint64) {
	return ts.partsSince(from, true)
}

// FirstHandSince is PartsSince without the parts of AddRelayed.
func (ts *TargetStates) FirstHandSince(from uint64) ([]CachedPart, uint64) {
	return ts.partsSince(from, false)
}

func (ts *TargetStates) partsSince(from uint64, relayed bool) ([]CachedPart, uint64) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	firstKept := ts.nextOffset - uint64(len(ts.recentParts))
	from = min(max(from, firstKept), ts.nextOffset)
	var list []CachedPart
	for _, part := range ts.recentParts[from-firstKept:] {
		if relayed || !part.relayed {
			list = append(list, part.CachedPart)
		}
	}
	return list, ts.nextOffset
}

// Failed adds a failure to a target's failure score.
func (ts *TargetStates) Failed(id identifier.TargetID, now time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.targetState(id, now)
	s.failures = s.failureScore(now) + 1
	s.failuresAt = now
}

// Refused records that a target has refused a request that it has not run. If its load gives no reason for that, as with a target
// that is changing its stage, it is avoided for refusalPause. It reports whether that is so.
func (ts *TargetStates) Refused(t *registrar.Target, now time.Time) (unexplained bool) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.targetState(t.ID, now)
	if unexplained = t.Slots <= 0 || s.loadAt(t.Stage, now).Answers < t.Slots; unexplained {
		s.refusedAt = now
	}
	return unexplained
}

// Succeeded halves a target's failure score.
func (ts *TargetStates) Succeeded(id identifier.TargetID, now time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.targetState(id, now)
	s.failures = s.failureScore(now) / 2
	s.failuresAt = now
}

// Local returns the work that this instance has in flight, by target; idle targets are left out.
func (ts *TargetStates) Local() map[identifier.TargetID]Load {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	own := map[identifier.TargetID]Load{}
	for id, s := range ts.targets {
		if s.own != (Load{}) {
			own[id] = s.own
		}
	}
	return own
}

// UpdatePeer replaces the loads reported by a peer.
func (ts *TargetStates) UpdatePeer(peer string, loads map[identifier.TargetID]Load, now time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	ts.removePeer(peer)
	if ts.peers == nil {
		ts.peers = map[string]peerReport{}
	}
	ts.peers[peer] = peerReport{loads, now}
	for id, load := range loads {
		ts.targetState(id, now).peers.add(load, 1)
	}
}

// removePeer subtracts a peer's loads from the sums.
func (ts *TargetStates) removePeer(peer string) {
	for id, load := range ts.peers[peer].loads {
		if s := ts.targets[id]; s != nil {
			s.peers.add(load, -1)
		}
	}
	delete(ts.peers, peer)
}

// Retain removes targets that are not in the list and have no work in flight, and the loads of peers whose last report
// is too old.
func (ts *TargetStates) Retain(targets []*registrar.Target, now time.Time) {
	keep := map[identifier.TargetID]bool{}
	for _, t := range targets {
		keep[t.ID] = true
	}
	ts.mu.Lock()
	defer ts.mu.Unlock()
	for peer, report := range ts.peers {
		if now.Sub(report.receivedAt) > peerLoadLifetime {
			ts.removePeer(peer)
		}
	}
	for id, s := range ts.targets {
		if !keep[id] && s.own == (Load{}) && s.peers == (Load{}) {
			delete(ts.targets, id)
		}
	}
}

func (ts *TargetStates) targetState(id identifier.TargetID, now time.Time) *targetState {
	if ts.targets == nil {
		ts.targets = map[identifier.TargetID]*targetState{}
	}
	s := ts.targets[id]
	if s == nil {
		s = &targetState{firstSeen: now}
		ts.targets[id] = s
	}
	return s
}

// ObserveLoad records a target's own count of its requests: those that run, one of which is the one that it answers, and those that
// wait.
func (ts *TargetStates) ObserveLoad(id identifier.TargetID, running, waiting int, now time.Time) {
	ts.mu.Lock()
	defer ts.mu.Unlock()
	s := ts.targetState(id, now)
	s.reportedOthers, s.reportedWaiting, s.loadReportedAt = max(0, running+waiting-s.own.Answers), waiting, now
}

// hasFreshLoad reports whether the target has just reported its own count.
func (s *targetState) hasFreshLoad(now time.Time) bool {
	return now.Sub(s.loadReportedAt) < reportedLoadLifetime
}

// loadAt returns the target's load. Its own count of requests is newer than what peers report; it says nothing about the tokens
// of prompts.
func (s *targetState) loadAt(stage registrar.Stage, now time.Time) Load {
	total := s.own
	total.add(s.peers, 1)
	if stage != registrar.Prompts && s.hasFreshLoad(now) {
		total.Answers = s.own.Answers + s.reportedOthers
	}
	return total
}

// busy reports whether a prompt target has just reported that requests wait for it.
func (s *targetState) busy(stage registrar.Stage, now time.Time) bool {
	return s.reportedWaiting > 0 && stage == registrar.Prompts && s.hasFreshLoad(now)
}

func (l *Load) add(other Load, sign int) {
	l.PromptTokens += identifier.Tokens(sign) * other.PromptTokens
	l.Answers += sign * other.Answers
	l.AnswerTokens += identifier.Tokens(sign) * other.AnswerTokens
}

// cached returns the number of leading prompt tokens in the target's cache, up to the first part that it lacks.
func (s *targetState) cached(parts []Part) identifier.Tokens {
	total := identifier.Tokens(0)
	for _, part := range parts {
		entry := s.parts[part.ID]
		if entry == nil {
			break
		}
		total += min(entry.tokens, part.Tokens)
	}
	return total
}

// addPart adds a part or marks it as used, evicting the least recently used parts if the cache is full. It reports
// whether the part is due to be reported to peers.
func (s *targetState) addPart(part Part, now time.Time) bool {
	if s.parts == nil {
		s.parts = map[identifier.PartID]*partState{}
	}
	if entry := s.parts[part.ID]; entry != nil {
		due := now.Sub(entry.reportedAt) > reportInterval
		entry.usedAt = now
		if due {
			entry.reportedAt = now
		}
		return due
	}
	s.parts[part.ID] = &partState{tokens: part.Tokens, usedAt: now, reportedAt: now}
	s.tokens += part.Tokens
	for float64(s.tokens) > cacheFraction*float64(cmp.Or(s.capacity, defaultCacheTokens)) && len(s.parts) > 1 {
		s.evict()
	}
	return true
}

func (s *targetState) evict() {
	var oldest identifier.PartID
	var oldestUse time.Time
	for id, entry := range s.parts {
		if oldestUse.IsZero() || entry.usedAt.Before(oldestUse) {
			oldest, oldestUse = id, entry.usedAt
		}
	}
	s.tokens -= s.parts[oldest].tokens
	delete(s.parts, oldest)
}

func (s *targetState) failureScore(now time.Time) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-now.Sub(s.failuresAt).Seconds()/failureHalfLife.Seconds())
}
