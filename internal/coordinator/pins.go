package coordinator

import (
	"context"
	"errors"
	"net"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// MaximumListWait is how long a stream of which nothing is known waits for a list of targets that is as new as the request. Copies
// of the list are at most so old while the store answers.
const MaximumListWait = 1500 * time.Millisecond

const (
	// maximumDatagram is the largest datagram that is read; those of pins take some 100 bytes.
	maximumDatagram = 2 << 10
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

// soleBuild returns the only build of a service at which a stream on a path can have begun that is still going on: no other build was
// listed, and the path led to no other service. It waits for a configuration and a list of targets that are as new as the question: the
// stream may have begun at what was added just before.
func (c *Coordinator) soleBuild(ctx context.Context, service identifier.ServiceID, host, path string) (identifier.Build, bool) {
	asked := c.wakefulNow(time.Now())
	if _, read := c.members.Age(time.Now()); !read {
		return "", false // The StreamRecord may tell of longer streams.
	}
	ids := matcher.PathIDs(host, path)
	for {
		now := time.Now()
		wakeful := c.wakefulNow(now)
		build, err := c.builds.Sole(service, c.buildList(now), c.contact(now), asked, wakeful)
		if err == nil && c.wakefulPast(now.Add(-c.tableAge())).Before(asked) {
			err = ErrListOlder
		}
		if !errors.Is(err, ErrListOlder) || wakeful.Sub(asked) >= MaximumListWait {
			return build, err == nil && !c.moves.Within(ids, c.builds.StreamAge(wakeful), wakeful)
		}
		if sleeper.Sleep(ctx, checkPause) != nil {
			return "", false
		}
	}
}

// recordDeadline records how long a client waits for a stream that may be taken up.
func (c *Coordinator) recordDeadline(deadline time.Duration) {
	c.builds.SawDeadline(deadline, c.wakefulNow(time.Now()))
}

// recordBuilds records the builds of all listed targets.
func (c *Coordinator) recordBuilds(now time.Time) {
	c.builds.Record(c.buildList(now), c.contact(now), c.wakefulNow(now))
}

func (c *Coordinator) contact(now time.Time) Contact {
	_, running := c.peers.Place(now)
	return Contact{Alive: len(c.peers.Alive(now)) + 1, Running: running}
}

// buildList returns the builds of all listed targets.
func (c *Coordinator) buildList(now time.Time) BuildList {
	l := BuildList{}
	if age, known := c.targets.Age(now); known {
		l.AsOf = c.wakefulPast(now.Add(-age))
	}
	for _, t := range c.registry.Targets() {
		l.Pins = append(l.Pins, pinner.Pin{Service: t.Service, Build: t.Build})
	}
	return l
}

func longestTimeout(t *matcher.Table) time.Duration {
	longest := time.Duration(0)
	for i := range t.Routes {
		if r := &t.Routes[i]; r.Kind == matcher.Stream {
			longest = max(longest, r.Timeout)
		}
	}
	return longest
}
