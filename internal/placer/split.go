package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Where each engine runs either prefill or decode, prefill is most of the work: answers are short, and one engine
// decodes many of them in a batch. PlanStages keeps a fixed share of the engines on decode, spread over the
// availability zones, and changes as few engines as possible.

// Where engines of several builds serve side by side, a stream can go on only at the build that began it, so the build with most
// engines gets spareDecodeEngines on decode: one that is lost leaves another. Engines of other builds are the first to stop.

// defaultDecodeShare is the share of all engines that decode, from the first customer's mix of prompts and answers. Decode work is
// not measured, so it applies to all services.
const defaultDecodeShare = 0.18

const (
	// spareDecodeEngines is the number of decode engines of the main build in a fleet of several builds.
	spareDecodeEngines = 2
	// minimumForSpares is the number of engines from which on two of them may decode.
	minimumForSpares = 4
)

// StageEngine is the input of PlanStages for one engine.
type StageEngine struct {
	ID    identifier.TargetID
	Zone  identifier.ZoneID
	Stage registrar.Stage
	Cheap bool
	// Busy engines are changing their stage, or must not change it now.
	Busy bool
	// Limited engines accept few requests, in whatever stage.
	Limited bool
	Build   identifier.Build
}

// StageChange is an order to change an engine's stage.
type StageChange struct {
	ID    identifier.TargetID
	Stage registrar.Stage
}

// WantedDecodeEngines returns how many of the given number of engines should decode.
func WantedDecodeEngines(engines int) int {
	if engines <= 1 {
		return engines
	}
	return min(engines-1, max(1, int(math.Round(defaultDecodeShare*float64(engines)))))
}

// withReplacements returns how many engines should decode if wanted should in usual times: as many more as leave all but one of
// these without a limit, as far as another engine without one goes on with prompts.
func withReplacements(engines []StageEngine, wanted int) int {
	unlimited, limitedDecoding := 0, 0
	for _, e := range engines {
		switch {
		case !e.Limited:
			unlimited++
		case e.Stage == registrar.Answers:
			limitedDecoding++
		}
	}
	needed := min(max(1, wanted-1), unlimited-1)
	return max(wanted, limitedDecoding+needed)
}

// PlanStages returns the changes that bring the number of decode engines to wanted, or to more while some of them are limited, and
// applies them to engines.
func PlanStages(engines []StageEngine, wanted int) []StageChange {
	main, several := mainBuild(engines)
	wanted = withReplacements(engines, wanted)
	spares := 0
	if several && len(engines) >= minimumForSpares {
		wanted, spares = max(wanted, spareDecodeEngines), spareDecodeEngines
	}
	byZone := map[identifier.ZoneID]int{}
	decoding, ready, decodingMain := 0, 0, 0
	for _, e := range engines {
		if e.Stage == registrar.Answers {
			decoding++
			byZone[e.Zone]++
			if e.Build == main {
				decodingMain++
			}
			if !e.Busy {
				ready++
			}
		}
	}
	var changes []StageChange
	for ; decoding < wanted || decodingMain < spares; decoding++ {
		e := pick(engines, registrar.Prompts, func(a StageEngine) int { return byZone[a.Zone] }, func(a StageEngine) bool { return a.Build == main })
		if e == nil || decoding >= wanted && e.Build != main {
			break
		}
		if e.Build == main {
			decodingMain++
		}
		byZone[e.Zone]++
		changes = append(changes, change(e, registrar.Answers))
	}
	// Engines that are still changing to decode do not count: they serve no answers yet.
	for ; ready > wanted; ready-- {
		e := pick(engines, registrar.Answers, func(a StageEngine) int { return -byZone[a.Zone] }, func(a StageEngine) bool { return a.Build != main })
		if e == nil {
			break
		}
		byZone[e.Zone]--
		changes = append(changes, change(e, registrar.Prompts))
	}
	return changes
}

// MaximumWithdrawals returns how many engines of a pool may be withdrawn in one order, given how many decode in the pool and in
// total. The platform chooses which ones leave, so all of these may decode: at least half of the wanted ones must remain.
func MaximumWithdrawals(decodingInPool, decoding, engines int) int {
	needed := max(1, (WantedDecodeEngines(engines)+1)/2)
	if decoding-decodingInPool >= needed {
		return math.MaxInt
	}
	return max(0, decoding-needed)
}

func change(e *StageEngine, stage registrar.Stage) StageChange {
	e.Stage, e.Busy = stage, true
	return StageChange{ID: e.ID, Stage: stage}
}

// mainBuild returns the build with most engines, and whether there are several builds.
func mainBuild(engines []StageEngine) (main identifier.Build, several bool) {
	count := map[identifier.Build]int{}
	for _, e := range engines {
		count[e.Build]++
	}
	for build, n := range count {
		if n > count[main] || n == count[main] && build > main {
			main = build
		}
	}
	return main, len(count) > 1
}

// pick returns the engine of a stage with the lowest rank, a preferred one if there is any. Cheap engines, which may be reclaimed, are the last to
// become decode engines and the first to stop.
func pick(engines []StageEngine, stage registrar.Stage, rank func(StageEngine) int, preferred func(StageEngine) bool) *StageEngine {
	var best *StageEngine
	for i := range engines {
		e := &engines[i]
		if e.Stage != stage || e.Busy || e.Limited {
			continue
		}
		if best != nil && preferred(*e) != preferred(*best) {
			if preferred(*e) {
				best = e
			}
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(cheapRank(*e, stage), cheapRank(*best, stage)), cmp.Compare(rank(*e), rank(*best)), cmp.Compare(e.ID, best.ID)) < 0 {
			best = e
		}
	}
	return best
}

func cheapRank(e StageEngine, from registrar.Stage) int {
	if e.Cheap == (from == registrar.Prompts) {
		return 1
	}
	return 0
}

// SortEngines sorts engines by ID, so that PlanStages is deterministic.
func SortEngines(engines []StageEngine) {
	slices.SortFunc(engines, func(a, b StageEngine) int { return cmp.Compare(a.ID, b.ID) })
}
