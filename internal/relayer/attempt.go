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

// ErrInvalidAnswer is returned when a target's answer is malformed, incomplete, too large or for another request.
var ErrInvalidAnswer = errors.New("invalid answer from target")

// ErrTargetStatus is returned when a target responds with a status other than 200.
var ErrTargetStatus = errors.New("target returned an error")

// attempt sends the request as planned and relays the answer, starting after the tokens already delivered. If the
// separate prefill fails, the request goes to the answering target without a KV cache.
func (s *Relayer) attempt(h *chat, plan tracker.Plan) error {
	ctx, resetStall, stop := withStallTimeout(h.ctx, firstTokenTimeout)
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
			s.Tracker.FirstToken(plan.Prefill)
			req.Header.Set(chatter.HandleHeader, transfer.Handle)
		}
	}
	assertNoCallerKey(req)
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
		return fmt.Errorf("%w: response is for request %q", ErrInvalidAnswer, id)
	}
	h.observation = observation{plan: plan}
	return s.relay(h, chatter.NewEventReader(resp.Body), resetStall)
}

// relay forwards events in token order. It drops duplicates and ends the attempt at a gap.
func (s *Relayer) relay(h *chat, events *chatter.EventReader, resetStall func(time.Duration)) error {
	idField := []byte(`"id":"` + string(h.id) + `"`)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		resetStall(betweenTokensTimeout)
		if event.Done() {
			if h.usage == nil {
				return fmt.Errorf("%w: stream ends without a final chunk", ErrInvalidAnswer)
			}
			return nil
		}
		if !bytes.Contains(event.Data, idField) {
			return fmt.Errorf("%w: chunk is for another request", ErrInvalidAnswer)
		}
		if err := s.relayEvent(h, event); err != nil {
			return err
		}
	}
}

// relayEvent forwards an event that carries the next token, and accounts the usage every usageInterval. An event
// after a gap is an error, and one without a new token goes to relayFinal.
func (s *Relayer) relayEvent(h *chat, event chatter.Event) error {
	if event.Number > h.delivered+1 {
		return fmt.Errorf("%w: token %d follows token %d", ErrInvalidAnswer, event.Number, h.delivered)
	}
	if event.Number <= h.delivered {
		return s.relayFinal(h, event)
	}
	asserter.That(event.Number == h.delivered+1, asserter.TokensInOrder, "token %d after %d", event.Number, h.delivered)
	h.delivered = event.Number
	s.observeToken(h, time.Now())
	if !h.request.Stream {
		var chunk chatter.Completion
		if err := json.Unmarshal(event.Data, &chunk); err != nil || len(chunk.Choices) == 0 || chunk.Choices[0].Delta == nil {
			return fmt.Errorf("%w: malformed chunk %d", ErrInvalidAnswer, event.Number)
		}
		h.text.WriteString(chunk.Choices[0].Delta.Content)
	}
	if time.Since(h.accountedAt) >= usageInterval {
		s.account(h, 0)
	}
	return forwardEvent(h, event)
}

// observeToken reports the first token of the attempt to the tracker. It counts the later tokens, and the late ones
// among them.
func (s *Relayer) observeToken(h *chat, now time.Time) {
	if h.lastTokenAt.IsZero() {
		s.Tracker.FirstToken(h.plan.Answer)
	} else {
		h.tokens++
		promised := time.Duration(h.view.Promise().GetBetweenTokensMilliseconds()) * time.Millisecond
		if promised > 0 && now.Sub(h.lastTokenAt) > promised {
			h.lateTokens++
		}
	}
	h.lastTokenAt = now
}

// relayFinal forwards the final chunk and drops any other event that carries no new token.
func (s *Relayer) relayFinal(h *chat, event chatter.Event) error {
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
	return forwardEvent(h, event)
}

// forwardEvent writes an event to the caller if the caller asked for a stream, after the response header if needed.
func forwardEvent(h *chat, event chatter.Event) error {
	if !h.request.Stream {
		return nil
	}
	if !h.headerWritten {
		h.w.Header().Set("Content-Type", "text/event-stream")
		h.w.Header().Set("Cache-Control", "no-store")
		h.w.WriteHeader(http.StatusOK)
		h.headerWritten = true
	}
	if _, err := h.w.Write(event.Raw); err != nil {
		return err
	}
	flush(h.w)
	return nil
}

// prefill computes the prompt's KV cache on a prefill engine and returns its handle. The response does not name its
// request, so that the request has a connection of its own.
func (s *Relayer) prefill(h *chat, assignment tracker.Assignment) (chatter.Transfer, error) {
	var transfer chatter.Transfer
	req, err := http.NewRequestWithContext(h.ctx, http.MethodPost, "http://"+assignment.Address+"/kv/prefill", bytes.NewReader(h.body))
	if err != nil {
		return transfer, err
	}
	req.Header.Set(chatter.RequestIDHeader, string(h.id))
	resp, err := s.NoKeepAliveHTTP.Do(req)
	if err != nil {
		return transfer, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return transfer, fmt.Errorf("%w: status %d", ErrTargetStatus, resp.StatusCode)
	}
	return transfer, json.NewDecoder(io.LimitReader(resp.Body, maximumReplayBytes)).Decode(&transfer)
}

// assertNoCallerKey asserts that the caller's key is not sent to a target.
func assertNoCallerKey(req *http.Request) {
	asserter.That(req.Header.Get("Authorization") == "", asserter.KeyStaysHere, "request to %s", req.URL.Host)
}

func writeData(w io.Writer, data []byte) {
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func flush(w http.ResponseWriter) {
	http.NewResponseController(w).Flush()
}
