package matcher

import (
	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// PathID identifies a host and a path prefix.
type PathID uint64

// AllPaths stands for every host and path prefix.
const AllPaths PathID = 0

// maximumMoves is the number of paths that moved with one version beyond which all paths count as moved.
const maximumMoves = 64

func pathID(host, prefix string) PathID {
	return PathID(max(1, xxhash.Sum64String(normalizeHost(host)+"\x00"+prefix)))
}

// PathIDs returns the IDs of all prefixes under which a route may match a path.
func PathIDs(host, path string) []PathID {
	var ids []PathID
	for i := range path {
		if path[i] == '/' {
			ids = append(ids, pathID(host, path[:i+1]))
		}
	}
	return ids
}

// Moves returns the prefixes whose streams go to other services than in an earlier table, which may be nil: their route has changed, or
// was added or removed and another one matches instead.
func (t *Table) Moves(earlier *Table) []PathID {
	if earlier == nil {
		return nil
	}
	moved := map[PathID]bool{}
	for i := range t.Routes {
		earlier.compare(&t.Routes[i], moved)
	}
	for i := range earlier.Routes {
		t.compare(&earlier.Routes[i], moved)
	}
	if len(moved) > maximumMoves {
		return []PathID{AllPaths}
	}
	ids := make([]PathID, 0, len(moved))
	for id := range moved {
		ids = append(ids, id)
	}
	return ids
}

// compare adds the prefix of another table's route to moved if its requests go to other services in this table.
func (t *Table) compare(other *Route, moved map[PathID]bool) {
	if other.Kind != Stream {
		return
	}
	if r := t.Route(other.Host, other.Prefix); r != nil && !sameServices(r, other) {
		moved[pathID(other.Host, other.Prefix)] = true
	}
}

// sameServices reports whether two routes lead to the same services, whatever their weights.
func sameServices(a, b *Route) bool {
	services := func(r *Route) map[identifier.ServiceID]bool {
		m := map[identifier.ServiceID]bool{}
		for _, s := range r.WeightedServices {
			m[s.Service] = true
		}
		return m
	}
	x, y := services(a), services(b)
	for s := range x {
		if !y[s] {
			return false
		}
	}
	return len(x) == len(y)
}
