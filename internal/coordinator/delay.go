package coordinator

import (
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/networker"
)

// behindThreshold is the delay of a timer from which an instance counts as behind: readiness checks and new connections wait as
// long, and clients allow a second.
const behindThreshold = 250 * time.Millisecond

// overloadedThreshold is the delay from which an instance takes no requests of peers: its own clients give up connections after as long.
const overloadedThreshold = time.Second

// workload counts the work that competes for this instance's processor and connections.
type workload struct {
	clients networker.ConnectionCount
	peers   networker.ConnectionCount
	// ofPeers is the number of requests in progress that peers have passed on.
	ofPeers atomic.Int64
	// headsRefused and peersRefused count what the listeners have refused since the last update.
	headsRefused, peersRefused atomic.Int64
	// probes and accepted are the counts at the last update; behind is set while the instance is behind.
	probes, accepted int64
	behind           bool
	// overloaded is set while requests of peers are refused.
	overloaded atomic.Bool
}

// updateWorkload sets the gauges of the workload and logs it while the instance is behind; delay is how late the timer of this update
// fired.
func (c *Coordinator) updateWorkload(delay time.Duration) {
	w := &c.workload
	w.overloaded.Store(delay >= overloadedThreshold)
	probes, accepted := c.prober.Probes(), w.clients.Accepted()
	set := func(name string, value int64) { c.metrics.Gauge(name).Update(float64(value)) }
	set("ClientConnections", w.clients.Open())
	set("PeerConnections", w.peers.Open())
	set("RequestsOfPeers", w.ofPeers.Load())
	c.metrics.Gauge("TimerDelaySeconds").Update(delay.Seconds())
	c.metrics.Counter("TargetProbes").Inc(probes - w.probes)
	c.metrics.Counter("ClientConnectionsAccepted").Inc(accepted - w.accepted)
	if behind := delay >= behindThreshold; behind || w.behind {
		c.logger.Info("workload", zap.Bool("Behind", behind), zap.Duration("Delay", delay), zap.Int64("InFlight", c.inFlight.Load()),
			zap.Int64("OfPeers", w.ofPeers.Load()), zap.Int64("Accepted", accepted-w.accepted), zap.Int64("ClientConnections", w.clients.Open()),
			zap.Int64("PeerConnections", w.peers.Open()), zap.Int64("Probes", probes-w.probes))
		w.behind = behind
	}
	w.probes, w.accepted = probes, accepted
}
