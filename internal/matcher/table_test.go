package matcher_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
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

// TestServiceWithoutWeightGetsNoRequest guards against a service that gets all requests of a route because all weights are zero, or some of
// them although its own weight is zero.
func TestServiceWithoutWeightGetsNoRequest(t *testing.T) {
	for name, tc := range map[string]struct {
		weights []float64
		want    map[identifier.ServiceID]bool
	}{
		"none":      {nil, map[identifier.ServiceID]bool{"": true}},
		"zero":      {[]float64{0, 0}, map[identifier.ServiceID]bool{"": true}},
		"last zero": {[]float64{0.1, 0.2, 0}, map[identifier.ServiceID]bool{"a": true, "b": true}},
		"all":       {[]float64{1, 1, 2}, map[identifier.ServiceID]bool{"a": true, "b": true, "c": true}},
		"negative":  {[]float64{1, -1}, map[identifier.ServiceID]bool{"a": true}},
	} {
		r := matcher.Route{}
		for i, weight := range tc.weights {
			r.WeightedServices = append(r.WeightedServices, matcher.WeightedService{Service: identifier.ServiceID("abc"[i : i+1]), Weight: weight})
		}
		got := map[identifier.ServiceID]bool{}
		for point := 0.0; point <= 1; point += 0.01 {
			got[r.PickService(point)] = true
		}
		got[r.PickService(1)] = true
		quicktest.Check(t, got, quicktest.DeepEquals, tc.want, quicktest.Commentf(name))
	}
}
