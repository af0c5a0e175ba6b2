package forwarder

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Path of a request:
//
//	admit: route, team, deadline --> servePlain: one target, retried if the kind of the route allows it
//	                             \-> serveStream: prefill on a prompt target, then relay of the answer target's events
//
// Each path ends with a target's response, or with a refusal that says whether the request may have run.

const (
	// repeatableMaximumIdle is the maximum idle time of a reused connection for requests that may be repeated.
	repeatableMaximumIdle = 10 * time.Second
	// unrepeatableMaximumIdle is the same for requests that run at most once: a target is unlikely to have closed a
	// connection that was in use this recently.
	unrepeatableMaximumIdle = 300 * time.Millisecond
	// defaultRetryAfter is the retry delay of a refused client, unless a target is expected at a known time.
	defaultRetryAfter = 150 * time.Millisecond
	// retryAfterJitter spreads the retries of clients that wait for the same target.
	retryAfterJitter = 300 * time.Millisecond
	// staleConfigurationAge is the configuration age beyond which an unknown route or key may be a new one.
	staleConfigurationAge = 1500 * time.Millisecond
	// plainServiceTime is the usual duration of a call to a plain target.
	plainServiceTime = 20 * time.Millisecond
	// minimumConnections is the number of connections to a target that each instance may open, however small its share.
	minimumConnections = 4
	// minimumRemaining is the least time before the deadline at which a retry is still worthwhile.
	minimumRemaining = 5 * time.Millisecond
)

// Budget limits attempts beyond the first of a request.
type Budget interface {
	AddRequest(service identifier.ServiceID)
	TakeRetry(service identifier.ServiceID) bool
}

// Forwarder handles client requests; all fields must be set.
type Forwarder struct {
	Zone         identifier.ZoneID
	Table        func() *matcher.Table
	TableAge     func() time.Duration
	Targets      func(service identifier.ServiceID, now time.Time) []*registrar.Target
	TargetStates *chooser.TargetStates
	Chooser      *chooser.Chooser
	Backend      Backend
	Budget       Budget
	// Instances returns how many instances share the targets' connections, including this one.
	Instances func() int
	// Expected returns the time until a target that is changing to a stage is expected there, or false if there is none.
	Expected func(service identifier.ServiceID, stage registrar.Stage, now time.Time) (time.Duration, bool)
	// MaximumJitter returns the maximum of the jitter: by how much the predictions of two instances may differ.
	MaximumJitter func() time.Duration
	// RecordDemand records the prompt tokens that a request needs prefilled.
	RecordDemand func(service identifier.ServiceID, tokens identifier.Tokens, now time.Time)
	// CountRequest counts a request that a target has started to run, or may have.
	CountRequest func(team identifier.TeamID)
	Logger       *zap.Logger
	Metrics      tally.Scope
}

// job is the state of one request.
type job struct {
	f        *Forwarder
	w        http.ResponseWriter
	call     *Call
	route    *matcher.Route
	team     *matcher.Team
	service  identifier.ServiceID
	deadline time.Time
	start    time.Time
	attempts int
	prefills int
	// unusedCache is the handle of a prefilled prompt that no target has fetched yet.
	unusedCache *KVHandle
	// prefillFailed is set after a failed prefill.
	prefillFailed bool
	failedTargets []identifier.TargetID
	// started is set once a target has started to run the request, or may have.
	started bool
	// headerSent is set once the response header has been sent to the client.
	headerSent bool
	trace      trace
	// status is the status of the target's response.
	status int
}

// trace holds the choices and times of a request for the log.
type trace struct {
	promptTarget identifier.TargetID
	answerTarget identifier.TargetID
	predicted    time.Duration
	uncached     identifier.Tokens
	prefillTook  time.Duration
	firstEvent   time.Duration
}

// Serve handles a call and writes the answer to w.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	j := &job{f: f, w: w, call: call, start: time.Now()}
	refusal := j.admit()
	if refusal == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, j.deadline)
		defer cancel()
		if j.route.Kind == matcher.Stream {
			refusal = j.serveStream(ctx)
		} else {
			refusal = j.servePlain(ctx)
		}
	}
	j.finish(ctx, refusal)
}

// finish writes the refusal, if any, and logs the outcome.
func (j *job) finish(ctx context.Context, refusal *Refusal) {
	j.f.Metrics.Counter("Requests").Inc(1)
	if refusal == nil {
		j.logServed()
		return
	}
	// The client has left. Its connection is closed so that a partial response cannot look complete.
	if errors.Is(context.Cause(ctx), context.Canceled) {
		j.logRefusal("client left", refusal)
		panic(http.ErrAbortHandler)
	}
	asserter.That(!refusal.impliesNotRun() || !j.started, asserter.NotRunIsTrue,
		"request %s: %s", j.call.ID, refusal.Reason)
	j.f.Metrics.Tagged(map[string]string{"Reason": refusal.Reason}).Counter("Refusals").Inc(1)
	j.logRefusal("request refused", refusal)
	if j.headerSent {
		panic(http.ErrAbortHandler)
	}
	refusal.writeTo(j.w)
}

// logServed logs which targets served a request and the prediction behind the choice.
func (j *job) logServed() {
	j.f.Logger.Info("request served",
		zap.String("RequestID", string(j.call.ID)), zap.String("Route", string(j.route.ID)), zap.Duration("After", time.Since(j.start)),
		zap.String("PromptTarget", string(j.trace.promptTarget)), zap.Duration("Predicted", j.trace.predicted),
		zap.Int64("FreshTokens", int64(j.trace.uncached)), zap.Duration("PromptTook", j.trace.prefillTook),
		zap.String("AnswerTarget", string(j.trace.answerTarget)), zap.Duration("FirstEvent", j.trace.firstEvent),
		zap.Int("Status", j.status), zap.Int("Sends", j.attempts))
}

func (j *job) logRefusal(message string, r *Refusal) {
	route := identifier.RouteID("")
	if j.route != nil {
		route = j.route.ID
	}
	j.f.Logger.Info(message,
		zap.String("RequestID", string(j.call.ID)), zap.String("Route", string(route)),
		zap.String("Reason", r.Reason), zap.Int("Status", r.Status), zap.Duration("After", time.Since(j.start)),
		zap.Int("Sends", j.attempts), zap.Duration("Deadline", j.call.Deadline), zap.Error(r.Err))
}

// admit determines the route, team and deadline of a request.
func (j *job) admit() *Refusal {
	table := j.f.Table()
	if table == nil {
		return refuseNotRun("NoConfiguration", defaultRetryAfter, nil)
	}
	j.route = table.Route(j.call.Host, j.call.Path)
	if j.route == nil {
		return j.refuseUnknown(http.StatusNotFound, "UnknownRoute")
	}
	if table.RequiresKey() && !j.route.Public {
		if j.team = table.Team(j.call.Key); j.team == nil {
			return j.refuseUnknown(http.StatusUnauthorized, "UnknownKey")
		}
	}
	j.deadline = j.start.Add(j.route.Timeout)
	if d := j.start.Add(j.call.Deadline); j.call.Deadline > 0 && d.Before(j.deadline) {
		j.deadline = d
	}
	j.service = j.route.PickService(rand.Float64())
	j.f.Budget.AddRequest(j.service)
	return nil
}

// refuseUnknown refuses a request whose route or key is not in the configuration. If the configuration is stale, a newer
// one may have it, and the client is asked to retry.
func (j *job) refuseUnknown(status int, reason string) *Refusal {
	if j.f.TableAge() > staleConfigurationAge {
		return refuseNotRun(reason+"Yet", defaultRetryAfter, nil)
	}
	return &Refusal{Status: status, Reason: reason}
}

func (j *job) teamID() identifier.TeamID {
	if j.team == nil {
		return ""
	}
	return j.team.ID
}

// attempt describes an attempt on a target; a stream resumes after lastEvent.
func (j *job) attempt(t *registrar.Target, source *KVHandle, lastEvent string) *Attempt {
	maximumIdle := unrepeatableMaximumIdle
	if j.route.Repeatable() {
		maximumIdle = repeatableMaximumIdle
	}
	return &Attempt{
		Target: t, Team: j.teamID(), Remaining: time.Until(j.deadline), EffectivePriority: matcher.EffectivePriority(j.route, j.team),
		Source: source, LastEvent: lastEvent, MaximumIdle: maximumIdle, Connections: j.connectionShare(),
	}
}

// connectionShare returns this instance's share of a target's connection limit; zero means no limit.
func (j *job) connectionShare() int {
	s := j.f.Table().Service(j.service)
	if s == nil || s.ConnectionLimit <= 0 {
		return 0
	}
	return max(minimumConnections, s.ConnectionLimit/max(1, j.f.Instances()))
}

// candidates returns the targets of the given stages that have not failed in this request.
func (j *job) candidates(parts []chooser.Part, stages ...registrar.Stage) []chooser.Candidate {
	targets := j.f.Targets(j.service, time.Now())
	targets = slices.DeleteFunc(targets, func(t *registrar.Target) bool {
		return !slices.Contains(stages, t.Stage) || slices.Contains(j.failedTargets, t.ID)
	})
	return j.f.TargetStates.Candidates(targets, parts, time.Now())
}

// chooseAnswerTarget chooses the answer target among the targets of the decode stage and those without a stage.
func (j *job) chooseAnswerTarget() (chooser.Choice, bool) {
	list := j.candidates(nil, registrar.Answers, registrar.AnyStage)
	if j.route.HasPrompts {
		return j.f.Chooser.Answer(j.f.Zone, j.jitter(), list)
	}
	return j.f.Chooser.Plain(j.f.Zone, plainServiceTime, list)
}

// takeRetry reports whether another attempt is allowed and, if so, takes it from the retry budget.
func (j *job) takeRetry() bool {
	return j.call.Body.Whole() && j.attempts < j.route.Attempts &&
		time.Until(j.deadline) > minimumRemaining && j.f.Budget.TakeRetry(j.service)
}

// markStarted counts the request as started and records the time; only the first call has an effect.
func (j *job) markStarted() {
	if !j.started {
		j.started = true
		j.trace.firstEvent = time.Since(j.start)
		j.f.Metrics.Timer("FirstEvent").Record(j.trace.firstEvent)
		j.f.CountRequest(j.teamID())
	}
}

// Refusal is a final answer that comes from this instance, not from a target.
type Refusal struct {
	Status int
	Reason string
	// RetryAfter is the time after which the client may retry; zero sends no Retry-After header.
	RetryAfter time.Duration
	Err        error
}

// refuseNotRun refuses a request that has not run and never will.
func refuseNotRun(reason string, retryAfter time.Duration, err error) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: retryAfter, Err: err}
}

// refuseOutcomeUnknown fails a request that may have run.
func refuseOutcomeUnknown(ctx context.Context, reason string, err error) *Refusal {
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status, reason = http.StatusGatewayTimeout, "Timeout"
	}
	return &Refusal{Status: status, Reason: reason, Err: err}
}

// impliesNotRun reports whether the status means to the client that the request has not run and never will.
func (r *Refusal) impliesNotRun() bool {
	return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}

func (r *Refusal) writeTo(w http.ResponseWriter) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(r.Status)
	if _, err := w.Write([]byte(r.Reason + "\n")); err != nil {
		return // The client has disconnected; this is logged where it is detected.
	}
}
