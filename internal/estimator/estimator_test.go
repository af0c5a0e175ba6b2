package estimator_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/estimator"
)

// TestPeak checks that the peak adds up the demand of this instance and of a peer during a burst, and halves a minute
// later.
func TestPeak(t *testing.T) {
	var d estimator.Demand
	now := time.Unix(1000, 0)
	quicktest.Assert(t, d.Peak("s"), quicktest.Equals, 0.0)
	for range 10 {
		now = now.Add(time.Second)
		d.Add("s", 36_700, now)
		d.UpdatePeer("peer", "s", 36_700, now)
		d.Sample(now)
	}
	peak := d.Peak("s")
	quicktest.Assert(t, peak > 1.8 && peak < 2.6, quicktest.IsTrue, quicktest.Commentf("peak of %.2f engines for a demand of two", peak))
	for range 60 {
		now = now.Add(time.Second)
		d.Sample(now)
	}
	decayed := d.Peak("s")
	quicktest.Assert(t, decayed > 0.4*peak && decayed < 0.6*peak, quicktest.IsTrue, quicktest.Commentf("peak of %.2f engines a minute later", decayed))
	quicktest.Assert(t, d.Local(now), quicktest.HasLen, 0)
}
