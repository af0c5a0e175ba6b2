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
	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
	"github.com/coltsfootscale/coltsfootscale/internal/retrier"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Journal decides which instance may send a request that must not run twice.
type Journal interface {
	// Ready reports whether dispatches can be recorded now.
	Ready() bool
	// Entry returns the entry of a key, or nil.
	Entry(key string) *recorder.JournalEntry
	// Commit appends a record and returns once it has been read back.
	Commit(ctx context.Context, r *recorder.Record) error
	// NewRecord returns a record of this writer with a new ID.
	NewRecord() *recorder.Record
}

// Relayer serves callers' requests. All exported fields must be set. NoKeepAliveHTTP reuses no connection: the transport
// may resend a request when a reused connection breaks, and a late response to an earlier request may arrive on it.
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

// call is a request of a caller.
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

// newCall assigns a request its ID and a logger with that ID.
func (s *Relayer) newCall(w http.ResponseWriter, r *http.Request) *call {
	id := identifier.RequestID(uuid.NewString())
	w.Header().Set("X-Request-Id", string(id))
	return &call{id: id, w: w, r: r, logger: s.Logger.With(zap.String("RequestID", string(id)))}
}

// receive authenticates the caller and reads the body, or returns why the request is refused. It authenticates again
// after reading the body, because the key may have been withdrawn in the meantime.
func (s *Relayer) receive(c *call, open bool, check func(*call) *refuser.Refusal) ([]byte, *refuser.Refusal) {
	if refusal := s.authenticate(c, open); refusal != nil {
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
	return body, s.authenticate(c, open)
}

// authenticate sets the view and the team whose key the request carries; open routes need no key.
func (s *Relayer) authenticate(c *call, open bool) *refuser.Refusal {
	// Load the view after the check, so that it is at least as new as the one that the check relied on.
	serving := s.Serving()
	c.view = s.View()
	if !serving {
		return &refuser.Refusal{
			Status: http.StatusServiceUnavailable, Code: refuser.CodeNotServing, Run: refuser.NotRun,
			Message: "this instance cannot tell whether its configuration is current", RetryAfter: shortRetryAfter,
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

func unauthorized(message string) *refuser.Refusal {
	return &refuser.Refusal{Status: http.StatusUnauthorized, Code: refuser.CodeUnauthorized, Run: refuser.NotRun, Message: message}
}

// refuse writes a refusal to the caller and counts it.
func (s *Relayer) refuse(c *call, refusal *refuser.Refusal) {
	asserter.That(refusal.Run != refuser.NotRun || !c.sent.Load(), asserter.NotRunIsTrue, "request %s: %s", c.id, refusal.Code)
	s.Metrics.Tagged(map[string]string{"Code": string(refusal.Code)}).Counter("Refusals").Inc(1)
	c.logger.Info("Refuse",
		zap.String("Code", string(refusal.Code)),
		zap.String("Run", string(refusal.Run)),
		zap.Duration("Return", refusal.RetryAfter),
		zap.String("Reason", refusal.Message))
	if c.team != "" {
		s.Ledger.Add(&recorder.TeamUsage{Team: string(c.team), Refused: 1})
	}
	refusal.Write(c.w)
}

// Drain waits until the result records of all calls are committed or have failed.
func (s *Relayer) Drain() { s.records.Wait() }

// syncUsage waits up to usageSyncTimeout until a peer has a copy of the usage of a finished answer.
func (s *Relayer) syncUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, usageSyncTimeout)
	defer cancel()
	if err := s.Ledger.Sync(ctx); err != nil {
		s.Metrics.Counter("UsageNotMirrored").Inc(1)
	}
}

// requestContext returns the context of a request, limited by the request timeout.
func (s *Relayer) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	return context.WithTimeout(r.Context(), s.Limits.RequestTimeout)
}
