package relayer_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/accounter"
	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/relayer"
	"github.com/coltsfootscale/coltsfootscale/internal/retrier"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const tokens = 6

// chunk returns the n-th token of a request's answer as an event.
func chunk(id string, n int64) string {
	var b strings.Builder
	chatter.WriteEvent(&b, n, chatter.NewChunk(id, "m", fmt.Sprintf("t%d ", n)))
	return b.String()
}

// finalEvents returns the final chunk and the end of a request's answer.
func finalEvents(id string) string {
	var b strings.Builder
	chatter.WriteEvent(&b, tokens, chatter.NewFinalChunk(id, "m", 1, tokens))
	chatter.WriteDone(&b)
	return b.String()
}

// answerFrom returns the tokens of a request's answer after number from, and its final events.
func answerFrom(id string, from int64) string {
	var b strings.Builder
	for n := from + 1; n <= tokens; n++ {
		b.WriteString(chunk(id, n))
	}
	return b.String() + finalEvents(id)
}

// faultyAnswer writes an answer with some fault.
type faultyAnswer func(w http.ResponseWriter, id string)

var faultyAnswers = map[string]faultyAnswer{
	"truncated":       func(w http.ResponseWriter, id string) { fmt.Fprint(w, chunk(id, 1), chunk(id, 2)) },
	"truncated event": func(w http.ResponseWriter, id string) { fmt.Fprint(w, chunk(id, 1), chunk(id, 2)[:20]) },
	"duplicate token": func(w http.ResponseWriter, id string) { fmt.Fprint(w, chunk(id, 1), chunk(id, 1), answerFrom(id, 1)) },
	"gap":             func(w http.ResponseWriter, id string) { fmt.Fprint(w, chunk(id, 1), answerFrom(id, 2)) },
	"chunk of another request": func(w http.ResponseWriter, id string) {
		fmt.Fprint(w, chunk(id, 1), chunk("other", 2), answerFrom(id, 2))
	},
	"no final chunk": func(w http.ResponseWriter, id string) { fmt.Fprint(w, chunk(id, 1), "data: [DONE]\n\n") },
	"not an event":   func(w http.ResponseWriter, id string) { fmt.Fprint(w, chunk(id, 1), "id: x\ndata: {}\n\n") },
	"error status":   func(w http.ResponseWriter, _ string) { w.WriteHeader(http.StatusInternalServerError) },
	"answer to another request": func(w http.ResponseWriter, id string) {
		w.Header().Set(chatter.RequestIDHeader, "other")
		fmt.Fprint(w, answerFrom("other", 0))
	},
}

// target gives a faulty answer to the first request and correct ones, from the requested token on, to later requests.
func target(t *testing.T, faulty faultyAnswer) *httptest.Server {
	first := true
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(chatter.RequestIDHeader)
		if strings.HasPrefix(r.URL.Path, "/control") {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		w.Header().Set(chatter.RequestIDHeader, id)
		if first {
			first = false
			faulty(w, id)
			return
		}
		var from int64
		fmt.Sscan(r.Header.Get(chatter.ResumeHeader), &from)
		fmt.Fprint(w, answerFrom(id, from))
	}))
	t.Cleanup(srv.Close)
	return srv
}

func newRelayer(addresses ...string) *relayer.Relayer {
	state := &recorder.ConfigState{
		Inventory: &recorder.Inventory{Teams: []*recorder.Team{{ID: "tabline"}}},
		Rules:     &recorder.Rules{Promise: &recorder.Promise{FirstTokenMilliseconds: 1600}},
		Keys:      map[string]*recorder.Key{string(identifier.HashKey("secret")): {ID: "k", Team: "tabline"}},
	}
	for i, address := range addresses {
		state.Inventory.Targets = append(state.Inventory.Targets, &recorder.Target{
			ID: fmt.Sprint("engine-", i), Address: address, Model: "m", PrefillTokensPerSecond: 1000, DecodeTokensPerSecond: 100, Slots: 8,
		})
	}
	tr := &tracker.Tracker{HTTP: http.DefaultClient}
	tr.SetTargets(state.Inventory.Targets)
	view := configurator.NewView(state)
	return &relayer.Relayer{
		Limits: parser.Limits{BodyBytes: 1 << 20, BodyTimeout: time.Second, RequestTimeout: 5 * time.Second}, Tracker: tr,
		Ledger: &accounter.Ledger{Origin: "o"}, Meter: &limiter.Meter{}, Budget: &retrier.Budget{Share: 1, Burst: 10},
		Logger: zap.NewNop(), Metrics: tally.NoopScope, HTTP: http.DefaultClient, NoKeepAliveHTTP: http.DefaultClient,
		View: func() *configurator.View { return view }, Serving: func() bool { return true },
		Share: func(identifier.TeamID, identifier.ModelID) (float64, float64) { return 0, 1 },
	}
}

func ask(t *testing.T, r *relayer.Relayer, stream bool) string {
	body, err := json.Marshal(chatter.Request{Model: "m", Messages: []chatter.Message{{Role: "user", Content: "x"}}, MaxTokens: tokens, Stream: stream})
	quicktest.Assert(t, err, quicktest.IsNil)
	req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	r.Chat(w, req)
	quicktest.Assert(t, w.Code, quicktest.Equals, http.StatusOK, quicktest.Commentf(w.Body.String()))
	return textOf(t, w.Body.String(), stream)
}

func textOf(t *testing.T, body string, stream bool) string {
	if !stream {
		var c chatter.Completion
		quicktest.Assert(t, json.Unmarshal([]byte(body), &c), quicktest.IsNil)
		return c.Choices[0].Message.Content
	}
	quicktest.Check(t, body, quicktest.Contains, "[DONE]")
	text := ""
	events := chatter.NewEventReader(strings.NewReader(body))
	for {
		event, err := events.Next()
		if err != nil || event.Done() {
			return text
		}
		var c chatter.Completion
		quicktest.Assert(t, json.Unmarshal(event.Data, &c), quicktest.IsNil)
		text += c.Choices[0].Delta.Content
	}
}

// TestFaultyAnswersAreResumed checks that the caller gets the complete answer even if every target fails once.
func TestFaultyAnswersAreResumed(t *testing.T) {
	for name, faulty := range faultyAnswers {
		for _, stream := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s/stream=%t", name, stream), func(t *testing.T) {
				var addresses []string
				for range 3 {
					// Each target fails once, so that the answer is resumed several times.
					addresses = append(addresses, target(t, faulty).Listener.Addr().String())
				}
				r := newRelayer(addresses...)
				quicktest.Check(t, ask(t, r, stream), quicktest.Equals, "t1 t2 t3 t4 t5 t6 ")
			})
		}
	}
}

// TestFaultyAnswersDifferFromCorrectOnes checks that each fault would reach the caller if bytes were only copied.
func TestFaultyAnswersDifferFromCorrectOnes(t *testing.T) {
	for name, faulty := range faultyAnswers {
		w := httptest.NewRecorder()
		faulty(w, "id")
		correct := w.Code == http.StatusOK && w.Body.String() == answerFrom("id", 0) && w.Header().Get(chatter.RequestIDHeader) != "other"
		quicktest.Check(t, correct, quicktest.IsFalse, quicktest.Commentf(name))
	}
}

// TestAbortsWithErrorEvent checks that a started stream that cannot be completed ends with an error event well before
// the request timeout.
func TestAbortsWithErrorEvent(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(chatter.RequestIDHeader)
		w.Header().Set(chatter.RequestIDHeader, id)
		if r.Header.Get(chatter.ResumeHeader) == "" {
			fmt.Fprint(w, chunk(id, 1))
		}
	}))
	defer srv.Close()
	r := newRelayer(srv.Listener.Addr().String())
	body, _ := json.Marshal(chatter.Request{Model: "m", Messages: []chatter.Message{{Content: "x"}}, MaxTokens: tokens, Stream: true})
	req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer secret")
	w := httptest.NewRecorder()
	start := time.Now()
	quicktest.Check(t, func() { r.Chat(w, req) }, quicktest.PanicMatches, ".*abort Handler.*")
	quicktest.Check(t, time.Since(start) < 4*time.Second, quicktest.IsTrue)
	quicktest.Check(t, w.Body.String(), quicktest.Contains, `"Run":"Unknown"`)
	quicktest.Check(t, w.Body.String(), quicktest.Not(quicktest.Contains), "[DONE]")
}
