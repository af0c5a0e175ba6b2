package relayer

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
)

// ErrInvalidAnswer is returned when a target's answer belongs to another request or lacks tokens.
var ErrInvalidAnswer = errors.New("answer does not fit the request")

// ErrTargetStatus is returned when a target answered with an error status.
var ErrTargetStatus = errors.New("target refused the request")

// attempt sends the request to one target and relays its answer from the token offset reached so far.
func (s *Relayer) attempt(h *chat, plan tracker.Plan) error {
	ctx, alive, stop := withStall(h.ctx, firstTokenStall)
	defer stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+plan.Answer.Address+"/v1/chat/completions", bytes.NewReader(h.body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(chatter.RequestIDHeader, string(h.id))
	if h.delivered > 0 {
		req.Header.Set(chatter.ResumeHeader, strconv.FormatInt(h.delivered, 10))
	}
	if plan.Split {
		transfer, err := s.prefill(h, plan.Prefill)
		s.Tracker.Finish(plan.Prefill, err != nil)
		if err == nil {
			s.Tracker.ObserveFirstToken(plan.Prefill)
			req.Header.Set(chatter.HandleHeader, transfer.Handle)
		}
	}
	assertNoKey(req)
	h.sent.Store(true)
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w: status %d", ErrTargetStatus, resp.StatusCode)
	}
	if id := resp.Header.Get(chatter.RequestIDHeader); id != string(h.id) {
		return fmt.Errorf("%w: it is for request %q", ErrInvalidAnswer, id)
	}
	h.attempted = attempted{plan: plan}
	return s.relay(h, chatter.NewEventReader(resp.Body), alive)
}

// relay forwards events in token order: doubled ones are dropped, and a gap ends the attempt.
func (s *Relayer) relay(h *chat, events *chatter.EventReader, alive func(time.Duration)) error {
	own := []byte(`"id":"` + string(h.id) + `"`)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		alive(betweenTokensStall)
		if event.Done() {
			if h.usage == nil {
				return fmt.Errorf("%w: it ends without its last chunk", ErrInvalidAnswer)
			}
			return nil
		}
		if !bytes.Contains(event.Data, own) {
			return fmt.Errorf("%w: a chunk names another request", ErrInvalidAnswer)
		}
		if err := s.relayEvent(h, event); err != nil {
			return err
		}
	}
}

func (s *Relayer) relayEvent(h *chat, event chatter.Event) error {
	if event.Number > h.delivered+1 {
		return fmt.Errorf("%w: token %d follows token %d", ErrInvalidAnswer, event.Number, h.delivered)
	}
	if event.Number <= h.delivered {
		return s.relayLast(h, event)
	}
	asserter.That(event.Number == h.delivered+1, asserter.TokensInOrder, "token %d after %d", event.Number, h.delivered)
	h.delivered = event.Number
	s.countToken(h, time.Now())
	if !h.request.Stream {
		var chunk chatter.Completion
		if err := json.Unmarshal(event.Data, &chunk); err != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil {
			return fmt.Errorf("%w: chunk %d cannot be read", ErrInvalidAnswer, event.Number)
		}
		h.text.WriteString(chunk.Choices[0].Delta.Content)
	}
	if time.Since(h.countedAt) >= usageInterval {
		s.account(h, 0)
	}
	return forward(h, event)
}

// countToken observes the attempt's first token, and whether a later one came later than promised.
func (s *Relayer) countToken(h *chat, now time.Time) {
	if h.lastToken.IsZero() {
		s.Tracker.ObserveFirstToken(h.plan.Answer)
	} else {
		h.tokens++
		promised := time.Duration(h.view.Promise().GetBetweenTokensMilliseconds()) * time.Millisecond
		if promised > 0 && now.Sub(h.lastToken) > promised {
			h.late++
		}
	}
	h.lastToken = now
}

// relayLast handles an event that carries no new token: the last chunk, or a doubled one.
func (s *Relayer) relayLast(h *chat, event chatter.Event) error {
	var chunk chatter.Completion
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return fmt.Errorf("%w: %w", ErrInvalidAnswer, err)
	}
	if len(chunk.Choices) == 0 || chunk.Choices[0].FinishReason == nil || event.Number != h.delivered || h.usage != nil {
		return nil
	}
	h.usage = chunk.Usage
	if h.usage == nil {
		h.usage = &chatter.Usage{}
	}
	return forward(h, event)
}

func forward(h *chat, event chatter.Event) error {
	if !h.request.Stream {
		return nil
	}
	if !h.started {
		h.w.Header().Set("Content-Type", "text/event-stream")
		h.w.Header().Set("Cache-Control", "no-store")
		h.w.WriteHeader(http.StatusOK)
		h.started = true
	}
	if _, err := h.w.Write(event.Raw); err != nil {
		return err
	}
	flush(h.w)
	return nil
}

// prefill computes the prompt on a prefill engine and returns the handle of its KV cache.
func (s *Relayer) prefill(h *chat, handle tracker.Assignment) (chatter.Transfer, error) {
	var transfer chatter.Transfer
	req, err := http.NewRequestWithContext(h.ctx, http.MethodPost, "http://"+handle.Address+"/kv/prefill", bytes.NewReader(h.body))
	if err != nil {
		return transfer, err
	}
	req.Header.Set(chatter.RequestIDHeader, string(h.id))
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return transfer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return transfer, fmt.Errorf("%w: status %d", ErrTargetStatus, resp.StatusCode)
	}
	return transfer, json.NewDecoder(io.LimitReader(resp.Body, replayBytes)).Decode(&transfer)
}

// assertNoKey checks that the caller's key does not go to a target.
func assertNoKey(req *http.Request) {
	asserter.That(req.Header.Get("Authorization") == "", asserter.KeyStaysHere, "request to %s", req.URL.Host)
}

func writeData(w io.Writer, data []byte) {
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func flush(w http.ResponseWriter) {
	http.NewResponseController(w).Flush()
}
