package matcher_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

func streamRoute(prefix string, services ...identifier.ServiceID) matcher.Route {
	r := matcher.Route{Host: "h", Prefix: prefix, Kind: matcher.Stream}
	for _, s := range services {
		r.WeightedServices = append(r.WeightedServices, matcher.WeightedService{Service: s, Weight: 1})
	}
	return r
}

// TestMoves checks which paths count as moved from one version of the configuration to the next.
func TestMoves(t *testing.T) {
	table := func(routes ...matcher.Route) *matcher.Table {
		return matcher.New(matcher.Configuration{Routes: routes})
	}
	root, long := streamRoute("/", "a"), streamRoute("/x/", "a")
	plain := streamRoute("/", "b")
	plain.Kind = matcher.Safe
	for name, tc := range map[string]struct {
		older, newer *matcher.Table
		moved        bool
	}{
		"nothing changed":                     {table(root), table(root), false},
		"another service":                     {table(root), table(streamRoute("/", "b")), true},
		"split":                               {table(root), table(streamRoute("/", "a", "b")), true},
		"no longer split":                     {table(streamRoute("/", "a", "b")), table(root), true},
		"other weights":                       {table(streamRoute("/", "a", "b")), table(streamRoute("/", "b", "a")), false},
		"a longer prefix of the same service": {table(root), table(root, long), false},
		"a longer prefix of another service":  {table(root), table(root, streamRoute("/x/", "b")), true},
		"a longer prefix gone":                {table(root, streamRoute("/x/", "b")), table(root), true},
		"a route that is new":                 {table(), table(root), false},
		"a route that is gone":                {table(root), table(), false},
		"no streams":                          {table(plain), table(plain, plain), false},
		"streams where there were none":       {table(plain), table(root), true},
	} {
		ids := tc.newer.Moves(tc.older)
		moved := slices.ContainsFunc(matcher.PathIDs("h:80", "/x/y"), func(id matcher.PathID) bool { return slices.Contains(ids, id) })
		quicktest.Check(t, moved, quicktest.Equals, tc.moved, quicktest.Commentf(name))
		quicktest.Check(t, slices.ContainsFunc(matcher.PathIDs("other", "/x/y"), func(id matcher.PathID) bool { return slices.Contains(ids, id) }),
			quicktest.IsFalse, quicktest.Commentf("%s, another host", name))
	}
	var older, newer []matcher.Route
	for i := range 100 {
		older = append(older, streamRoute(fmt.Sprintf("/%d/", i), "a"))
		newer = append(newer, streamRoute(fmt.Sprintf("/%d/", i), "b"))
	}
	quicktest.Check(t, table(newer...).Moves(table(older...)), quicktest.DeepEquals, []matcher.PathID{matcher.AllPaths})
}
