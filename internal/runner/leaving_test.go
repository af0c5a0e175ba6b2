package runner_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
)

// answer is the result of one chat completion.
type answer struct {
	req      chatter.Request
	text     string
	complete bool
}

// startAnswers requests count streamed answers of the given number of tokens at an entry.
func (s *site) startAnswers(name string, count int, tokens int64) <-chan answer {
	answers := make(chan answer, count)
	for i := range count {
		go func() {
			req := prompt(name+string(rune('a'+i)), tokens, true)
			_, text, complete := s.chat(name, "secret", req)
			answers <- answer{req, text, complete}
		}()
	}
	return answers
}

// answersCutByStop stops an entry with answers of 30 s in progress and returns how many were cut. Zero selects a stop
// timeout that is longer than any answer.
func answersCutByStop(t *testing.T, stop time.Duration) (cut int) {
	inBubble(t, func(t *testing.T, s *site) {
		s.stop = stop
		s.startEntries("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		answers := s.startAnswers("entry-b", 5, 1200)
		time.Sleep(time.Second)
		b := s.entries["entry-b"]
		b.stop()
		for range 5 {
			if a := <-answers; !a.complete || a.text != expectedText(a.req) {
				cut++
			}
		}
		<-b.done
		delete(s.entries, "entry-b")
		s.network.Kill("entry-b")
	})
	return cut
}

func TestPlannedStopOfAnEntryCutsNothing(t *testing.T) {
	quicktest.Check(t, answersCutByStop(t, 10*time.Second), quicktest.Equals, 5, quicktest.Commentf("with the server library's own stop timeout"))
	quicktest.Check(t, answersCutByStop(t, 0), quicktest.Equals, 0)
}

func TestLeavingEntryIsNotInAddresses(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.startEntries("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		answers := s.startAnswers("entry-b", 1, 400)
		b := s.entries["entry-b"]
		b.stop()
		time.Sleep(time.Second)
		_, body := s.call("entry-a", http.MethodGet, "/addresses", "", nil, nil)
		quicktest.Check(t, body, quicktest.Not(quicktest.Contains), "entry-b:1")
		status, _, _ := s.chat("entry-b", "secret", prompt("cached address", 1, true))
		quicktest.Check(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf("callers may still have the address cached"))
		quicktest.Check(t, (<-answers).complete, quicktest.IsTrue)
		<-b.done
		delete(s.entries, "entry-b")
		s.waitFor(2*time.Second, func() bool {
			_, status := s.callOperator("entry-a", http.MethodGet, "/status", nil)
			return !strings.Contains(status, "entry-b:1")
		})
	})
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		c := quicktest.New(t)
		s.startEntries("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		answers := s.startAnswers("entry-a", 20, 200)
		time.Sleep(500 * time.Millisecond)
		before := s.engines["engine-a"].Counts().Started
		c.Check(before > 0, quicktest.IsTrue)
		s.engines["engine-a"].Leave()
		time.Sleep(2 * time.Second)
		startedAfterNotice := s.engines["engine-a"].Counts().Started
		lateAnswers := s.startAnswers("entry-b", 20, 20)
		for range 20 {
			c.Check((<-answers).complete, quicktest.IsTrue)
			c.Check((<-lateAnswers).complete, quicktest.IsTrue)
		}
		counts := s.engines["engine-a"].Counts()
		c.Check(counts.Started, quicktest.Equals, startedAfterNotice, quicktest.Commentf("new work two seconds after the engine announced that it leaves"))
		c.Check(counts.Cut, quicktest.Equals, 0)
	})
}

func TestVanishingZoneLosesNoAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.startEntries("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		answers := s.startAnswers("entry-a", 30, 200)
		time.Sleep(2 * time.Second)
		s.engines["engine-c"].Crash()
		for range 30 {
			a := <-answers
			quicktest.Check(t, a.complete, quicktest.IsTrue)
			quicktest.Check(t, a.text, quicktest.Equals, expectedText(a.req))
		}
	})
}

func TestTargetListedAsLeavingGetsNoNewWork(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.startEntries("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		firstAnswers := s.startAnswers("entry-a", 20, 10)
		for range 20 {
			<-firstAnswers
		}
		quicktest.Check(t, s.engines["engine-a"].Counts().Started > 0, quicktest.IsTrue, quicktest.Commentf("work before the target is listed as leaving"))
		s.platform.SetInstances([]provider.Instance{{ID: "entry-a"}, {ID: "entry-b"}, {ID: "engine-a", Leaving: true}, {ID: "engine-b"}, {ID: "engine-c"}})
		time.Sleep(3 * time.Second)
		before := s.engines["engine-a"].Counts().Started
		answers := s.startAnswers("entry-b", 20, 10)
		for range 20 {
			quicktest.Check(t, (<-answers).complete, quicktest.IsTrue)
		}
		quicktest.Check(t, s.engines["engine-a"].Counts().Started, quicktest.Equals, before)
	})
}

func TestLostEntriesAreEvictedWhenUnlisted(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.startEntries("entry-a", "entry-b", "entry-c")
		s.kill("entry-b")
		s.kill("entry-c")
		status, _ := s.grant("entry-a", "k", "tabline", "secret")
		quicktest.Check(t, status, quicktest.Equals, http.StatusServiceUnavailable, quicktest.Commentf("one of three members is not a majority"))
		s.platform.SetInstances([]provider.Instance{{ID: "entry-a"}})
		time.Sleep(75 * time.Second)
		status, body := s.grant("entry-a", "k2", "tabline", "secret-2")
		quicktest.Check(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf(body))
		_, body = s.callOperator("entry-a", http.MethodGet, "/status", nil)
		quicktest.Check(t, body, quicktest.Not(quicktest.Contains), "entry-b:1")
	})
}
