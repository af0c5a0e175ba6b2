package runner

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/url"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/accounter"
	"github.com/coltsfootscale/coltsfootscale/internal/administrator"
	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/authorizer"
	"github.com/coltsfootscale/coltsfootscale/internal/committer"
	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/exchanger"
	"github.com/coltsfootscale/coltsfootscale/internal/exporter"
	"github.com/coltsfootscale/coltsfootscale/internal/journaler"
	"github.com/coltsfootscale/coltsfootscale/internal/leaseholder"
	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/observer"
	"github.com/coltsfootscale/coltsfootscale/internal/orderer"
	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/relayer"
	"github.com/coltsfootscale/coltsfootscale/internal/reporter"
	"github.com/coltsfootscale/coltsfootscale/internal/retrier"
	"github.com/coltsfootscale/coltsfootscale/internal/server"
	"github.com/coltsfootscale/coltsfootscale/internal/signaler"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Data flow between the goroutines of an entry instance:
//
//	platform log --read--> tailers (Config, Control, Usage, Journal) --fold--> views
//	                            |                                               |
//	                            +--events--> tracker (targets, roles)           |
//	                                                                            v
//	callers --HTTP--> server --> relayer --choose--> tracker --HTTP--> targets
//	                                |  \--dispatch, result--> committer --append--> Journal
//	                                \--usage--> ledger --hold--> peer;  --append--> Usage
//
//	peers <--heartbeats (offsets, rates)--> observer --> freshness, fair shares, acceptance of changes
//	lease holder --> placement and orders, usage windows and reports, checkpoints, evictions

// Entry is one entry instance; New creates one.
type Entry struct {
	settings        *parser.Settings
	network         networker.Network
	logger          *zap.Logger
	member          *recorder.Member
	platform        *provider.Provider
	http            *http.Client
	noKeepAliveHTTP *http.Client
	metrics         tally.Scope
	exporter        *exporter.Exporter
	pendingEvents   signaler.Mailbox
	explain         func(identifier.RequestID) []string
	config          *tailer.Tailer
	control         *tailer.Tailer
	usage           *tailer.Tailer
	journal         *tailer.Tailer
	configFold      configurator.Fold
	controlFold     authorizer.Fold
	usageFold       accounter.Fold
	journalFold     journaler.Fold
	view            atomic.Pointer[configurator.View]
	removedAt       atomic.Int64 // Unix nanoseconds of the last removal of a member
	leaving         atomic.Bool
	leaveOnce       sync.Once
	stopping        atomic.Int64 // Unix nanoseconds at which a planned stop began to wait for open requests
	inFlight        atomic.Int64
	peerClient      *exchanger.Client
	observer        *observer.Observer
	admin           *administrator.Administrator
	tracker         *tracker.Tracker
	ledger          accounter.Ledger
	mirror          accounter.Mirror
	meter           limiter.Meter
	shares          shares
	committer       *committer.Committer
	leaseholder     *leaseholder.Holder
	orderer         *orderer.Orderer
	reporter        *reporter.Reporter
	relayer         *relayer.Relayer
	placement       placement
}

// New returns an entry instance that is not running yet. explain returns the retained decision log lines of a
// request and may be nil.
func New(settings *parser.Settings, network networker.Network, logger *zap.Logger, explain func(identifier.RequestID) []string) *Entry {
	e := &Entry{settings: settings, network: network, logger: logger, explain: explain, exporter: &exporter.Exporter{}}
	if e.explain == nil {
		e.explain = func(identifier.RequestID) []string { return nil }
	}
	e.member = &recorder.Member{
		Instance:    string(settings.Instance),
		Incarnation: uuid.NewString(),
		Address:     settings.Listen,
		PeerAddress: settings.PeerListen,
		Zone:        string(settings.Zone),
	}
	e.http = networker.Client(network, true)
	e.noKeepAliveHTTP = networker.Client(network, false)
	e.platform = &provider.Provider{BaseURL: settings.Platform, HTTP: e.http}
	e.view.Store(configurator.NewView(&recorder.ConfigState{}))
	e.wireStreams()
	e.wirePeers()
	e.wireServing()
	e.wireDuties()
	return e
}

func (e *Entry) wireStreams() {
	e.config = e.newTailer(streamConfig, &e.configFold, e.applyConfig)
	e.control = e.newTailer(streamControl, &e.controlFold, func() { e.pendingEvents.Set(eventControl, nil) })
	e.usage = e.newTailer(streamUsage, &e.usageFold, nil)
	e.journal = e.newTailer(streamJournal, &e.journalFold, nil)
	e.committer = committer.New(e.journal, journalBatchRecords)
}

func (e *Entry) newTailer(stream identifier.StreamID, fold tailer.Fold, applied func()) *tailer.Tailer {
	return &tailer.Tailer{
		Stream: stream, Log: e.platform, Fold: fold, Logger: e.logger, OnApply: applied,
		Writer: identifier.InstanceID(e.origin()),
	}
}

// origin identifies this incarnation of the instance in the log.
func (e *Entry) origin() string { return e.member.Instance + "/" + e.member.Incarnation }

// applyConfig puts the folded configuration in force. It runs before the read that delivered the configuration counts
// as fresh.
func (e *Entry) applyConfig() {
	old := e.view.Load().State
	state := e.configFold.State()
	asserter.That(state.Next >= old.Next && state.Version >= old.Version, asserter.ConfigurationNeverReverts,
		"offset %d version %d after offset %d version %d", state.Next, state.Version, old.Next, old.Version)
	e.view.Store(configurator.NewView(state))
	if removedMember(old, state) {
		e.removedAt.Store(time.Now().UnixNano())
	}
	e.pendingEvents.Set(eventConfig, nil)
}

// removedMember reports whether an incarnation that is a member in old is no longer one in state. A removed
// incarnation may still serve for a while.
func removedMember(old, state *recorder.ConfigState) bool {
	for id, m := range old.GetMembers() {
		if state.GetMembers()[id].GetIncarnation() != m.Incarnation {
			return true
		}
	}
	return false
}

func (e *Entry) wirePeers() {
	e.peerClient = &exchanger.Client{Dial: e.network.Dial, Logger: e.logger}
	e.observer = &observer.Observer{
		Self: e.member, Config: e.config, PeerClient: e.peerClient, Interval: e.settings.Timing.Heartbeat,
		Members:        func() map[string]*recorder.Member { return e.view.Load().State.GetMembers() },
		LocalHeartbeat: e.heartbeat,
	}
	e.admin = &administrator.Administrator{
		Config: e.config, Fold: &e.configFold, Members: e.observer.View, Logger: e.logger,
		LastRemoval: func() time.Time { return time.Unix(0, e.removedAt.Load()) },
		Freshness:   e.settings.Timing.Freshness, Margin: e.settings.Timing.DriftMargin,
	}
}

func (e *Entry) wireServing() {
	e.tracker = &tracker.Tracker{HTTP: e.http, Logger: e.logger}
	e.ledger.Origin = e.origin()
	e.relayer = &relayer.Relayer{
		Zone: e.settings.Zone, Limits: e.settings.Limits, Tracker: e.tracker, Ledger: &e.ledger, Meter: &e.meter,
		Budget: &retrier.Budget{Share: retryShare, Burst: retryBurst}, Journal: relayerJournal{e},
		Logger: e.logger, HTTP: e.http, NoKeepAliveHTTP: e.noKeepAliveHTTP, View: e.view.Load, Serving: e.serving, Share: e.share,
	}
}

func (e *Entry) wireDuties() {
	t := e.settings.Timing
	// Responses to orders and reports do not name their call.
	duties := &provider.Provider{BaseURL: e.settings.Platform, HTTP: e.noKeepAliveHTTP}
	e.leaseholder = &leaseholder.Holder{
		Scope: scopeFleet, ID: e.origin(), Control: e.control, Fold: &e.controlFold,
		Lease: t.Lease, DriftMargin: t.DriftMargin, Logger: e.logger,
	}
	e.orderer = &orderer.Orderer{
		Scope: scopeFleet, Sender: e.origin(), Authority: e.leaseholder, Control: e.control, Fold: &e.controlFold,
		Platform: duties, HTTP: e.noKeepAliveHTTP, Timeout: t.OrderTimeout, DrainNotice: drainNotice, Address: e.targetAddress, Logger: e.logger,
	}
	e.reporter = &reporter.Reporter{
		Sender: e.origin(), Authority: e.leaseholder, Usage: e.usage, Fold: &e.usageFold,
		Platform: duties, Timeout: t.OrderTimeout, Logger: e.logger,
	}
}

// Run serves until stop is canceled and then shuts down gracefully. If kill is canceled, it returns at once.
func (e *Entry) Run(stop, kill context.Context) error {
	lis, err := e.network.Listen(e.settings.Listen)
	if err != nil {
		return err
	}
	peerLis, err := e.network.Listen(e.settings.PeerListen)
	if err != nil {
		lis.Close()
		return err
	}
	scope, closer := tally.NewRootScope(tally.ScopeOptions{Reporter: e.exporter, OmitCardinalityMetrics: true}, metricsInterval)
	defer closer.Close()
	e.metrics = scope
	e.relayer.Metrics = scope
	background, cancel := context.WithCancel(kill)
	defer cancel()
	dutyContext, stopDuties := context.WithCancel(background)
	defer stopDuties()
	var group sync.WaitGroup
	e.start(background, dutyContext, peerLis, &group)
	err = e.serve(stop, kill, lis, stopDuties)
	if kill.Err() == nil {
		e.relayer.Drain()
		e.flushUsage(kill)
		e.evictSelf(kill)
	}
	cancel()
	group.Wait()
	e.peerClient.Close()
	e.http.CloseIdleConnections()
	return err
}

// start runs each background loop on its own goroutine. The loops that act as lease holder end with dutyContext.
func (e *Entry) start(background, dutyContext context.Context, peerLis net.Listener, group *sync.WaitGroup) {
	peerServer := exchanger.ForHandler(peerHandler{e}, e.logger)
	for _, loop := range []func(context.Context){
		e.config.Run, e.control.Run, e.usage.Run, e.journal.Run,
		e.observer.Run, e.tracker.Run, e.committer.Run,
		e.runEvents, e.runMembership, e.runList,
		e.runMirror, e.runUsage, e.runTakeover, e.runGauges,
		func(ctx context.Context) { peerServer.Serve(ctx, peerLis) },
	} {
		group.Go(func() { loop(background) })
	}
	for _, loop := range []func(context.Context){
		e.leaseholder.Run, e.runOrders, e.runReports, e.runCheckpoints, e.runEvictions,
	} {
		group.Go(func() { loop(dutyContext) })
	}
}

// serve handles requests until stop is canceled and the last request has been answered.
func (e *Entry) serve(stop, kill context.Context, lis net.Listener, stopDuties func()) error {
	limits := e.settings.Limits
	srv := khttp.NewServer(
		khttp.Listener(networker.LimitListener(lis, limits.Connections, nil)),
		khttp.Endpoint(&url.URL{Scheme: "http", Host: e.settings.Listen}),
		khttp.Timeout(0),
		khttp.StrictSlash(false),
	)
	srv.ReadHeaderTimeout = limits.HeaderTimeout
	srv.IdleTimeout = idleTimeout
	srv.MaxHeaderBytes = limits.HeaderBytes
	srv.ErrorLog = zap.NewStdLog(e.logger)
	srv.HandlePrefix("/", e.handler())
	app := kratos.New(
		kratos.Context(kill),
		kratos.Server(srv),
		kratos.Signal(syscall.SIGTERM, os.Interrupt),
		kratos.StopTimeout(e.settings.Timing.Stop),
		kratos.BeforeStop(func(context.Context) error {
			// Both a signal and the end of stop can trigger this; the second call waits for the first.
			e.leaveOnce.Do(func() {
				e.leave(kill, stopDuties)
				e.stopping.Store(time.Now().UnixNano())
			})
			return nil
		}),
	)
	stopped := context.AfterFunc(stop, func() { app.Stop() })
	defer stopped()
	killed := context.AfterFunc(kill, func() { srv.Close() })
	defer killed()
	err := app.Run()
	e.assertAllAnswered(kill)
	srv.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// assertAllAnswered asserts that a planned stop ended with no request in flight, unless the instance was killed or
// reached the stop timeout.
func (e *Entry) assertAllAnswered(kill context.Context) {
	stopping := time.Since(time.Unix(0, e.stopping.Load()))
	gaveUp := kill.Err() != nil || stopping >= e.settings.Timing.Stop
	open := e.inFlight.Load()
	asserter.That(gaveUp || open == 0, asserter.PlannedStopCutsNothing, "%d requests in flight", open)
}

// countInFlight counts the requests that h is handling.
func (e *Entry) countInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.inFlight.Add(1)
		defer e.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

func (e *Entry) handler() http.Handler {
	s := &server.Server{
		Relayer: e.relayer, Administrator: e.admin, Metrics: e.exporter, OperatorKeyHash: e.settings.OperatorKeyHash,
		View: e.view.Load, Serving: e.serving, Addresses: e.addresses, Usage: e.usageResponse, Explain: e.explain, Status: e.status,
	}
	return e.countInFlight(s.Handler())
}

// leave releases the lease, announces the departure and waits until no caller has this address cached.
func (e *Entry) leave(ctx context.Context, stopDuties func()) {
	e.leaving.Store(true)
	e.logger.Info("leaving")
	stopDuties()
	announce, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := e.admin.Leave(announce, e.member.Instance, e.member.Incarnation); err != nil {
		e.logger.Info("failed to announce leave in the log", zap.Error(err))
	}
	sleeper.Sleep(ctx, e.settings.Timing.AddressLifetime+4*e.settings.Timing.Heartbeat)
}

// evictSelf removes this instance from the members. It retries until the instance is no longer a member or
// shutdownStepTimeout has passed.
func (e *Entry) evictSelf(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownStepTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := e.admin.Evict(ctx, e.member.Instance, e.member.Incarnation)
		if err == nil {
			return
		}
		if _, ok := e.view.Load().State.GetMembers()[e.member.Instance]; !ok {
			return
		}
		sleeper.Sleep(ctx, membershipRetryInterval)
	}
}

// runEvents passes the targets, the number of members and the engine roles to the tracker when they change.
func (e *Entry) runEvents(ctx context.Context) {
	for {
		events, err := e.pendingEvents.Wait(ctx)
		if err != nil {
			return
		}
		e.logger.Debug("fleet changed", zap.Int("Events", len(events)))
		e.tracker.SetTargets(e.fleet())
		e.tracker.SetEntryCount(len(e.view.Load().State.GetMembers()))
		roles, draining := e.roles()
		e.tracker.SetRoles(roles)
		e.tracker.SetDraining(draining)
	}
}

// every runs f immediately and then at each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(ctx context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}
