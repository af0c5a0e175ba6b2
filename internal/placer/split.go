package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// On engines that either compute prompts or generate answers, prompts are most of the work: answers are short, and one
// engine batches many of them. The split keeps a fixed part for answers, spread over the availability zones, and changes
// as few engines as it can.

// answerShare is the part of all engines that generates answers.
const answerShare = 0.18

// StageEngine is what a split depends on for one engine.
type StageEngine struct {
	ID    identifier.TargetID
	Zone  identifier.ZoneID
	Stage registrar.Stage
	Cheap bool
	// Busy engines are changing already, or may not be changed now.
	Busy bool
}

// StageChange is a stage to order.
type StageChange struct {
	ID    identifier.TargetID
	Stage registrar.Stage
}

// WantedDecodeEngines returns how many of so many engines should generate answers.
func WantedDecodeEngines(engines int) int {
	if engines <= 1 {
		return engines
	}
	return min(engines-1, max(1, int(math.Round(answerShare*float64(engines)))))
}

// PlanStages returns the changes that bring the number of answering engines to wanted.
func PlanStages(engines []StageEngine, wanted int) []StageChange {
	zones := map[identifier.ZoneID]int{}
	have, ready := 0, 0
	for _, e := range engines {
		if e.Stage == registrar.DecodeStage {
			have++
			zones[e.Zone]++
			if !e.Busy {
				ready++
			}
		}
	}
	var changes []StageChange
	for ; have < wanted; have++ {
		e := pick(engines, registrar.PrefillStage, func(a StageEngine) int { return zones[a.Zone] })
		if e == nil {
			break
		}
		zones[e.Zone]++
		changes = append(changes, change(e, registrar.DecodeStage))
	}
	// Engines that are still changing answer nothing yet.
	for ; ready > wanted; ready-- {
		e := pick(engines, registrar.DecodeStage, func(a StageEngine) int { return -zones[a.Zone] })
		if e == nil {
			break
		}
		zones[e.Zone]--
		changes = append(changes, change(e, registrar.PrefillStage))
	}
	return changes
}

// MaximumWithdrawals returns how many engines of a zone may be given back at once, by how many engines answer in each zone: any
// number if enough answer elsewhere, else one if another one answers.
func MaximumWithdrawals(answering map[identifier.ZoneID]int, zone identifier.ZoneID, engines int) int {
	total := 0
	for _, n := range answering {
		total += n
	}
	switch wanted := WantedDecodeEngines(engines); {
	case total-answering[zone] >= max(1, wanted-1):
		return math.MaxInt
	case total >= 2:
		return 1
	}
	return 0
}

func change(e *StageEngine, stage registrar.Stage) StageChange {
	e.Stage, e.Busy = stage, true
	return StageChange{ID: e.ID, Stage: stage}
}

// pick returns the engine of a stage with the lowest rank; engines that may be reclaimed answer last.
func pick(engines []StageEngine, stage registrar.Stage, rank func(StageEngine) int) *StageEngine {
	var best *StageEngine
	for i := range engines {
		e := &engines[i]
		if e.Stage != stage || e.Busy {
			continue
		}
		if best == nil || cmp.Or(cmp.Compare(cheapRank(*e, stage), cheapRank(*best, stage)), cmp.Compare(rank(*e), rank(*best)), cmp.Compare(e.ID, best.ID)) < 0 {
			best = e
		}
	}
	return best
}

func cheapRank(e StageEngine, from registrar.Stage) int {
	if e.Cheap == (from == registrar.PrefillStage) {
		return 1
	}
	return 0
}

// SortEngines orders engines by id, so that equal situations give equal splits.
func SortEngines(engines []StageEngine) {
	slices.SortFunc(engines, func(a, b StageEngine) int { return cmp.Compare(a.ID, b.ID) })
}
