package coordinator

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/ratelimiter"
)

// newQuotas returns the limiter of the teams' requests, which sends its datagrams from the address for peers.
func (c *Coordinator) newQuotas() *ratelimiter.Limiter {
	return &ratelimiter.Limiter{
		Self: c.self.ID, StartedAt: c.startedAt, View: c.quotaView, Table: c.table.Load, Network: &c.datagrams,
		Bounds: ratelimiter.Bounds{
			Window: c.bounds.QuotaWindow, Overshoot: c.bounds.QuotaOvershoot, Slack: matcher.QuotaUnits(c.bounds.QuotaSlack),
		},
		Logger: c.logger, Metrics: c.metrics,
	}
}

// quotaView returns the live instances and the number of those that may be running.
func (c *Coordinator) quotaView() ratelimiter.View {
	now := time.Now()
	alive := c.peers.Alive(now)
	v := ratelimiter.View{Peers: make([]ratelimiter.Peer, 0, len(alive)), Running: c.place(now).Instances, Leaving: c.leaving.Load()}
	for _, p := range alive {
		v.Peers = append(v.Peers, ratelimiter.Peer{ID: p.Member.ID, Address: p.Member.PeerAddress, Leaving: p.Leaving})
	}
	return v
}

// receiveDatagram passes a datagram to the part of this instance that it is for.
func (c *Coordinator) receiveDatagram(from string, data []byte) {
	if len(data) > 0 && data[0] == ratelimiter.Prefix {
		c.quotas.Receive(from, data[1:])
		return
	}
	c.pins.Receive(from, data)
}
