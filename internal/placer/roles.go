package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// The decision is how many engines compute prompts only; all others are mixed and answer, whether they
// computed the prompt themselves or import its KV cache.
//
// Demand is measured in engines: uncached prompt tokens per second over an engine's prefill rate, and
// output tokens per second over its decode rate. A mixed engine computes prompts in chunks beside its
// running answers, so only a part of it can go to prompts while tokens still come in time. As long as
// the prompts fit into that part of all engines, nothing is changed, because a change costs seconds.
// Beyond that, so many engines are set apart for prompts that the rest fits again; for all prompts, where
// answers fill the batches so far that any prompt beside them makes tokens late. The number follows the
// demand only when it is off by more than one engine, in the shorter and in the longer window.

const (
	// mixedPart is the part of a mixed engine that prompts may take up.
	mixedPart = 0.30
	// prefillPart is the part of a prefill engine that may be in use.
	prefillPart = 0.85
	// answerPart is the part of an answering engine that may be in use.
	answerPart = 0.80
	// servedPart is the part of all engines that can be in use together.
	servedPart = 0.85
	// splitAbove is the part of all engines that prompts take up when the first is set apart, and joinBelow
	// the one when the last is given back.
	splitAbove = 0.40
	joinBelow  = 0.20
	// answersHigh and answersLow are the same for answers.
	answersHigh = 0.60
	answersLow  = 0.50
	// tolerance is the number of engines by which the split may be off.
	tolerance     = 1.6
	settleTime    = 3 * time.Second
	changesAtOnce = 4
)

// Engine is what a role decision depends on for one engine.
type Engine struct {
	ID               identifier.TargetID
	Zone             identifier.ZoneID
	Role             recorder.Role
	Orderable        bool
	Changing         bool
	PrefillPerSecond float64
	DecodePerSecond  float64
}

// Demand is uncached prompt tokens and output tokens per second.
type Demand struct {
	Prompt float64
	Output float64
}

// RoleInput is what a role decision depends on.
type RoleInput struct {
	Engines     []Engine
	Short       Demand
	Long        Demand
	SinceChange time.Duration
}

// RoleChange is a role to order.
type RoleChange struct {
	ID   identifier.TargetID
	Role recorder.Role
}

// PlanRoles returns the role changes to order now.
func PlanRoles(s RoleInput) []RoleChange {
	if len(s.Engines) == 0 || s.SinceChange < settleTime || changing(s.Engines) {
		return nil
	}
	have := countPrefill(s.Engines)
	short := wantedPrefill(s.Engines, s.Short, have) - float64(have)
	long := wantedPrefill(s.Engines, s.Long, have) - float64(have)
	if math.Abs(short) < tolerance || math.Abs(long) < tolerance || short*long < 0 {
		return nil
	}
	return changes(s.Engines, int(math.Round(short)))
}

// NeededEngines returns the demand in engines.
func NeededEngines(engines []Engine, d Demand) float64 {
	if len(engines) == 0 {
		return 0
	}
	prefill, decode := need(engines, d)
	return prefill + decode
}

func changing(engines []Engine) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool { return e.Changing })
}

func countPrefill(engines []Engine) int {
	n := 0
	for _, e := range engines {
		if e.Role == recorder.Role_Prefill {
			n++
		}
	}
	return n
}

// need returns the engines that each kind of demand would fill on its own.
func need(engines []Engine, d Demand) (prefill, decode float64) {
	var prefillRate, decodeRate float64
	for _, e := range engines {
		prefillRate += e.PrefillPerSecond
		decodeRate += e.DecodePerSecond
	}
	n := float64(len(engines))
	return d.Prompt / (prefillRate / n), d.Output / (decodeRate / n)
}

// wantedPrefill returns how many engines should compute prompts only, with a fraction.
func wantedPrefill(engines []Engine, d Demand, have int) float64 {
	n := float64(len(engines))
	prefill, decode := need(engines, d)
	// What exceeds the fleet is refused whatever the roles are; the mix of what can be served decides.
	if used := (prefill + decode) / n; used > servedPart {
		prefill *= servedPart / used
		decode *= servedPart / used
	}
	threshold := splitAbove
	if have > 0 {
		threshold = joinBelow
	}
	if prefill/n <= threshold && decode/n <= answersAbove(have) {
		return 0
	}
	wanted := (prefill - mixedPart*n) / (prefillPart - mixedPart)
	if decode/n > answersAbove(have) {
		wanted = prefill / prefillPart
	}
	most := n - math.Ceil(decode/answerPart)
	return max(0, min(max(1, wanted), most, n-1))
}

// answersAbove is the part of all engines that answers take up, above which no prompt fits beside them.
func answersAbove(have int) float64 {
	if have > 0 {
		return answersLow
	}
	return answersHigh
}

// changes sets so many more engines apart for prompts, or fewer, in all zones in turn.
func changes(engines []Engine, more int) []RoleChange {
	from, to := recorder.Role_Mixed, recorder.Role_Prefill
	if more < 0 {
		from, to, more = to, from, -more
	}
	var list []RoleChange
	for _, e := range spread(engines, to) {
		if e.Orderable && e.Role == from && len(list) < min(more, changesAtOnce) {
			list = append(list, RoleChange{ID: e.ID, Role: to})
		}
	}
	return list
}

// spread orders engines so that those in zones with the fewest engines of a role come first.
func spread(engines []Engine, role recorder.Role) []Engine {
	of := map[identifier.ZoneID]int{}
	for _, e := range engines {
		if e.Role == role {
			of[e.Zone]++
		}
	}
	ordered := slices.Clone(engines)
	slices.SortFunc(ordered, func(a, b Engine) int {
		return cmp.Or(cmp.Compare(of[a.Zone], of[b.Zone]), cmp.Compare(a.ID, b.ID))
	})
	return ordered
}
