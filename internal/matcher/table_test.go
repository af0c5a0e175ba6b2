package matcher_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
)

// TestRouteWithoutPrefixMatchesNoPath guards against a route that takes all paths of its host because its prefix is missing, and against one
// that takes requests without a host.
func TestRouteWithoutPrefixMatchesNoPath(t *testing.T) {
	table := matcher.New(matcher.Configuration{Routes: []matcher.Route{{ID: "no prefix", Host: "h"}, {ID: "no host", Prefix: "/"}, {ID: "port only", Host: ":80", Prefix: "/"}, {ID: "x", Host: "h", Prefix: "/x/"}}})
	quicktest.Check(t, table.Route("h", "/y/"), quicktest.IsNil)
	quicktest.Check(t, table.Route("", "/y/"), quicktest.IsNil)
	quicktest.Check(t, table.Route("h", "/x/y").ID, quicktest.Equals, table.Routes[3].ID)
	quicktest.Check(t, table.Omitted().UnmatchedRoutes, quicktest.Equals, 3)
}
