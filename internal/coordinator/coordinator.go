package coordinator

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/admitter"
	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/calibrator"
	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/counter"
	"github.com/coltsfootscale/coltsfootscale/internal/director"
	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/internal/estimator"
	"github.com/coltsfootscale/coltsfootscale/internal/exchanger"
	"github.com/coltsfootscale/coltsfootscale/internal/follower"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/gatekeeper"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
	"github.com/coltsfootscale/coltsfootscale/internal/prober"
	"github.com/coltsfootscale/coltsfootscale/internal/quarantiner"
	"github.com/coltsfootscale/coltsfootscale/internal/ratelimiter"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/replicator"
	"github.com/coltsfootscale/coltsfootscale/internal/reporter"
	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
	"github.com/coltsfootscale/coltsfootscale/internal/retrier"
	"github.com/coltsfootscale/coltsfootscale/internal/scaler"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Data flow of an entry instance on the users' machines:
//
//	store --newest, read--> followers --> mirrors (configuration, targets, members) --> table, registrar, gossiper
//	                                        ^   |
//	peers <-----messages (gossiper)---------+---+   loads, cached parts --> target states
//	                                                counts --> counter
//	                                                lease --> elector
//
//	clients --> ingress --> forwarder --table, registrar, target states--> chooser --> backend (targets)
//	                            \--request counts--> counter --lease holder--> window reporter --> store, platform
//	                                                           lease holder--> stage controller --> targets

// MemberTopic is the keyed stream that holds one record for each entry instance.
type MemberTopic interface {
	follower.Stream
	Put(ctx context.Context, key string, value []byte) error
}

// Platform contains the services of the users' machines.
type Platform struct {
	Configuration follower.Stream
	Targets       follower.Stream
	Members       MemberTopic
	Duties        elector.Log
	Backend       forwarder.Backend
	Handover      forwarder.Handover
	// ResponseMemory bounds what the responses of all targets and peers use; nil does not.
	ResponseMemory *reserver.Memory
	// ProbeTarget reports whether the target at an address accepts a connection, and whether one could be tried: no more may be
	// open than the given number, where zero means no limit.
	ProbeTarget func(ctx context.Context, address string, limit int) (reached, tried bool)
	OrderSender scaler.OrderSender
	// Gate stops requests to targets that leave or want none.
	Gate *gatekeeper.Gatekeeper
	// OnLoad sets the function that receives what targets say about their load; nil if they say nothing.
	OnLoad func(LoadFunc)
	// OnRefused sets the function that is called when a response to a call that serves no request is refused; it may be nil.
	OnRefused func(RefusedFunc)
	Store     StoreEra
	// RankedAdmission is set if requests are refused under overload, the least urgent ones first.
	RankedAdmission bool
	// Usage and Scaling are nil on a platform without usage reports and scaling.
	Usage   reporter.UsagePlatform
	Scaling scaler.TargetPlatform
	// ConfigurationKey is the key of the configuration in its stream.
	ConfigurationKey    string
	DecodeConfiguration func(data []byte) (matcher.Configuration, error)
	DecodeTarget        func(id string, data []byte) (registrar.Target, error)
	SameTarget          func(older, newer []byte) bool
}

// Handlers creates the HTTP handlers of an entry instance's listeners.
type Handlers struct {
	Client func(c *Coordinator) http.Handler
	// Relay handles the requests that peers pass on.
	Relay     func(c *Coordinator) http.Handler
	Ready     func(c *Coordinator) http.Handler
	Directory func(c *Coordinator) http.Handler
}

// Coordinator is one entry instance; use New.
type Coordinator struct {
	platform Platform
	handlers Handlers
	logger   *zap.Logger
	reload   func() (*parser.EntrySettings, error)
	settings atomic.Pointer[parser.EntrySettings]
	self     *gossiper.Member
	// bounds are the settings' bounds at the start: windows and leases must not change while the instance runs.
	bounds parser.EntryBounds

	config          mirrorer.Mirror
	targets         mirrorer.Mirror
	members         mirrorer.Mirror
	replicators     map[string]*replicator.Replicator
	table           atomic.Pointer[matcher.Table]
	registry        registrar.Registrar
	targetStates    chooser.TargetStates
	calibrator      calibrator.Calibrator
	demand          estimator.Demand
	counts          counter.Counter
	retryBudget     *retrier.WindowedBudget
	peers           *gossiper.Gossiper
	peerClient      *exchanger.Client
	gossipMeter     *gossipMeter
	elector         *elector.Elector
	stageController *scaler.StageController
	targetScaler    *scaler.Scaler
	windowReporter  *reporter.WindowReporter
	forward         *forwarder.Forwarder
	quarantine      quarantiner.Quarantine
	isolation       Isolation
	plannedStages   PlannedStages
	pins            *pinner.Pinner
	quotas          *ratelimiter.Limiter
	// admitter is nil without admission control.
	admitter       *admitter.Admitter
	datagrams      datagrams
	builds         Builds
	moves          Moves
	streamRecorder StreamRecorder
	prober         prober.Prober
	// unreachable holds the services of which this instance cannot reach some targets.
	unreachable atomic.Pointer[[]*gossiper.Unreachable]
	cutOffPeers cutOffPeers

	// BodyBuffers limits the memory that request bodies use.
	BodyBuffers forwarder.BodyBuffers
	// LogOutput is the output of the logger; nil if it is not known.
	LogOutput LogOutput
	// Metrics serves all metrics in the Prometheus text format.
	Metrics http.Handler
	metrics tally.Scope
	closer  func() error
	// client serves the requests of clients, and relay those that peers pass on; relay is nil if there is no address for it.
	client, relay *server
	// headMemory bounds the memory of the heads at all listeners.
	headMemory networker.HeadMemory
	// servers are all servers; serversMu guards the list.
	serversMu sync.Mutex
	servers   []*server

	startedAt time.Time
	// bootAtStart is the time of bootTime at startedAt.
	bootAtStart time.Duration
	suspensions Suspensions
	leaving     atomic.Bool
	// stopping is set once new requests are refused, and requests ends, by endRequests, with the time for those in progress.
	stopping    atomic.Bool
	requests    context.Context
	endRequests context.CancelCauseFunc
	inFlight    atomic.Int64
	workload    workload
	// receiving is the number of messages of peers that are being processed.
	receiving atomic.Int32

	// newEraAt is when this process learned of the current era of the store; nil in the first one.
	newEraAt   atomic.Pointer[time.Time]
	memberLost chan struct{}
	// peerHeard is set with the first message of a peer. reportedVersion is the highest configuration version of a peer.
	peerHeard       atomic.Bool
	reportedVersion atomic.Uint64

	mu           sync.Mutex
	sendProgress map[string]*sendProgress
	// heldClosings holds the closed usage windows that each peer knows, for peers that may become the holder.
	heldClosings map[string][]int64
}

// New returns an entry instance that is ready to Run; reload reads the settings again.
func New(settings *parser.EntrySettings, p Platform, handlers Handlers, reload func() (*parser.EntrySettings, error), logger *zap.Logger) *Coordinator {
	c := &Coordinator{platform: p, handlers: handlers, logger: logger, reload: reload, sendProgress: map[string]*sendProgress{},
		memberLost: make(chan struct{}, 1), heldClosings: map[string][]int64{}, startedAt: time.Now(), bootAtStart: bootTime()}
	c.requests, c.endRequests = context.WithCancelCause(context.Background())
	c.settings.Store(settings)
	c.bounds = settings.Bounds.WithDefaults()
	c.openMetrics()
	c.self = &gossiper.Member{
		ID: string(settings.Instance), Incarnation: uuid.NewString()[:incarnationDigits], Zone: string(settings.Zone),
		ClientAddress: settings.Listen, PeerAddress: settings.PeerListen, RelayAddress: settings.RelayListen, Capacity: capacity(settings.Bounds),
	}
	c.BodyBuffers.MaximumBytes = settings.Bounds.MemoryMegabytes << 20 / bodyMemoryDivisor
	c.headMemory.MaximumBytes = c.bounds.HeadMegabytes << 20
	c.wireMirrors()
	c.wirePeers()
	c.wireDuties()
	c.wireRequests()
	p.Store.WatchEra(c)
	return c
}

func (c *Coordinator) wireMirrors() {
	c.config.OnChange = c.configurationChanged
	c.config.VersionOf = c.configurationVersion
	c.targets.OnChange = c.targetChanged
	c.targets.Equivalent = c.platform.SameTarget
	c.members.OnChange = c.memberChanged
	c.replicators = c.newReplicators()
	c.targets.OutageThreshold = outageThreshold
	c.targets.FailingFor = func(time.Time) time.Duration { return 0 } // Replaced once the follower is created.
	c.registry.StoreRestoredAt = c.targets.RecoveredAt
	c.registry.Era = func() identifier.Era { return c.targets.Position().Era }
}

func (c *Coordinator) wirePeers() {
	c.peerClient = &exchanger.Client{Logger: c.logger, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}}
	c.gossipMeter = newGossipMeter(c.metrics)
	c.peers = &gossiper.Gossiper{
		Self: c.self, PeerClient: &meteredClient{c.peerClient, c.gossipMeter}, Logger: c.logger, Status: c.status,
		AddPayload: c.addPayload, OnStatus: c.onStatus, OnMessage: c.onMessage, Unfinished: c.unfinished,
	}
}

func (c *Coordinator) wireDuties() {
	bounds := c.bounds
	c.elector = &elector.Elector{
		Holder: c.self.ID + "/" + c.self.Incarnation, Log: c.platform.Duties, Lease: bounds.Lease, Logger: c.logger,
		Now: bootTime, Eligible: c.eligible, MayHold: c.mayHoldDuties, Window: c.usageWindow,
	}
	lease := c.platformLease()
	c.targetScaler = &scaler.Scaler{
		DutyLease: lease, Platform: c.platform.Scaling, Table: c.table.Load,
		Targets: c.registry.NotLeaving, Serving: c.registry.Available, Load: c.demand.Peak, Logger: c.logger,
	}
	c.stageController = &scaler.StageController{
		Holder: c.self.ID, DutyLease: c.elector, OrderSender: c.platform.OrderSender, ScalingDown: c.targetScaler.ScalingDown,
		Table: c.table.Load, Targets: c.registry.NotLeaving, Limited: c.namesLimit, Announce: c.announceOrders, Logger: c.logger,
	}
	c.windowReporter = &reporter.WindowReporter{
		DutyLease: lease, Platform: c.platform.Usage, Length: bounds.UsageWindow, MaximumDelay: bounds.UsageLate,
		Now: c.medianTime, Total: c.counts.Total, Held: c.heldByPeer, Logger: c.logger,
		OnWithheld: func() { c.metrics.Counter("UsageWindowsWithheld").Inc(1) },
	}
}

func (c *Coordinator) wireRequests() {
	bounds := c.bounds
	gate := c.platform.Gate
	gate.Registry, gate.OnLeaving, gate.Logger, gate.Metrics = &c.registry, c.peers.SendNow, c.logger, c.metrics
	c.wireLimits(&gate.Limits)
	c.targetStates.SharedPartsOnly = c.peers.UsesHubs
	c.wireCalibration()
	if c.platform.OnRefused != nil {
		c.platform.OnRefused(c.noteRefused)
	}
	c.quarantine.Logger, c.quarantine.Gone = c.logger, c.targetGone
	c.wireProber()
	c.streamRecorder.Put = c.putStreamRecord
	c.pins = &pinner.Pinner{Self: c.self.ID, Peers: c.pinPeers, Network: &c.datagrams, Logger: c.logger}
	c.quotas = c.newQuotas()
	c.retryBudget = &retrier.WindowedBudget{
		Share: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow,
		MemberCount: c.memberCount,
	}
	c.forward = &forwarder.Forwarder{
		Zone: identifier.ZoneID(c.self.Zone), Table: c.table.Load, TableAge: c.tableAge,
		Targets: c.available, Changing: c.changing, Starting: c.starting, Expected: c.expected, Instances: c.memberCount,
		TargetStates: &c.targetStates, Chooser: &chooser.Chooser{Policy: c.settings.Load().Routing.Policy}, MaximumJitter: c.jitter,
		Backend: c.platform.Backend, Budget: c.retryBudget, Quarantine: &gossipedQuarantine{&c.quarantine, c.peers},
		Pins: c.pins, SoleBuild: c.soleBuild, RecordDeadline: c.recordDeadline, CoverStream: c.coverStream, Reach: &c.prober, Handover: c.platform.Handover, Peers: c.reachingPeers,
		CutOff: c.cutOff, OnPeerCutOff: c.cutOffPeers.add, Overloaded: c.workload.overloaded.Load, Stopping: c.stopping.Load,
		CountRequest: c.countRequest, Quotas: c.quotas, RecordDemand: c.demand.Add, Calibrator: &c.calibrator, Logger: c.logger, Metrics: c.metrics,
	}
	c.wireAdmission()
}

// available returns the targets of a service that accept new requests and want them from this instance now.
func (c *Coordinator) available(service identifier.ServiceID, now time.Time) []*registrar.Target {
	return slices.DeleteFunc(c.registry.Available(service, now), func(t *registrar.Target) bool {
		return c.platform.Gate.Wait(t, now) > 0
	})
}

// expected returns how soon the first target that wants no requests now, or that was ordered to change to a stage, will be
// ready, or false if there is none.
func (c *Coordinator) expected(service identifier.ServiceID, stage registrar.Stage, now time.Time) (time.Duration, bool) {
	soonest, found := c.shortestWait(service, stage, now)
	s := c.table.Load().Service(service)
	if s == nil || s.Engine == nil {
		return soonest, found
	}
	for _, o := range c.registry.Orders(now) {
		if o.Service != service || o.Stage != stage {
			continue
		}
		if remaining := max(0, s.Engine.SwitchTime-(scaler.SettleTime-o.Remaining)); !found || remaining < soonest {
			soonest, found = remaining, true
		}
	}
	return soonest, found
}

// shortestWait returns when the first target of a service and stage that wants none now wants requests again, or false if
// there is none.
func (c *Coordinator) shortestWait(service identifier.ServiceID, stage registrar.Stage, now time.Time) (time.Duration, bool) {
	shortest, found := time.Duration(0), false
	for _, t := range c.registry.Available(service, now) {
		remaining := c.platform.Gate.Wait(t, now)
		if remaining == 0 || t.Stage != stage && t.Stage != registrar.AnyStage {
			continue
		}
		if !found || remaining < shortest {
			shortest, found = remaining, true
		}
	}
	return shortest, found
}

// instanceCount returns the number of live instances, including this one.
func (c *Coordinator) instanceCount() int { return len(c.peers.Alive(time.Now())) + 1 }

// jitter returns the maximum jitter of target choices: by how much the predictions of two instances may differ. It
// is larger with hubs, because the loads that instances receive from each other are then older.
func (c *Coordinator) jitter() time.Duration {
	if c.peers.UsesHubs() {
		return hubJitter
	}
	return meshJitter
}

// Serve handles a client's call.
func (c *Coordinator) Serve(ctx context.Context, w http.ResponseWriter, call *forwarder.Call) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := context.AfterFunc(c.requests, func() { cancel(context.Cause(c.requests)) })
	defer stop()
	c.forward.Serve(ctx, w, call)
}

// Ready reports whether this instance accepts requests.
func (c *Coordinator) Ready() bool {
	return !c.leaving.Load() && c.table.Load() != nil && c.registry.Targets() != nil
}

// Limits returns the size and time limits for client requests, from the configuration in force or the defaults.
func (c *Coordinator) Limits() matcher.Limits {
	l := matcher.Limits{}
	if t := c.table.Load(); t != nil {
		l = t.Limits
	}
	return matcher.Limits{
		HeaderBytes: cmp.Or(l.HeaderBytes, defaultHeaderBytes), BodyBytes: cmp.Or(l.BodyBytes, defaultBodyBytes),
		HeaderTimeout: cmp.Or(l.HeaderTimeout, defaultHeaderTimeout), IdleTimeout: cmp.Or(l.IdleTimeout, defaultIdleTimeout),
	}
}

// capacity returns the capacity of an instance for comparison with others: thousandths of a core, or units of 100
// kbit/s if the link is the bottleneck.
func capacity(b parser.EntryBounds) uint32 {
	return uint32(min(b.Cores*1000, b.LinkMegabits*10))
}

// Addresses returns the addresses of live and ready instances for a client in an availability zone. Those that are cut off from
// the targets are offered only if there are no others.
func (c *Coordinator) Addresses(zone identifier.ZoneID) []string {
	var ready, cutOff []*gossiper.Member
	add := func(m *gossiper.Member, isCutOff bool) {
		if isCutOff {
			cutOff = append(cutOff, m)
			return
		}
		ready = append(ready, m)
	}
	if c.Ready() {
		add(c.self, c.cutOffFromAll(c.unreachableServices()))
	}
	for _, p := range c.peers.Alive(time.Now()) {
		if p.Ready && !p.Leaving {
			add(p.Member, c.cutOffFromAll(p.Unreachable))
		}
	}
	if len(ready) == 0 {
		ready = cutOff
	}
	var addresses []string
	for _, m := range director.Choose(ready, zone, c.self.ID, rand.Float64) {
		addresses = append(addresses, m.ClientAddress)
	}
	return addresses
}

func (c *Coordinator) tableAge() time.Duration {
	age, known := c.config.Age(time.Now())
	if !known {
		return time.Hour
	}
	return age
}

// countRequest counts a request that starts now; requests without a team are not counted.
func (c *Coordinator) countRequest(team identifier.TeamID) {
	if team == "" {
		return
	}
	c.counts.Add(c.self.Incarnation, counter.Window(c.medianTime(), c.bounds.UsageWindow), team)
}

// configurationVersion returns the version of a configuration, or false if it is not readable. Once a configuration is in
// force, the mirror keeps it instead of an unreadable one, which is therefore logged here.
func (c *Coordinator) configurationVersion(r mirrorer.Record) (uint64, bool) {
	if r.Key != c.platform.ConfigurationKey {
		return 0, false
	}
	cfg, err := c.platform.DecodeConfiguration(r.Value)
	if err != nil && c.table.Load() != nil {
		c.logUnreadable(r, err)
	}
	return uint64(cfg.Version), err == nil
}

func (c *Coordinator) logUnreadable(r mirrorer.Record, err error) {
	c.logger.Error("configuration not readable, the one before stays in force", zap.Uint64("Offset", uint64(r.Offset)), zap.Error(err))
}

// configurationChanged puts a newer version in force. An older or unreadable one has no effect.
func (c *Coordinator) configurationChanged(r mirrorer.Record) {
	if r.Key != c.platform.ConfigurationKey {
		return
	}
	cfg, err := c.platform.DecodeConfiguration(r.Value)
	if err != nil {
		c.logUnreadable(r, err)
		return
	}
	if reported := c.reportedVersion.Load(); c.table.Load() == nil && uint64(cfg.Version) < reported {
		c.logger.Info("older configuration ignored, a peer has a newer one", zap.Uint64("Version", uint64(cfg.Version)), zap.Uint64("Reported", reported))
		return
	}
	next := matcher.New(cfg)
	for {
		old := c.table.Load()
		if old != nil && old.Version >= next.Version {
			return
		}
		if c.table.CompareAndSwap(old, next) {
			c.moves.Record(next.Moves(old), c.wakefulNow(time.Now()))
			asserter.That(old == nil || old.Version < next.Version, asserter.ConfigurationNeverReverts, "version %d replaces a later one", next.Version)
			break
		}
	}
	c.builds.SetLongestTimeout(longestTimeout(c.table.Load()), c.wakefulNow(time.Now()))
	c.logger.Info("configuration in force", zap.Uint64("Version", uint64(cfg.Version)), zap.Uint64("Offset", uint64(r.Offset)),
		zap.Int("Routes", len(cfg.Routes)), zap.Int("Teams", len(cfg.Teams)), zap.Int("Keys", next.KeyCount()), zap.Bool("KeyRequired", !next.Public))
	if o := next.Omitted(); o != (matcher.Omissions{}) {
		c.logger.Warn("parts of the configuration have no effect", zap.Uint64("Version", uint64(cfg.Version)),
			zap.Int("EmptyKeys", o.EmptyKeys), zap.Int("NamelessTeams", o.NamelessTeams), zap.Int("UnmatchedRoutes", o.UnmatchedRoutes), zap.Int("UnservedRoutes", o.UnservedRoutes))
	}
	c.passOn()
}

// targetChanged applies a target's entry. A target with an unreadable entry is removed.
func (c *Coordinator) targetChanged(r mirrorer.Record) {
	id := identifier.TargetID(r.Key)
	if len(r.Value) == 0 {
		c.registry.Remove(id, time.Now())
		c.logger.Info("target gone", zap.String("Target", r.Key), zap.Uint64("Offset", uint64(r.Offset)))
		c.passOn()
		return
	}
	t, err := c.platform.DecodeTarget(r.Key, r.Value)
	if err != nil {
		c.logger.Warn("target entry not usable", zap.String("Target", r.Key), zap.Uint64("Offset", uint64(r.Offset)), zap.Error(err))
		c.registry.Remove(id, time.Now())
		return
	}
	if !c.registry.Put(t, time.Now()) {
		c.logger.Info("older target entry ignored", zap.String("Target", r.Key), zap.Uint64("Beat", t.Revision), zap.Uint64("Offset", uint64(r.Offset)))
		return
	}
	c.builds.Saw([]pinner.Pin{{Service: t.Service, Build: t.Build}}, c.wakefulNow(time.Now()))
	c.logger.Info("target", zap.String("Target", r.Key), zap.String("Service", string(t.Service)), zap.String("Zone", string(t.Zone)),
		zap.Stringer("Stage", t.Stage), zap.String("Build", string(t.Build)), zap.Bool("Leaving", t.Leaving), zap.Bool("Cheap", t.Cheap), zap.Uint64("Beat", t.Revision), zap.Uint64("Offset", uint64(r.Offset)))
	c.passOn()
}

// passOn sends a change of a stream to the partners at once, unless a hub has sent it to this instance, which is none: the
// hubs send it to all others themselves, and each change would otherwise come back to them from their whole zone.
func (c *Coordinator) passOn() {
	if c.receiving.Load() > 0 && c.peers.UsesHubs() && !c.peers.IsHub(time.Now()) {
		return
	}
	c.peers.SendNow()
}

func (c *Coordinator) memberChanged(r mirrorer.Record) {
	if r.Key == streamRecordKey {
		c.streamRecordChanged(r.Value)
		return
	}
	if len(r.Value) == 0 {
		return // The member unregistered; it counts as alive until its last status is too old.
	}
	m := &gossiper.Member{}
	if err := proto.Unmarshal(r.Value, m); err != nil {
		c.logger.Warn("member record not readable", zap.String("Key", r.Key), zap.Error(err))
		return
	}
	c.peers.AddMember(m)
}
