package estimator_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/estimator"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
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

// TestPeakFollowsTheEngineRate checks that the demand in engines uses the rate of the service's own engines: engines that are
// four times as fast are needed in a quarter of the number.
func TestPeakFollowsTheEngineRate(t *testing.T) {
	engines := func(d *estimator.Demand) float64 {
		now := time.Unix(1000, 0)
		for range 5 {
			now = now.Add(time.Second)
			d.Add("s", 36_700, now)
			d.Sample(now)
		}
		return d.Peak("s")
	}
	fast := &estimator.Demand{EngineRate: func(identifier.ServiceID) float64 { return 4 * 36_700 }}
	ratio := engines(&estimator.Demand{}) / engines(fast)
	quicktest.Assert(t, ratio > 3.99 && ratio < 4.01, quicktest.IsTrue, quicktest.Commentf("%.2f", ratio))
}
