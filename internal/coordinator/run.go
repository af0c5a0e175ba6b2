package coordinator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/go-kratos/kratos/v2"
	"github.com/go-kratos/kratos/v2/transport"
	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/exchanger"
	"github.com/coltsfootscale/coltsfootscale/internal/follower"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
)

// Run serves until SIGTERM and then leaves without cutting a request.
func (c *Coordinator) Run(stop context.Context) error {
	settings := c.settings.Load()
	debug.SetMemoryLimit(int64(memoryPart * float64(settings.Bounds.MemoryMegabytes<<20)))
	c.logger.Info("entry instance starts", zap.String("Incarnation", c.self.Incarnation), zap.String("Zone", c.self.Zone),
		zap.Strings("Seeds", settings.Seeds))
	peerLis, err := net.Listen("tcp", settings.PeerListen)
	if err != nil {
		return fmt.Errorf("peers: %w", err)
	}
	asserter.OnViolation(func(invariant asserter.Invariant, detail string) {
		c.logger.Error("invariant violated", zap.String("Invariant", string(invariant)), zap.String("Detail", detail))
	})
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	duties, yield := context.WithCancel(background)
	defer yield()
	var group sync.WaitGroup
	c.start(background, duties, peerLis, &group)
	err = c.serve(stop, yield)
	c.unregister(background)
	cancel()
	group.Wait()
	c.logger.Info("entry instance ends", zap.Error(err))
	return errors.Join(err, c.closer())
}

// start runs each duty on a goroutine of its own.
func (c *Coordinator) start(background, duties context.Context, peerLis net.Listener, group *sync.WaitGroup) {
	peerServer := &exchanger.Server{
		New:    func() proto.Message { return &gossiper.Beat{} },
		Answer: func(req proto.Message) proto.Message { return c.peers.Handle(req.(*gossiper.Beat)) },
		Logger: c.logger,
	}
	targets := c.follow(streamTargets, c.platform.Targets, &c.targets, c.readAge)
	c.targets.FailingFor = targets.FailingFor
	for _, duty := range []func(context.Context){
		c.peers.Run, c.contactSeeds, c.register, c.tidy, c.watchSettings,
		c.follow(streamConfiguration, c.platform.Configuration, &c.config, c.readAge).Run,
		targets.Run,
		c.follow(streamMembers, c.platform.Members, &c.members, c.memberAge).Run,
		func(ctx context.Context) { peerServer.Serve(ctx, peerLis) },
	} {
		group.Go(func() { duty(background) })
	}
	group.Go(func() { c.elector.Run(duties) })
	if !c.settings.Load().Routing.FixedStages {
		group.Go(func() { c.keeper.Run(duties) })
	}
	if c.platform.Usage != nil {
		group.Go(func() { c.windows.Run(duties) })
		group.Go(func() { c.supplier.Run(duties) })
	}
}

func (c *Coordinator) follow(name string, s follower.Stream, m *mirrorer.Mirror, age func() time.Duration) *follower.Follower {
	return &follower.Follower{
		Name: name, Stream: s, Mirror: m, Logger: c.logger, MaximumAge: age,
	}
}

// readAge is how old this instance lets its copies grow: the first of all reads the store, the others wait for its beats.
func (c *Coordinator) readAge() time.Duration { return readerAge + c.delay() }

// memberAge is the same for the list of members, which fills in the first seconds and rarely changes later.
func (c *Coordinator) memberAge() time.Duration {
	if gossiper.Monotonic(time.Now()) < gatherTime {
		return gatherAge
	}
	return memberAge + c.delay()
}

func (c *Coordinator) delay() time.Duration {
	rank := c.rank()
	most := MaximumCopyAge(c.peers.UsesHubs(), rank) - readerAge
	return min(most, time.Duration(rank)*rankDelay)
}

// MaximumCopyAge is how old the instance of a rank lets its copies of the configuration and the targets grow by what beats
// tell. They may be older in truth by the time that an exchange took.
func MaximumCopyAge(large bool, rank int) time.Duration {
	if large && rank >= hubReaders {
		return readerAge + mostDelayLarge
	}
	return readerAge + mostDelay
}

// contactSeeds makes this instance known to those that its settings name, until one is heard.
func (c *Coordinator) contactSeeds(ctx context.Context) {
	for len(c.peers.Alive(time.Now())) == 0 {
		for _, addr := range c.settings.Load().Seeds {
			if addr == c.self.PeerAddress {
				continue
			}
			if err := c.peers.Contact(ctx, addr); err != nil {
				c.logger.Debug("seed not reached", zap.String("Address", addr), zap.Error(err))
			}
		}
		if sleeper.Sleep(ctx, registerRetry) != nil {
			return
		}
	}
}

// register writes this instance's record, until it is done.
func (c *Coordinator) register(ctx context.Context) {
	record, err := proto.Marshal(c.self)
	if err != nil {
		c.logger.Error("member record not made", zap.Error(err))
		return
	}
	for {
		err := c.put(ctx, record)
		if err == nil {
			return
		}
		c.logger.Debug("member not registered", zap.Error(err))
		if sleeper.Sleep(ctx, registerRetry) != nil {
			return
		}
	}
}

// unregister drops the record; one that stays is harmless, because members count only while they are heard.
func (c *Coordinator) unregister(ctx context.Context) {
	if err := c.put(ctx, nil); err != nil {
		c.logger.Debug("member not unregistered", zap.Error(err))
	}
}

func (c *Coordinator) put(ctx context.Context, record []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.platform.Members.Put(ctx, c.self.ID, record)
}

// tidy forgets what is gone.
func (c *Coordinator) tidy(ctx context.Context) {
	for sleeper.Sleep(ctx, tidyPause) == nil {
		c.registry.Expire(time.Now())
		c.book.Retain(c.registry.Targets(), time.Now())
		c.demand.Sample(time.Now())
		c.gauge(time.Now())
		c.counts.Prune(c.trueTime().UnixMilli() / c.bounds.UsageWindow.Milliseconds())
	}
}

// watchSettings takes new settings over at SIGHUP, or when they differ without one.
func (c *Coordinator) watchSettings(ctx context.Context) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	broken := false
	for ctx.Err() == nil {
		signaled := false
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			signaled = true
		case <-time.After(settingsPause):
		}
		s, err := c.reload()
		switch {
		case err != nil && (signaled || !broken):
			c.logger.Error("settings not usable, the ones before stay in force", zap.Bool("Signal", signaled), zap.Error(err))
		case err == nil && (signaled || !equalSettings(s, c.settings.Load())):
			c.settings.Store(s)
			c.logger.Info("settings reloaded", zap.Bool("Signal", signaled), zap.Strings("Seeds", s.Seeds),
				zap.Bool("BoundsAtNextStart", s.Bounds != c.bounds))
		}
		broken = err != nil
	}
}

// serve answers until a signal, or the end of stop, and the last request.
func (c *Coordinator) serve(stop context.Context, yield func()) error {
	settings := c.settings.Load()
	client, err := c.listen(settings.Listen, max(1, settings.Bounds.Descriptors-reservedDescriptors), c.countInFlight(c.faces.Client(c)))
	if err != nil {
		return err
	}
	ready, err := c.listen(settings.ReadyListen, controlConnections, c.faces.Ready(c))
	if err != nil {
		return err
	}
	directory, err := c.listen(settings.DirectoryListen, controlConnections, c.faces.Directory(c))
	if err != nil {
		return err
	}
	var once sync.Once
	servers := []transport.Server{client, ready, directory}
	if metrics, err := c.listen(settings.MetricsListen, controlConnections, c.Metrics); err != nil {
		// The port of the metrics is fixed, while the others are new each day: clients come first.
		c.logger.Error("metrics not served", zap.Error(err))
	} else {
		servers = append(servers, metrics)
	}
	app := kratos.New(
		kratos.Server(servers...),
		kratos.Signal(syscall.SIGTERM, os.Interrupt),
		kratos.StopTimeout(settings.Bounds.Grace-leaveTime-stopMargin),
		kratos.BeforeStop(func(context.Context) error {
			once.Do(func() { c.leave(client, yield) })
			return nil
		}),
	)
	stopped := context.AfterFunc(stop, func() {
		if err := app.Stop(); err != nil {
			c.logger.Error("not stopped", zap.Error(err))
		}
	})
	defer stopped()
	err = app.Run()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// controlConnections bounds the callers of readiness and of the directory.
const controlConnections = 400

func (c *Coordinator) listen(addr string, connections int, h http.Handler) (*khttp.Server, error) {
	lis, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	srv := khttp.NewServer(
		khttp.Listener(networker.TimeListener(networker.LimitListener(lis, connections), c.timeLimits)),
		khttp.Endpoint(&url.URL{Scheme: "http", Host: addr}),
		khttp.Timeout(0),
	)
	srv.ReadHeaderTimeout = networker.HeaderMark
	srv.IdleTimeout = networker.IdleMark
	srv.ErrorLog = zap.NewStdLog(c.logger)
	// kratos' router would redirect paths that it finds unclean.
	srv.Handler = h
	return srv, nil
}

func (c *Coordinator) timeLimits() (header, idle time.Duration) {
	l := c.Limits()
	return l.HeaderTimeout, l.IdleTimeout
}

func (c *Coordinator) countInFlight(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.inFlight.Add(1)
		defer c.inFlight.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// leave says that this instance leaves, and goes on serving until clients have heard of it.
func (c *Coordinator) leave(client *khttp.Server, yield func()) {
	c.leaving.Store(true)
	c.logger.Info("leaving", zap.Int64("InFlight", c.inFlight.Load()))
	yield()
	c.peers.SendNow()
	client.SetKeepAlivesEnabled(false)
	time.Sleep(leaveTime)
}
