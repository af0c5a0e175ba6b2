package parser

import (
	"strings"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// ParseRules reads the promise, team rules, routes and scalings and checks them against the inventory; the error holds
// Faults.
func ParseRules(file string, data []byte, inv *recorder.Inventory) (*recorder.Rules, error) {
	d, err := openDocument(file, data)
	if err != nil {
		return nil, err
	}
	names := namesOf(inv)
	p := d.sectionNamed("Promise")
	rules := &recorder.Rules{Promise: &recorder.Promise{
		FirstTokenMilliseconds:    p.integer("FirstTokenMilliseconds", defaultFirstTokenMilliseconds, 1, maximumMilliseconds),
		BetweenTokensMilliseconds: p.integer("BetweenTokensMilliseconds", defaultBetweenTokensMilliseconds, 1, maximumMilliseconds),
	}}
	for _, s := range d.sectionsOfKind("Team") {
		rules.Teams = append(rules.Teams, parseTeamRule(s, names))
	}
	for _, s := range d.sectionsOfKind("Route") {
		rules.Routes = append(rules.Routes, parseRoute(s, names))
	}
	for _, s := range d.sectionsOfKind("Scaling") {
		rules.Scalings = append(rules.Scalings, parseScaling(s, names))
	}
	if err := d.finish("Promise, Team ID, Route PATH, Scaling MODEL"); err != nil {
		return nil, err
	}
	return rules, nil
}

type inventoryNames struct {
	teams    map[string]bool
	targets  map[string]bool
	services map[string]bool
	models   map[string]bool
}

func namesOf(inv *recorder.Inventory) inventoryNames {
	n := inventoryNames{teams: map[string]bool{}, targets: map[string]bool{}, services: map[string]bool{}, models: map[string]bool{}}
	for _, t := range inv.GetTeams() {
		n.teams[t.ID] = true
	}
	for _, t := range inv.GetTargets() {
		n.targets[t.ID] = true
		if t.Model != "" {
			n.models[t.Model] = true
		}
		if t.Service != "" {
			n.services[t.Service] = true
		}
	}
	return n
}

func parseTeamRule(s *section, names inventoryNames) *recorder.TeamRule {
	if !names.teams[s.ID] {
		s.addFault("", s.ID, "a team of the inventory")
	}
	return &recorder.TeamRule{
		Team:      s.ID,
		Priority:  s.integer("Priority", 1, 1, maximumPriority),
		CostShare: s.number("CostShare", 1, 0, 1),
		Targets:   s.list("Targets", names.targets, "targets of the inventory"),
	}
}

func parseScaling(s *section, names inventoryNames) *recorder.Scaling {
	if !names.models[s.ID] {
		s.addFault("", s.ID, "a model of the inventory")
	}
	return &recorder.Scaling{
		Model:          s.ID,
		Maximum:        s.integer("Maximum", 0, 0, maximumSlots),
		SurvivingShare: s.number("SurvivingShare", defaultSurvivingShare, 0, 1),
		CheapShare:     s.number("CheapShare", defaultCheapShare, 0, 1),
	}
}

func parseRoute(s *section, names inventoryNames) *recorder.Route {
	if !strings.HasPrefix(s.ID, "/") {
		s.addFault("", s.ID, "a path that starts with /")
	}
	return &recorder.Route{
		Path:       s.ID,
		Service:    s.reference("Service", names.services, "a service of the inventory"),
		Open:       s.boolean("Open", false),
		Repeatable: s.boolean("Repeatable", false),
		Teams:      s.list("Teams", names.teams, "teams of the inventory"),
	}
}
