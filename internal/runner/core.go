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
	"github.com/coltsfootscale/coltsfootscale/internal/holder"
	"github.com/coltsfootscale/coltsfootscale/internal/journaler"
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
//	                            +--events--> box --> tracker (targets, roles)   |
//	                                                                            v
//	callers --HTTP--> server --> relayer --choose--> tracker --HTTP--> targets
//	                                |  \--dispatch, result--> committer --append--> Journal
//	                                \--usage--> ledger --hold--> peer;  --append--> Usage
//
//	peers <--heartbeats (offsets, rates)--> observer --> serving instant, shares, acceptance
//	lease holder --> placement and orders, usage windows and reports, checkpoints, evictions

// Entry is one entry instance; use New.
type Entry struct {
	settings    *parser.Settings
	network     networker.Network
	logger      *zap.Logger
	member      *recorder.Member
	platform    *provider.Provider
	http        *http.Client
	once        *http.Client
	metrics     tally.Scope
	exporter    *exporter.Exporter
	box         signaler.Mailbox
	explain     func(identifier.RequestID) []string
	config      *tailer.Tailer
	control     *tailer.Tailer
	usage       *tailer.Tailer
	journal     *tailer.Tailer
	configFold  configurator.Fold
	controlFold authorizer.Fold
	usageFold   accounter.Fold
	journalFold journaler.Fold
	view        atomic.Pointer[configurator.View]
	removed     atomic.Int64
	leaving     atomic.Bool
	leaveOnce   sync.Once
	stopping    atomic.Int64
	inFlight    atomic.Int64
	peers       *exchanger.Client
	observer    *observer.Observer
	admin       *administrator.Administrator
	tracker     *tracker.Tracker
	ledger      accounter.Ledger
	mirror      accounter.Mirror
	meter       limiter.Meter
	shares      shares
	committer   *committer.Committer
	holder      *holder.Holder
	orderer     *orderer.Orderer
	reporter    *reporter.Reporter
	relayer     *relayer.Relayer
	placement   placement
}

// New prepares an entry instance; explain returns kept decision lines and may be nil.
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
	e.once = networker.Client(network, false)
	e.platform = &provider.Provider{Base: settings.Platform, HTTP: e.http}
	e.view.Store(configurator.NewView(&recorder.ConfigState{}))
	e.wireStreams()
	e.wirePeers()
	e.wireServing()
	e.wireDuties()
	return e
}

func (e *Entry) wireStreams() {
	e.config = e.newTailer(streamConfig, &e.configFold, e.applyConfig)
	e.control = e.newTailer(streamControl, &e.controlFold, func() { e.box.Set(eventControl, nil) })
	e.usage = e.newTailer(streamUsage, &e.usageFold, nil)
	e.journal = e.newTailer(streamJournal, &e.journalFold, nil)
	e.committer = committer.New(e.journal, journalBatch)
}

func (e *Entry) newTailer(stream identifier.StreamID, fold tailer.Fold, applied func()) *tailer.Tailer {
	return &tailer.Tailer{
		Stream: stream, Log: e.platform, Fold: fold, Logger: e.logger, Applied: applied,
		Writer: identifier.InstanceID(e.origin()),
	}
}

// origin names this incarnation of the instance.
func (e *Entry) origin() string { return e.member.Instance + "/" + e.member.Incarnation }

// applyConfig puts a configuration in force; it runs before the read that brought it counts as fresh.
func (e *Entry) applyConfig() {
	old := e.view.Load().State
	state := e.configFold.State()
	asserter.That(state.Next >= old.Next && state.Version >= old.Version, asserter.ConfigurationNeverReverts,
		"offset %d version %d after offset %d version %d", state.Next, state.Version, old.Next, old.Version)
	e.view.Store(configurator.NewView(state))
	if removedMember(old, state) {
		e.removed.Store(time.Now().UnixNano())
	}
	e.box.Set(eventConfig, nil)
}

// removedMember reports whether an incarnation that was a member is one no more; it may still serve for a while.
func removedMember(old, state *recorder.ConfigState) bool {
	for id, m := range old.GetMembers() {
		if state.GetMembers()[id].GetIncarnation() != m.Incarnation {
			return true
		}
	}
	return false
}

func (e *Entry) wirePeers() {
	e.peers = &exchanger.Client{Dial: e.network.Dial, Logger: e.logger}
	e.observer = &observer.Observer{
		Self: e.member, Config: e.config, Caller: e.peers, Interval: e.settings.Timing.Heartbeat,
		Members: func() map[string]*recorder.Member { return e.view.Load().State.GetMembers() },
		Beat:    e.beat,
	}
	e.admin = &administrator.Administrator{
		Config: e.config, Fold: &e.configFold, Members: e.observer.View, Logger: e.logger,
		Removed:   func() time.Time { return time.Unix(0, e.removed.Load()) },
		Freshness: e.settings.Timing.Freshness, Margin: e.settings.Timing.DriftMargin,
	}
}

func (e *Entry) wireServing() {
	e.tracker = &tracker.Tracker{HTTP: e.http, Logger: e.logger}
	e.ledger.Origin = e.origin()
	e.relayer = &relayer.Relayer{
		Zone: e.settings.Zone, Limits: e.settings.Limits, Tracker: e.tracker, Ledger: &e.ledger, Meter: &e.meter,
		Budget: &retrier.Budget{Ratio: retryShare, Burst: retryReserve}, Journal: journalOf{e},
		Logger: e.logger, HTTP: e.http, NoKeepAliveHTTP: e.once, View: e.view.Load, Serving: e.serving, Share: e.share,
	}
}

func (e *Entry) wireDuties() {
	t := e.settings.Timing
	e.holder = &holder.Holder{
		Scope: scopeFleet, ID: e.origin(), Control: e.control, Fold: &e.controlFold,
		Lease: t.Lease, DriftMargin: t.DriftMargin, Logger: e.logger,
	}
	e.orderer = &orderer.Orderer{
		Scope: scopeFleet, Sender: e.origin(), Authority: e.holder, Control: e.control, Fold: &e.controlFold,
		Platform: e.platform, HTTP: e.http, Timeout: t.OrderTimeout, DrainNotice: drainNotice, Address: e.addressOf, Logger: e.logger,
	}
	e.reporter = &reporter.Reporter{
		Sender: e.origin(), Authority: e.holder, Usage: e.usage, Fold: &e.usageFold,
		Platform: e.platform, Timeout: t.OrderTimeout, Logger: e.logger,
	}
}

// Run serves until stop ends, then leaves gracefully; it returns at once where kill ends.
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
	authority, yield := context.WithCancel(background)
	defer yield()
	var group sync.WaitGroup
	e.start(background, authority, peerLis, &group)
	err = e.serve(stop, kill, lis, yield)
	if kill.Err() == nil {
		e.relayer.Drain()
		e.flushUsage(kill)
		e.depart(kill)
	}
	cancel()
	group.Wait()
	e.peers.Close()
	e.http.CloseIdleConnections()
	return err
}

// start runs each duty on a goroutine of its own.
func (e *Entry) start(background, authority context.Context, peerLis net.Listener, group *sync.WaitGroup) {
	peerServer := exchanger.ForHandler(peerHandler{e}, e.logger)
	for _, duty := range []func(context.Context){
		e.config.Run, e.control.Run, e.usage.Run, e.journal.Run,
		e.observer.Run, e.tracker.Run, e.committer.Run,
		e.runEvents, e.runMembership, e.runList,
		e.runMirror, e.runUsage, e.runTakeover, e.runGauges,
		func(ctx context.Context) { peerServer.Serve(ctx, peerLis) },
	} {
		group.Go(func() { duty(background) })
	}
	for _, duty := range []func(context.Context){
		e.holder.Run, e.runOrders, e.runReports, e.runCheckpoints, e.runEvictions,
	} {
		group.Go(func() { duty(authority) })
	}
}

// serve answers callers until stop ends and the last request is answered.
func (e *Entry) serve(stop, kill context.Context, lis net.Listener, yield func()) error {
	limits := e.settings.Limits
	srv := khttp.NewServer(
		khttp.Listener(networker.LimitListener(lis, limits.Connections)),
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
			// A signal and the end of stop may both come here; the later one waits for the earlier.
			e.leaveOnce.Do(func() {
				e.leave(kill, yield)
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

// assertAllAnswered checks that a planned stop that was not given up ended with no request under way.
func (e *Entry) assertAllAnswered(kill context.Context) {
	stopping := time.Since(time.Unix(0, e.stopping.Load()))
	gaveUp := kill.Err() != nil || stopping >= e.settings.Timing.Stop
	open := e.inFlight.Load()
	asserter.That(gaveUp || open == 0, asserter.PlannedStopCutsNothing, "%d requests under way", open)
}

// countInFlight counts the requests under way.
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
		View: e.view.Load, Serving: e.serving, Addresses: e.addresses, Usage: e.usageAnswer, Explain: e.explain, Status: e.status,
	}
	return e.countInFlight(s.Handler())
}

// leave yields the lease, announces the departure and waits until no caller has this address cached.
func (e *Entry) leave(ctx context.Context, yield func()) {
	e.leaving.Store(true)
	e.logger.Info("leaving")
	yield()
	announce, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := e.admin.Leave(announce, e.member.Instance, e.member.Incarnation); err != nil {
		e.logger.Info("leave not announced in the log", zap.Error(err))
	}
	sleeper.Sleep(ctx, e.settings.Timing.AddressLifetime+4*e.settings.Timing.Heartbeat)
}

// depart removes this instance from the membership.
func (e *Entry) depart(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalFlushTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := e.admin.Evict(ctx, e.member.Instance, e.member.Incarnation)
		if err == nil {
			return
		}
		if _, ok := e.view.Load().State.GetMembers()[e.member.Instance]; !ok {
			return
		}
		sleeper.Sleep(ctx, joinRetry)
	}
}

// runEvents hands configuration and roles to the tracker.
func (e *Entry) runEvents(ctx context.Context) {
	for {
		events, err := e.box.Wait(ctx)
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

// every runs f at once and then at each interval until ctx ends.
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
