package chooser

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// cachePart is the part of a target's memory that is taken to hold prompt parts; running requests need the rest.
	cachePart = 0.7
	// defaultCacheTokens stands for targets whose memory is not known.
	defaultCacheTokens = 300_000
	// sickHalfLife is how fast failures are forgotten.
	sickHalfLife = 2 * time.Second
	// retellTime is how often peers hear again of a part that stays in use.
	retellTime = 3 * time.Second
	// keptSent is how many parts are kept for peers that have not heard of them.
	keptSent = 256
	// peerLoadLife is how long a peer's load counts without news of it.
	peerLoadLife = 3 * time.Second
)

// CachedPart is a prompt part that a target has read for this instance; peers are told of it.
type CachedPart struct {
	Target identifier.TargetID
	Part   Part
}

// TargetStates keeps what this instance knows of each target; the zero value is ready.
type TargetStates struct {
	mu      sync.Mutex
	targets map[identifier.TargetID]*page
	peers   map[string]report
	// sent holds the last parts that were read for this instance; the last one has the number sentNext-1.
	sent     []CachedPart
	sentNext uint64
}

type page struct {
	own Load
	// peers sums the loads that peers reported.
	peers   Load
	parts   map[identifier.PartID]*held
	tokens  identifier.Tokens
	sick    float64
	sickAt  time.Time
	firstAt time.Time
	born    time.Time
}

// report is what a peer last told of its loads.
type report struct {
	loads map[identifier.TargetID]Load
	at    time.Time
}

type held struct {
	tokens identifier.Tokens
	used   time.Time
	told   time.Time
}

// Candidates describes targets for a choice; parts may be empty.
func (b *TargetStates) Candidates(targets []*registrar.Target, parts []Part, now time.Time) []Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Candidate, 0, len(targets))
	for _, t := range targets {
		p := b.page(t.ID, now)
		if !t.StartedAt.Equal(p.born) {
			p.parts, p.tokens, p.born = nil, 0, t.StartedAt
		}
		list = append(list, Candidate{
			Target: t, Load: p.load(), Cached: p.cached(parts), FailureScore: p.sickness(now), Age: now.Sub(p.firstAt),
		})
	}
	return list
}

// Begin notes work that this instance sends to a target; the returned function ends it.
func (b *TargetStates) Begin(id identifier.TargetID, work Load, now time.Time) (end func()) {
	b.add(id, work, 1, now)
	var once sync.Once
	return func() { once.Do(func() { b.add(id, work, -1, now) }) }
}

func (b *TargetStates) add(id identifier.TargetID, work Load, sign int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.page(id, now).own.add(work, sign)
}

// Prefilled notes that a target holds the parts of a prompt, and remembers to tell peers.
func (b *TargetStates) Prefilled(id identifier.TargetID, parts []Part, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.page(id, now)
	for _, part := range parts {
		b.note(p, CachedPart{Target: id, Part: part}, now)
	}
}

// note keeps a part and, unless that is known of late, remembers to tell peers.
func (b *TargetStates) note(p *page, s CachedPart, now time.Time) {
	if !p.hold(s.Part, now) {
		return
	}
	b.sent = append(b.sent, s)
	b.sentNext++
	if len(b.sent) > 2*keptSent {
		b.sent = slices.Clone(b.sent[len(b.sent)-keptSent:])
	}
}

// AddReported notes what a peer told of a target's parts.
func (b *TargetStates) AddReported(s CachedPart, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.note(b.page(s.Target, now), s, now)
}

// PartsSince returns the parts read from a number on, as far as they are kept, and the number to go on with.
func (b *TargetStates) PartsSince(from uint64) ([]CachedPart, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	first := b.sentNext - uint64(len(b.sent))
	from = min(max(from, first), b.sentNext)
	return slices.Clone(b.sent[from-first:]), b.sentNext
}

// Failed counts a failure of a target.
func (b *TargetStates) Failed(id identifier.TargetID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.page(id, now)
	p.sick = p.sickness(now) + 1
	p.sickAt = now
}

// Succeeded halves the failures that are held against a target.
func (b *TargetStates) Succeeded(id identifier.TargetID, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.page(id, now)
	p.sick = p.sickness(now) / 2
	p.sickAt = now
}

// OwnLoads returns this instance's load of each target that has any.
func (b *TargetStates) OwnLoads() map[identifier.TargetID]Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := map[identifier.TargetID]Load{}
	for id, p := range b.targets {
		if p.own != (Load{}) {
			own[id] = p.own
		}
	}
	return own
}

// SetPeerLoads replaces a peer's loads.
func (b *TargetStates) SetPeerLoads(peer string, loads map[identifier.TargetID]Load, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drop(peer)
	if b.peers == nil {
		b.peers = map[string]report{}
	}
	b.peers[peer] = report{loads, now}
	for id, load := range loads {
		b.page(id, now).peers.add(load, 1)
	}
}

// drop takes a peer's loads out of the sums.
func (b *TargetStates) drop(peer string) {
	for id, load := range b.peers[peer].loads {
		if p := b.targets[id]; p != nil {
			p.peers.add(load, -1)
		}
	}
	delete(b.peers, peer)
}

// Retain drops all targets but the given ones, unless there is work on them, and the loads of peers without news.
func (b *TargetStates) Retain(targets []*registrar.Target, now time.Time) {
	keep := map[identifier.TargetID]bool{}
	for _, t := range targets {
		keep[t.ID] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for peer, r := range b.peers {
		if now.Sub(r.at) > peerLoadLife {
			b.drop(peer)
		}
	}
	for id, p := range b.targets {
		if !keep[id] && p.own == (Load{}) && p.peers == (Load{}) {
			delete(b.targets, id)
		}
	}
}

func (b *TargetStates) page(id identifier.TargetID, now time.Time) *page {
	if b.targets == nil {
		b.targets = map[identifier.TargetID]*page{}
	}
	p := b.targets[id]
	if p == nil {
		p = &page{firstAt: now}
		b.targets[id] = p
	}
	return p
}

func (p *page) load() Load {
	total := p.own
	total.add(p.peers, 1)
	return total
}

func (l *Load) add(other Load, sign int) {
	l.PromptTokens += identifier.Tokens(sign) * other.PromptTokens
	l.Answers += sign * other.Answers
	l.AnswerTokens += identifier.Tokens(sign) * other.AnswerTokens
}

// cached sums the leading parts that the target holds.
func (p *page) cached(parts []Part) identifier.Tokens {
	total := identifier.Tokens(0)
	for _, part := range parts {
		h := p.parts[part.ID]
		if h == nil {
			break
		}
		total += min(h.tokens, part.Tokens)
	}
	return total
}

// hold adds a part, or notes its use; the least recently used ones yield. It reports what others should hear.
func (p *page) hold(part Part, now time.Time) bool {
	if p.parts == nil {
		p.parts = map[identifier.PartID]*held{}
	}
	if h := p.parts[part.ID]; h != nil {
		news := now.Sub(h.told) > retellTime
		h.used = now
		if news {
			h.told = now
		}
		return news
	}
	p.parts[part.ID] = &held{tokens: part.Tokens, used: now, told: now}
	p.tokens += part.Tokens
	for float64(p.tokens) > cachePart*defaultCacheTokens && len(p.parts) > 1 {
		p.evict()
	}
	return true
}

func (p *page) evict() {
	var oldest identifier.PartID
	var at time.Time
	for id, h := range p.parts {
		if at.IsZero() || h.used.Before(at) {
			oldest, at = id, h.used
		}
	}
	p.tokens -= p.parts[oldest].tokens
	delete(p.parts, oldest)
}

func (p *page) sickness(now time.Time) float64 {
	if p.sick == 0 {
		return 0
	}
	return p.sick * math.Exp2(-now.Sub(p.sickAt).Seconds()/sickHalfLife.Seconds())
}
