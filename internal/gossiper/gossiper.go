package gossiper

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// Interval is the time between two beats to a peer; loads that peers report are that old on average.
	Interval = 250 * time.Millisecond
	// exchangeTimeout bounds one exchange, so that a silent connection is found within a second.
	exchangeTimeout = 800 * time.Millisecond
	// aliveTime is how long a peer counts as alive after it was last heard.
	aliveTime = 1500 * time.Millisecond
	// retryPause is the pause after an exchange that failed; gonePause the one for a peer that is long silent.
	retryPause = 500 * time.Millisecond
	gonePause  = 3 * time.Second
	goneTime   = 15 * time.Second
	// waitForSmaller is how long an instance waits to hear a peer that should call it, before it calls itself.
	waitForSmaller = 3 * Interval
)

// Caller exchanges one message with a peer.
type Caller interface {
	Exchange(ctx context.Context, addr string, req, reply proto.Message) error
}

// Peer is another entry instance as it was last heard.
type Peer struct {
	Member  *Member
	Ready   bool
	Leaving bool
	HeardAt time.Time
	// ClockAhead is how much its time of day is ahead of the steady clock here.
	ClockAhead time.Duration
}

// Gossiper keeps one exchange running with each known peer; exported fields must be set before Run.
//
// Of a pair the instance with the smaller id calls, and both learn from each exchange. The other one calls only
// while it is not called.
type Gossiper struct {
	Self   *Member
	Caller Caller
	Logger *zap.Logger
	// Compose returns the beat for a peer, by what the peer last said it knows; nil: nothing yet.
	Compose func(last *Beat) *Beat
	// Heard takes a peer's beat.
	Heard func(b *Beat, now time.Time)

	mu    sync.Mutex
	ctx   context.Context
	peers map[string]*peer
	group sync.WaitGroup
}

type peer struct {
	Peer
	last   *Beat
	cancel context.CancelFunc
	wake   chan struct{}
}

// Run exchanges beats until ctx ends.
func (g *Gossiper) Run(ctx context.Context) {
	g.mu.Lock()
	g.ctx = ctx
	for _, p := range g.peers {
		g.launch(p)
	}
	g.mu.Unlock()
	<-ctx.Done()
	g.group.Wait()
}

// Know adds a peer, or takes its new incarnation.
func (g *Gossiper) Know(m *Member) {
	if m.GetID() == "" || m.ID == g.Self.ID || m.PeerAddress == g.Self.PeerAddress {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.peers == nil {
		g.peers = map[string]*peer{}
	}
	old := g.peers[m.ID]
	if old != nil && old.Member.Incarnation == m.Incarnation {
		return
	}
	if old != nil && old.cancel != nil {
		old.cancel()
	}
	p := &peer{Peer: Peer{Member: m}, wake: make(chan struct{}, 1)}
	g.peers[m.ID] = p
	if g.ctx != nil {
		g.launch(p)
	}
}

// Contact exchanges one beat with an address whose instance is not yet known.
func (g *Gossiper) Contact(ctx context.Context, addr string) error {
	reply := &Beat{}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	if err := g.Caller.Exchange(ctx, addr, g.Compose(nil), reply); err != nil {
		return err
	}
	g.hear(reply)
	return nil
}

// Answer takes a peer's beat and returns the one for it.
func (g *Gossiper) Answer(b *Beat) *Beat {
	g.hear(b)
	return g.Compose(b)
}

// Wake sends the next beats at once.
func (g *Gossiper) Wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// Peers returns all known peers in the order of their ids.
func (g *Gossiper) Peers() []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		list = append(list, p.Peer)
	}
	slices.SortFunc(list, func(a, b Peer) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	return list
}

// Alive returns the peers that were heard lately.
func (g *Gossiper) Alive(now time.Time) []Peer {
	return slices.DeleteFunc(g.Peers(), func(p Peer) bool { return now.Sub(p.HeardAt) > aliveTime })
}

// AliveIn returns the peers of an availability zone that were heard lately.
func (g *Gossiper) AliveIn(zone identifier.ZoneID, now time.Time) []Peer {
	return slices.DeleteFunc(g.Alive(now), func(p Peer) bool { return p.Member.Zone != string(zone) })
}

func (g *Gossiper) hear(b *Beat) {
	m := b.GetSender()
	if m.GetID() == "" || m.ID == g.Self.ID {
		return
	}
	g.Know(m)
	for _, other := range b.Heard {
		g.Know(other)
	}
	now := time.Now()
	g.mu.Lock()
	p := g.peers[m.ID]
	if p == nil || p.Member.Incarnation != m.Incarnation {
		g.mu.Unlock()
		return
	}
	p.Ready, p.Leaving, p.HeardAt, p.last = b.Ready, b.Leaving, now, b
	p.ClockAhead = time.Duration(b.UnixMilliseconds)*time.Millisecond - time.Duration(now.Sub(steadyStart))
	g.mu.Unlock()
	g.Heard(b, now)
}

// steadyStart is the origin of this process's steady clock.
var steadyStart = time.Now()

// Steady returns the time since the process's steady clock began.
func Steady(now time.Time) time.Duration { return now.Sub(steadyStart) }

// launch starts the exchanges with a peer; the caller holds the lock.
func (g *Gossiper) launch(p *peer) {
	ctx, cancel := context.WithCancel(g.ctx)
	p.cancel = cancel
	g.group.Go(func() {
		defer cancel()
		g.exchange(ctx, p)
	})
}

func (g *Gossiper) exchange(ctx context.Context, p *peer) {
	lost := false
	for ctx.Err() == nil {
		pause := Interval
		if g.myTurn(p) {
			err := g.once(ctx, p)
			if err != nil {
				pause = g.pause(p)
			}
			if (err != nil) != lost && ctx.Err() == nil {
				lost = err != nil
				g.Logger.Info("peer", zap.String("Peer", p.Member.ID), zap.Bool("Lost", lost), zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
		case <-p.wake:
			// Changes that come together go out together.
			sleeper.Sleep(ctx, wakePause)
		case <-time.After(pause):
		}
	}
}

// wakePause gathers changes that come together.
const wakePause = 10 * time.Millisecond

// myTurn tells whether this instance calls: it has the smaller id, or was not called for a while.
func (g *Gossiper) myTurn(p *peer) bool {
	if g.Self.ID < p.Member.ID {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Since(p.HeardAt) > waitForSmaller
}

func (g *Gossiper) pause(p *peer) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if time.Since(p.HeardAt) > goneTime {
		return gonePause
	}
	return retryPause
}

func (g *Gossiper) once(ctx context.Context, p *peer) error {
	g.mu.Lock()
	last := p.last
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply := &Beat{}
	if err := g.Caller.Exchange(ctx, p.Member.PeerAddress, g.Compose(last), reply); err != nil {
		return err
	}
	g.hear(reply)
	return nil
}
