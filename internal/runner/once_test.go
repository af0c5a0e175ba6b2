package runner_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/imitator"
	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
)

// sweepKillTimes sends calls to an entry, kills the entry after a delay that grows in steps of 15 ms from before the
// acceptance of a call until after its answer, repeats each call at another entry, and returns the maximum number of
// executions of one call.
func sweepKillTimes(t *testing.T, rules string) int {
	maximum := 0
	inBubble(t, func(t *testing.T, s *site) {
		s.rules = rules
		s.service.Latency = 100 * time.Millisecond
		s.startEntries("entry-a", "entry-b", "entry-c")
		s.grant("entry-a", "k", "tabline", "secret")
		s.platform.SetFaults(imitator.PlatformFaults{DelayMilliseconds: 20})
		for after := time.Duration(0); after < 240*time.Millisecond; after += 15 * time.Millisecond {
			key := fmt.Sprintf("tab-%d", after.Milliseconds())
			first := make(chan refuser.Run, 1)
			go func() {
				_, run, _ := s.settle("entry-b", "secret", key)
				first <- run
			}()
			time.Sleep(after)
			s.kill("entry-b")
			firstRun := <-first
			_, secondRun, _ := s.settle("entry-c", "secret", key)
			executions := s.service.Counts().Executions[key]
			maximum = max(maximum, executions)
			reportedNotRun := firstRun == refuser.NotRun && secondRun == refuser.NotRun
			quicktest.Check(t, reportedNotRun && executions > 0, quicktest.IsFalse, quicktest.Commentf("killed after %s: executed %d times but reported as NotRun", after, executions))
			s.startEntry("entry-b")
			s.waitFor(20*time.Second, func() bool { return s.servingEntries() == 3 })
		}
	})
	return maximum
}

func TestCallRunsAtMostOnceWhenEntriesAreKilled(t *testing.T) {
	unjournaled := sweepKillTimes(t, strings.Replace(rulesText, "[Route /settlements]\n", "[Route /settlements]\nRepeatable = true\n", 1))
	quicktest.Check(t, unjournaled > 1, quicktest.IsTrue, quicktest.Commentf("without the journal a call is executed again: %d", unjournaled))
	quicktest.Check(t, sweepKillTimes(t, rulesText), quicktest.Equals, 1)
}

func TestDuplicatesAtSeveralEntries(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		c := quicktest.New(t)
		s.service.Latency = 50 * time.Millisecond
		s.startEntries("entry-a", "entry-b", "entry-c")
		s.grant("entry-a", "k", "tabline", "secret")
		results := make(chan int, 9)
		for i := range 9 {
			go func() {
				status, _, _ := s.settle([]string{"entry-a", "entry-b", "entry-c"}[i%3], "secret", "tab-7")
				results <- status
			}()
		}
		ok := 0
		for range 9 {
			if <-results == http.StatusOK {
				ok++
			}
		}
		c.Check(ok >= 1, quicktest.IsTrue)
		c.Check(s.service.Counts().Executions["tab-7"], quicktest.Equals, 1)
		time.Sleep(time.Second)
		status, _, body := s.settle("entry-b", "secret", "tab-7")
		c.Check(status, quicktest.Equals, http.StatusOK)
		c.Check(body, quicktest.Contains, `"Execution":1`)
		status, _ = s.call("entry-b", http.MethodPost, "/settlements", "secret", map[string]string{"Idempotency-Key": "tab-7"}, []byte("other"))
		c.Check(status, quicktest.Equals, http.StatusUnprocessableEntity)
	})
}

func TestUnsentCallCanBeRetried(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		c := quicktest.New(t)
		s.startEntries("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		s.network.Kill("service")
		status, run, _ := s.settle("entry-a", "secret", "tab-1")
		c.Check(status, quicktest.Equals, http.StatusBadGateway)
		c.Check(run, quicktest.Equals, refuser.NotRun)
		s.serve("service", serviceAddr, s.service.Handler())
		time.Sleep(3 * time.Second)
		status, _, body := s.settle("entry-b", "secret", "tab-1")
		c.Check(status, quicktest.Equals, http.StatusOK, quicktest.Commentf(body))
	})
}
