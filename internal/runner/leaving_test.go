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

// answer is the outcome of one chat completion.
type answer struct {
	req   chatter.Request
	text  string
	whole bool
}

// stream starts count long answers at an entry.
func (s *site) stream(name string, count int, tokens int64) <-chan answer {
	answers := make(chan answer, count)
	for i := range count {
		go func() {
			req := prompt(name+string(rune('a'+i)), tokens, true)
			_, text, whole := s.ask(name, "secret", req)
			answers <- answer{req, text, whole}
		}()
	}
	return answers
}

// cutByStop stops an entry with answers of 30 s under way and returns how many were cut.
func cutByStop(t *testing.T, stop time.Duration) (cut int) {
	inBubble(t, func(t *testing.T, s *site) {
		s.stop = stop
		s.up("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		answers := s.stream("entry-b", 5, 1200)
		time.Sleep(time.Second)
		b := s.entries["entry-b"]
		b.stop()
		for range 5 {
			if a := <-answers; !a.whole || a.text != expected(a.req) {
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
	quicktest.Check(t, cutByStop(t, 10*time.Second), quicktest.Equals, 5, quicktest.Commentf("with the server library's own stop timeout"))
	quicktest.Check(t, cutByStop(t, 0), quicktest.Equals, 0)
}

func TestLeavingEntryIsNotHandedOut(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.up("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		answers := s.stream("entry-b", 1, 400)
		b := s.entries["entry-b"]
		b.stop()
		time.Sleep(time.Second)
		_, body := s.call("entry-a", http.MethodGet, "/addresses", "", nil, nil)
		quicktest.Check(t, body, quicktest.Not(quicktest.Contains), "entry-b:1")
		status, _, _ := s.ask("entry-b", "secret", prompt("cached address", 1, true))
		quicktest.Check(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf("callers may still have the address cached"))
		quicktest.Check(t, (<-answers).whole, quicktest.IsTrue)
		<-b.done
		delete(s.entries, "entry-b")
		s.until(2*time.Second, func() bool {
			_, status := s.operate("entry-a", http.MethodGet, "/status", nil)
			return !strings.Contains(status, "entry-b:1")
		})
	})
}

func TestLeavingEngineGetsNoNewWork(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		c := quicktest.New(t)
		s.up("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		answers := s.stream("entry-a", 20, 200)
		time.Sleep(500 * time.Millisecond)
		before := s.engines["engine-a"].Counts().Started
		c.Check(before > 0, quicktest.IsTrue)
		s.engines["engine-a"].Leave()
		time.Sleep(2 * time.Second)
		grace := s.engines["engine-a"].Counts().Started
		more := s.stream("entry-b", 20, 20)
		for range 20 {
			c.Check((<-answers).whole, quicktest.IsTrue)
			c.Check((<-more).whole, quicktest.IsTrue)
		}
		v := s.engines["engine-a"].Counts()
		c.Check(v.Started, quicktest.Equals, grace, quicktest.Commentf("new work after two seconds of notice"))
		c.Check(v.Cut, quicktest.Equals, 0)
	})
}

func TestVanishingZoneLosesNoAnswer(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.up("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		answers := s.stream("entry-a", 30, 200)
		time.Sleep(2 * time.Second)
		s.engines["engine-c"].Crash()
		for range 30 {
			a := <-answers
			quicktest.Check(t, a.whole, quicktest.IsTrue)
			quicktest.Check(t, a.text, quicktest.Equals, expected(a.req))
		}
	})
}

func TestTargetListedAsLeavingGetsNoNewWork(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.up("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		listed := s.stream("entry-a", 20, 10)
		for range 20 {
			<-listed
		}
		quicktest.Check(t, s.engines["engine-a"].Counts().Started > 0, quicktest.IsTrue, quicktest.Commentf("until it is listed it gets work"))
		s.platform.SetInstances([]provider.Instance{{ID: "entry-a"}, {ID: "entry-b"}, {ID: "engine-a", Leaving: true}, {ID: "engine-b"}, {ID: "engine-c"}})
		time.Sleep(3 * time.Second)
		before := s.engines["engine-a"].Counts().Started
		answers := s.stream("entry-b", 20, 10)
		for range 20 {
			quicktest.Check(t, (<-answers).whole, quicktest.IsTrue)
		}
		quicktest.Check(t, s.engines["engine-a"].Counts().Started, quicktest.Equals, before)
	})
}

func TestLostEntriesAreEvictedByTheList(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.up("entry-a", "entry-b", "entry-c")
		s.kill("entry-b")
		s.kill("entry-c")
		status, _ := s.grant("entry-a", "k", "tabline", "secret")
		quicktest.Check(t, status, quicktest.Equals, http.StatusServiceUnavailable, quicktest.Commentf("one of three is no majority"))
		s.platform.SetInstances([]provider.Instance{{ID: "entry-a"}})
		time.Sleep(75 * time.Second)
		status, body := s.grant("entry-a", "k2", "tabline", "secret-2")
		quicktest.Check(t, status, quicktest.Equals, http.StatusOK, quicktest.Commentf(body))
		_, body = s.operate("entry-a", http.MethodGet, "/status", nil)
		quicktest.Check(t, body, quicktest.Not(quicktest.Contains), "entry-b:1")
	})
}
