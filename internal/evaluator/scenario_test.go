package evaluator_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

var (
	seedCount    = flag.Int("scenario.seeds", 2, "seeds for each scenario and policy")
	onlyScenario = flag.String("scenario.only", "", "run only the scenario with this name")
	policyName   = flag.String("scenario.policy", "", "name of the policy to print, or all")
)

// Goals derived from the users' stated needs: the fraction of the bound that the median and the worst seed must
// reach, and the fraction of the mean goodput that the worst-served team must reach.
const (
	goalMedianOfBound = 0.90
	goalWorstOfBound  = 0.80
	goalTeamOfMean    = 0.90
	goalSeedCount     = 3
)

// TestScenarioGoals checks that the product's own policy reaches the goals in each scenario.
func TestScenarioGoals(t *testing.T) {
	for _, sc := range scenarios() {
		t.Run(sc.name, func(t *testing.T) {
			r := &policyResults{}
			for seed := range uint64(goalSeedCount) {
				synctest.Test(t, func(*testing.T) { r.add(sc, policies()[0], seed+1) })
			}
			t.Log(r)
			ratio := r.shareOfBound()
			quicktest.Check(t, median(ratio) >= goalMedianOfBound, quicktest.IsTrue, quicktest.Commentf("median %.3f of the bound", median(ratio)))
			quicktest.Check(t, slices.Min(ratio) >= goalWorstOfBound, quicktest.IsTrue, quicktest.Commentf("worst seed %.3f of the bound", slices.Min(ratio)))
			quicktest.Check(t, median(r.worstTeam) >= goalTeamOfMean*median(r.goodput), quicktest.IsTrue, quicktest.Commentf("worst team %.3f, mean %.3f", median(r.worstTeam), median(r.goodput)))
		})
	}
}

// policyResults holds the results of one policy in one scenario, one value per seed. roleChanges is a count,
// spend a price, and the rest are fractions.
type policyResults struct {
	goodput         []float64
	worstTeam       []float64
	worstOtherTeam  []float64
	bound           []float64
	roleChanges     []float64
	refused         []float64
	failed          []float64
	failedOnCheap   []float64
	spend           []float64
	cheapWorkShare  []float64
	lateFirstShare  []float64
	lateGapShare    []float64
	cached          []float64
	admittedOnRetry []float64
}

// TestScenarios prints the results of one policy or of all policies and checks nothing.
func TestScenarios(t *testing.T) {
	if *policyName == "" {
		return
	}
	for _, sc := range scenarios() {
		if *onlyScenario != "" && *onlyScenario != sc.name {
			continue
		}
		for _, p := range policies() {
			if *policyName != "all" && p.name != *policyName {
				continue
			}
			r := &policyResults{}
			for seed := range uint64(*seedCount) {
				synctest.Test(t, func(*testing.T) { r.add(sc, p, seed+1) })
			}
			t.Logf("%-20s %-20s %s", sc.name, p.name, r)
		}
	}
}

// add runs the scenario with one seed and appends the result.
func (r *policyResults) add(sc *scenario, p policy, seed uint64) {
	list := sc.arrivals(seed)
	o := newSimulation(sc, p, seed).run(list)
	offered, good := 0, 0
	worstTeam, worstOtherTeam := 1.0, 1.0
	for _, team := range slices.Sorted(maps.Keys(o.offered)) {
		offered += o.offered[team]
		good += o.good[team]
		share := float64(o.good[team]) / float64(o.offered[team])
		worstTeam = min(worstTeam, share)
		if team != sc.teams[0].id {
			worstOtherTeam = min(worstOtherTeam, share)
		}
	}
	n := float64(offered)
	r.goodput = append(r.goodput, float64(good)/n)
	r.worstTeam = append(r.worstTeam, worstTeam)
	r.worstOtherTeam = append(r.worstOtherTeam, worstOtherTeam)
	r.bound = append(r.bound, bound(sc, list))
	r.roleChanges = append(r.roleChanges, float64(o.roleChanges))
	r.refused = append(r.refused, float64(o.refused)/n)
	r.failed = append(r.failed, float64(o.failed)/n)
	r.failedOnCheap = append(r.failedOnCheap, float64(o.failedOnCheap)/n)
	r.lateFirstShare = append(r.lateFirstShare, float64(o.lateFirst)/n)
	r.lateGapShare = append(r.lateGapShare, float64(o.lateGaps)/n)
	r.cached = append(r.cached, 1-float64(o.prefilled)/float64(max(1, o.promptTokens)))
	r.admittedOnRetry = append(r.admittedOnRetry, float64(o.admittedOnRetry)/float64(max(1, o.refused)))
	r.spend = append(r.spend, o.spend)
	r.cheapWorkShare = append(r.cheapWorkShare, o.cheapWork/float64(max(1, o.prefilled)))
}

// shareOfBound returns the goodput of each seed as a fraction of the bound.
func (r *policyResults) shareOfBound() []float64 {
	ratio := make([]float64, len(r.goodput))
	for i := range ratio {
		ratio[i] = r.goodput[i] / r.bound[i]
	}
	return ratio
}

// String returns the medians over the seeds, and for the fraction of the bound the worst seed as well.
func (r *policyResults) String() string {
	ratio := r.shareOfBound()
	return fmt.Sprintf("goodput %.3f, of bound %.3f (worst seed %.3f), worst team %.3f (but the largest %.3f), changes %.0f, refused %.3f (back in time %.2f), late first %.3f, late gaps %.3f, cached %.2f, failed %.4f, harmed %.4f, spend %.2f, cheap work %.2f",
		median(r.goodput), median(ratio), slices.Min(ratio), median(r.worstTeam), median(r.worstOtherTeam), median(r.roleChanges), median(r.refused), median(r.admittedOnRetry), median(r.lateFirstShare), median(r.lateGapShare), median(r.cached), median(r.failed), median(r.failedOnCheap), median(r.spend), median(r.cheapWorkShare))
}

// median returns the median of a list; of two middle values it returns the greater.
func median(list []float64) float64 {
	sorted := slices.Sorted(slices.Values(list))
	return sorted[len(sorted)/2]
}

const boundWindow = 2 * time.Second

// bound returns an upper bound on the fraction of requests that any policy can serve. It assumes that all engines
// are always busy while there is work, that each shared prefix is prefilled only once, and that each window serves
// its cheapest requests first. A request may wait within the promised latency, so unused capacity of one window
// counts for the next.
func bound(sc *scenario, list []arrival) float64 {
	seen := map[uint64]bool{}
	windows := map[int][]float64{}
	for _, a := range list {
		uncached := a.promptTokens
		for _, p := range a.parts {
			if !seen[p] {
				break
			}
			uncached -= partTokens
		}
		for _, p := range a.parts {
			seen[p] = true
		}
		cost := float64(max(0, uncached))/prefillTokensPerSecond + float64(a.outputTokens)*fullStep.Seconds()/engineSlots
		w := int(a.at / boundWindow)
		windows[w] = append(windows[w], cost)
	}
	served := 0
	remaining := 0.0
	for w := range int(sc.duration/boundWindow) + 1 {
		capacity := float64(sc.engines) * boundWindow.Seconds()
		remaining = min(remaining, capacity) + capacity
		slices.Sort(windows[w])
		for _, cost := range windows[w] {
			if cost > remaining {
				break
			}
			remaining -= cost
			served++
		}
	}
	return float64(served) / float64(len(list))
}
