package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/quarantiner"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const deadly = identifier.PartID(1 << 40)

// load describes the requests, targets and instances of a simulation.
type load struct {
	instances, targets, documents int
	perSecond                     float64
	// deadlyShare is the share of requests with the deadly part; sharedDocument gives all of these the same document.
	deadlyShare    float64
	sharedDocument bool
	// wave is the share of the targets that crash together, at intervals of waveInterval; zero means that none do.
	wave         float64
	waveInterval time.Duration
}

var (
	smallSite = load{instances: 6, targets: 9, documents: 60, perSecond: 32}
	grownSite = load{instances: 72, targets: 90, documents: 490, perSecond: 237}
)

// Times of a request at its target: its answer begins, its first event is sent, and it ends. A deadly one crashes the target
// halfway between the first two.
const (
	beginAfter = 60 * time.Millisecond
	eventAfter = 120 * time.Millisecond
	endAfter   = 400 * time.Millisecond
	gossipTime = 500 * time.Millisecond
	tick       = 10 * time.Millisecond
)

type request struct {
	instance, target int
	own              identifier.PartID
	parts            []identifier.PartID
	age              time.Duration
}

// simulation runs requests in virtual time. Its instances exchange reports twice a second.
type simulation struct {
	load
	rng       *rand.Rand
	now       time.Time
	nodes     []*quarantiner.Quarantine
	running   []*request
	downUntil []time.Time
	births    []time.Time
	next      identifier.PartID
	// crashes counts crashes under the deadly part. fifthAt is when the fifth came; afterwards counts the deadly requests that
	// reached targets later than contactTime after it.
	crashes, afterwards int
	fifthAt             time.Time
	// denied and admitted count sound requests.
	denied, admitted int
}

// contactTime is the users' bound for what all instances must know.
const contactTime = 3 * time.Second

func (s *simulation) run(length time.Duration) {
	s.now = time.Unix(1000, 0)
	s.downUntil, s.births = make([]time.Time, s.targets), make([]time.Time, s.targets)
	for range s.instances {
		s.nodes = append(s.nodes, &quarantiner.Quarantine{})
	}
	start := s.now
	nextWave := start.Add(s.waveInterval)
	for s.now.Sub(start) < length {
		s.now = s.now.Add(tick)
		if s.rng.Float64() < s.perSecond*tick.Seconds() {
			s.arrive()
		}
		if s.rng.Float64() < s.perSecond*tick.Seconds()-1 {
			s.arrive()
		}
		s.advance()
		if s.wave > 0 && !s.now.Before(nextWave) {
			nextWave = nextWave.Add(s.waveInterval)
			for i := range s.targets {
				if s.rng.Float64() < s.wave {
					s.crash(i)
				}
			}
		}
		if s.now.Sub(start)%gossipTime == 0 {
			s.gossip()
		}
	}
}

// arrive starts a request at a random instance and target.
func (s *simulation) arrive() {
	s.next++
	r := &request{instance: s.rng.IntN(s.instances), target: s.rng.IntN(s.targets), own: 1<<20 + s.next}
	isDeadly := s.rng.Float64() < s.deadlyShare
	document := identifier.PartID(s.rng.IntN(s.documents))
	if isDeadly && s.sharedDocument {
		document = 0
	}
	r.parts = []identifier.PartID{document}
	if isDeadly {
		r.parts = append(r.parts, deadly)
	}
	if s.nodes[r.instance].Denied(r.parts, s.now) > 0 {
		if !isDeadly {
			s.denied++
		}
		return
	}
	if !isDeadly {
		s.admitted++
	} else if !s.fifthAt.IsZero() && s.now.Sub(s.fifthAt) > contactTime {
		s.afterwards++
	}
	if s.now.After(s.downUntil[r.target]) {
		s.running = append(s.running, r)
	}
}

// advance ends requests that are done and crashes targets of deadly ones.
func (s *simulation) advance() {
	var crashed []int
	rest := s.running[:0:0]
	for _, r := range s.running {
		r.age += tick
		switch {
		case len(r.parts) > 1 && r.age >= (beginAfter+eventAfter)/2:
			crashed = append(crashed, r.target)
			rest = append(rest, r)
		case r.age >= endAfter:
			s.nodes[r.instance].Completed(0, r.parts, s.now)
		default:
			rest = append(rest, r)
		}
	}
	s.running = rest
	for _, target := range crashed {
		if s.crashes++; s.crashes == 5 {
			s.fifthAt = s.now
		}
		s.crash(target)
	}
}

// crash breaks the requests of a target.
func (s *simulation) crash(target int) {
	s.downUntil[target] = s.now.Add(3 * time.Second)
	rest := s.running[:0:0]
	for _, r := range s.running {
		if r.target != target {
			rest = append(rest, r)
			continue
		}
		if r.age < eventAfter {
			s.nodes[r.instance].Crashed(quarantiner.Crash{
				Target: identifier.TargetID(fmt.Sprint(target)), StartedAt: s.births[target], Request: r.own, Parts: r.parts,
				Began: r.age >= beginAfter, At: s.now,
			}, s.now)
		}
	}
	s.running = rest
	s.births[target] = s.now
}

func (s *simulation) gossip() {
	reports := make([]quarantiner.Report, len(s.nodes))
	for i, n := range s.nodes {
		reports[i] = n.Report(s.now)
		n.Expire(s.now)
	}
	for i, n := range s.nodes {
		for j, r := range reports {
			if i != j {
				n.Apply(r, s.now)
			}
		}
	}
}

// TestRequestsThatCrashTargetsAreDenied has the pattern of a prompt part under which each target crashes, in a twentieth of
// the requests that have long prompts. No more than three requests with it may reach targets once its fifth crash must be known
// everywhere, and nearly all sound requests must still be served, also those that share a document with the deadly ones.
func TestRequestsThatCrashTargetsAreDenied(t *testing.T) {
	for name, site := range map[string]load{"small": smallSite, "grown": grownSite} {
		for _, shared := range []bool{false, true} {
			for seed := range uint64(20) {
				site.deadlyShare, site.sharedDocument = 0.02, shared
				s := &simulation{load: site, rng: rand.New(rand.NewPCG(seed, 1))}
				s.run(20 * time.Second)
				comment := quicktest.Commentf("%s site, shared document %v, seed %d: %d crashes, %d afterwards, %d of %d sound ones denied",
					name, shared, seed, s.crashes, s.afterwards, s.denied, s.denied+s.admitted)
				quicktest.Check(t, s.afterwards <= 3, quicktest.IsTrue, comment)
				quicktest.Check(t, s.denied*50 <= s.admitted, quicktest.IsTrue, comment)
			}
		}
	}
}

// TestCrashesForOtherReasonsDenyNothing has targets crash in waves, whatever they run.
func TestCrashesForOtherReasonsDenyNothing(t *testing.T) {
	for name, site := range map[string]load{"small": smallSite, "grown": grownSite} {
		for seed := range uint64(20) {
			site.wave, site.waveInterval = 0.25, 1500*time.Millisecond
			s := &simulation{load: site, rng: rand.New(rand.NewPCG(seed, 2))}
			s.run(20 * time.Second)
			quicktest.Check(t, s.denied, quicktest.Equals, 0, quicktest.Commentf("%s site, seed %d", name, seed))
		}
	}
}

// crashes reports crashes of different requests with the parts, a second apart.
func crashes(q *quarantiner.Quarantine, n int, at time.Time, parts ...identifier.PartID) time.Time {
	for i := range n {
		q.Crashed(quarantiner.Crash{Target: "t", StartedAt: at, Request: identifier.PartID(100 + i), Parts: parts, Began: true, At: at}, at)
		at = at.Add(time.Second)
	}
	return at
}

// TestPartsThatDeadlyRequestsHaveInCommon has a sound part that occurs in all requests that broke at first: requests that have
// only that part are served, and a request with the deadly part but without it ends the tie.
func TestPartsThatDeadlyRequestsHaveInCommon(t *testing.T) {
	q := &quarantiner.Quarantine{}
	now := crashes(q, 3, time.Unix(1000, 0), 7, deadly)
	quicktest.Check(t, q.Denied([]identifier.PartID{7, deadly}, now) > 0, quicktest.IsTrue)
	quicktest.Check(t, q.Denied([]identifier.PartID{7}, now), quicktest.Equals, time.Duration(0))
	quicktest.Check(t, q.Denied([]identifier.PartID{8, deadly}, now), quicktest.Equals, time.Duration(0))
	q.Crashed(quarantiner.Crash{Target: "u", Request: 200, Parts: []identifier.PartID{8, deadly}, Began: true, At: now}, now)
	quicktest.Check(t, q.Denied([]identifier.PartID{9, deadly}, now) > 0, quicktest.IsTrue)
}

// TestOneRequestIsNotEnough has one request that is sent again and again, to targets that crash for other reasons.
func TestOneRequestIsNotEnough(t *testing.T) {
	q := &quarantiner.Quarantine{}
	now := time.Unix(1000, 0)
	for i := range 10 {
		q.Crashed(quarantiner.Crash{Target: identifier.TargetID(fmt.Sprint(i)), Request: 1, Parts: []identifier.PartID{7}, Began: true, At: now}, now)
		now = now.Add(time.Second)
	}
	quicktest.Check(t, q.Denied([]identifier.PartID{7}, now), quicktest.Equals, time.Duration(0))
}

// TestDenialsEndAndReturn checks that a completed request ends a denial at all instances, that an instance that starts learns
// of denials, and that a denial that has lapsed returns with the next crash.
func TestDenialsEndAndReturn(t *testing.T) {
	q, late := &quarantiner.Quarantine{}, &quarantiner.Quarantine{}
	parts := []identifier.PartID{deadly}
	now := crashes(q, 3, time.Unix(1000, 0), deadly).Add(30 * time.Second)
	late.Apply(q.Report(now), now)
	quicktest.Check(t, late.Denied(parts, now) > 0, quicktest.IsTrue)

	now = now.Add(10 * time.Minute)
	q.Expire(now)
	quicktest.Check(t, q.Denied(parts, now), quicktest.Equals, time.Duration(0))
	now = crashes(q, 1, now.Add(time.Second), deadly)
	quicktest.Check(t, q.Denied(parts, now) > 0, quicktest.IsTrue)

	late.Apply(q.Report(now), now)
	quicktest.Check(t, q.Completed(0, parts, now), quicktest.IsTrue)
	quicktest.Check(t, q.Denied(parts, now), quicktest.Equals, time.Duration(0))
	late.Apply(q.Report(now), now)
	quicktest.Check(t, late.Denied(parts, now), quicktest.Equals, time.Duration(0))
}
