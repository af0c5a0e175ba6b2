package relayer

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/answerer"
	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/router"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// chat is a chat completion under way. Engines are always asked for a stream, so that an answer
// can be resumed at its token offset whether or not the caller asked for one.
type chat struct {
	*call
	request   chatter.Request
	body      []byte
	pieces    []uint64
	prompt    identifier.Tokens
	uncached  identifier.Tokens
	delivered int64
	text      strings.Builder
	usage     *chatter.Usage
	started   bool
	accounted int64
	countedAt time.Time
	tried     map[identifier.TargetID]bool
	began     time.Time
	attempted
}

// attempted is what is observed of the attempt under way.
type attempted struct {
	plan      tracker.Plan
	lastToken time.Time
	tokens    int64
	late      int64
}

// Chat serves a chat-completions request.
func (s *Relayer) Chat(w http.ResponseWriter, r *http.Request) {
	c := s.newCall(w, r)
	body, refusal := s.receive(c, false, func(*call) *answerer.Refusal { return nil })
	if refusal != nil {
		s.refuse(c, refusal)
		return
	}
	ctx, cancel := s.deadline(r)
	defer cancel()
	c.ctx = ctx
	h, refusal := s.newChat(c, body)
	if refusal != nil {
		s.refuse(c, refusal)
		return
	}
	s.serveChat(h)
}

func (s *Relayer) newChat(c *call, body []byte) (*chat, *answerer.Refusal) {
	request, err := chatter.ParseRequest(body)
	if err != nil {
		return nil, &answerer.Refusal{Status: http.StatusBadRequest, Code: answerer.CodeMalformed, Run: answerer.NotRun, Message: err.Error()}
	}
	if !c.view.HasModel(identifier.ModelID(request.Model)) {
		return nil, &answerer.Refusal{Status: http.StatusNotFound, Code: answerer.CodeUnknownModel, Run: answerer.NotRun, Message: "no engine serves model " + request.Model}
	}
	return &chat{
		call:    c,
		request: request,
		body:    rewrite(body, c.view.Priority(c.team)),
		pieces:  request.Pieces(),
		prompt:  identifier.Tokens(request.PromptTokens()),
		tried:   map[identifier.TargetID]bool{},
		began:   time.Now(),
	}, nil
}

// rewrite keeps the caller's fields and sets those that the system decides.
func rewrite(body []byte, priority int64) []byte {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return body
	}
	fields["stream"] = json.RawMessage("true")
	fields["priority"], _ = json.Marshal(priority)
	rewritten, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return rewritten
}

func (s *Relayer) serveChat(h *chat) {
	s.Budget.AddRequest()
	for attempt := 1; ; attempt++ {
		plan, refusal := s.route(h, attempt)
		if refusal != nil {
			s.giveUp(h, refusal)
			return
		}
		err := s.attempt(h, plan)
		if h.r.Context().Err() != nil {
			s.Tracker.Finish(plan.Answer, false)
			s.cut(h)
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
		if refusal := s.mayRetry(h, attempt); refusal != nil {
			s.giveUp(h, refusal)
			return
		}
	}
}

func (s *Relayer) mayRetry(h *chat, attempt int) *answerer.Refusal {
	refusal := &answerer.Refusal{Status: http.StatusBadGateway, Code: answerer.CodeTargetFailed, Run: answerer.Unknown, Return: shortReturn}
	switch {
	case h.ctx.Err() != nil:
		refusal.Status, refusal.Code = http.StatusGatewayTimeout, answerer.CodeTimeout
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

// route admits the request on its first attempt and picks a target for it.
func (s *Relayer) route(h *chat, attempt int) (tracker.Plan, *answerer.Refusal) {
	req := router.Request{
		Zone:         s.Zone,
		PromptTokens: h.prompt + identifier.Tokens(h.delivered),
		Parts:        h.pieces,
		Random:       xxhash.Sum64String(string(h.id)) + uint64(attempt),
		Allowed:      func(id identifier.TargetID) bool { return h.view.MayUse(h.team, id) },
		Excluded:     func(id identifier.TargetID) bool { return h.tried[id] },
	}
	var compared []candidateLog
	note := func(id identifier.TargetID, score router.Score) {
		compared = append(compared, candidateLog{ID: id, PredictedMilliseconds: score.Predicted.Milliseconds(), CachedTokens: score.Cached})
	}
	name := tracker.ModelGroup(identifier.ModelID(h.request.Model))
	plan, ok := s.Tracker.PlanCompletion(name, req, note)
	if !ok && len(h.tried) > 0 {
		// All usable targets failed once; one that failed may resume its own stream.
		clear(h.tried)
		plan, ok = s.Tracker.PlanCompletion(name, req, note)
	}
	if !ok {
		return plan, &answerer.Refusal{
			Status: http.StatusServiceUnavailable, Code: answerer.CodeNoTarget, Run: ranSoFar(attempt),
			Message: "no target can serve the request now", Return: shortReturn,
		}
	}
	if attempt == 1 {
		h.uncached = h.prompt - plan.Cached
		if refusal := s.admit(h, plan); refusal != nil {
			s.Tracker.Release(plan)
			return plan, refusal
		}
	}
	h.logger.Info("Route",
		zap.String("Model", h.request.Model),
		zap.Int("Attempt", attempt),
		zap.Int64("PromptTokens", int64(h.prompt)),
		zap.Int64("ResumeAt", h.delivered),
		zap.Any("Candidates", compared),
		zap.String("Chosen", string(plan.Answer.ID)),
		zap.String("PrefillAt", string(plan.Prefill.ID)),
		zap.String("Reason", "LowestPredictedFirstToken"))
	return plan, nil
}

type candidateLog struct {
	ID                    identifier.TargetID
	PredictedMilliseconds int64
	CachedTokens          identifier.Tokens
}

func ranSoFar(attempt int) answerer.Run {
	if attempt == 1 {
		return answerer.NotRun
	}
	return answerer.Unknown
}

func (s *Relayer) admit(h *chat, plan tracker.Plan) *answerer.Refusal {
	rate, share := s.Share(h.team, identifier.ModelID(h.request.Model))
	verdict := limiter.Admit(limiter.AdmissionInput{
		Predicted: plan.Predicted,
		LateShare: plan.Late,
		Promised:  time.Duration(h.view.Promise().GetFirstTokenMilliseconds()) * time.Millisecond,
		TeamRate:  rate,
		TeamShare: share,
	})
	if verdict.Admitted {
		return nil
	}
	s.Meter.AddRefused(identifier.ModelID(h.request.Model), h.uncached)
	code := answerer.CodeOverloaded
	if verdict.Reason == "OverShare" {
		code = answerer.CodeOverShare
	}
	return &answerer.Refusal{
		Status: http.StatusTooManyRequests, Code: code, Run: answerer.NotRun,
		Message: "the promised latency cannot be met now: " + verdict.Reason, Return: verdict.RetryAfter,
	}
}

// giveUp ends a request at once: by an error answer, or by an error event where the answer has begun.
func (s *Relayer) giveUp(h *chat, refusal *answerer.Refusal) {
	if !h.started {
		s.refuse(h.call, refusal)
		s.account(h, 0)
		return
	}
	h.logger.Info("Refuse", zap.String("Code", string(refusal.Code)), zap.Int64("Delivered", h.delivered))
	s.countCut(h)
	writeData(h.w, refusal.Event())
	flush(h.w)
	panic(http.ErrAbortHandler)
}

// cut accounts a request whose caller has gone.
func (s *Relayer) cut(h *chat) {
	h.logger.Info("Cut", zap.Int64("Delivered", h.delivered))
	s.countCut(h)
}

func (s *Relayer) countCut(h *chat) {
	s.Ledger.Add(&recorder.TeamUsage{Team: string(h.team), Cut: 1})
	s.account(h, 0)
}

// finish accounts the answer before its last bytes go out, so that no finished answer can be lost from the usage.
func (s *Relayer) finish(h *chat) {
	s.account(h, 1)
	s.Meter.RecordAnswerLength(identifier.ModelID(h.request.Model), identifier.Tokens(h.delivered))
	s.settle(h.ctx)
	if h.request.Stream {
		chatter.WriteDone(h.w)
		flush(h.w)
	} else {
		h.w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(h.w).Encode(chatter.NewCompletion(string(h.id), h.request.Model, h.text.String(), int64(h.prompt), h.delivered))
	}
	s.Metrics.Counter("Answers").Inc(1)
	s.Metrics.Counter("OutputTokens").Inc(h.delivered)
	s.Metrics.Timer("AnswerTime").Record(time.Since(h.began))
	h.logger.Info("Finish", zap.Int64("OutputTokens", h.delivered), zap.Duration("Took", time.Since(h.began)))
}

// account counts what was not counted before: the prompt with the first token, and the output so far.
func (s *Relayer) account(h *chat, finished int64) {
	u := &recorder.TeamUsage{Team: string(h.team), Requests: finished, OutputTokens: h.delivered - h.accounted}
	if h.accounted == 0 && h.delivered > 0 {
		u.PromptTokens = int64(h.prompt)
	}
	subject := limiter.RateKey{Team: h.team, Model: identifier.ModelID(h.request.Model)}
	computed := identifier.Tokens(0)
	if u.PromptTokens > 0 {
		computed = h.uncached
	}
	s.Meter.Add(subject, computed, identifier.Tokens(u.OutputTokens))
	s.Ledger.Add(u)
	h.accounted = h.delivered
	h.countedAt = time.Now()
	if h.plan.Answer.ID != "" {
		s.Tracker.ObserveTokens(h.plan.Answer, h.late, h.tokens)
		h.late, h.tokens = 0, 0
	}
}

// withStall returns a context that is cancelled when the returned function was not called for long enough.
func withStall(ctx context.Context, first time.Duration) (context.Context, func(next time.Duration), context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(first, cancel)
	stop := func() {
		timer.Stop()
		cancel()
	}
	return ctx, func(next time.Duration) { timer.Reset(next) }, stop
}
