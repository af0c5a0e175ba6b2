package coordinator

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/counter"
	"github.com/coltsfootscale/coltsfootscale/internal/demander"
	"github.com/coltsfootscale/coltsfootscale/internal/director"
	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/internal/exchanger"
	"github.com/coltsfootscale/coltsfootscale/internal/follower"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/orderkeeper"
	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/reporter"
	"github.com/coltsfootscale/coltsfootscale/internal/retrier"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Data flow of an entry instance on the users' machines:
//
//	store --newest, read--> followers --> mirrors (configuration, targets, members) --> table, registrar, gossiper
//	                                        ^   |
//	peers <--------beats (gossiper)---------+---+   loads, cached parts --> book;  counts --> counter;  lease --> elector
//
//	clients --> ingress --> forwarder --table, registrar, book--> chooser --> backend (targets)
//	                            \--began--> counter --lease holder--> windows --> store, platform
//	                                                  lease holder--> keeper  --> targets

// MemberTopic keeps one record of each entry instance.
type MemberTopic interface {
	follower.Stream
	Put(ctx context.Context, key string, value []byte) error
}

// Platform is what the users' machines offer.
type Platform struct {
	Configuration follower.Stream
	Targets       follower.Stream
	Members       MemberTopic
	Duties        elector.Log
	Backend       forwarder.Backend
	Commander     orderkeeper.Commander
	// Usage and Supply are nil where there are no duties.
	Usage  reporter.UsagePlatform
	Supply orderkeeper.TargetPlatform
	// ConfigurationKey is the key of the configuration in its stream.
	ConfigurationKey    string
	DecodeConfiguration func(data []byte) (matcher.Configuration, error)
	DecodeTarget        func(id string, data []byte) (registrar.Target, error)
	SameTarget          func(older, newer []byte) bool
}

// Handlers are the handlers for those who call an entry instance.
type Handlers struct {
	Client    func(c *Coordinator) http.Handler
	Ready     func(c *Coordinator) http.Handler
	Directory func(c *Coordinator) http.Handler
}

// Coordinator is one entry instance; use New.
type Coordinator struct {
	platform Platform
	faces    Handlers
	logger   *zap.Logger
	reload   func() (*parser.EntrySettings, error)
	settings atomic.Pointer[parser.EntrySettings]
	self     *gossiper.Member
	// bounds are those of the start: the windows and leases of an instance never change while it runs.
	bounds parser.EntryBounds

	config   mirrorer.Mirror
	targets  mirrorer.Mirror
	members  mirrorer.Mirror
	table    atomic.Pointer[matcher.Table]
	registry registrar.Registrar
	book     chooser.TargetStates
	demand   demander.Demand
	counts   counter.Counter
	budget   *retrier.WindowedBudget
	peers    *gossiper.Gossiper
	calls    *exchanger.Client
	elector  *elector.Elector
	keeper   *orderkeeper.StageController
	supplier *orderkeeper.Scaler
	windows  *reporter.WindowReporter
	forward  *forwarder.Forwarder

	// Bodies bounds the memory that clients' bodies take.
	Bodies forwarder.BodyBuffers
	// Metrics answers with all metrics in the Prometheus text format.
	Metrics http.Handler
	metrics tally.Scope
	closer  func() error

	leaving  atomic.Bool
	inFlight atomic.Int64

	mu   sync.Mutex
	told map[string]*told
}

// New prepares an entry instance; reload reads the settings again.
func New(settings *parser.EntrySettings, p Platform, faces Handlers, reload func() (*parser.EntrySettings, error), logger *zap.Logger) *Coordinator {
	c := &Coordinator{platform: p, faces: faces, logger: logger, reload: reload, told: map[string]*told{}}
	c.settings.Store(settings)
	c.bounds = settings.Bounds
	c.openMetrics()
	c.self = &gossiper.Member{
		ID: string(settings.Instance), Incarnation: uuid.NewString()[:incarnationDigits], Zone: string(settings.Zone),
		ClientAddress: settings.Listen, PeerAddress: settings.PeerListen, Capacity: capacity(settings.Bounds),
	}
	c.Bodies.MaximumBytes = settings.Bounds.MemoryMegabytes << 20 / bodyPart
	c.wireViews()
	c.wirePeers()
	c.wireDuties()
	c.wireRequests()
	return c
}

func (c *Coordinator) wireViews() {
	c.config.OnChange = c.configurationChanged
	c.targets.OnChange = c.targetChanged
	c.targets.Equivalent = c.platform.SameTarget
	c.members.OnChange = c.memberChanged
	c.targets.OutageThreshold = shortestOutage
	c.targets.FailingFor = func(time.Time) time.Duration { return 0 } // Until the stream is followed.
	c.registry.StoreRestoredAt = c.targets.RecoveredAt
}

func (c *Coordinator) wirePeers() {
	c.calls = &exchanger.Client{Logger: c.logger, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}}
	c.peers = &gossiper.Gossiper{Self: c.self, Caller: c.calls, Logger: c.logger, Status: c.status, AddPayload: c.complete, OnStatus: c.heard, OnMessage: c.learned}
}

func (c *Coordinator) wireDuties() {
	bounds := c.bounds
	c.elector = &elector.Elector{
		Holder: c.self.ID + "/" + c.self.Incarnation, Log: c.platform.Duties, Lease: bounds.Lease, Logger: c.logger,
		Now: bootTime, Eligible: c.eligible,
	}
	c.supplier = &orderkeeper.Scaler{
		DutyLease: c.elector, Platform: c.platform.Supply, Table: c.table.Load,
		Targets: c.registry.NotLeaving, Serving: c.registry.Available, Load: c.demand.Peak, Logger: c.logger,
	}
	c.keeper = &orderkeeper.StageController{
		Holder: c.self.ID, DutyLease: c.elector, Commander: c.platform.Commander, ScalingDown: c.supplier.ScalingDown,
		Table: c.table.Load, Targets: c.registry.NotLeaving, Announce: c.announceOrders, Logger: c.logger,
	}
	c.windows = &reporter.WindowReporter{
		DutyLease: c.elector, Platform: c.platform.Usage, Length: bounds.UsageWindow, MaximumDelay: bounds.UsageLate,
		Now: c.trueTime, Total: c.counts.Total, Logger: c.logger,
	}
}

func (c *Coordinator) wireRequests() {
	bounds := c.bounds
	c.budget = &retrier.WindowedBudget{
		Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow,
		MemberCount: c.instances,
	}
	c.forward = &forwarder.Forwarder{
		Zone: identifier.ZoneID(c.self.Zone), Table: c.table.Load, TableAge: c.tableAge,
		Targets: c.registry.Available, Expected: c.expected, Instances: c.instances,
		States: &c.book, Chooser: &chooser.Chooser{Policy: c.settings.Load().Routing.Policy}, MaximumJitter: c.spread,
		Backend: c.platform.Backend, Budget: c.budget,
		CountRequest: c.began, RecordDemand: c.demand.Add, Logger: c.logger, Metrics: c.metrics,
	}
}

// expected is how soon a target that was told to change to a stage will have changed.
func (c *Coordinator) expected(service identifier.ServiceID, stage registrar.Stage, now time.Time) (time.Duration, bool) {
	s := c.table.Load().Service(service)
	if s == nil || s.Engine == nil {
		return 0, false
	}
	soonest, found := time.Duration(0), false
	for _, o := range c.registry.PendingOrders(now) {
		if o.Service != service || o.Stage != stage {
			continue
		}
		if left := max(0, s.Engine.SwitchTime-(orderkeeper.SettleTime-o.Remaining)); !found || left < soonest {
			soonest, found = left, true
		}
	}
	return soonest, found
}

// instances is how many instances are alive, this one with them.
func (c *Coordinator) instances() int { return len(c.peers.Alive(time.Now())) + 1 }

// spread is how far apart the predictions of two instances may be, by the age of what they know of each other.
func (c *Coordinator) spread() time.Duration {
	if c.peers.UsesHubs() {
		return spreadLarge
	}
	return spreadSmall
}

// Serve answers a client's call.
func (c *Coordinator) Serve(ctx context.Context, w http.ResponseWriter, call *forwarder.Call) {
	c.forward.Serve(ctx, w, call)
}

// Ready tells whether this instance takes requests.
func (c *Coordinator) Ready() bool {
	return !c.leaving.Load() && c.table.Load() != nil && c.registry.Targets() != nil
}

// Limits bounds what a client may send and how long it may take, by the configuration in force.
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

// capacity compares instances: thousandths of a core, or tens of kilobits a second where the link is the bottleneck.
func capacity(b parser.EntryBounds) uint32 {
	return uint32(min(b.Cores*1000, b.LinkMegabits*10))
}

// Addresses returns where a client of an availability zone may connect: instances that are known to be alive and ready.
func (c *Coordinator) Addresses(zone identifier.ZoneID) []string {
	var ready []*gossiper.Member
	if c.Ready() {
		ready = append(ready, c.self)
	}
	for _, p := range c.peers.Alive(time.Now()) {
		if p.Ready && !p.Leaving {
			ready = append(ready, p.Member)
		}
	}
	var addresses []string
	for _, m := range director.Choose(ready, zone, rand.Float64) {
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

// began counts a request that begins to run now.
func (c *Coordinator) began(team identifier.TeamID) {
	if team == "" {
		return
	}
	c.counts.Add(c.self.Incarnation, counter.Window(c.trueTime(), c.bounds.UsageWindow), team)
}

// configurationChanged puts a newer version in force; an older one or one that cannot be read changes nothing.
func (c *Coordinator) configurationChanged(r mirrorer.Record) {
	if r.Key != c.platform.ConfigurationKey {
		return
	}
	cfg, err := c.platform.DecodeConfiguration(r.Value)
	if err != nil {
		c.logger.Error("configuration not readable, the one before stays in force", zap.Uint64("Offset", uint64(r.Offset)), zap.Error(err))
		return
	}
	next := matcher.New(cfg)
	for {
		old := c.table.Load()
		if old != nil && old.Version >= next.Version {
			return
		}
		if c.table.CompareAndSwap(old, next) {
			asserter.That(old == nil || old.Version < next.Version, asserter.ConfigurationNeverReverts, "version %d after a later one", next.Version)
			break
		}
	}
	c.logger.Info("configuration in force", zap.Uint64("Version", uint64(cfg.Version)), zap.Uint64("Offset", uint64(r.Offset)),
		zap.Int("Routes", len(cfg.Routes)), zap.Int("Teams", len(cfg.Teams)))
	c.peers.SendNow()
}

// targetChanged takes a target's entry. One that cannot be read names no target to use.
func (c *Coordinator) targetChanged(r mirrorer.Record) {
	id := identifier.TargetID(r.Key)
	if len(r.Value) == 0 {
		c.registry.Remove(id, time.Now())
		c.logger.Info("target gone", zap.String("Target", r.Key), zap.Uint64("Offset", uint64(r.Offset)))
		c.peers.SendNow()
		return
	}
	t, err := c.platform.DecodeTarget(r.Key, r.Value)
	if err != nil {
		c.logger.Warn("target entry not usable", zap.String("Target", r.Key), zap.Uint64("Offset", uint64(r.Offset)), zap.Error(err))
		c.registry.Remove(id, time.Now())
		return
	}
	if !c.registry.Put(t, time.Now()) {
		c.logger.Info("older target entry ignored", zap.String("Target", r.Key), zap.Uint64("Beat", t.Sequence), zap.Uint64("Offset", uint64(r.Offset)))
		return
	}
	c.logger.Info("target", zap.String("Target", r.Key), zap.String("Service", string(t.Service)), zap.String("Zone", string(t.Zone)),
		zap.Stringer("Stage", t.Stage), zap.Bool("Leaving", t.Leaving), zap.Bool("Cheap", t.Cheap), zap.Uint64("Beat", t.Sequence), zap.Uint64("Offset", uint64(r.Offset)))
	c.peers.SendNow()
}

func (c *Coordinator) memberChanged(r mirrorer.Record) {
	if len(r.Value) == 0 {
		return // It said that it leaves; its silence is what counts.
	}
	m := &gossiper.Member{}
	if err := proto.Unmarshal(r.Value, m); err != nil {
		c.logger.Warn("member record not readable", zap.String("Key", r.Key), zap.Error(err))
		return
	}
	c.peers.AddMember(m)
}
