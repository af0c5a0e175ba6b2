package retrier_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/retrier"
)

// TestWindowed lets eight instances retry as often as allowed at a constant load, and checks that their retries
// together stay within the budget in every window, and that the budget is used.
func TestWindowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const members, share, slack = 8, 0.2, 56.0
		var budgets []*retrier.WindowedBudget
		for range members {
			budgets = append(budgets, &retrier.WindowedBudget{Share: share, Slack: slack, Window: 10 * time.Second, MemberCount: func() int { return members }})
		}
		var requests, retries []int
		for tick := range 600 {
			requests, retries = append(requests, 0), append(retries, 0)
			for _, budget := range budgets {
				if tick%2 == 0 {
					budget.AddRequest("s")
					requests[tick]++
				}
				for budget.TakeRetry("s") {
					retries[tick]++
				}
			}
			time.Sleep(100 * time.Millisecond)
		}
		sum := func(list []int) (n int) {
			for _, v := range list {
				n += v
			}
			return n
		}
		total := 0
		for from := 0; from+100 <= len(retries); from++ {
			allowed := share*float64(sum(requests[from:from+100])) + slack
			got := sum(retries[from : from+100])
			quicktest.Assert(t, float64(got) <= allowed, quicktest.IsTrue, quicktest.Commentf("%d retries in the window from %d, %.0f allowed", got, from, allowed))
			total = max(total, got)
		}
		quicktest.Assert(t, total > 50, quicktest.IsTrue, quicktest.Commentf("%d retries in the busiest window: the budget is not used", total))
	})
}
