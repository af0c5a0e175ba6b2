package matcher

import (
	"net"
	"slices"
	"strings"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Table answers look-ups in one version of the configuration; the zero value is empty.
type Table struct {
	Configuration
	byHost   map[string][]*Route
	services map[identifier.ServiceID]*Service
	teams    map[string]*Team
	quotas   map[identifier.TeamID]*Quota
	omitted  Omissions
}

// Omissions counts the parts of a configuration that have no effect because something in them is empty or zero.
type Omissions struct {
	// EmptyKeys are keys that would grant access to requests without a key.
	EmptyKeys int
	// NamelessTeams are teams that targets and usage reports could not name; their keys grant no access.
	NamelessTeams int
	// UnmatchedRoutes are routes without a host or path prefix, which match no request.
	UnmatchedRoutes int
	// UnservedRoutes are routes without a service or with no weight above zero; their requests are refused.
	UnservedRoutes int
}

// New returns a table of the configuration.
func New(cfg Configuration) *Table {
	t := &Table{
		Configuration: cfg,
		byHost:        map[string][]*Route{},
		services:      map[identifier.ServiceID]*Service{},
		teams:         map[string]*Team{},
		quotas:        map[identifier.TeamID]*Quota{},
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		host := normalizeHost(r.Host)
		if host == "" || r.Prefix == "" {
			t.omitted.UnmatchedRoutes++
			continue
		}
		t.byHost[host] = append(t.byHost[host], r)
		if r.PickService(0) == "" {
			t.omitted.UnservedRoutes++
		}
	}
	for _, routes := range t.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range t.Services {
		t.services[t.Services[i].ID] = &t.Services[i]
	}
	for i := range t.Teams {
		if t.Teams[i].ID == "" {
			t.omitted.NamelessTeams++
			continue
		}
		if q := t.Teams[i].Quota; q != nil {
			t.quotas[t.Teams[i].ID] = q
		}
		for _, key := range t.Teams[i].Keys {
			if key == "" {
				t.omitted.EmptyKeys++
				continue
			}
			t.teams[key] = &t.Teams[i]
		}
	}
	return t
}

// Route returns the host's route with the longest matching prefix of path, or nil.
func (t *Table) Route(host, path string) *Route {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service, or nil if it is not configured.
func (t *Table) Service(id identifier.ServiceID) *Service { return t.services[id] }

// Team returns the team that the key belongs to, or nil; no team has the empty key, which stands for none.
func (t *Table) Team(key string) *Team { return t.teams[key] }

// KeyCount returns the number of keys of all teams.
func (t *Table) KeyCount() int { return len(t.teams) }

// Omitted returns how much of the configuration has no effect.
func (t *Table) Omitted() Omissions { return t.omitted }

// RequiresKey reports whether requests of a route need a key.
func (t *Table) RequiresKey(r *Route) bool { return !t.Public && !r.Public }

// PickService returns the service at a point of the route's cumulative weights, from 0 to 1, or the empty string if no service has a
// weight above zero.
func (r *Route) PickService(point float64) identifier.ServiceID {
	total := 0.0
	for _, s := range r.WeightedServices {
		total += max(0, s.Weight)
	}
	offset, picked := point*total, identifier.ServiceID("")
	for _, s := range r.WeightedServices {
		if s.Weight <= 0 {
			continue
		}
		// Rounding may leave an offset beyond the last weight.
		if picked = s.Service; offset < s.Weight {
			break
		}
		offset -= s.Weight
	}
	return picked
}

// EffectivePriority returns the priority of a request: the team's if set, else the route's.
func EffectivePriority(r *Route, team *Team) int {
	if team != nil && team.Priority != nil {
		return *team.Priority
	}
	return r.Priority
}

// normalizeHost removes the port of a host and converts it to lower case.
func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// priorityLevels is the number of priorities that a route may have within one priority of teams.
const priorityLevels = 10

// AdmissionRank orders requests under overload: by their effective priority, and among equals by the route's. A team's priority
// overrides the routes', so that without the second step all requests of most teams would be equal.
func AdmissionRank(r *Route, team *Team) int {
	return EffectivePriority(r, team)*priorityLevels + min(priorityLevels-1, max(0, r.Priority))
}
