package placer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// The split between prefill and decode follows the demand in engines: prompt tokens per second over
// an engine's prefill rate, and output tokens per second over its decode rate.
//
// While the fleet is lightly used all engines are mixed, because a mixed engine serves either kind and
// a change costs seconds. Beyond that, prompts that are computed beside running answers would stretch
// the time between tokens, so engines are given roles in proportion to the two demands, and one engine
// stays mixed for the fraction. A change is made only where the longer window agrees with the shorter
// one and what it wins over the expected length of a swing is more than it costs.

const (
	mixedBelow     = 0.45
	splitAbove     = 0.55
	mixedLoss      = 0.35
	swingLength    = 60 * time.Second
	settleTime     = 10 * time.Second
	minimumSplit   = 2
	changesAtOnce  = 2
	minimumGain    = 1.0
	idleEngineLoad = 0.01
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

// Situation is what a role decision depends on.
type Situation struct {
	Engines     []Engine
	Short       Demand
	Long        Demand
	Split       bool
	SinceChange time.Duration
	ChangeTime  time.Duration
}

// Change is a role to order.
type Change struct {
	ID   identifier.TargetID
	Role recorder.Role
}

// split is a number of engines for each role.
type split struct {
	prefill int
	decode  int
	mixed   int
}

// Roles returns the role changes to order now.
func Roles(s Situation) []Change {
	if len(s.Engines) == 0 || s.SinceChange < settleTime || changing(s.Engines) {
		return nil
	}
	wanted := wantedSplit(s, s.Short)
	if wantedSplit(s, s.Long).direction(countRoles(s.Engines)) != wanted.direction(countRoles(s.Engines)) {
		return nil
	}
	changes := towards(s.Engines, wanted)
	if len(changes) == 0 || !worthwhile(s, wanted, changes) {
		return nil
	}
	return changes[:min(len(changes), changesAtOnce)]
}

func changing(engines []Engine) bool {
	return slices.ContainsFunc(engines, func(e Engine) bool { return e.Changing })
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

func wantedSplit(s Situation, d Demand) split {
	n := len(s.Engines)
	prefill, decode := need(s.Engines, d)
	used := (prefill + decode) / float64(n)
	threshold := splitAbove
	if s.Split {
		threshold = mixedBelow
	}
	if n < minimumSplit || used < threshold || prefill < idleEngineLoad || decode < idleEngineLoad {
		return split{mixed: n}
	}
	share := float64(n) * prefill / (prefill + decode)
	p := int(math.Floor(share))
	d2 := int(math.Floor(float64(n) - share))
	return split{prefill: p, decode: d2, mixed: n - p - d2}
}

// direction tells towards which role a split moves from the present one.
func (w split) direction(now split) [2]int {
	return [2]int{cmp.Compare(w.prefill, now.prefill), cmp.Compare(w.decode, now.decode)}
}

func countRoles(engines []Engine) split {
	var c split
	for _, e := range engines {
		switch e.Role {
		case recorder.Role_Prefill:
			c.prefill++
		case recorder.Role_Decode:
			c.decode++
		default:
			c.mixed++
		}
	}
	return c
}

// towards returns the changes that lead to a split, with engines of all zones taking each role in turn.
func towards(engines []Engine, wanted split) []Change {
	now := countRoles(engines)
	surplus := map[recorder.Role]int{
		recorder.Role_Prefill: now.prefill - wanted.prefill,
		recorder.Role_Decode:  now.decode - wanted.decode,
		recorder.Role_Mixed:   now.mixed - wanted.mixed,
	}
	var changes []Change
	for _, e := range spread(engines) {
		if !e.Orderable || surplus[e.Role] <= 0 {
			continue
		}
		role, ok := lacking(surplus)
		if !ok {
			break
		}
		surplus[e.Role]--
		surplus[role]++
		changes = append(changes, Change{ID: e.ID, Role: role})
	}
	return changes
}

func lacking(surplus map[recorder.Role]int) (recorder.Role, bool) {
	for _, role := range []recorder.Role{recorder.Role_Prefill, recorder.Role_Decode, recorder.Role_Mixed} {
		if surplus[role] < 0 {
			return role, true
		}
	}
	return 0, false
}

// spread orders engines so that neighbours in the list are in different zones.
func spread(engines []Engine) []Engine {
	byZone := map[identifier.ZoneID][]Engine{}
	for _, e := range engines {
		byZone[e.Zone] = append(byZone[e.Zone], e)
	}
	zones := make([]identifier.ZoneID, 0, len(byZone))
	for zone, list := range byZone {
		slices.SortFunc(list, func(a, b Engine) int { return cmp.Compare(a.ID, b.ID) })
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	var ordered []Engine
	for i := 0; len(ordered) < len(engines); i++ {
		for _, zone := range zones {
			if i < len(byZone[zone]) {
				ordered = append(ordered, byZone[zone][i])
			}
		}
	}
	return ordered
}

// worthwhile compares what a split wins over the length of a swing with what its changes cost, in engine-seconds.
func worthwhile(s Situation, wanted split, changes []Change) bool {
	before := shortfall(s.Engines, countRoles(s.Engines), s.Short)
	after := shortfall(s.Engines, wanted, s.Short)
	gain := (before - after) * swingLength.Seconds()
	cost := float64(len(changes)) * s.ChangeTime.Seconds()
	return gain > cost*minimumGain
}

// shortfall returns how many engines the demand lacks under a split; mixed engines lose some capacity to
// the interference of the two kinds of work.
func shortfall(engines []Engine, have split, d Demand) float64 {
	prefill, decode := need(engines, d)
	lackPrefill := max(0, prefill-float64(have.prefill))
	lackDecode := max(0, decode-float64(have.decode))
	mixed := float64(have.mixed)
	interference := mixedLoss * min(lackPrefill, lackDecode)
	return max(0, lackPrefill+lackDecode-mixed) + min(mixed, interference)
}

// Needed returns the demand in engines.
func Needed(engines []Engine, d Demand) float64 {
	if len(engines) == 0 {
		return 0
	}
	prefill, decode := need(engines, d)
	return prefill + decode
}
