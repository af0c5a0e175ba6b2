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
)

const (
	// meshInterval is the time between two beats to a peer in a small fleet.
	meshInterval = 250 * time.Millisecond
	// RelayInterval is the same in a large fleet, in which hubs pass statuses on.
	RelayInterval = 500 * time.Millisecond
	// ExchangeTimeout bounds one exchange, so that a silent connection is found within a second.
	ExchangeTimeout = 800 * time.Millisecond
	// meshAlive and relayAlive are how long a peer counts as alive after its last status was made.
	meshAlive  = 1500 * time.Millisecond
	relayAlive = 3 * time.Second
	// retryPause is the pause after an exchange that failed; gonePause the one for a peer that is long silent.
	retryPause = 500 * time.Millisecond
	gonePause  = 3 * time.Second
	goneTime   = 15 * time.Second
	// strangerPause is how often it is looked at whether a peer has become a partner.
	strangerPause = time.Second
	// wakePause gathers changes that come together.
	wakePause = 10 * time.Millisecond
)

// Caller exchanges one message with a peer.
type Caller interface {
	Exchange(ctx context.Context, addr string, req, reply proto.Message) error
}

// Peer is another entry instance as it was last heard, directly or from others.
type Peer struct {
	Member  *Member
	Ready   bool
	Leaving bool
	// StatusAt is when its last status was made.
	StatusAt time.Time
	// ClockOffset is how much its time of day is ahead of the steady clock here.
	ClockOffset time.Duration
}

// Gossiper exchanges beats with its partners; exported fields must be set before Run.
//
// Of two partners the one with the smaller id calls, and both learn from each exchange. The other one calls only while
// it is not called. Who is whose partner is decided in topology.go.
type Gossiper struct {
	Self   *Member
	Caller Caller
	Logger *zap.Logger
	// Status returns what this instance says of itself.
	Status func(now time.Time) *Status
	// AddPayload adds what goes with the statuses to a beat, by what the peer last said it knows; last is nil for a peer that
	// has not said anything.
	AddPayload func(b, last *Beat)
	// OnStatus takes a status that is newer than the one before, and Learned what came with a beat.
	OnStatus  func(s *Status, now time.Time)
	OnMessage func(b *Beat, now time.Time)

	mu       sync.Mutex
	ctx      context.Context
	peers    map[string]*peer
	hubs     map[string]bool
	hubsAt   time.Time
	sequence uint64
	group    sync.WaitGroup
}

type peer struct {
	Peer
	status *Status
	// last is the newest beat that the peer sent itself, at directAt; failedAt is when an exchange with it last failed.
	last     *Beat
	directAt time.Time
	failedAt time.Time
	// told are the sequences of other instances' statuses that were sent to the peer.
	told   map[string]uint64
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

// AddMember adds a peer that others know, or its new incarnation if the one before is no longer alive: what others know may be
// older.
func (g *Gossiper) AddMember(m *Member) {
	g.mu.Lock()
	old := g.peers[m.GetID()]
	alive := old != nil && time.Since(old.StatusAt) <= g.aliveTime()
	g.mu.Unlock()
	if !alive {
		g.adopt(m)
	}
}

// adopt adds a peer, or takes its new incarnation.
func (g *Gossiper) adopt(m *Member) {
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
	p := &peer{Peer: Peer{Member: m}, told: map[string]uint64{}, wake: make(chan struct{}, 1)}
	g.peers[m.ID] = p
	g.hubsAt = time.Time{}
	if g.ctx != nil {
		g.launch(p)
	}
}

// Contact exchanges one beat with an address whose instance is not yet known.
func (g *Gossiper) Contact(ctx context.Context, addr string) error {
	reply := &Beat{}
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	if err := g.Caller.Exchange(ctx, addr, g.compose(nil), reply); err != nil {
		return err
	}
	g.hear(reply)
	return nil
}

// Handle takes a peer's beat and returns the one for it.
func (g *Gossiper) Handle(b *Beat) *Beat {
	p := g.hear(b)
	return g.compose(p)
}

// SendNow sends the next beats at once.
func (g *Gossiper) SendNow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		select {
		case p.wake <- struct{}{}:
		default:
		}
	}
}

// Alive returns the peers whose status is recent, in the order of their ids.
func (g *Gossiper) Alive(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	life := g.aliveTime()
	list := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		if now.Sub(p.StatusAt) <= life {
			list = append(list, p.Peer)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	return list
}

// hear takes a beat and returns the peer that sent it, or nil.
func (g *Gossiper) hear(b *Beat) *peer {
	if len(b.Statuses) == 0 || b.Statuses[0].GetMember().GetID() == "" {
		return nil
	}
	now := time.Now()
	for _, m := range b.Members {
		g.AddMember(m)
	}
	for _, s := range b.Statuses {
		if g.update(s, now) {
			g.OnStatus(s, now)
		}
	}
	g.OnMessage(b, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[b.Statuses[0].Member.ID]
	if p != nil {
		p.last, p.directAt, p.failedAt = b, now, time.Time{}
	}
	return p
}

// update takes a status if it is newer than what is known.
func (g *Gossiper) update(s *Status, now time.Time) bool {
	m := s.GetMember()
	if m.GetID() == "" || m.ID == g.Self.ID {
		return false
	}
	made := now.Add(-time.Duration(s.AgeMilliseconds) * time.Millisecond)
	g.mu.Lock()
	p := g.peers[m.ID]
	// An old status of an incarnation that was replaced must not bring it back.
	stale := p != nil && p.Member.Incarnation != m.Incarnation && made.Before(p.StatusAt)
	g.mu.Unlock()
	if stale {
		return false
	}
	g.adopt(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	p = g.peers[m.ID]
	if p == nil || p.Member.Incarnation != m.Incarnation || p.status != nil && s.Sequence <= p.status.Sequence {
		return false
	}
	p.status, p.Ready, p.Leaving, p.StatusAt = s, s.Ready, s.Leaving, made
	p.ClockOffset = time.Duration(s.UnixMilliseconds)*time.Millisecond - Monotonic(made)
	return true
}

// compose makes the beat for a peer; nil stands for one that has not been heard yet.
func (g *Gossiper) compose(p *peer) *Beat {
	now := time.Now()
	own := g.Status(now)
	own.Member = g.Self
	b := &Beat{Statuses: []*Status{own}}
	g.mu.Lock()
	g.sequence++
	own.Sequence = g.sequence
	var last *Beat
	if p != nil {
		last = p.last
		b.Statuses = append(b.Statuses, g.relayed(p, now)...)
	}
	b.Known = uint32(len(g.peers) + 1)
	// A peer that has not said what it knows most likely knows it: all read the store when they start.
	if last != nil && last.Known < b.Known {
		for _, other := range g.peers {
			b.Members = append(b.Members, other.Member)
		}
	}
	g.mu.Unlock()
	g.AddPayload(b, last)
	return b
}

// monotonicOrigin is the origin of this process's steady clock.
var monotonicOrigin = time.Now()

// Monotonic returns the time since the process's steady clock began.
func Monotonic(now time.Time) time.Duration { return now.Sub(monotonicOrigin) }

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
		turn, pause := g.turn(p, time.Now())
		if turn {
			err := g.once(ctx, p)
			if err != nil {
				pause = g.failed(p, time.Now())
			}
			if (err != nil) != lost && ctx.Err() == nil {
				lost = err != nil
				g.Logger.Info("peer", zap.String("Peer", p.Member.ID), zap.Bool("Lost", lost), zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
		case <-p.wake:
			if sleeper.Sleep(ctx, wakePause) != nil {
				return
			}
		case <-time.After(pause):
		}
	}
}

// failed notes a failed exchange and returns the pause before the next one.
func (g *Gossiper) failed(p *peer, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.failedAt = now
	g.hubsAt = time.Time{}
	if now.Sub(p.StatusAt) > goneTime {
		return gonePause
	}
	return retryPause
}

func (g *Gossiper) once(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	reply := &Beat{}
	if err := g.Caller.Exchange(ctx, p.Member.PeerAddress, g.compose(p), reply); err != nil {
		return err
	}
	g.hear(reply)
	return nil
}
