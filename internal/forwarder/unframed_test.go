package forwarder_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
)

// TestResponsesWithoutALengthNeedABody guards against MIXED: a target broke off after the head of its answer, and the client got an empty 200.
func TestResponsesWithoutALengthNeedABody(t *testing.T) {
	nothing, done := step{status: 200, unframed: true}, step{status: 200, body: "ok", unframed: true}
	for name, tc := range map[string]struct {
		kind matcher.Kind
		runs []step
		want string
	}{
		"unsafe":               {matcher.Unsafe, []step{nothing, done}, "502 TargetFailed\n"},
		"safe":                 {matcher.Safe, []step{nothing, done}, "200 ok"},
		"a body":               {matcher.Unsafe, []step{done}, "200 ok"},
		"empty, with a length": {matcher.Unsafe, []step{{status: 200}}, "200 "},
		"a failure":            {matcher.Unsafe, []step{{status: 500, unframed: true}}, "500 "},
	} {
		res := serve(&backend{runs: tc.runs}, matcher.Route{Kind: tc.kind}, &forwarder.Call{}, 5)
		quicktest.Check(t, fmt.Sprint(res.Code, " ", res.Body), quicktest.Equals, tc.want, quicktest.Commentf(name))
	}
}
