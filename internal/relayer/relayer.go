package relayer

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/accounter"
	"github.com/coltsfootscale/coltsfootscale/internal/answerer"
	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/retrier"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Journal decides who may send a request that must not run twice.
type Journal interface {
	// Ready reports whether dispatches can be recorded now.
	Ready() bool
	// Entry returns what is known of a key, or nil.
	Entry(key string) *recorder.JournalEntry
	// Commit appends a record and returns once it was read back.
	Commit(ctx context.Context, r *recorder.Record) error
	// NewRecord returns a record of this writer under a fresh id.
	NewRecord() *recorder.Record
}

// Relayer serves callers' requests; all exported fields must be set.
type Relayer struct {
	Zone            identifier.ZoneID
	Limits          parser.Limits
	Tracker         *tracker.Tracker
	Ledger          *accounter.Ledger
	Meter           *limiter.Meter
	Budget          *retrier.Budget
	Journal         Journal
	Logger          *zap.Logger
	Metrics         tally.Scope
	HTTP            *http.Client
	NoKeepAliveHTTP *http.Client
	View            func() *configurator.View
	Serving         func() bool
	Share           func(team identifier.TeamID, model identifier.ModelID) (rate, share float64)
	inFlight        inFlightKeys
	records         sync.WaitGroup
}

// call is one request of a caller.
type call struct {
	id     identifier.RequestID
	team   identifier.TeamID
	view   *configurator.View
	ctx    context.Context
	w      http.ResponseWriter
	r      *http.Request
	logger *zap.Logger
	// sent is set before any part of the request can reach a target.
	sent atomic.Bool
}

// newCall names a request and gives it a logger.
func (s *Relayer) newCall(w http.ResponseWriter, r *http.Request) *call {
	id := identifier.RequestID(uuid.NewString())
	w.Header().Set("X-Request-Id", string(id))
	return &call{id: id, w: w, r: r, logger: s.Logger.With(zap.String("RequestID", string(id)))}
}

// receive identifies the caller and reads the body, or returns why the request is refused. The caller is
// identified again after the body, because the key may have been withdrawn while it came in.
func (s *Relayer) receive(c *call, open bool, check func(*call) *answerer.Refusal) ([]byte, *answerer.Refusal) {
	if refusal := s.identify(c, open); refusal != nil {
		return nil, refusal
	}
	c.logger = c.logger.With(zap.String("Team", string(c.team)))
	if refusal := check(c); refusal != nil {
		return nil, refusal
	}
	body, refusal := s.readBody(c.w, c.r)
	if refusal != nil {
		return nil, refusal
	}
	return body, s.identify(c, open)
}

// identify finds the team whose key came with the request; routes open to all need no key.
func (s *Relayer) identify(c *call, open bool) *answerer.Refusal {
	// The view is taken after the check, so that it is at least as new as the check needs.
	serving := s.Serving()
	c.view = s.View()
	if !serving {
		return &answerer.Refusal{
			Status: http.StatusServiceUnavailable, Code: answerer.CodeNotServing, Run: answerer.NotRun,
			Message: "this instance cannot tell whether its configuration is current", Return: shortReturn,
		}
	}
	if open {
		return nil
	}
	key, ok := strings.CutPrefix(c.r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return unauthorized("the Authorization header holds no bearer key")
	}
	if c.team, ok = c.view.Team(identifier.HashKey(key)); !ok {
		return unauthorized("the key is not granted")
	}
	return nil
}

func unauthorized(message string) *answerer.Refusal {
	return &answerer.Refusal{Status: http.StatusUnauthorized, Code: answerer.CodeUnauthorized, Run: answerer.NotRun, Message: message}
}

// refuse writes a final answer and counts it.
func (s *Relayer) refuse(c *call, refusal *answerer.Refusal) {
	asserter.That(refusal.Run != answerer.NotRun || !c.sent.Load(), asserter.NotRunIsTrue, "request %s: %s", c.id, refusal.Code)
	s.Metrics.Tagged(map[string]string{"Code": string(refusal.Code)}).Counter("Refusals").Inc(1)
	c.logger.Info("Refuse",
		zap.String("Code", string(refusal.Code)),
		zap.String("Run", string(refusal.Run)),
		zap.Duration("Return", refusal.Return),
		zap.String("Reason", refusal.Message))
	if c.team != "" {
		s.Ledger.Add(&recorder.TeamUsage{Team: string(c.team), Refused: 1})
	}
	refusal.Write(c.w)
}

// Drain waits until the results of all calls are recorded or given up.
func (s *Relayer) Drain() { s.records.Wait() }

// settle waits briefly until a peer holds the usage of a finished answer.
func (s *Relayer) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if err := s.Ledger.Sync(ctx); err != nil {
		s.Metrics.Counter("UsageNotMirrored").Inc(1)
	}
}

func (s *Relayer) deadline(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), s.Limits.RequestTimeout)
}
