package runner_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/imitator"
)

// isolate cuts an entry's connections to the platform and to the given peers.
func (s *site) isolate(name string, others ...string) {
	s.network.Partition(name, "platform")
	for _, other := range others {
		s.network.Partition(name, other)
	}
}

// withdrawnKeyAccepted withdraws a key at entry-a while entry-c is isolated, and reports whether entry-c, with the given
// freshness bound, accepts the key afterwards. Zero selects the default bound.
func withdrawnKeyAccepted(t *testing.T, freshness time.Duration) (accepted bool) {
	inBubble(t, func(t *testing.T, s *site) {
		s.freshness = map[string]time.Duration{"entry-c": freshness}
		s.startEntries("entry-a", "entry-b", "entry-c")
		s.grant("entry-a", "k", "tabline", "secret")
		s.isolate("entry-c", "entry-a", "entry-b")
		started := time.Now()
		status, body := s.withdraw("entry-a", "k")
		quicktest.Assert(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf(body))
		quicktest.Check(t, time.Since(started) <= 4*time.Second, quicktest.IsTrue, quicktest.Commentf("in force after %s", time.Since(started)))
		status, _, _ = s.chat("entry-c", "secret", prompt("x", 1, true))
		accepted = status == http.StatusOK
	})
	return accepted
}

func TestIsolatedEntryRejectsWithdrawnKey(t *testing.T) {
	unbounded := withdrawnKeyAccepted(t, time.Hour)
	quicktest.Check(t, unbounded, quicktest.IsTrue, quicktest.Commentf("without the freshness bound the entry keeps accepting the key"))
	bounded := withdrawnKeyAccepted(t, 0)
	quicktest.Check(t, bounded, quicktest.IsFalse)
}

func TestServingContinuesDuringLogOutage(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		c := quicktest.New(t)
		s.startEntries("entry-a", "entry-b", "entry-c")
		s.grant("entry-a", "k", "tabline", "secret")
		s.platform.SetFaults(imitator.PlatformFaults{Down: true})
		time.Sleep(30 * time.Second)
		for _, name := range []string{"entry-a", "entry-b", "entry-c"} {
			req := prompt("during the outage", 5, true)
			status, text, _ := s.chat(name, "secret", req)
			c.Check(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s: %s", name, text))
			c.Check(text, quicktest.Equals, expectedText(req))
		}
		status, run, _ := s.settle("entry-a", "secret", "tab-1")
		c.Check(status, quicktest.Equals, http.StatusServiceUnavailable)
		c.Check(string(run), quicktest.Equals, "NotRun")
		status, _ = s.withdraw("entry-a", "k")
		c.Check(status, quicktest.Equals, http.StatusServiceUnavailable, quicktest.Commentf("no change can be accepted without the log"))

		s.network.Partition("entry-c", "entry-a")
		s.network.Partition("entry-c", "entry-b")
		time.Sleep(4 * time.Second)
		status, _, _ = s.chat("entry-c", "secret", prompt("alone", 1, true))
		c.Check(status, quicktest.Equals, http.StatusServiceUnavailable, quicktest.Commentf("an entry without a majority stops serving"))
		status, _, _ = s.chat("entry-a", "secret", prompt("two of three", 1, true))
		c.Check(status, quicktest.Equals, http.StatusOK)
	})
}

func TestRestartDuringLogOutageWaitsForLog(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		c := quicktest.New(t)
		s.startEntries("entry-a", "entry-b", "entry-c")
		s.grant("entry-a", "k", "tabline", "secret")
		s.platform.SetFaults(imitator.PlatformFaults{Down: true})
		s.kill("entry-c")
		s.startEntry("entry-c")
		time.Sleep(5 * time.Second)
		status, _, _ := s.chat("entry-c", "secret", prompt("x", 1, true))
		c.Check(status, quicktest.Equals, http.StatusServiceUnavailable)
		s.platform.SetFaults(imitator.PlatformFaults{})
		s.waitFor(10*time.Second, func() bool { return s.servingEntries() == 3 })
		status, _, _ = s.chat("entry-c", "secret", prompt("x", 1, true))
		c.Check(status, quicktest.Equals, http.StatusOK)
	})
}

func TestStartFromCheckpointOfTruncatedLog(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		c := quicktest.New(t)
		s.startEntries("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		s.settle("entry-a", "secret", "tab-1")
		time.Sleep(15 * time.Second)
		s.platform.Truncate(3)
		s.startEntry("entry-c")
		s.waitFor(10*time.Second, func() bool { return s.servingEntries() == 3 })
		status, _, _ := s.chat("entry-c", "secret", prompt("x", 1, true))
		c.Check(status, quicktest.Equals, http.StatusOK)
		status, _, _ = s.settle("entry-c", "secret", "tab-1")
		c.Check(status, quicktest.Equals, http.StatusOK)
		c.Check(s.service.Counts().Executions["tab-1"], quicktest.Equals, 1)
	})
}

func TestRacingPublishesHaveOneWinner(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.startEntries("entry-a", "entry-b", "entry-c")
		results := make(chan int, 3)
		for _, name := range []string{"entry-a", "entry-b", "entry-c"} {
			go func() {
				status, _ := s.publish(name, 1)
				results <- status
			}()
		}
		counts := map[int]int{}
		for range 3 {
			counts[<-results]++
		}
		quicktest.Check(t, counts, quicktest.DeepEquals, map[int]int{http.StatusOK: 1, http.StatusConflict: 2})
	})
}

func TestWithdrawalReachesPartlyIsolatedEntry(t *testing.T) {
	for name, cuts := range map[string][]string{
		"from the log":   {"platform"},
		"from its peers": {"entry-a", "entry-b"},
		"from one peer":  {"entry-a"},
	} {
		inBubble(t, func(t *testing.T, s *site) {
			c := quicktest.New(t)
			s.startEntries("entry-a", "entry-b", "entry-c")
			s.grant("entry-a", "k", "tabline", "secret")
			for _, other := range cuts {
				s.network.Partition("entry-c", other)
			}
			time.Sleep(10 * time.Second)
			status, _, _ := s.chat("entry-c", "secret", prompt("x", 1, true))
			c.Check(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s: it keeps serving", name))
			started := time.Now()
			status, body := s.withdraw("entry-a", "k")
			c.Assert(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("%s: %s", name, body))
			c.Check(time.Since(started) <= 4*time.Second, quicktest.IsTrue, quicktest.Commentf("%s: %s", name, time.Since(started)))
			// An entry that none of its peers reaches for 10 s is evicted and then refuses all requests.
			status, text, _ := s.chat("entry-c", "secret", prompt("x", 1, true))
			c.Check(status == http.StatusUnauthorized || status == http.StatusServiceUnavailable, quicktest.IsTrue, quicktest.Commentf("%s: %d", name, status))
			c.Check(text, quicktest.Contains, `"Run":"NotRun"`)
		})
	}
}
