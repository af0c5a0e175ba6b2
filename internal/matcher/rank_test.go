package matcher_test

import (
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
)

// TestAdmissionRank guards against an order under overload that ignores the routes where teams have a priority.
func TestAdmissionRank(t *testing.T) {
	urgent, middle := 0, 1
	first, last := &matcher.Route{Priority: 0}, &matcher.Route{Priority: 2}
	preferred, usual := &matcher.Team{Priority: &urgent}, &matcher.Team{Priority: &middle}
	order := []int{
		matcher.AdmissionRank(first, preferred), matcher.AdmissionRank(last, preferred), matcher.AdmissionRank(first, usual),
		matcher.AdmissionRank(last, usual), matcher.AdmissionRank(last, nil),
	}
	for i := range order[1:] {
		quicktest.Check(t, order[i] < order[i+1], quicktest.IsTrue, quicktest.Commentf("%v", order))
	}
	quicktest.Check(t, matcher.AdmissionRank(first, nil) <= matcher.AdmissionRank(first, preferred), quicktest.IsTrue)
}
