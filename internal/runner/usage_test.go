package runner_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/imitator"
)

// reportedAfterKill finishes eight answers at an entry, kills it immediately afterwards, and returns how many of them
// are reported in the end. Unless mirrored is set, the entry cannot send copies of its usage to its peers.
func reportedAfterKill(t *testing.T, mirrored bool) (requests int64) {
	inBubble(t, func(t *testing.T, s *site) {
		s.startEntries("entry-a", "entry-b", "entry-c")
		s.grant("entry-a", "k", "tabline", "secret")
		if !mirrored {
			s.network.Partition("entry-b", "entry-a")
			s.network.Partition("entry-b", "entry-c")
		}
		s.platform.SetFaults(imitator.PlatformFaults{DelayMilliseconds: 300})
		answers := s.startAnswers("entry-b", 8, 10)
		for range 8 {
			quicktest.Check(t, (<-answers).complete, quicktest.IsTrue)
		}
		s.kill("entry-b")
		s.platform.SetFaults(imitator.PlatformFaults{})
		time.Sleep(40 * time.Second)
		sum, _ := s.reportedUsage()
		requests = sum["tabline"].Requests
	})
	return requests
}

func TestUsageOfAKilledEntryIsReported(t *testing.T) {
	unmirrored := reportedAfterKill(t, false)
	quicktest.Check(t, unmirrored < 8, quicktest.IsTrue, quicktest.Commentf("without a peer's copy usage is lost: %d of 8", unmirrored))
	quicktest.Check(t, reportedAfterKill(t, true), quicktest.Equals, int64(8))
}

func TestRepeatedReportsAreIdentical(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		c := quicktest.New(t)
		s.startEntries("entry-a", "entry-b", "entry-c")
		s.grant("entry-a", "k", "tabline", "secret")
		finished := int64(0)
		for range 6 {
			s.platform.SetFaults(imitator.PlatformFaults{LoseAnswers: 0.5})
			for _, name := range []string{"entry-a", "entry-b", "entry-c"} {
				s.network.Pause(name)
				time.Sleep(5 * time.Second)
				s.network.Resume(name)
				time.Sleep(2 * time.Second)
				if _, _, complete := s.chat(name, "secret", prompt("x", 5, true)); complete {
					finished++
				}
			}
		}
		s.platform.SetFaults(imitator.PlatformFaults{})
		time.Sleep(30 * time.Second)
		counts := s.platform.Counts()
		c.Check(counts.WrongReports, quicktest.Equals, 0)
		sum, windows := s.reportedUsage()
		c.Check(windows > 5, quicktest.IsTrue)
		c.Check(sum["tabline"].Requests, quicktest.Equals, finished)
		c.Check(sum["tabline"].OutputTokens, quicktest.Equals, 5*finished)
		c.Check(finished >= 12, quicktest.IsTrue, quicktest.Commentf("%d answers finished", finished))
	})
}

func TestRefusedRequestsAreCounted(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.startEntries("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		s.call("entry-a", "POST", "/private", "secret", nil, nil)
		for _, e := range s.engines {
			e.Crash()
		}
		s.chat("entry-a", "secret", prompt("x", 5, true))
		time.Sleep(25 * time.Second)
		sum, _ := s.reportedUsage()
		quicktest.Check(t, sum["tabline"].Refused, quicktest.Equals, int64(2))
		quicktest.Check(t, sum["tabline"].Requests, quicktest.Equals, int64(0))
	})
}

func TestCutRequestIsCountedWithItsTokens(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.startEntries("entry-a", "entry-b")
		s.grant("entry-a", "k", "tabline", "secret")
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		body, err := json.Marshal(prompt("x", 1000, true))
		quicktest.Assert(t, err, quicktest.IsNil)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://entry-a:1/v1/chat/completions", bytes.NewReader(body))
		quicktest.Assert(t, err, quicktest.IsNil)
		req.Header.Set("Authorization", "Bearer secret")
		resp, err := s.http.Do(req)
		quicktest.Assert(t, err, quicktest.IsNil)
		got, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		time.Sleep(25 * time.Second)
		sum, _ := s.reportedUsage()
		tokens := int64(bytes.Count(got, []byte("data: ")))
		quicktest.Check(t, sum["tabline"].Cut, quicktest.Equals, int64(1))
		quicktest.Check(t, sum["tabline"].Requests, quicktest.Equals, int64(0))
		quicktest.Check(t, sum["tabline"].PromptTokens > 0, quicktest.IsTrue)
		quicktest.Check(t, tokens > 50 && sum["tabline"].OutputTokens >= tokens && sum["tabline"].OutputTokens <= tokens+2, quicktest.IsTrue,
			quicktest.Commentf("%d tokens received, %d counted", tokens, sum["tabline"].OutputTokens))
	})
}
