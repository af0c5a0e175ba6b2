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

// The way of a request:
//
//	admit: route, team, deadline --> plain: one target, retried where the kind allows it
//	                             \-> streamed: prompt target computes, answer target generates, events go on as they come
//
// Each way ends with the target's own answer, or with a refusal that says whether the request may have run.

const (
	// keptFreshness is how old a kept connection may be for requests that may be repeated.
	keptFreshness = 10 * time.Second
	// onceFreshness is the same for requests that run at most once: a connection that was just used is not yet dropped.
	onceFreshness = 300 * time.Millisecond
	// comeBack is the least time that a refused client is asked to wait.
	comeBack = 150 * time.Millisecond
	// returnSpread is over how long those come back who wait for the same target.
	returnSpread = 300 * time.Millisecond
	// staleConfiguration is the age beyond which an unknown route or key may just be new.
	staleConfiguration = 1500 * time.Millisecond
	// plainWork is what a call to a plain target usually takes.
	plainWork = 20 * time.Millisecond
	// fewestConnections is what an instance may open to each target however many instances there are.
	fewestConnections = 4
	// minimumLeft is the least time that is worth a send.
	minimumLeft = 5 * time.Millisecond
)

// RetryBudget allows sends beyond the first of a request.
type RetryBudget interface {
	AddRequest(service identifier.ServiceID)
	TakeRetry(service identifier.ServiceID) bool
}

// Forwarder serves requests; all fields must be set.
type Forwarder struct {
	Zone     identifier.ZoneID
	Table    func() *matcher.Table
	TableAge func() time.Duration
	Targets  func(service identifier.ServiceID, now time.Time) []*registrar.Target
	States   *chooser.TargetStates
	Chooser  *chooser.Chooser
	Backend  Backend
	Budget   RetryBudget
	// Instances is how many instances share the targets' connections, this one with them.
	Instances func() int
	// Expected returns how soon a target of a stage is expected that is not there yet, or false if none is.
	Expected func(service identifier.ServiceID, stage registrar.Stage, now time.Time) (time.Duration, bool)
	// MaximumJitter is how far apart the predictions of two instances may be.
	MaximumJitter func() time.Duration
	// RecordDemand notes prompt tokens that a request would have computed.
	RecordDemand func(service identifier.ServiceID, tokens identifier.Tokens, now time.Time)
	// CountRequest counts a request that began to run now.
	CountRequest func(team identifier.TeamID)
	Logger       *zap.Logger
	Metrics      tally.Scope
}

// job is one request on its way.
type job struct {
	f      *Forwarder
	w      http.ResponseWriter
	call   *Call
	route  *matcher.Route
	team   *matcher.Team
	target identifier.ServiceID
	due    time.Time
	start  time.Time
	sends  int
	reads  int
	// kept is the handle of a prompt that was read and not yet used.
	kept *CacheHandle
	// promptsFailed tells that a prompt target was tried in vain.
	promptsFailed bool
	failed        []identifier.TargetID
	began         bool
	// wrote tells that the head of the answer went to the client.
	wrote bool
	trace trace
	// status is that of the target's answer.
	status int
}

// trace is what decided a request, for the log.
type trace struct {
	promptTarget identifier.TargetID
	answerTarget identifier.TargetID
	predicted    time.Duration
	fresh        identifier.Tokens
	promptTook   time.Duration
	firstEvent   time.Duration
}

// Serve answers a call.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	j := &job{f: f, w: w, call: call, start: time.Now()}
	refusal := j.admit()
	if refusal == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, j.due)
		defer cancel()
		if j.route.Kind == matcher.Stream {
			refusal = j.streamed(ctx)
		} else {
			refusal = j.plain(ctx)
		}
	}
	j.finish(ctx, refusal)
}

// finish sends a refusal, if there is one, and logs the outcome.
func (j *job) finish(ctx context.Context, refusal *Refusal) {
	j.f.Metrics.Counter("Requests").Inc(1)
	if refusal == nil {
		j.logServed()
		return
	}
	// A client that has left hears nothing; its connection is closed, so that no half answer looks whole.
	if errors.Is(context.Cause(ctx), context.Canceled) {
		j.log("client left", refusal)
		panic(http.ErrAbortHandler)
	}
	asserter.That(!refusal.promisesNotRun() || !j.began, asserter.NotRunIsTrue, "request %s: %s", j.call.ID, refusal.Reason)
	j.f.Metrics.Tagged(map[string]string{"Reason": refusal.Reason}).Counter("Refusals").Inc(1)
	j.log("request refused", refusal)
	if j.wrote {
		panic(http.ErrAbortHandler)
	}
	refusal.write(j.w)
}

// logServed tells which targets served a request, and by which prediction.
func (j *job) logServed() {
	j.f.Logger.Info("request served",
		zap.String("RequestID", string(j.call.ID)), zap.String("Route", string(j.route.ID)), zap.Duration("After", time.Since(j.start)),
		zap.String("PromptTarget", string(j.trace.promptTarget)), zap.Duration("Predicted", j.trace.predicted),
		zap.Int64("FreshTokens", int64(j.trace.fresh)), zap.Duration("PromptTook", j.trace.promptTook),
		zap.String("AnswerTarget", string(j.trace.answerTarget)), zap.Duration("FirstEvent", j.trace.firstEvent),
		zap.Int("Status", j.status), zap.Int("Sends", j.sends))
}

func (j *job) log(message string, r *Refusal) {
	route := identifier.RouteID("")
	if j.route != nil {
		route = j.route.ID
	}
	j.f.Logger.Info(message,
		zap.String("RequestID", string(j.call.ID)), zap.String("Route", string(route)),
		zap.String("Reason", r.Reason), zap.Int("Status", r.Status), zap.Duration("After", time.Since(j.start)),
		zap.Int("Sends", j.sends), zap.Duration("Deadline", j.call.Deadline), zap.Error(r.Err))
}

// admit finds route, team and deadline.
func (j *job) admit() *Refusal {
	table := j.f.Table()
	if table == nil {
		return notRun("NoConfiguration", comeBack, nil)
	}
	j.route = table.Route(j.call.Host, j.call.Path)
	if j.route == nil {
		return j.unknown(http.StatusNotFound, "UnknownRoute")
	}
	if table.RequiresKey() && !j.route.Public {
		if j.team = table.Team(j.call.Key); j.team == nil {
			return j.unknown(http.StatusUnauthorized, "UnknownKey")
		}
	}
	j.due = j.start.Add(j.route.Timeout)
	if d := j.start.Add(j.call.Deadline); j.call.Deadline > 0 && d.Before(j.due) {
		j.due = d
	}
	j.target = j.route.PickService(rand.Float64())
	j.f.Budget.AddRequest(j.target)
	return nil
}

// unknown refuses for good what the configuration does not hold, unless a newer one may hold it.
func (j *job) unknown(status int, reason string) *Refusal {
	if j.f.TableAge() > staleConfiguration {
		return notRun(reason+"Yet", comeBack, nil)
	}
	return &Refusal{Status: status, Reason: reason}
}

func (j *job) teamID() identifier.TeamID {
	if j.team == nil {
		return ""
	}
	return j.team.ID
}

// send describes a send to a target; events go on after lastEvent.
func (j *job) send(t *registrar.Target, source *CacheHandle, lastEvent string) *Attempt {
	freshness := onceFreshness
	if j.route.Repeatable() {
		freshness = keptFreshness
	}
	return &Attempt{
		Target: t, Team: j.teamID(), Remaining: time.Until(j.due), Rank: matcher.EffectivePriority(j.route, j.team),
		Source: source, LastEvent: lastEvent, Freshness: freshness, Connections: j.connections(),
	}
}

// connections is this instance's share of the connections that a target takes from all instances.
func (j *job) connections() int {
	s := j.f.Table().Service(j.target)
	if s == nil || s.ConnectionLimit <= 0 {
		return 0
	}
	return max(fewestConnections, s.ConnectionLimit/max(1, j.f.Instances()))
}

// candidates are the targets of the given stages that have not failed this request.
func (j *job) candidates(parts []chooser.Part, stages ...registrar.Stage) []chooser.Candidate {
	targets := j.f.Targets(j.target, time.Now())
	targets = slices.DeleteFunc(targets, func(t *registrar.Target) bool {
		return !slices.Contains(stages, t.Stage) || slices.Contains(j.failed, t.ID)
	})
	return j.f.States.Candidates(targets, parts, time.Now())
}

// answerTarget chooses the target that answers: one for answers, or any where targets have no stages.
func (j *job) answerTarget() (chooser.Choice, bool) {
	list := j.candidates(nil, registrar.DecodeStage, registrar.AnyStage)
	if j.route.HasPrompts {
		return j.f.Chooser.Answer(j.f.Zone, j.draw(), list)
	}
	return j.f.Chooser.Plain(j.f.Zone, plainWork, list)
}

// mayRepeat tells whether one more send is allowed, and takes it from the budget.
func (j *job) mayRepeat() bool {
	return j.call.Body.Whole() && j.sends < j.route.Attempts && time.Until(j.due) > minimumLeft && j.f.Budget.TakeRetry(j.target)
}

// begin counts the request as running, once.
func (j *job) begin() {
	if !j.began {
		j.began = true
		j.trace.firstEvent = time.Since(j.start)
		j.f.Metrics.Timer("FirstEvent").Record(j.trace.firstEvent)
		j.f.CountRequest(j.teamID())
	}
}

// Refusal is a final answer that is not a target's.
type Refusal struct {
	Status int
	Reason string
	// RetryAfter is when the client may come back; zero: not said.
	RetryAfter time.Duration
	Err        error
}

// notRun refuses a request that has not run and never will.
func notRun(reason string, back time.Duration, err error) *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: reason, RetryAfter: back, Err: err}
}

// open gives up a request that may have run.
func open(ctx context.Context, reason string, err error) *Refusal {
	status := http.StatusBadGateway
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status, reason = http.StatusGatewayTimeout, "Timeout"
	}
	return &Refusal{Status: status, Reason: reason, Err: err}
}

// promisesNotRun tells whether the status tells the client that the request has not run and never will.
func (r *Refusal) promisesNotRun() bool {
	return r.Status == http.StatusServiceUnavailable || r.Status == http.StatusTooManyRequests
}

func (r *Refusal) write(w http.ResponseWriter) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(r.Status)
	if _, err := w.Write([]byte(r.Reason + "\n")); err != nil {
		return // The client is gone; its leaving is logged where it is noticed.
	}
}
