package relayer

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
	"github.com/coltsfootscale/coltsfootscale/internal/router"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// chat is a chat completion in progress. Engines are always asked for a stream, so that any answer can be resumed
// at its token offset, even if the caller did not ask for a stream.
type chat struct {
	*call
	request        chatter.Request
	body           []byte
	parts          []uint64
	promptTokens   identifier.Tokens
	uncachedTokens identifier.Tokens
	// delivered is the number of answer tokens received in order so far, and relayed if the caller asked for a stream.
	delivered       int64
	text            strings.Builder
	usage           *chatter.Usage
	headerWritten   bool
	accountedTokens int64
	accountedAt     time.Time
	tried           map[identifier.TargetID]bool
	startedAt       time.Time
	observation
}

// observation holds the plan of the current attempt, the time of its last token, and the token counts that are not yet
// passed to the tracker.
type observation struct {
	plan        tracker.Plan
	lastTokenAt time.Time
	tokens      int64
	lateTokens  int64
}

// Chat serves a chat completions request.
func (s *Relayer) Chat(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r)
	body, refusal := s.receive(c, false, func(*call) *refuser.Refusal { return nil })
	if refusal != nil {
		s.refuse(c, refusal)
		return
	}
	ctx, cancel := s.requestContext(r)
	defer cancel()
	c.ctx = ctx
	h, refusal := s.newChat(c, body)
	if refusal != nil {
		s.refuse(c, refusal)
		return
	}
	s.serveChat(h)
}

func (s *Relayer) newChat(c *call, body []byte) (*chat, *refuser.Refusal) {
	request, err := chatter.ParseRequest(body)
	if err != nil {
		return nil, &refuser.Refusal{Status: http.StatusBadRequest, Code: refuser.CodeMalformed, Run: refuser.NotRun, Message: err.Error()}
	}
	if !c.view.HasModel(identifier.ModelID(request.Model)) {
		return nil, &refuser.Refusal{Status: http.StatusNotFound, Code: refuser.CodeUnknownModel, Run: refuser.NotRun, Message: "no engine serves model " + request.Model}
	}
	return &chat{
		call:         c,
		request:      request,
		body:         rewriteBody(body, c.view.Priority(c.team)),
		parts:        request.PartHashes(),
		promptTokens: identifier.Tokens(request.PromptTokens()),
		tried:        map[identifier.TargetID]bool{},
		startedAt:    time.Now(),
	}, nil
}

// rewriteBody sets stream and priority in the request body and keeps all other fields of the caller.
func rewriteBody(body []byte, priority int64) []byte {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return body
	}
	fields["stream"] = json.RawMessage("true")
	fields["priority"], _ = json.Marshal(priority)
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}

// serveChat sends the request to one target after another until an answer is complete or no retry is allowed.
func (s *Relayer) serveChat(h *chat) {
	s.Budget.AddRequest()
	for attempt := 1; ; attempt++ {
		plan, refusal := s.route(h, attempt)
		if refusal != nil {
			s.abort(h, refusal)
			return
		}
		err := s.attempt(h, plan)
		if h.r.Context().Err() != nil {
			s.Tracker.Finish(plan.Answer, false)
			s.recordDisconnect(h)
			return
		}
		s.Tracker.Finish(plan.Answer, err != nil)
		if err == nil {
			s.finish(h)
			return
		}
		h.tried[plan.Answer.ID] = true
		s.Metrics.Counter("Retries").Inc(1)
		h.logger.Info("Retry", zap.String("Target", string(plan.Answer.ID)), zap.Int64("Delivered", h.delivered), zap.Error(err))
		if refusal := s.retryRefusal(h, attempt); refusal != nil {
			s.abort(h, refusal)
			return
		}
	}
}

// retryRefusal returns the refusal if a failed request may not be retried; otherwise it takes a retry from the budget
// and returns nil.
func (s *Relayer) retryRefusal(h *chat, attempt int) *refuser.Refusal {
	refusal := &refuser.Refusal{Status: http.StatusBadGateway, Code: refuser.CodeTargetFailed, Run: refuser.Unknown, RetryAfter: shortRetryAfter}
	switch {
	case h.ctx.Err() != nil:
		refusal.Status, refusal.Code = http.StatusGatewayTimeout, refuser.CodeTimeout
		refusal.Message = "the answer took longer than RequestMilliseconds allows"
	case attempt >= maximumAttempts:
		refusal.Message = "several targets failed"
	case !s.Budget.TakeRetry():
		refusal.Message = "a target failed and the retry budget is spent"
	default:
		return nil
	}
	return refusal
}

// route plans an attempt and, if it is the first, decides on admission.
func (s *Relayer) route(h *chat, attempt int) (tracker.Plan, *refuser.Refusal) {
	req := router.Request{
		Zone:         s.Zone,
		PromptTokens: h.promptTokens + identifier.Tokens(h.delivered),
		Parts:        h.parts,
		Random:       xxhash.Sum64String(string(h.id)) + uint64(attempt),
		Allowed:      func(id identifier.TargetID) bool { return h.view.MayUse(h.team, id) },
		Excluded:     func(id identifier.TargetID) bool { return h.tried[id] },
	}
	var candidates []candidateLogEntry
	onScore := func(id identifier.TargetID, score router.Score) {
		candidates = append(candidates, candidateLogEntry{ID: id, PredictedMilliseconds: score.Predicted.Milliseconds(), CachedTokens: score.Cached})
	}
	name := tracker.ModelGroup(identifier.ModelID(h.request.Model))
	plan, ok := s.Tracker.Plan(name, req, onScore)
	if !ok && len(h.tried) > 0 {
		// Every usable target has failed once: allow all again, as a target that failed may still resume the stream.
		clear(h.tried)
		plan, ok = s.Tracker.Plan(name, req, onScore)
	}
	if !ok {
		return plan, &refuser.Refusal{
			Status: http.StatusServiceUnavailable, Code: refuser.CodeNoTarget, Run: runBefore(attempt),
			Message: "no target can serve the request now", RetryAfter: shortRetryAfter,
		}
	}
	if attempt == 1 {
		h.uncachedTokens = h.promptTokens - plan.Cached
		if refusal := s.admit(h, plan); refusal != nil {
			s.Tracker.Release(plan)
			return plan, refusal
		}
	}
	h.logger.Info("Route",
		zap.String("Model", h.request.Model),
		zap.Int("Attempt", attempt),
		zap.Int64("PromptTokens", int64(h.promptTokens)),
		zap.Int64("ResumeAt", h.delivered),
		zap.Any("Candidates", candidates),
		zap.String("Chosen", string(plan.Answer.ID)),
		zap.String("PrefillAt", string(plan.Prefill.ID)),
		zap.String("Reason", "LowestPredictedFirstToken"))
	return plan, nil
}

// candidateLogEntry is a candidate in the log message Route; the field names are part of the log format.
type candidateLogEntry struct {
	ID                    identifier.TargetID
	PredictedMilliseconds int64
	CachedTokens          identifier.Tokens
}

// runBefore returns whether the request may have run before the given attempt.
func runBefore(attempt int) refuser.Run {
	if attempt == 1 {
		return refuser.NotRun
	}
	return refuser.Unknown
}

// admit decides on admission and returns the refusal, or nil if the request is admitted.
func (s *Relayer) admit(h *chat, plan tracker.Plan) *refuser.Refusal {
	rate, share := s.Share(h.team, identifier.ModelID(h.request.Model))
	decision := limiter.Admit(limiter.AdmissionInput{
		Predicted: plan.Predicted,
		LateShare: plan.LateShare,
		Promised:  time.Duration(h.view.Promise().GetFirstTokenMilliseconds()) * time.Millisecond,
		TeamRate:  rate,
		TeamShare: share,
	})
	if decision.Admitted {
		return nil
	}
	s.Meter.AddRefused(identifier.ModelID(h.request.Model), h.uncachedTokens)
	code := refuser.CodeOverloaded
	if decision.Reason == "OverShare" {
		code = refuser.CodeOverShare
	}
	return &refuser.Refusal{
		Status: http.StatusTooManyRequests, Code: code, Run: refuser.NotRun,
		Message: "the promised latency cannot be met now: " + decision.Reason, RetryAfter: decision.RetryAfter,
	}
}

// abort ends a request with an error response or, if the response has already started, with an error event and an
// aborted connection.
func (s *Relayer) abort(h *chat, refusal *refuser.Refusal) {
	if !h.headerWritten {
		s.refuse(h.call, refusal)
		s.account(h, 0)
		return
	}
	h.logger.Info("Refuse", zap.String("Code", string(refusal.Code)), zap.Int64("Delivered", h.delivered))
	s.accountInterrupted(h)
	writeData(h.w, refusal.Event())
	flush(h.w)
	panic(http.ErrAbortHandler)
}

// recordDisconnect accounts a request whose caller has closed the connection.
func (s *Relayer) recordDisconnect(h *chat) {
	h.logger.Info("Cut", zap.Int64("Delivered", h.delivered))
	s.accountInterrupted(h)
}

// accountInterrupted accounts an answer that was not completed.
func (s *Relayer) accountInterrupted(h *chat) {
	s.Ledger.Add(&recorder.TeamUsage{Team: string(h.team), Cut: 1})
	s.account(h, 0)
}

// finish accounts the answer before it sends the last bytes, so that no completed answer is missing from the usage.
func (s *Relayer) finish(h *chat) {
	s.account(h, 1)
	s.Meter.RecordAnswerLength(identifier.ModelID(h.request.Model), identifier.Tokens(h.delivered))
	s.syncUsage(h.ctx)
	if h.request.Stream {
		chatter.WriteDone(h.w)
		flush(h.w)
	} else {
		h.w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(h.w).Encode(chatter.NewCompletion(string(h.id), h.request.Model, h.text.String(), int64(h.promptTokens), h.delivered))
	}
	s.Metrics.Counter("Answers").Inc(1)
	s.Metrics.Counter("OutputTokens").Inc(h.delivered)
	s.Metrics.Timer("AnswerTime").Record(time.Since(h.startedAt))
	h.logger.Info("Finish", zap.Int64("OutputTokens", h.delivered), zap.Duration("Took", time.Since(h.startedAt)))
}

// account adds the usage since the last call: the prompt once the first token is delivered, and the new output tokens.
func (s *Relayer) account(h *chat, finished int64) {
	u := &recorder.TeamUsage{Team: string(h.team), Requests: finished, OutputTokens: h.delivered - h.accountedTokens}
	if h.accountedTokens == 0 && h.delivered > 0 {
		u.PromptTokens = int64(h.promptTokens)
	}
	rateKey := limiter.RateKey{Team: h.team, Model: identifier.ModelID(h.request.Model)}
	prefillTokens := identifier.Tokens(0)
	if u.PromptTokens > 0 {
		prefillTokens = h.uncachedTokens
	}
	s.Meter.Add(rateKey, prefillTokens, identifier.Tokens(u.OutputTokens))
	s.Ledger.Add(u)
	h.accountedTokens = h.delivered
	h.accountedAt = time.Now()
	if h.plan.Answer.ID != "" {
		s.Tracker.Tokens(h.plan.Answer, h.lateTokens, h.tokens)
		h.lateTokens, h.tokens = 0, 0
	}
}

// withStallTimeout returns a context that is canceled after the duration first unless the returned function is called
// before; each call restarts the timer with the given duration.
func withStallTimeout(ctx context.Context, first time.Duration) (context.Context, func(next time.Duration), context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(first, cancel)
	stop := func() {
		timer.Stop()
		cancel()
	}
	return ctx, func(next time.Duration) { timer.Reset(next) }, stop
}
