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
	"golang.org/x/sync/singleflight"

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
	"github.com/coltsfootscale/coltsfootscale/internal/quarantiner"
	"github.com/coltsfootscale/coltsfootscale/internal/ratelimiter"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
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
	// defaultPlainServiceTime is the duration of a call to a plain target until it is measured, from the first customer's services.
	defaultPlainServiceTime = 20 * time.Millisecond
	// minimumConnections is the number of connections to a target that each instance may open, however small its share:
	// without one it could not use the target.
	minimumConnections = 1
	// minimumRemaining is the least time before the deadline at which a retry is still worthwhile.
	minimumRemaining = 5 * time.Millisecond
	// writeMargin is how long after the deadline of a request the end of its answer may be written.
	writeMargin = time.Second
)

// Budget limits attempts beyond the first of a request.
type Budget interface {
	AddRequest(service identifier.ServiceID)
	TakeRetry(service identifier.ServiceID) bool
}

// Quarantine knows the prompt parts and the requests under which targets crash.
type Quarantine interface {
	// DeniedRequest returns how much longer a request is denied, with all that are alike, or zero.
	DeniedRequest(digest identifier.RequestDigest, now time.Time) time.Duration
	// Denied returns how much longer requests with the given shared parts are denied, or zero.
	Denied(parts []identifier.PartID, now time.Time) time.Duration
	Crashed(c quarantiner.Crash)
	Completed(digest identifier.RequestDigest, parts []identifier.PartID, now time.Time)
}

// Forwarder handles client requests; all fields but those after Metrics must be set.
type Forwarder struct {
	Zone     identifier.ZoneID
	Table    func() *matcher.Table
	TableAge func() time.Duration
	Targets  func(service identifier.ServiceID, now time.Time) []*registrar.Target
	// Changing returns the targets of a service that are expected to change their stage; nil means that none are.
	Changing func(service identifier.ServiceID, now time.Time) map[identifier.TargetID]bool
	// Starting reports whether this instance has just started and lacks its first configuration or list of targets; nil means
	// that it does not.
	Starting     func() bool
	TargetStates *chooser.TargetStates
	Chooser      *chooser.Chooser
	Backend      Backend
	Budget       Budget
	Quarantine   Quarantine
	Pins         Pins
	Reach        Reach
	Handover     Handover
	// Peers returns the addresses of instances that reach more targets of a service than this one, of which the given number could
	// not be reached; those to try first come before the others.
	Peers func(service identifier.ServiceID, unreachable int) []string
	// CutOff reports whether this instance cannot reach most targets of a service; nil means that it can. OnPeerCutOff is called when a
	// peer has said that of itself.
	CutOff       func(service identifier.ServiceID) bool
	OnPeerCutOff func(service identifier.ServiceID, address string)
	// Overloaded reports whether this instance is too far behind its work to take requests of peers; nil means that it is not.
	Overloaded func() bool
	// Stopping reports whether this instance takes no requests any more; nil means that it does.
	Stopping func() bool
	// SoleBuild returns the only build of a service at which a stream on a path that a client goes on with can have begun, or false if
	// there were several, or other services, or it is not known.
	SoleBuild func(ctx context.Context, service identifier.ServiceID, host, path string) (identifier.Build, bool)
	// RecordDeadline records how long a client waits for a stream that it may take up; nil records nothing.
	RecordDeadline func(deadline time.Duration)
	// CoverStream returns once a restart of all instances would not make them forget how long a stream that begins now may go on, or after a
	// short time; nil returns at once.
	CoverStream func(ctx context.Context)
	// Instances returns how many instances may share the targets' connections, including this one, or zero if it is not known.
	Instances func() int
	// Expected returns the time until a target that is changing to a stage is expected there, or false if there is none.
	Expected func(service identifier.ServiceID, stage registrar.Stage, now time.Time) (time.Duration, bool)
	// MaximumJitter returns the maximum of the jitter: by how much the predictions of two instances may differ.
	MaximumJitter func() time.Duration
	// RecordDemand records the prompt tokens that a request needs prefilled.
	RecordDemand func(service identifier.ServiceID, tokens identifier.Tokens, now time.Time)
	// CountRequest counts a request that a target has started to run, or may have.
	CountRequest func(team identifier.TeamID)
	// Quotas is used for teams with a quota only.
	Quotas Quotas
	// Calibrator learns how long targets take; nil learns nothing.
	Calibrator Calibrator
	Logger     *zap.Logger
	Metrics    tally.Scope
	// Admission decides under overload which requests are sent; nil sends all. LoadAge returns the age of the loads that peers
	// reported, nil means none, and LiveInstances the number of instances that are live, including this one.
	Admission     Admission
	LoadAge       func(now time.Time) time.Duration
	LiveInstances func() int
	// ReadAhead bounds what all streams hold for slow clients.
	ReadAhead ReadAhead
	// Memory bounds what is buffered of the bodies of all responses; nil does not.
	Memory *reserver.Memory

	// reachability lets the requests that break at a target share one check of it.
	reachability singleflight.Group
	answers      answerDurations
}

// requestState is the state of one request that is being served.
type requestState struct {
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
	// refusedBy are those of failedTargets that have refused the request or failed to prefill its prompt.
	refusedBy []identifier.TargetID
	// started is set once a target has started to run the request, or may have.
	started bool
	// pin is where the stream began, once that is known; only targets of that build may generate its events.
	pin *pinner.Pin
	// unreachable counts the targets to which no connection could be opened; peersTried is set once the request was passed to
	// peers.
	unreachable int
	peersTried  bool
	// hidden is set once targets were left out because they cannot be reached from here.
	hidden bool
	// begun is set once the first event of this request is about to be sent.
	begun bool
	// headerSent is set once the response header has been sent to the client.
	headerSent bool
	logEntry   logEntry
	// permit is set if the request was counted against the quota of its team.
	permit *ratelimiter.Permit
	// judged is set once the request was judged for admission; meanPromptWait is the mean wait of its prompt targets. promptCandidates
	// and answerCandidates are those of the last choices.
	judged           bool
	meanPromptWait   time.Duration
	promptCandidates []chooser.Candidate
	answerCandidates []chooser.Candidate
	// prefilledAt is when the prompt was prefilled, until the first event.
	prefilledAt time.Time
	// memoryFull is set if the last choice found no answer target with memory for the request, which is expected after memoryWait.
	memoryFull bool
	memoryWait time.Duration
	// retryTaken is set if the next attempt, after one at a silent target, was taken from the retry budget already.
	retryTaken bool
	// requestDigest is zero until it is needed.
	requestDigest identifier.RequestDigest
	// status is the status of the target's response.
	status int
	// evidence is what a refusal that implies that the request has not run would rest on.
	evidence Evidence
}

// logEntry holds the choices and times of a request for the log.
type logEntry struct {
	promptTarget identifier.TargetID
	answerTarget identifier.TargetID
	// peer is the address of the peer that the request was passed to.
	peer        string
	build       identifier.Build
	predicted   time.Duration
	uncached    identifier.Tokens
	prefillTook time.Duration
	firstEvent  time.Duration
}

// Serve handles a call and writes the answer to w.
func (f *Forwarder) Serve(ctx context.Context, w http.ResponseWriter, call *Call) {
	rs := &requestState{f: f, w: w, call: call, start: time.Now(), attempts: call.AttemptsBefore, prefills: call.PrefillsBefore, unusedCache: call.Cache,
		failedTargets: slices.Clone(call.RefusedBy)}
	rs.awaitStart(ctx)
	refusal := rs.refuseStopping()
	if refusal == nil {
		refusal = rs.admit()
	}
	if refusal == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, rs.deadline)
		defer cancel()
		rs.limitWriting()
		if refusal = rs.refusePassedOn(); refusal == nil {
			refusal = rs.takeQuota(ctx)
		}
		switch {
		case refusal != nil:
		case rs.route.Kind == matcher.Stream:
			refusal = rs.serveStream(ctx)
		default:
			refusal = rs.servePlain(ctx)
		}
	}
	rs.finish(ctx, refusal)
}

// limitWriting ends writes that wait for a client which has stopped reading its answer.
func (rs *requestState) limitWriting() {
	if err := http.NewResponseController(rs.w).SetWriteDeadline(rs.deadline.Add(writeMargin)); err != nil {
		rs.f.Logger.Debug("cannot set write deadline of response", zap.Error(err))
	}
}

// finish writes the refusal, if any, and logs the outcome.
func (rs *requestState) finish(ctx context.Context, refusal *Refusal) {
	rs.f.Metrics.Counter("Requests").Inc(1)
	rs.returnQuota()
	if refusal == nil {
		rs.logServed()
		return
	}
	// The client has left. Its connection is closed so that a partial response cannot look complete.
	if errors.Is(context.Cause(ctx), context.Canceled) {
		rs.logRefusal("client left", refusal)
		panic(http.ErrAbortHandler)
	}
	asserter.That(!ImpliesNotRun(refusal.Status) || !rs.started, asserter.NotRunIsTrue,
		"request %s: %s", rs.call.ID, refusal.Reason)
	rs.f.Metrics.Tagged(map[string]string{"Reason": refusal.Reason}).Counter("Refusals").Inc(1)
	if ImpliesNotRun(refusal.Status) {
		rs.f.Metrics.Tagged(map[string]string{"Evidence": rs.evidence.String()}).Counter("RefusalsNotRun").Inc(1)
	}
	rs.logRefusal("request refused", refusal)
	if rs.headerSent {
		panic(http.ErrAbortHandler)
	}
	if rs.call.OnRefusal != nil {
		rs.call.OnRefusal(!rs.started && refusal.Status < http.StatusInternalServerError || ImpliesNotRun(refusal.Status), rs.evidence)
	}
	refusal.writeTo(rs.w)
}

// logServed logs which targets served a request and the prediction behind the choice.
func (rs *requestState) logServed() {
	rs.f.Logger.Info("request served",
		zap.String("RequestID", string(rs.call.ID)), zap.String("Route", string(rs.route.ID)), zap.Duration("After", time.Since(rs.start)),
		zap.String("PromptTarget", string(rs.logEntry.promptTarget)), zap.Duration("Predicted", rs.logEntry.predicted),
		zap.Int64("FreshTokens", int64(rs.logEntry.uncached)), zap.Duration("PromptTook", rs.logEntry.prefillTook),
		rs.peerField(), zap.String("AnswerTarget", string(rs.logEntry.answerTarget)), zap.String("Build", string(rs.logEntry.build)),
		zap.String("Origin", string(rs.call.Origin)), zap.String("LastEvent", rs.call.LastEvent), zap.Duration("FirstEvent", rs.logEntry.firstEvent),
		zap.Int("Status", rs.status), zap.Int("Sends", rs.attempts), zap.Bool("HandedOver", rs.call.HandedOver))
}

func (rs *requestState) logRefusal(message string, r *Refusal) {
	route := identifier.RouteID("")
	if rs.route != nil {
		route = rs.route.ID
	}
	evidence := zap.Skip()
	if ImpliesNotRun(r.Status) {
		evidence = zap.Stringer("Evidence", rs.evidence)
	}
	rs.f.Logger.Info(message,
		zap.String("RequestID", string(rs.call.ID)), zap.String("Route", string(route)),
		zap.String("Reason", r.Reason), zap.Int("Status", r.Status), zap.Duration("After", time.Since(rs.start)),
		zap.Int("Sends", rs.attempts), zap.Duration("Deadline", rs.call.Deadline),
		zap.String("Origin", string(rs.call.Origin)), zap.String("LastEvent", rs.call.LastEvent), zap.Bool("HandedOver", rs.call.HandedOver), evidence, rs.peerField(), zap.Error(r.Err))
}

// admit determines the route, team and deadline of a request.
func (rs *requestState) admit() *Refusal {
	table := rs.f.Table()
	if table == nil {
		return refuseNotRun("NoConfiguration", defaultRetryAfter, nil)
	}
	rs.route = table.Route(rs.call.Host, rs.call.Path)
	if rs.route == nil {
		return rs.refuseUnknown(http.StatusNotFound, "UnknownRoute")
	}
	if table.RequiresKey(rs.route) {
		if rs.team = table.Team(rs.call.Key); rs.team == nil {
			return rs.refuseUnknown(http.StatusUnauthorized, "UnknownKey")
		}
	}
	rs.deadline = rs.start.Add(rs.route.Timeout)
	if d := rs.start.Add(rs.call.Deadline); rs.call.Deadline > 0 && d.Before(rs.deadline) {
		rs.deadline = d
	}
	if rs.route.Resumable && rs.f.RecordDeadline != nil {
		rs.f.RecordDeadline(rs.call.Deadline)
	}
	if rs.service = rs.route.PickService(rand.Float64()); rs.service == "" {
		return refuseNotRun("NoService", defaultRetryAfter, nil)
	}
	if !rs.call.HandedOver {
		rs.f.Budget.AddRequest(rs.service)
	}
	return nil
}

// refuseUnknown refuses a request whose route or key is not in the configuration. If the configuration is stale, a newer
// one may have it, and the client is asked to retry.
func (rs *requestState) refuseUnknown(status int, reason string) *Refusal {
	if rs.f.TableAge() > staleConfigurationAge {
		return refuseNotRun(reason+"Yet", defaultRetryAfter, nil)
	}
	return &Refusal{Status: status, Reason: reason}
}

func (rs *requestState) teamID() identifier.TeamID {
	if rs.team == nil {
		return ""
	}
	return rs.team.ID
}

// attempt describes an attempt on a target; a stream resumes after lastEvent.
func (rs *requestState) attempt(t *registrar.Target, source *KVHandle, lastEvent string) *Attempt {
	maximumIdle := unrepeatableMaximumIdle
	if rs.route.Repeatable() {
		maximumIdle = repeatableMaximumIdle
	}
	return &Attempt{
		Target: t, Team: rs.teamID(), Remaining: time.Until(rs.deadline), EffectivePriority: matcher.EffectivePriority(rs.route, rs.team),
		Source: source, LastEvent: lastEvent, MaximumIdle: maximumIdle, Connections: rs.f.ConnectionShare(rs.service),
	}
}

// ConnectionShare returns this instance's share of the connection limit of a service's targets; zero means no limit.
func (f *Forwarder) ConnectionShare(service identifier.ServiceID) int {
	t := f.Table()
	if t == nil {
		return 0
	}
	s := t.Service(service)
	if s == nil || s.ConnectionLimit <= 0 {
		return 0
	}
	n := f.Instances()
	if n == 0 {
		return minimumConnections
	}
	return max(minimumConnections, s.ConnectionLimit/n)
}

// candidates returns the targets of the given stages that have not failed in this request.
func (rs *requestState) candidates(parts []chooser.Part, stages ...registrar.Stage) []chooser.Candidate {
	targets := rs.f.Targets(rs.service, time.Now())
	targets = slices.DeleteFunc(targets, func(t *registrar.Target) bool {
		return !slices.Contains(stages, t.Stage) || slices.Contains(rs.failedTargets, t.ID)
	})
	list := rs.f.TargetStates.Candidates(rs.withoutDown(targets), parts, time.Now())
	if rs.f.Changing == nil {
		return list
	}
	changing := rs.f.Changing(rs.service, time.Now())
	for i := range list {
		if changing[list[i].Target.ID] {
			list[i].Surcharge = chooser.AvoidanceCost
		}
	}
	return list
}

// chooseAnswerTarget chooses the answer target among the targets of the decode stage and those without a stage.
func (rs *requestState) chooseAnswerTarget() (chooser.Choice, bool) {
	list := slices.DeleteFunc(rs.candidates(nil, registrar.Answers, registrar.AnyStage), func(c chooser.Candidate) bool {
		return !rs.admitsAnswer(c.Target)
	})
	list = rs.withMemory(list)
	if rs.route.Resumable && rs.pin == nil {
		chargeLoneBuilds(list)
	}
	rs.answerCandidates = rs.keep(list)
	defer rs.release(list)
	if rs.route.HasPrompts {
		return rs.f.Chooser.Answer(rs.f.Zone, rs.jitter(), list)
	}
	return rs.f.Chooser.Plain(rs.f.Zone, defaultPlainServiceTime, list)
}

// keep returns a list of candidates if admission control needs it after the choice.
func (rs *requestState) keep(list []chooser.Candidate) []chooser.Candidate {
	if rs.f.Admission == nil {
		return nil
	}
	return list
}

// release lets a later choice use a list of candidates, unless it is kept.
func (rs *requestState) release(list []chooser.Candidate) {
	if rs.f.Admission == nil {
		rs.f.TargetStates.Release(list)
	}
}

// takeRetry reports whether another attempt is allowed and, if so, takes it from the retry budget.
func (rs *requestState) takeRetry() bool {
	return rs.call.Body.Whole() && rs.attempts < rs.route.Attempts &&
		time.Until(rs.deadline) > minimumRemaining && rs.takeFromBudget()
}

// takeFromBudget takes a further attempt from the retry budget, unless that was done when the last one was ended.
func (rs *requestState) takeFromBudget() bool {
	if rs.retryTaken {
		rs.retryTaken = false
		return true
	}
	return rs.f.Budget.TakeRetry(rs.service)
}

// markStarted counts the request as started and records the time; only the first call has an effect.
func (rs *requestState) markStarted() {
	if !rs.started {
		rs.started = true
		rs.logEntry.firstEvent = time.Since(rs.start)
		rs.f.Metrics.Timer("FirstEvent").Record(rs.logEntry.firstEvent)
		rs.observeRest()
		rs.countStarted(rs.teamID())
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
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		status, reason = http.StatusGatewayTimeout, "Timeout"
	case errors.Is(context.Cause(ctx), ErrStopping):
		reason = "Stopping"
	}
	return &Refusal{Status: status, Reason: reason, Err: err}
}

// ImpliesNotRun reports whether a status means to a client that the request has not run and never will.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
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
