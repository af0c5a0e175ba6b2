package coordinator

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/exchanger"
	"github.com/coltsfootscale/coltsfootscale/internal/follower"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
)

// Run serves until SIGTERM, an interrupt or the end of stop. It then announces that this instance leaves and lets the
// requests in progress finish within the grace period.
func (c *Coordinator) Run(stop context.Context) error {
	settings := c.settings.Load()
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(settings.Bounds.MemoryMegabytes<<20)))
	c.logger.Info("entry instance starts", zap.String("Incarnation", c.self.Incarnation), zap.String("Zone", c.self.Zone),
		zap.Strings("Seeds", settings.Seeds))
	peerLis, err := networker.ListenWithBuffer(settings.PeerListen, receiveBytes(c.bounds))
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	if c.datagrams.conn, err = net.ListenPacket("udp", settings.PeerListen); err != nil {
		return errors.Join(fmt.Errorf("listen for datagrams of peers: %w", err), peerLis.Close())
	}
	asserter.OnViolation(func(invariant asserter.Invariant, detail string) {
		c.logger.Error("invariant violated", zap.String("Invariant", string(invariant)), zap.String("Detail", detail))
	})
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	duties, stopDuties := context.WithCancel(background)
	defer stopDuties()
	var group sync.WaitGroup
	c.start(background, duties, peerLis, &group)
	err = c.serve(stop, stopDuties)
	ending, ended := context.WithTimeout(background, endTimeout)
	defer ended()
	c.unregister(ending)
	cancel()
	if !waitFor(&group, endTimeout/2) {
		c.logger.Warn("background tasks still run at the end")
	}
	c.logger.Info("entry instance ends", zap.Error(err))
	return errors.Join(err, c.closer())
}

// waitFor waits for a group for the given time at most, and reports whether it has ended.
func waitFor(group *sync.WaitGroup, limit time.Duration) bool {
	done := make(chan struct{})
	go func() {
		group.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// start runs each background task in a goroutine of its own. The tasks of the lease holder end with duties.
func (c *Coordinator) start(background, duties context.Context, peerLis net.Listener, group *sync.WaitGroup) {
	peerServer := &exchanger.Server{
		NewRequest: func() proto.Message { return &gossiper.Beat{} },
		Answer:     func(req proto.Message) proto.Message { return c.gossipMeter.answer(c.peers, req.(*gossiper.Beat)) },
		Logger:     c.logger, OnRefusal: c.countPeerRefusal,
		MaximumSessions: connectionLimits(c.bounds)[listenerPeers], MaximumStreams: peerStreams,
		MaximumBytes: c.bounds.PeerMegabytes << 20,
	}
	targets := c.newFollower(streamTargets, c.platform.Targets, &c.targets, c.copyAge)
	c.targets.FailingFor = targets.FailingFor
	for _, task := range []func(context.Context){
		c.peers.Run, c.prober.Run, c.contactSeeds, c.register, c.cleanUp, c.watchSettings, c.keepStreamRecord,
		func(ctx context.Context) {
			c.awaitPeer(ctx)
			c.newFollower(streamConfiguration, c.platform.Configuration, &c.config, c.copyAge).Run(ctx)
		},
		targets.Run,
		c.newFollower(streamMembers, c.platform.Members, &c.members, c.memberCopyAge).Run,
		func(ctx context.Context) { peerServer.Serve(ctx, peerLis) },
		func(ctx context.Context) { c.datagrams.receive(ctx, c.receiveDatagram, c.logger) },
		c.quotas.Run,
	} {
		group.Go(func() { task(background) })
	}
	group.Go(func() { c.elector.Run(duties) })
	if !c.settings.Load().Routing.FixedStages {
		group.Go(func() { c.stageController.Run(duties) })
	}
	if c.platform.Usage != nil {
		group.Go(func() { c.windowReporter.Run(duties) })
		group.Go(func() { c.targetScaler.Run(duties) })
	}
}

func (c *Coordinator) newFollower(name string, s follower.Stream, m *mirrorer.Mirror, maximumAge func() time.Duration) *follower.Follower {
	return &follower.Follower{
		Name: name, Stream: s, Mirror: m, Logger: c.logger, MaximumAge: maximumAge, Retry: c.retryPause,
	}
}

func (c *Coordinator) retryPause(failures int) time.Duration {
	return c.reader().RetryPause(failures, rand.Float64())
}

func (c *Coordinator) copyAge() time.Duration { return c.reader().CopyAge() }

func (c *Coordinator) memberCopyAge() time.Duration {
	return c.reader().MemberCopyAge(time.Since(c.startedAt))
}

// reader describes this instance as a reader of the store.
func (c *Coordinator) reader() Reader {
	r := Reader{UsesHubs: c.peers.UsesHubs()}
	alive := c.peers.Alive(time.Now())
	for _, p := range alive {
		if !p.Leaving && c.isStronger(p.Member) {
			r.Rank++
		}
	}
	r.Isolated = len(alive) == 0 && c.memberCount() > 1
	r.Instances, r.Alone = len(alive)+1, len(alive) == 0 && (r.Isolated || c.seedCount() > 1)
	return r
}

// register writes this instance's member record to the store, with retries until it succeeds, and again whenever the
// store may have lost it.
func (c *Coordinator) register(ctx context.Context) {
	record, err := proto.Marshal(c.self)
	if err != nil {
		c.logger.Error("cannot encode member record", zap.Error(err))
		return
	}
	for failures := 0; ; {
		err := c.putMember(ctx, record)
		if err == nil {
			failures = 0
			if !c.registerAgain(ctx) {
				return
			}
			continue
		}
		failures++
		c.logger.Debug("cannot register member", zap.Error(err))
		if sleeper.Sleep(ctx, max(joinRetryPause, c.retryPause(failures))) != nil {
			return
		}
	}
}

// unregister deletes the member record. A record that remains is harmless, because members count only while they send
// statuses.
func (c *Coordinator) unregister(ctx context.Context) {
	if err := c.putMember(ctx, nil); err != nil {
		c.logger.Debug("cannot unregister member", zap.Error(err))
	}
}

func (c *Coordinator) putMember(ctx context.Context, record []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.platform.Members.Put(ctx, c.self.ID, record)
}

// cleanUp removes outdated state, and updates the demand samples and gauges, at each cleanupInterval.
func (c *Coordinator) cleanUp(ctx context.Context) {
	for started := time.Now(); sleeper.Sleep(ctx, cleanupInterval) == nil; started = time.Now() {
		c.updateWorkload(time.Since(started) - cleanupInterval)
		c.updateConnections()
		c.registry.Expire(time.Now())
		c.recordBuilds(time.Now())
		c.prober.Retain(c.targetAddresses())
		c.updateReach()
		c.platform.Gate.Expire(c.registry.Targets(), time.Now())
		c.quarantine.Expire(time.Now())
		c.applyOutdatedConfiguration()
		c.targetStates.Retain(c.registry.Targets(), time.Now())
		c.calibrator.Retain(c.registry.Targets(), time.Now())
		c.demand.Sample(time.Now())
		c.updateGauges(time.Now())
		c.counts.Prune(c.medianTime().UnixMilli() / c.bounds.UsageWindow.Milliseconds())
	}
}

// watchSettings applies new settings on SIGHUP, or when a periodic check finds a change.
func (c *Coordinator) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	invalid := false
	for ctx.Err() == nil {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signaled = true
		case <-time.After(settingsInterval):
		}
		s, err := c.reload()
		switch {
		case err != nil && (signaled || !invalid):
			c.logger.Error("settings not usable, the ones before stay in force", zap.Bool("Signal", signaled), zap.Error(err))
		case err == nil && (signaled || !equalSettings(s, c.settings.Load())):
			c.settings.Store(s)
			c.logger.Info("settings reloaded", zap.Bool("Signal", signaled), zap.Strings("Seeds", s.Seeds),
				zap.Bool("BoundsAtNextStart", s.Bounds.WithDefaults() != c.bounds))
		}
		invalid = err != nil
	}
}

// serve runs the HTTP servers until a signal or the end of stop, and then until the last request is done.
func (c *Coordinator) serve(stop context.Context, stopDuties func()) error {
	settings := c.settings.Load()
	client, err := c.listen(listenerClients, settings.Listen, &c.workload.clients, c.countInFlight(c.handlers.Client(c)))
	if err != nil {
		return err
	}
	c.client = client
	ready, err := c.listen(listenerReadiness, settings.ReadyListen, nil, c.withoutBody(c.handlers.Ready(c)))
	if err != nil {
		return err
	}
	directory, err := c.listen(listenerDirectory, settings.DirectoryListen, nil, c.withoutBody(c.handlers.Directory(c)))
	if err != nil {
		return err
	}
	var once sync.Once
	servers := []transport.Server{client, ready, directory}
	if settings.RelayListen != "" {
		relay, err := c.listen(listenerRelay, settings.RelayListen, &c.workload.peers, c.countInFlight(c.countOfPeers(c.handlers.Relay(c))))
		if err != nil {
			return err
		}
		c.relay = relay
		servers = append(servers, relay)
	}
	if metrics, err := c.listen(listenerMetrics, settings.MetricsListen, nil, c.withoutBody(c.Metrics)); err != nil {
		// The metrics port is fixed, while the other ports change daily: it may be in use, which must not stop the
		// service.
		c.logger.Error("cannot serve metrics", zap.Error(err))
	} else {
		servers = append(servers, metrics)
	}
	app := kratos.New(
		kratos.Server(servers...),
		kratos.Signal(syscall.SIGTERM, os.Interrupt),
		kratos.StopTimeout(shutdownTimeout),
		kratos.BeforeStop(func(context.Context) error {
			once.Do(func() {
				ending := time.Now().Add(settings.Bounds.Grace - stopMargin - answerMargin)
				c.leave(stopDuties)
				c.drain(ending)
			})
			return nil
		}),
	)
	stopped := context.AfterFunc(stop, func() {
		if err := app.Stop(); err != nil {
			c.logger.Error("cannot stop servers", zap.Error(err))
		}
	})
	defer stopped()
	err = app.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (c *Coordinator) timeLimits() (header, idle time.Duration) {
	l := c.Limits()
	return l.HeaderTimeout, l.IdleTimeout
}

func (c *Coordinator) countInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.inFlight.Add(1)
		defer c.inFlight.Add(-1)
		h.ServeHTTP(&lastWriter{ResponseWriter: w, last: c.leaving.Load}, r)
	})
}

func (c *Coordinator) countOfPeers(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.workload.ofPeers.Add(1)
		defer c.workload.ofPeers.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// leave announces that this instance leaves, and keeps serving for leaveTime until clients stop using its address.
func (c *Coordinator) leave(stopDuties func()) {
	c.leaving.Store(true)
	c.logger.Info("leaving", zap.Int64("InFlight", c.inFlight.Load()))
	stopDuties()
	c.peers.SendNow()
	time.Sleep(leaveTime)
	// By now most clients have been told with a response that the connection ends, which no request can cross.
	for _, srv := range []*server{c.client, c.relay} {
		if srv != nil {
			srv.lis.CloseIdle()
		}
	}
}

// drain refuses new connections, and requests that come on open ones, until the last request is done. It ends the requests that are in
// progress at the given time, so that their clients get an answer before the process ends.
func (c *Coordinator) drain(ending time.Time) {
	c.stopping.Store(true)
	for _, s := range c.allServers() {
		if err := s.lis.StopAccepting(); err != nil {
			c.logger.Warn("listener not closed", zap.Error(err))
		}
	}
	c.logger.Info("draining", zap.Int64("InFlight", c.inFlight.Load()))
	for c.inFlight.Load() > 0 && time.Now().Before(ending) {
		time.Sleep(drainPause)
	}
	if n := c.inFlight.Load(); n > 0 {
		c.logger.Warn("requests are ended by the stop", zap.Int64("InFlight", n))
	}
	c.endRequests(forwarder.ErrStopping)
	for _, s := range c.allServers() {
		s.lis.CloseUnused()
	}
	ctx, cancel := context.WithDeadline(context.Background(), ending.Add(answerMargin))
	defer cancel()
	for _, srv := range []*server{c.client, c.relay} {
		if srv == nil {
			continue
		}
		if err := srv.Shutdown(ctx); err != nil {
			c.logger.Warn("connections are cut by the stop", zap.Int64("InFlight", c.inFlight.Load()), zap.Error(err))
		}
	}
}
