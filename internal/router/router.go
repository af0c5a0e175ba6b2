package router

import (
	"math"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// The choice has two steps.
//
// A few candidates are drawn: the ones that rendezvous hashing gives for the prompt's first piece, so
// that all instances send the same prefix to the same targets without talking to each other, and some
// at random, so that instances that saw the same late load report do not all pick the same target.
//
// Of these the one with the lowest cost wins. The cost starts from the predicted time to first token:
// the queue of the last report, what this instance sent since, the uncached part of the prompt over
// the target's prefill rate, stretched as observed, the wait for a batch slot and the hop to another
// availability zone. What a request does to the answers beside it is added: the crowding of the
// batch, the share of late tokens there, and on a mixed engine the time that its prompt takes. A
// target that is new costs more for a while.

const (
	affinityDraws = 2
	randomDraws   = 3
	maximumDraws  = affinityDraws + randomDraws + 1
	pieceTokens   = 2000
	zoneHop       = 2 * time.Millisecond
	slowStart     = 10 * time.Second
	slowStartCost = 400 * time.Millisecond
	stallWeight   = 4.0
	lateCost      = 500 * time.Millisecond
	crowding      = 800 * time.Millisecond
)

// Cache answers how many leading pieces of a prompt a target holds.
type Cache interface {
	Hit(pieces []uint64) int
}

// Candidate is what is known of a target.
type Candidate struct {
	ID               identifier.TargetID
	Hash             uint64
	Zone             identifier.ZoneID
	Role             recorder.Role
	Cheap            bool
	Usable           bool
	AddedAt          time.Time
	PrefillPerSecond float64
	DecodePerSecond  float64
	Slots            int64
	// BatchLimit is the number of answers at which tokens still come in time, as observed.
	BatchLimit int64
	Running    int64
	FreeAt     time.Time
	// PrefillSlowdown is how much longer prompts take than the prefill rate says, as observed; zero means 1.
	PrefillSlowdown float64
	// LateShare is the share of recent tokens that came later than promised after the one before.
	LateShare float64
	Cache     Cache
}

// Request is what the choice depends on.
type Request struct {
	Zone         identifier.ZoneID
	Role         recorder.Role
	PromptTokens identifier.Tokens
	Parts        []uint64
	Random       uint64
	// Prefilled tells that the prompt's KV cache is imported from another target.
	Prefilled   bool
	RefuseCheap bool
	Allowed     func(identifier.TargetID) bool
	Excluded    func(identifier.TargetID) bool
}

// Score is one candidate's prediction.
type Score struct {
	Index     int
	Predicted time.Duration
	Cost      time.Duration
	LateShare float64
	Cached    identifier.Tokens
}

// Choice is the outcome of a decision; Scores lists what was compared.
type Choice struct {
	Best     Score
	Scores   [maximumDraws]Score
	Compared int
}

// Choose returns the best candidate for a request, or false where none is usable.
func Choose(now time.Time, req *Request, candidates []Candidate) (Choice, bool) {
	var c Choice
	for _, i := range draw(req, candidates) {
		if i < 0 || c.has(i) {
			continue
		}
		c.add(predict(now, req, candidates, i))
	}
	return c, c.Compared > 0
}

func (c *Choice) has(i int) bool {
	for _, s := range c.Scores[:c.Compared] {
		if s.Index == i {
			return true
		}
	}
	return false
}

func (c *Choice) add(s Score) {
	c.Scores[c.Compared] = s
	c.Compared++
	if c.Compared == 1 || s.Cost < c.Best.Cost {
		c.Best = s
	}
}

// draw returns candidate positions by affinity and at random; positions below zero are empty draws.
func draw(req *Request, candidates []Candidate) [maximumDraws]int {
	drawn := [maximumDraws]int{-1, -1, -1, -1, -1, -1}
	var weights [maximumDraws]uint64
	affinity := req.Random
	if len(req.Parts) > 0 {
		affinity = req.Parts[0]
	}
	nearest := maximumDraws - 1
	for i := range candidates {
		if !eligible(req, &candidates[i]) {
			continue
		}
		offer(&drawn, &weights, 0, affinityDraws, i, mix(affinity^candidates[i].Hash))
		random := mix(req.Random + candidates[i].Hash)
		offer(&drawn, &weights, affinityDraws, randomDraws, i, random)
		if candidates[i].Zone == req.Zone && random >= weights[nearest] {
			drawn[nearest], weights[nearest] = i, random
		}
	}
	return drawn
}

// offer keeps the positions with the highest weights among count slots from first on.
func offer(drawn *[maximumDraws]int, weights *[maximumDraws]uint64, first, count, i int, weight uint64) {
	for s := first; s < first+count; s++ {
		if drawn[s] < 0 || weight > weights[s] {
			drawn[s], i = i, drawn[s]
			weights[s], weight = weight, weights[s]
			if i < 0 {
				return
			}
		}
	}
}

func eligible(req *Request, c *Candidate) bool {
	switch {
	case !c.Usable, req.RefuseCheap && c.Cheap:
		return false
	case c.Role != req.Role:
		return false
	case req.Allowed != nil && !req.Allowed(c.ID):
		return false
	case req.Excluded != nil && req.Excluded(c.ID):
		return false
	}
	return true
}

func predict(now time.Time, req *Request, candidates []Candidate, i int) Score {
	c := &candidates[i]
	cached := identifier.Tokens(0)
	if c.Cache != nil {
		cached = min(req.PromptTokens, identifier.Tokens(c.Cache.Hit(req.Parts)*pieceTokens))
	}
	wait := time.Duration(0)
	if !req.Prefilled && c.PrefillPerSecond > 0 {
		wait = max(0, c.FreeAt.Sub(now)) + time.Duration(float64(req.PromptTokens-cached)/c.PrefillPerSecond*float64(time.Second))
	}
	wait = time.Duration(float64(wait) * max(1, c.PrefillSlowdown))
	wait += slotWait(c)
	if c.Zone != req.Zone {
		wait += zoneHop
	}
	cost := wait + crowd(c) + time.Duration(c.LateShare*float64(lateCost))
	if req.Role == recorder.Role_Mixed && !req.Prefilled {
		cost += stall(c, req.PromptTokens-cached)
	}
	if age := now.Sub(c.AddedAt); age < slowStart {
		cost += time.Duration(float64(slowStartCost) * (1 - float64(age)/float64(slowStart)))
	}
	return Score{Index: i, Predicted: wait, Cost: cost, LateShare: c.LateShare, Cached: cached}
}

// stall counts the prompt's computation against the answers that run beside it on a mixed engine.
func stall(c *Candidate, uncached identifier.Tokens) time.Duration {
	if c.Slots <= 0 || c.PrefillPerSecond <= 0 {
		return 0
	}
	used := min(1, float64(c.Running)/float64(c.Slots))
	return time.Duration(stallWeight * used * float64(uncached) / c.PrefillPerSecond * float64(time.Second))
}

// crowd grows with the square of the used share of the batch, because each answer slows the others.
func crowd(c *Candidate) time.Duration {
	if c.Slots <= 0 {
		return 0
	}
	used := min(1, float64(c.Running)/float64(c.Slots))
	return time.Duration(used * used * float64(crowding))
}

// slotWait predicts the wait for a batch slot.
func slotWait(c *Candidate) time.Duration {
	if c.BatchLimit <= 0 || c.Running < c.BatchLimit {
		return 0
	}
	over := float64(c.Running-c.BatchLimit+1) / float64(c.BatchLimit)
	return time.Duration(math.Min(60, 1+2*over) * float64(time.Second))
}

// mix spreads the bits of a hash (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
