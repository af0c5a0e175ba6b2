package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/router"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// cachedParts is a cache that has a fixed number of leading parts of each prompt.
type cachedParts int

func (p cachedParts) Hit(list []uint64) int { return min(int(p), len(list)) }

func engine(id string) router.Candidate {
	return router.Candidate{
		ID: identifier.TargetID(id), Hash: uint64(len(id))*0x9e3779b97f4a7c15 + uint64(id[len(id)-1]), Zone: "a", Usable: true,
		PrefillPerSecond: 20000, DecodePerSecond: 40, Slots: 32, BatchLimit: 32, Cache: cachedParts(0),
	}
}

func TestChoose(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		change func(good, other *router.Candidate, req *router.Request)
	}{
		"the shorter queue":            {func(_, o *router.Candidate, _ *router.Request) { o.FreeAt = now.Add(time.Second) }},
		"the cached prompt":            {func(g, _ *router.Candidate, _ *router.Request) { g.Cache = cachedParts(2) }},
		"the less loaded batch":        {func(_, o *router.Candidate, _ *router.Request) { o.ActiveRequests = 20 }},
		"not the full batch":           {func(_, o *router.Candidate, _ *router.Request) { o.ActiveRequests = 32 }},
		"the same zone":                {func(_, o *router.Candidate, _ *router.Request) { o.Zone = "b" }},
		"not the new one":              {func(_, o *router.Candidate, _ *router.Request) { o.SlowStartAt = now }},
		"not the one with late tokens": {func(_, o *router.Candidate, _ *router.Request) { o.LateShare = 0.2 }},
		"not the unusable one":         {func(_, o *router.Candidate, _ *router.Request) { o.Usable = false }},
		"not the one of another role":  {func(_, o *router.Candidate, _ *router.Request) { o.Role = recorder.Role_Prefill }},
		"not the excluded one": {func(_, _ *router.Candidate, r *router.Request) {
			r.Excluded = func(id identifier.TargetID) bool { return id == "other" }
		}},
		"not the one that is not allowed": {func(_, _ *router.Candidate, r *router.Request) {
			r.Allowed = func(id identifier.TargetID) bool { return id == "good" }
		}},
		"no cheap target for a request that must not be interrupted": {func(_, o *router.Candidate, r *router.Request) { o.Cheap, r.RefuseCheap = true, true }},
	} {
		for random := range uint64(20) {
			candidates := []router.Candidate{engine("other"), engine("good")}
			req := &router.Request{Zone: "a", PromptTokens: 4000, Parts: []uint64{random, random + 1}, Random: random}
			tc.change(&candidates[1], &candidates[0], req)
			choice, ok := router.Choose(now, req, candidates)
			quicktest.Assert(t, ok, quicktest.IsTrue)
			quicktest.Check(t, candidates[choice.Best.Index].ID, quicktest.Equals, identifier.TargetID("good"), quicktest.Commentf(name))
		}
	}
}

// TestSamePrefixGoesToTheSameTargets checks that two owners of a prefix are always among the compared candidates, and
// that the other candidates vary.
func TestSamePrefixGoesToTheSameTargets(t *testing.T) {
	candidates := fleet(12)
	seen := map[int]int{}
	for random := range uint64(200) {
		req := &router.Request{Zone: "zone-0", PromptTokens: 2000, Parts: []uint64{42}, Random: random}
		choice, _ := router.Choose(time.Now(), req, candidates)
		for _, s := range choice.Scores[:choice.Compared] {
			seen[s.Index]++
		}
	}
	always := 0
	for _, n := range seen {
		if n == 200 {
			always++
		}
	}
	quicktest.Check(t, always >= 2, quicktest.IsTrue, quicktest.Commentf("%v", seen))
	quicktest.Check(t, len(seen) > 8, quicktest.IsTrue, quicktest.Commentf("the other candidates are not sampled at random: %v", seen))
}

func fleet(n int) []router.Candidate {
	candidates := make([]router.Candidate, n)
	for i := range candidates {
		candidates[i] = engine(fmt.Sprint("engine-", i))
		candidates[i].Hash = uint64(i+1) * 0xbf58476d1ce4e5b9
		candidates[i].Zone = identifier.ZoneID(fmt.Sprint("zone-", i%6))
	}
	return candidates
}

func TestChooseAllocatesNothing(t *testing.T) {
	candidates := fleet(720)
	req := &router.Request{Zone: "zone-0", PromptTokens: 2000, Parts: []uint64{42, 43}}
	now := time.Now()
	n := testing.AllocsPerRun(100, func() {
		req.Random++
		router.Choose(now, req, candidates)
	})
	quicktest.Check(t, n, quicktest.Equals, 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 45, 180, 360, 720, 1440} {
		b.Run(fmt.Sprintf("targets=%d", n), func(b *testing.B) {
			candidates := fleet(n)
			req := &router.Request{Zone: "zone-0", PromptTokens: 2000, Parts: []uint64{42, 43, 44}}
			now := time.Now()
			b.ReportAllocs()
			for b.Loop() {
				req.Random++
				router.Choose(now, req, candidates)
			}
		})
	}
}
