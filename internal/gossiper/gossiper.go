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
	// meshInterval is the time between two messages to a peer in a full mesh.
	meshInterval = 250 * time.Millisecond
	// RelayInterval is the time between two messages to a peer in a large fleet, where hubs relay statuses.
	RelayInterval = 500 * time.Millisecond
	// ExchangeTimeout limits one exchange, so that a dead connection is detected within a second.
	ExchangeTimeout = 800 * time.Millisecond
	// meshAlive and relayAlive are how long a peer counts as alive after it created its last status.
	meshAlive  = 1500 * time.Millisecond
	relayAlive = 3 * time.Second
	// retryPause is the pause after a failed exchange; gonePause replaces it once a peer's status is older than
	// goneTime.
	retryPause = 500 * time.Millisecond
	gonePause  = 3 * time.Second
	goneTime   = 15 * time.Second
	// partnerCheckInterval is how often a peer that is not a partner is checked for having become one.
	partnerCheckInterval = time.Second
	// batchDelay lets changes that occur together go into one message.
	batchDelay = 10 * time.Millisecond
)

// PeerClient exchanges messages with peers.
type PeerClient interface {
	Exchange(ctx context.Context, addr string, req, reply proto.Message) error
}

// Peer is another entry instance with its newest status, received directly or through a hub.
type Peer struct {
	Member  *Member
	Ready   bool
	Leaving bool
	// StatusAt is when the peer created its newest status.
	StatusAt time.Time
	// ClockOffset is the peer's wall clock time minus this process's monotonic time.
	ClockOffset time.Duration
}

// Gossiper exchanges gossip messages with its partners; exported fields must be set before Run.
//
// Each exchange carries a message in both directions. The partner with the smaller ID makes the call; the other one
// calls only if it receives no calls. The partners are selected in topology.go.
type Gossiper struct {
	Self       *Member
	PeerClient PeerClient
	Logger     *zap.Logger
	// Status returns the current status of this instance.
	Status func(now time.Time) *Status
	// AddPayload adds everything except statuses and membership to the message b for a peer. last is the last message
	// received from that peer, or nil if there is none.
	AddPayload func(b, last *Beat)
	// OnStatus is called for each status that is newer than the previous one of its instance, and OnMessage for each
	// received message, after its statuses.
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
	// lastMessage is the newest message received from the peer itself, at receivedAt; failedAt is when an exchange with
	// it last failed.
	lastMessage *Beat
	receivedAt  time.Time
	failedAt    time.Time
	// relayedSequences holds the newest status sequence of each other incarnation that was sent to the peer.
	relayedSequences map[string]uint64
	cancel           context.CancelFunc
	sendNow          chan struct{}
}

// Run exchanges messages until ctx ends.
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

// AddMember adds a member that was read from the store or received from a peer. Both sources may be outdated, so a new
// incarnation replaces the known one only if that one is no longer alive.
func (g *Gossiper) AddMember(m *Member) {
	g.mu.Lock()
	old := g.peers[m.GetID()]
	alive := old != nil && time.Since(old.StatusAt) <= g.aliveTime()
	g.mu.Unlock()
	if !alive {
		g.setMember(m)
	}
}

// setMember adds a peer, or replaces it if the incarnation differs.
func (g *Gossiper) setMember(m *Member) {
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
	p := &peer{Peer: Peer{Member: m}, relayedSequences: map[string]uint64{}, sendNow: make(chan struct{}, 1)}
	g.peers[m.ID] = p
	g.hubsAt = time.Time{}
	if g.ctx != nil {
		g.launch(p)
	}
}

// Contact exchanges messages once with an address whose instance is not yet known.
func (g *Gossiper) Contact(ctx context.Context, addr string) error {
	reply := &Beat{}
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	if err := g.PeerClient.Exchange(ctx, addr, g.compose(nil), reply); err != nil {
		return err
	}
	g.receive(reply)
	return nil
}

// Answer processes a peer's message and returns the reply.
func (g *Gossiper) Answer(b *Beat) *Beat {
	p := g.receive(b)
	return g.compose(p)
}

// SendNow sends the next message to each partner without waiting for the interval.
func (g *Gossiper) SendNow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		select {
		case p.sendNow <- struct{}{}:
		default:
		}
	}
}

// Alive returns the peers whose status is recent, in the order of their IDs.
func (g *Gossiper) Alive(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	maximumAge := g.aliveTime()
	list := make([]Peer, 0, len(g.peers))
	for _, p := range g.peers {
		if now.Sub(p.StatusAt) <= maximumAge {
			list = append(list, p.Peer)
		}
	}
	slices.SortFunc(list, func(a, b Peer) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	return list
}

// receive processes a message and returns the peer that sent it, or nil if the message names no sender.
func (g *Gossiper) receive(b *Beat) *peer {
	if len(b.Statuses) == 0 || b.Statuses[0].GetMember().GetID() == "" {
		return nil
	}
	now := time.Now()
	for _, m := range b.Members {
		g.AddMember(m)
	}
	for _, s := range b.Statuses {
		if g.updateStatus(s, now) {
			g.OnStatus(s, now)
		}
	}
	g.OnMessage(b, now)
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[b.Statuses[0].Member.ID]
	if p != nil {
		p.lastMessage, p.receivedAt, p.failedAt = b, now, time.Time{}
	}
	return p
}

// updateStatus stores a status and returns true if it is newer than the known one.
func (g *Gossiper) updateStatus(s *Status, now time.Time) bool {
	m := s.GetMember()
	if m.GetID() == "" || m.ID == g.Self.ID {
		return false
	}
	createdAt := now.Add(-time.Duration(s.AgeMilliseconds) * time.Millisecond)
	g.mu.Lock()
	p := g.peers[m.ID]
	// A delayed status of a replaced incarnation must not make it current again.
	stale := p != nil && p.Member.Incarnation != m.Incarnation && createdAt.Before(p.StatusAt)
	g.mu.Unlock()
	if stale {
		return false
	}
	g.setMember(m)
	g.mu.Lock()
	defer g.mu.Unlock()
	p = g.peers[m.ID]
	if p == nil || p.Member.Incarnation != m.Incarnation || p.status != nil && s.Sequence <= p.status.Sequence {
		return false
	}
	p.status, p.Ready, p.Leaving, p.StatusAt = s, s.Ready, s.Leaving, createdAt
	p.ClockOffset = time.Duration(s.UnixMilliseconds)*time.Millisecond - Monotonic(createdAt)
	return true
}

// compose builds the message for a peer; p is nil if the peer is not known yet.
func (g *Gossiper) compose(p *peer) *Beat {
	now := time.Now()
	own := g.Status(now)
	own.Member = g.Self
	b := &Beat{Statuses: []*Status{own}}
	g.mu.Lock()
	g.sequence++
	own.Sequence = g.sequence
	var lastMessage *Beat
	if p != nil {
		lastMessage = p.lastMessage
		b.Statuses = append(b.Statuses, g.statusesToRelay(p, now)...)
	}
	b.Known = uint32(len(g.peers) + 1)
	// A peer that has not sent a message yet most likely has the member list: every instance reads it from the store at
	// start.
	if lastMessage != nil && lastMessage.Known < b.Known {
		for _, other := range g.peers {
			b.Members = append(b.Members, other.Member)
		}
	}
	g.mu.Unlock()
	g.AddPayload(b, lastMessage)
	return b
}

// monotonicOrigin is the origin of this process's monotonic clock.
var monotonicOrigin = time.Now()

// Monotonic returns the monotonic time since the start of the process.
func Monotonic(now time.Time) time.Duration { return now.Sub(monotonicOrigin) }

// launch starts the exchanges with a peer. The caller must hold mu.
func (g *Gossiper) launch(p *peer) {
	ctx, cancel := context.WithCancel(g.ctx)
	p.cancel = cancel
	g.group.Go(func() {
		defer cancel()
		g.exchangeLoop(ctx, p)
	})
}

func (g *Gossiper) exchangeLoop(ctx context.Context, p *peer) {
	lost := false
	for ctx.Err() == nil {
		callDue, pause := g.callDue(p, time.Now())
		if callDue {
			err := g.exchangeOnce(ctx, p)
			if err != nil {
				pause = g.recordFailure(p, time.Now())
			}
			if (err != nil) != lost && ctx.Err() == nil {
				lost = err != nil
				g.Logger.Info("peer", zap.String("Peer", p.Member.ID), zap.Bool("Lost", lost), zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
		case <-p.sendNow:
			if sleeper.Sleep(ctx, batchDelay) != nil {
				return
			}
		case <-time.After(pause):
		}
	}
}

// recordFailure records a failed exchange and returns the pause before the next one.
func (g *Gossiper) recordFailure(p *peer, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.failedAt = now
	g.hubsAt = time.Time{}
	if now.Sub(p.StatusAt) > goneTime {
		return gonePause
	}
	return retryPause
}

func (g *Gossiper) exchangeOnce(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	reply := &Beat{}
	if err := g.PeerClient.Exchange(ctx, p.Member.PeerAddress, g.compose(p), reply); err != nil {
		return err
	}
	g.receive(reply)
	return nil
}
