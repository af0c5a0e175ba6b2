package router

import (
	"math"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Choose works in two steps.
//
// It first samples a few candidates: the owners of the prompt's first part by rendezvous hashing, so that all
// instances send the same prefix to the same targets without coordination; random ones, so that instances that have
// the same stale load report do not all choose the same target; and one random candidate of the request's
// availability zone.
//
// It then chooses the one with the lowest cost. The cost starts from the predicted time to first token. This is the
// prefill time (the queue of the last report, the requests that this instance has sent since, and the uncached prompt
// tokens divided by the target's prefill rate), multiplied by the observed slowdown, plus the wait for a batch slot and
// the delay to another availability zone. The effect on answers that run on the same target is added: the used share of
// the batch, the share of late tokens and, on a mixed engine, the prefill time. A target that is new or returns from an
// ejection has an extra cost that falls to zero during its slow start.

const (
	affinityCandidates = 2
	randomCandidates   = 3
	maximumCandidates  = affinityCandidates + randomCandidates + 1
	partTokens         = 2000
	crossZoneDelay     = 2 * time.Millisecond
	slowStartTime      = 10 * time.Second
	slowStartCost      = 400 * time.Millisecond
	// stallWeight is the cost of a prefill beside a full batch, as a multiple of the prefill time.
	stallWeight = 4.0
	// lateTokensCost is the cost if all recent tokens were late, and maximumBatchCost that of a full batch.
	lateTokensCost   = 500 * time.Millisecond
	maximumBatchCost = 800 * time.Millisecond
)

// Cache reports how many leading parts of a prompt a target has cached.
type Cache interface {
	Hit(parts []uint64) int
}

// Candidate is the state of a target as Choose needs it.
type Candidate struct {
	ID     identifier.TargetID
	Hash   uint64
	Zone   identifier.ZoneID
	Role   recorder.Role
	Cheap  bool
	Usable bool
	// SlowStartAt is the start of the slow start, when the target was added or its ejection ended; zero means none.
	SlowStartAt      time.Time
	PrefillPerSecond float64
	DecodePerSecond  float64
	Slots            int64
	// BatchLimit is the estimated number of concurrent answers up to which tokens are on time.
	BatchLimit int64
	// ActiveRequests is the estimated number of requests that run or wait on the target.
	ActiveRequests int64
	// FreeAt is the predicted end of the target's prefill queue.
	FreeAt time.Time
	// PrefillSlowdown is the observed ratio of measured to predicted prefill time; zero means 1.
	PrefillSlowdown float64
	// LateShare is the share of recent tokens whose gap to the previous token was longer than promised.
	LateShare float64
	Cache     Cache
}

// Request holds the properties of a request that the choice depends on.
type Request struct {
	Zone         identifier.ZoneID
	Role         recorder.Role
	PromptTokens identifier.Tokens
	Parts        []uint64
	Random       uint64
	// Prefilled is set if the prompt's KV cache is imported from another target.
	Prefilled   bool
	RefuseCheap bool
	Allowed     func(identifier.TargetID) bool
	Excluded    func(identifier.TargetID) bool
}

// Score is the prediction for one candidate.
type Score struct {
	Index     int
	Predicted time.Duration
	Cost      time.Duration
	LateShare float64
	Cached    identifier.Tokens
}

// Choice is the outcome of Choose: the best candidate, and in Scores[:Compared] all candidates that were compared.
type Choice struct {
	Best     Score
	Scores   [maximumCandidates]Score
	Compared int
}

// Choose returns the best candidate for a request, or false if no candidate is eligible.
func Choose(now time.Time, req *Request, candidates []Candidate) (Choice, bool) {
	var c Choice
	for _, i := range sample(req, candidates) {
		if i < 0 || c.contains(i) {
			continue
		}
		c.add(predict(now, req, candidates, i))
	}
	return c, c.Compared > 0
}

func (c *Choice) contains(i int) bool {
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

// sample returns the indexes of candidates by affinity, at random and at random in the request's zone. Negative indexes
// are empty places.
func sample(req *Request, candidates []Candidate) [maximumCandidates]int {
	sampled := [maximumCandidates]int{-1, -1, -1, -1, -1, -1}
	var weights [maximumCandidates]uint64
	prefix := req.Random
	if len(req.Parts) > 0 {
		prefix = req.Parts[0]
	}
	sameZone := maximumCandidates - 1
	for i := range candidates {
		if !eligible(req, &candidates[i]) {
			continue
		}
		keepHighest(&sampled, &weights, 0, affinityCandidates, i, mixBits(prefix^candidates[i].Hash))
		random := mixBits(req.Random + candidates[i].Hash)
		keepHighest(&sampled, &weights, affinityCandidates, randomCandidates, i, random)
		if candidates[i].Zone == req.Zone && random >= weights[sameZone] {
			sampled[sameZone], weights[sameZone] = i, random
		}
	}
	return sampled
}

// keepHighest inserts index i if its weight is among the highest in the count places from first on.
func keepHighest(kept *[maximumCandidates]int, weights *[maximumCandidates]uint64, first, count, i int, weight uint64) {
	for s := first; s < first+count; s++ {
		if kept[s] < 0 || weight > weights[s] {
			kept[s], i = i, kept[s]
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

// predict returns the predicted time to first token and the cost at candidate i.
func predict(now time.Time, req *Request, candidates []Candidate, i int) Score {
	c := &candidates[i]
	cached := identifier.Tokens(0)
	if c.Cache != nil {
		cached = min(req.PromptTokens, identifier.Tokens(c.Cache.Hit(req.Parts)*partTokens))
	}
	wait := time.Duration(0)
	if !req.Prefilled && c.PrefillPerSecond > 0 {
		wait = max(0, c.FreeAt.Sub(now)) + time.Duration(float64(req.PromptTokens-cached)/c.PrefillPerSecond*float64(time.Second))
	}
	wait = time.Duration(float64(wait) * max(1, c.PrefillSlowdown))
	wait += slotWait(c)
	if c.Zone != req.Zone {
		wait += crossZoneDelay
	}
	cost := wait + batchCost(c) + time.Duration(c.LateShare*float64(lateTokensCost))
	if req.Role == recorder.Role_Mixed && !req.Prefilled {
		cost += stallCost(c, req.PromptTokens-cached)
	}
	if age := now.Sub(c.SlowStartAt); age < slowStartTime {
		cost += time.Duration(float64(slowStartCost) * (1 - float64(age)/float64(slowStartTime)))
	}
	return Score{Index: i, Predicted: wait, Cost: cost, LateShare: c.LateShare, Cached: cached}
}

// stallCost is the delay that prefill on a mixed engine causes to the answers that run beside it.
func stallCost(c *Candidate, uncached identifier.Tokens) time.Duration {
	if c.Slots <= 0 || c.PrefillPerSecond <= 0 {
		return 0
	}
	used := min(1, float64(c.ActiveRequests)/float64(c.Slots))
	return time.Duration(stallWeight * used * float64(uncached) / c.PrefillPerSecond * float64(time.Second))
}

// batchCost grows with the square of the used share of the batch, because each answer slows down the others.
func batchCost(c *Candidate) time.Duration {
	if c.Slots <= 0 {
		return 0
	}
	used := min(1, float64(c.ActiveRequests)/float64(c.Slots))
	return time.Duration(used * used * float64(maximumBatchCost))
}

// slotWait predicts the wait for a batch slot.
func slotWait(c *Candidate) time.Duration {
	if c.BatchLimit <= 0 || c.ActiveRequests < c.BatchLimit {
		return 0
	}
	over := float64(c.ActiveRequests-c.BatchLimit+1) / float64(c.BatchLimit)
	return time.Duration(math.Min(60, 1+2*over) * float64(time.Second))
}

// mixBits mixes the bits of a hash with the finalizer of SplitMix64.
func mixBits(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
