package matcher

import (
	"net"
	"slices"
	"strings"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Table answers look-ups in one version of the configuration; the zero value knows nothing.
type Table struct {
	Configuration
	byHost   map[string][]*Route
	services map[identifier.ServiceID]*Service
	teams    map[string]*Team
}

// New prepares the look-ups of a configuration.
func New(cfg Configuration) *Table {
	t := &Table{
		Configuration: cfg,
		byHost:        map[string][]*Route{},
		services:      map[identifier.ServiceID]*Service{},
		teams:         map[string]*Team{},
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := normalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range t.Services {
		t.services[t.Services[i].ID] = &t.Services[i]
	}
	for i := range t.Teams {
		for _, key := range t.Teams[i].Keys {
			t.teams[key] = &t.Teams[i]
		}
	}
	return t
}

// Route returns the route of the host with the longest prefix of path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.byHost[normalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service, or nil.
func (t *Table) Service(id identifier.ServiceID) *Service { return t.services[id] }

// Team returns the team that holds the key, or nil.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// RequiresKey tells that requests need a key unless their route is public.
func (t *Table) RequiresKey() bool { return len(t.Teams) > 0 }

// PickService returns the service at a point from 0 to 1 of the route's weights.
func (r *Route) PickService(point float64) identifier.ServiceID {
	total := 0.0
	for _, s := range r.Services {
		total += s.Weight
	}
	left := point * total
	for _, s := range r.Services {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}

// EffectivePriority is the urgency of a request: the team's, where it has one, goes before the route's.
func EffectivePriority(r *Route, team *Team) int {
	if team != nil && team.Priority != nil {
		return *team.Priority
	}
	return r.Priority
}

// normalHost drops the port and the case of a host.
func normalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
