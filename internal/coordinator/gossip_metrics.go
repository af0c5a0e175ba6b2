package coordinator

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

// meteredClient counts the bytes, the duration and the failures of the exchanges that this instance starts.
type meteredClient struct {
	gossiper.PeerClient
	meter *gossipMeter
}

// Exchange sends req to the peer at addr and decodes the peer's reply into reply.
func (c *meteredClient) Exchange(ctx context.Context, addr string, req, reply proto.Message) error {
	started := time.Now()
	err := c.PeerClient.Exchange(ctx, addr, req, reply)
	c.meter.duration.Record(time.Since(started))
	c.meter.sent.Inc(int64(proto.Size(req)))
	if err != nil {
		c.meter.failures.Inc(1)
		return err
	}
	c.meter.received.Inc(int64(proto.Size(reply)))
	return nil
}

// gossipMeter holds the metrics of gossip messages. A message counts as sent also if the exchange fails.
type gossipMeter struct {
	sent, received, failures tally.Counter
	duration                 tally.Timer
}

func newGossipMeter(scope tally.Scope) *gossipMeter {
	bytes := func(direction string) tally.Counter {
		return scope.Tagged(map[string]string{"Direction": direction}).Counter("GossipBytes")
	}
	return &gossipMeter{
		sent: bytes("Sent"), received: bytes("Received"), failures: scope.Counter("GossipFailures"), duration: scope.Timer("GossipExchange"),
	}
}

// answer replies to a peer's message and counts the bytes of both.
func (m *gossipMeter) answer(g *gossiper.Gossiper, req *gossiper.Beat) *gossiper.Beat {
	m.received.Inc(int64(proto.Size(req)))
	reply := g.Answer(req)
	m.sent.Inc(int64(proto.Size(reply)))
	return reply
}
