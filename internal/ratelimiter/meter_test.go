package ratelimiter_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/ratelimiter"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// TestMetricsOfManyTeams guards against a metric for each of thousands of teams, and against costs that are counted as requests.
func TestMetricsOfManyTeams(t *testing.T) {
	const teams, named, cost = 130, 100, 7
	synctest.Test(t, func(t *testing.T) {
		scope, table := tally.NewTestScope("", nil), quotas(teams, tokenQuota)
		l := &ratelimiter.Limiter{
			Self: "front-0", StartedAt: time.Now(), View: func() ratelimiter.View { return ratelimiter.View{Running: 1} },
			Table: func() *matcher.Table { return table }, Bounds: boundsOf(table), Logger: zap.NewNop(), Metrics: scope,
		}
		for range 15 {
			l.Maintain()
			time.Sleep(200 * time.Millisecond)
		}
		for i := range teams {
			p := l.Ask(context.Background(), ratelimiter.Request{Team: identifier.TeamID(fmt.Sprint("team-", i)), ID: "r", Cost: cost, Remaining: time.Second})
			quicktest.Assert(t, p.Verdict, quicktest.Equals, ratelimiter.Verdict_Admitted)
			l.Return(p)
		}
		sums, names := map[string]int64{}, 0
		for _, c := range scope.Snapshot().Counters() {
			sums[c.Name()] += c.Value()
			if c.Name() == "QuotaAdmitted" && strings.HasPrefix(c.Tags()["Team"], "team-") {
				names++
			}
		}
		quicktest.Check(t, sums, quicktest.DeepEquals, map[string]int64{"QuotaAdmitted": teams * cost, "QuotaReturned": teams * cost})
		quicktest.Check(t, names, quicktest.Equals, named)
		time.Sleep(time.Second)
	})
}
