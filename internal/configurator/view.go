package configurator

import (
	"strings"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// View is an immutable configuration, indexed for look-ups on the request path.
type View struct {
	State *recorder.ConfigState
	keys  map[identifier.KeyHash]identifier.TeamID
	rules map[identifier.TeamID]*recorder.TeamRule
	// allowed holds the targets that a team's rule lists; reserved holds the targets that any rule lists.
	allowed  map[identifier.TeamID]map[identifier.TargetID]bool
	reserved map[identifier.TargetID]bool
	models   map[identifier.ModelID]bool
}

// NewView indexes a state, which must not change afterwards.
func NewView(state *recorder.ConfigState) *View {
	v := &View{
		State:    state,
		keys:     map[identifier.KeyHash]identifier.TeamID{},
		rules:    map[identifier.TeamID]*recorder.TeamRule{},
		allowed:  map[identifier.TeamID]map[identifier.TargetID]bool{},
		reserved: map[identifier.TargetID]bool{},
		models:   map[identifier.ModelID]bool{},
	}
	teams := map[string]bool{}
	for _, t := range state.GetInventory().GetTeams() {
		teams[t.ID] = true
	}
	for hash, k := range state.GetKeys() {
		if teams[k.Team] {
			v.keys[identifier.KeyHash(hash)] = identifier.TeamID(k.Team)
		}
	}
	for _, r := range state.GetRules().GetTeams() {
		v.addRule(r)
	}
	for _, t := range state.GetInventory().GetTargets() {
		if t.Kind == recorder.TargetKind_Engine {
			v.models[identifier.ModelID(t.Model)] = true
		}
	}
	return v
}

func (v *View) addRule(r *recorder.TeamRule) {
	team := identifier.TeamID(r.Team)
	v.rules[team] = r
	for _, id := range r.Targets {
		target := identifier.TargetID(id)
		if v.allowed[team] == nil {
			v.allowed[team] = map[identifier.TargetID]bool{}
		}
		v.allowed[team][target] = true
		v.reserved[target] = true
	}
}

// Team returns the team that owns the key with the given hash.
func (v *View) Team(hash identifier.KeyHash) (identifier.TeamID, bool) {
	team, ok := v.keys[hash]
	return team, ok
}

// Weight returns the product of a team's priority, at least 1, and its cost share, at least 0.001. It returns 1 for a
// team without a rule.
func (v *View) Weight(team identifier.TeamID) float64 {
	r := v.rules[team]
	if r == nil {
		return 1
	}
	return float64(max(1, r.Priority)) * max(r.CostShare, 0.001)
}

// Priority returns a team's priority, which is at least 1.
func (v *View) Priority(team identifier.TeamID) int64 { return max(1, v.rules[team].GetPriority()) }

// MayUse reports whether a team may use a target. A team whose rule lists targets may use only those; other teams
// may use only targets that no rule lists.
func (v *View) MayUse(team identifier.TeamID, target identifier.TargetID) bool {
	if listed := v.allowed[team]; listed != nil {
		return listed[target]
	}
	return !v.reserved[target]
}

// HasModel reports whether the inventory has an engine that serves a model.
func (v *View) HasModel(model identifier.ModelID) bool { return v.models[model] }

// Promise returns the latencies promised to callers.
func (v *View) Promise() *recorder.Promise { return v.State.GetRules().GetPromise() }

// Route returns the route with the longest path that matches, or nil if none does.
func (v *View) Route(path string) *recorder.Route {
	var longest *recorder.Route
	for _, r := range v.State.GetRules().GetRoutes() {
		if !matches(path, r.Path) {
			continue
		}
		if longest == nil || len(r.Path) > len(longest.Path) {
			longest = r
		}
	}
	return longest
}

// matches reports whether path equals prefix or continues it at a segment boundary.
func matches(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}
