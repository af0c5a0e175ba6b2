package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
)

func allowed(capacity float64, demands ...limiter.Demand) []float64 {
	limiter.Share(capacity, demands)
	var list []float64
	for _, d := range demands {
		list = append(list, d.Allowed)
	}
	return list
}

func TestShare(t *testing.T) {
	for name, tc := range map[string]struct {
		capacity float64
		demands  []limiter.Demand
		want     []float64
	}{
		"enough for all":           {10, []limiter.Demand{{Wanted: 2, Weight: 1}, {Wanted: 3, Weight: 1}}, []float64{2, 3}},
		"equal weights":            {4, []limiter.Demand{{Wanted: 9, Weight: 1}, {Wanted: 9, Weight: 1}}, []float64{2, 2}},
		"small demands are served": {4, []limiter.Demand{{Wanted: 1, Weight: 1}, {Wanted: 9, Weight: 1}}, []float64{1, 3}},
		"by weight":                {4, []limiter.Demand{{Wanted: 9, Weight: 3}, {Wanted: 9, Weight: 1}}, []float64{3, 1}},
		"no weight gets nothing":   {4, []limiter.Demand{{Wanted: 9}}, []float64{0}},
	} {
		quicktest.Check(t, allowed(tc.capacity, tc.demands...), quicktest.DeepEquals, tc.want, quicktest.Commentf(name))
	}
}

func TestShareIsMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.Float64Range(0.1, 100).Draw(t, "capacity")
		n := rapid.IntRange(1, 20).Draw(t, "teams")
		demands := make([]limiter.Demand, n)
		for i := range demands {
			demands[i] = limiter.Demand{Wanted: rapid.Float64Range(0, 20).Draw(t, "wanted"), Weight: rapid.Float64Range(0.1, 10).Draw(t, "weight")}
		}
		limiter.Share(capacity, demands)
		total, level := 0.0, 0.0
		for _, d := range demands {
			total += d.Allowed
			level = max(level, d.Allowed/d.Weight)
			if d.Allowed > d.Wanted+1e-9 {
				t.Fatalf("%v is allowed more than it wants", d)
			}
		}
		if total > capacity+1e-6 {
			t.Fatalf("allowed %g in total, capacity %g", total, capacity)
		}
		for _, d := range demands {
			if d.Allowed < d.Wanted-1e-6 && d.Allowed/d.Weight < level-1e-6 {
				t.Fatalf("%v is limited although another demand has more per weight (%g)", d, level)
			}
		}
	})
}

func TestAdmit(t *testing.T) {
	for name, tc := range map[string]struct {
		in     limiter.AdmissionInput
		reason string
	}{
		"idle":                        {limiter.AdmissionInput{Predicted: 100 * time.Millisecond}, "Admitted"},
		"overload, within the share":  {limiter.AdmissionInput{Predicted: 1200 * time.Millisecond, TeamRate: 0.1, TeamShare: 0.1}, "Admitted"},
		"overload, over the share":    {limiter.AdmissionInput{Predicted: 1200 * time.Millisecond, TeamRate: 0.3, TeamShare: 0.1}, "OverShare"},
		"late tokens, over the share": {limiter.AdmissionInput{LateShare: 0.08, TeamRate: 0.3, TeamShare: 0.1}, "OverShare"},
		"promise out of reach":        {limiter.AdmissionInput{Predicted: 5 * time.Second}, "PromiseOutOfReach"},
		"all tokens late":             {limiter.AdmissionInput{LateShare: 0.5}, "PromiseOutOfReach"},
	} {
		tc.in.Promised = 1600 * time.Millisecond
		decision := limiter.Admit(tc.in)
		quicktest.Check(t, decision.Reason, quicktest.Equals, tc.reason, quicktest.Commentf(name))
		quicktest.Check(t, decision.Admitted || decision.RetryAfter >= time.Second, quicktest.IsTrue, quicktest.Commentf("%s: refused without a retry delay", name))
	}
}

func BenchmarkShare(b *testing.B) {
	for _, n := range []int{8, 80, 625, 1250, 2500, 5000} {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			demands := make([]limiter.Demand, n)
			for i := range demands {
				demands[i] = limiter.Demand{Wanted: float64(i%17) / 100, Weight: float64(1 + i%5)}
			}
			for b.Loop() {
				limiter.Share(1, demands)
			}
		})
	}
}
