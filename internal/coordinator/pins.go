package coordinator

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// maximumDatagram is the largest datagram that is read; those of pins take some 100 bytes.
	maximumDatagram = 2 << 10
	// minimumStreamAge is the least time for which an instance that does not know where a stream began assumes that it may have
	// begun; routes with longer timeouts extend it.
	minimumStreamAge = 5 * time.Second
	// firstStartSpan is the time before the first start of the fleet in which no stream has begun.
	firstStartSpan = time.Hour
	// listAgeForBuilds is the age of the list of targets beyond which it may lack a build that others use.
	listAgeForBuilds = 2 * time.Second
)

// datagrams sends and receives datagrams on the address for peers.
type datagrams struct {
	conn net.PacketConn
}

// Send sends one datagram.
func (d *datagrams) Send(address string, data []byte) error {
	addr, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return err
	}
	_, err = d.conn.WriteTo(data, addr)
	return err
}

// receive passes datagrams on until ctx ends.
func (d *datagrams) receive(ctx context.Context, process func(from string, data []byte), logger *zap.Logger) {
	stop := context.AfterFunc(ctx, func() { d.conn.Close() })
	defer stop()
	buffer := make([]byte, maximumDatagram)
	for {
		n, from, err := d.conn.ReadFrom(buffer)
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			logger.Debug("cannot receive datagram", zap.Error(err))
		default:
			process(from.String(), buffer[:n])
		}
	}
}

// pinPeers returns the live peers that hold pins.
func (c *Coordinator) pinPeers() []pinner.Peer {
	alive := c.peers.Alive(time.Now())
	list := make([]pinner.Peer, 0, len(alive))
	for _, p := range alive {
		list = append(list, pinner.Peer{ID: p.Member.ID, Address: p.Member.PeerAddress, Leaving: p.Leaving})
	}
	return list
}

// soleBuild returns the only build of a service that targets had while a stream that is still going on may have begun.
func (c *Coordinator) soleBuild(service identifier.ServiceID) (identifier.Build, bool) {
	now := time.Now()
	if !c.seesAllBuilds(now) {
		return "", false
	}
	return c.sightings.Sole(service, c.streamAge(), now)
}

// seesAllBuilds reports whether a build that other instances use would be listed here: the list is fresh, or most instances,
// which send each other their lists, are in contact.
func (c *Coordinator) seesAllBuilds(now time.Time) bool {
	if age, known := c.targets.Age(now); known && age <= listAgeForBuilds {
		return true
	}
	_, instances := c.peers.Place(now)
	return 2*c.instanceCount() > instances
}

// streamAge returns the longest time for which clients wait for the end of a stream, with half as much again for what comes
// late.
func (c *Coordinator) streamAge() time.Duration {
	longest := minimumStreamAge
	if t := c.table.Load(); t != nil {
		for i := range t.Routes {
			if r := &t.Routes[i]; r.Kind == matcher.Stream {
				longest = max(longest, r.Timeout+r.Timeout/2)
			}
		}
	}
	return longest
}

// recordSightings records the builds of all listed targets, once a complete list is known.
func (c *Coordinator) recordSightings(now time.Time) {
	if _, known := c.targets.Age(now); known {
		c.sightings.Cover(now)
	}
	for _, t := range c.registry.Targets() {
		c.recordSighting(t, now)
	}
}

func (c *Coordinator) recordSighting(t *registrar.Target, now time.Time) {
	c.sightings.Saw(pinner.Pin{Service: t.Service, Build: t.Build}, now)
}

// addSightings adds how long the builds of all targets are known, and which they were if the peer knows less.
func (c *Coordinator) addSightings(b, last *gossiper.Beat, now time.Time) {
	b.SightingsSpanMilliseconds = c.sightings.Span(now).Milliseconds()
	if last != nil && last.SightingsSpanMilliseconds >= min(c.streamAge().Milliseconds(), b.SightingsSpanMilliseconds) {
		return
	}
	for _, s := range c.sightings.Recent(now) {
		b.Sightings = append(b.Sightings, &gossiper.Sighting{Service: string(s.Service), Build: string(s.Build), AgeMilliseconds: s.Age.Milliseconds()})
	}
}

// applySightings takes over what a peer knows about earlier builds. Ages count from the arrival: a sighting that seems later than it
// was does no harm.
func (c *Coordinator) applySightings(b *gossiper.Beat, now time.Time) {
	if len(b.Sightings) == 0 {
		return
	}
	for _, s := range b.Sightings {
		pin := pinner.Pin{Service: identifier.ServiceID(s.Service), Build: identifier.Build(s.Build)}
		c.sightings.Saw(pin, now.Add(-time.Duration(s.AgeMilliseconds)*time.Millisecond))
	}
	c.sightings.Cover(now.Add(-time.Duration(b.SightingsSpanMilliseconds) * time.Millisecond))
}
