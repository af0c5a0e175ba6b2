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
	// meshAlive and relayAlive are how long a peer counts as alive after it created its last status. relayAlive covers
	// three hops, the spacing of relayed statuses and one lost message.
	meshAlive  = 1500 * time.Millisecond
	relayAlive = 3500 * time.Millisecond
	// retryPause is the pause after a failed exchange; gonePause replaces it once a peer's status is older than
	// goneTime.
	retryPause = 500 * time.Millisecond
	gonePause  = 3 * time.Second
	goneTime   = 15 * time.Second
	// memberMemory is how long a silent peer may be running: partitions last minutes.
	memberMemory = 10 * time.Minute
	// partnerCheckInterval is how often the partners are selected anew if nothing has changed.
	partnerCheckInterval = time.Second
	// aliveCacheTime is how long the list of live peers is reused.
	aliveCacheTime = 250 * time.Millisecond
	// maximumUnknown limits the incarnations whose members are requested in one message.
	maximumUnknown = 64
	// sentMessages is the number of messages to a peer of which the time is kept.
	sentMessages = 8
	// batchDelay lets changes that occur together go into one message.
	batchDelay = 10 * time.Millisecond
	// relaySendSpacing is the least time between two exchanges with a partner in a large fleet: a hub has many partners,
	// to all of which it sends each change.
	relaySendSpacing = 150 * time.Millisecond
)

// PeerClient exchanges messages with peers.
type PeerClient interface {
	Exchange(ctx context.Context, addr string, req, reply proto.Message) error
}

// Receipt describes the arrival of a message.
type Receipt struct {
	At time.Time
	// NotBefore is the earliest time at which the sender can have composed the message: ages in it count from then, however
	// long it was in transit. It is zero if that is unknown.
	NotBefore time.Time
	// FromHub is set if the sender is a hub.
	FromHub bool
}

// ComposedAt returns the time from which ages in the message count, or zero if it is unknown. Earlier builds echo nothing; what
// they send counts from its arrival.
func (r Receipt) ComposedAt(b *Beat) time.Time {
	if r.NotBefore.IsZero() && !b.AcceptsReferences {
		return r.At
	}
	return r.NotBefore
}

// Peer is another entry instance with its newest status, received directly or through a hub.
type Peer struct {
	Member  *Member
	Ready   bool
	Leaving bool
	// Unreachable holds the services of which the peer cannot reach some targets.
	Unreachable []*Unreachable
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
	// received from that peer, or nil if there is none. Between two hubs, firstHand is set: what was received from a hub
	// is left out, because each hub sends it to all others itself.
	AddPayload func(b, last *Beat, firstHand bool)
	// OnStatus is called for each status that is newer than the previous one of its instance, and OnMessage for each
	// received message, after its statuses.
	OnStatus  func(s *Status, now time.Time)
	OnMessage func(b *Beat, r Receipt)
	// Unfinished reports whether the next exchange with the peer that sent the message last should follow at once.
	Unfinished func(last *Beat, now time.Time) bool

	mu    sync.Mutex
	ctx   context.Context
	peers map[string]*peer
	// sorted holds the peers in the order of their IDs; nil if it has to be built again.
	sorted []*peer
	// incarnations holds the ID of the instance of each known incarnation, or "" if several instances have it.
	incarnations map[string]string
	// unknown holds the incarnations that statuses named without their member, and when.
	unknown  map[string]time.Time
	alive    []Peer
	aliveAt  time.Time
	topology topology
	// heardAt is when the last message of a peer arrived.
	heardAt time.Time
	// membersChanged wakes the selection of partners.
	membersChanged chan struct{}
	sequence       uint64
	group          sync.WaitGroup
}

type peer struct {
	Peer
	status     *Status
	knownSince time.Time
	// lastMessage is the newest message received from the peer itself, at receivedAt; failedAt is when an exchange with
	// it last failed.
	lastMessage *Beat
	receivedAt  time.Time
	failedAt    time.Time
	// sent holds the last messages to the peer, oldest first.
	sent []sentMessage
	// relayed holds the newest status of each other incarnation that was sent to the peer or received from it.
	relayed map[memberKey]*relayedStatus
	// exchanging is set while exchangeLoop runs for the peer.
	exchanging bool
	cancel     context.CancelFunc
	sendNow    chan struct{}
}

// sentMessage is the sequence of a message's own status and when the message was composed.
type sentMessage struct {
	sequence uint64
	at       time.Time
}

// Run exchanges messages with the partners until ctx ends. A peer that is not a partner costs neither a goroutine nor a
// timer.
func (g *Gossiper) Run(ctx context.Context) {
	g.mu.Lock()
	g.ctx = ctx
	changed := g.changes()
	g.mu.Unlock()
	for ctx.Err() == nil {
		g.launchPartners(time.Now())
		select {
		case <-ctx.Done():
		case <-changed:
			// Members that become known together are handled together; if ctx ends, so does the loop.
			_ = sleeper.Sleep(ctx, batchDelay)
		case <-time.After(partnerCheckInterval):
		}
	}
	g.group.Wait()
}

// changes returns the channel that wakes Run. The caller must hold mu.
func (g *Gossiper) changes() chan struct{} {
	if g.membersChanged == nil {
		g.membersChanged = make(chan struct{}, 1)
	}
	return g.membersChanged
}

// invalidate discards what was derived from the peers and wakes the selection of partners. The caller must hold mu.
func (g *Gossiper) invalidate() {
	g.topology.at, g.aliveAt = time.Time{}, time.Time{}
	select {
	case g.changes() <- struct{}{}:
	default:
	}
}

// launchPartners starts the exchanges with each partner that has none.
func (g *Gossiper) launchPartners(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if !p.exchanging && g.isPartner(p, now) {
			g.launch(p)
		}
	}
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
	if old != nil {
		if old.cancel != nil {
			old.cancel()
		}
		if g.incarnations[old.Member.Incarnation] == m.ID {
			delete(g.incarnations, old.Member.Incarnation)
		}
	}
	if g.incarnations == nil {
		g.incarnations = map[string]string{}
	}
	if id, known := g.incarnations[m.Incarnation]; known && id != m.ID {
		g.incarnations[m.Incarnation] = ""
	} else {
		g.incarnations[m.Incarnation] = m.ID
	}
	delete(g.unknown, m.Incarnation)
	g.peers[m.ID] = &peer{Peer: Peer{Member: m}, knownSince: time.Now(), relayed: map[memberKey]*relayedStatus{}, sendNow: make(chan struct{}, 1)}
	g.sorted = nil
	g.invalidate()
}

// Contact exchanges messages once with an address whose instance is not yet known.
func (g *Gossiper) Contact(ctx context.Context, addr string) error {
	reply := &Beat{}
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	sentAt := time.Now()
	if err := g.PeerClient.Exchange(ctx, addr, g.compose(nil), reply); err != nil {
		return err
	}
	g.receive(reply, sentAt)
	return nil
}

// Answer processes a peer's message and returns the reply.
func (g *Gossiper) Answer(b *Beat) *Beat {
	p := g.receive(b, g.echoedAt(b))
	return g.compose(p)
}

// SendNow sends the next message to each partner without waiting for the interval.
func (g *Gossiper) SendNow() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		if !p.exchanging {
			continue
		}
		select {
		case p.sendNow <- struct{}{}:
		default:
		}
	}
}

// Partners returns the number of peers with which this instance exchanges messages.
func (g *Gossiper) Partners() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, p := range g.peers {
		if p.exchanging {
			n++
		}
	}
	return n
}

// Alive returns the peers whose status is recent, in the order of their IDs. The list is shared and must not be
// modified.
func (g *Gossiper) Alive(now time.Time) []Peer {
	g.mu.Lock()
	defer g.mu.Unlock()
	if age := now.Sub(g.aliveAt); age >= 0 && age < aliveCacheTime {
		return g.alive
	}
	maximumAge := g.aliveTime()
	list := make([]Peer, 0, len(g.peers))
	for _, p := range g.sortedPeers() {
		if now.Sub(p.StatusAt) <= maximumAge {
			list = append(list, p.Peer)
		}
	}
	g.alive, g.aliveAt = list, now
	return list
}

// Place returns this instance's position among all instances that may be running, in the order of their IDs, and their
// number.
//
// Who is silent may be cut off from this instance and run all the same, for memberMemory after its last status. A member of which
// none has been seen counts as long after its record.
func (g *Gossiper) Place(now time.Time) (rank, instances int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	instances = 1
	for _, p := range g.peers {
		silent := now.Sub(p.StatusAt)
		if p.StatusAt.IsZero() {
			silent = now.Sub(p.knownSince)
		}
		if silent > memberMemory || p.Leaving && silent > g.aliveTime() {
			continue
		}
		instances++
		if p.Member.ID < g.Self.ID {
			rank++
		}
	}
	return rank, instances
}

// sortedPeers returns all peers in the order of their IDs. The caller must hold mu.
func (g *Gossiper) sortedPeers() []*peer {
	if g.sorted == nil {
		g.sorted = make([]*peer, 0, len(g.peers))
		for _, p := range g.peers {
			g.sorted = append(g.sorted, p)
		}
		slices.SortFunc(g.sorted, func(a, b *peer) int { return strings.Compare(a.Member.ID, b.Member.ID) })
	}
	return g.sorted
}

// echoedAt returns the earliest time at which a peer can have composed a message: when this instance sent the message that
// it echoes, and as much later as the peer had it. It is zero if the message echoes none that is remembered, or one of
// another incarnation.
func (g *Gossiper) echoedAt(b *Beat) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(b.Statuses) == 0 || b.EchoSequence == 0 {
		return time.Time{}
	}
	p := g.peers[b.Statuses[0].GetMember().GetID()]
	if p == nil {
		return time.Time{}
	}
	for _, m := range p.sent {
		at := m.at.Add(time.Duration(b.EchoAgeMilliseconds) * time.Millisecond)
		if m.sequence == b.EchoSequence && !at.After(time.Now()) {
			return at
		}
	}
	return time.Time{}
}

// receive processes a message, which was not composed before the given time, and returns the peer that sent it, or nil if
// the message names no sender.
func (g *Gossiper) receive(b *Beat, notBefore time.Time) *peer {
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
	g.mu.Lock()
	g.heardAt = now
	fromHub := g.usesHubs() && g.currentTopology(now).hubs[b.Statuses[0].Member.ID]
	g.mu.Unlock()
	g.OnMessage(b, Receipt{At: now, NotBefore: notBefore, FromHub: fromHub})
	g.mu.Lock()
	defer g.mu.Unlock()
	p := g.peers[b.Statuses[0].Member.ID]
	if p == nil {
		return nil
	}
	p.lastMessage, p.receivedAt, p.failedAt = b, now, time.Time{}
	for _, s := range b.Statuses[1:] {
		p.receivedStatus(s, now)
	}
	return p
}

// updateStatus stores a status and returns true if it is newer than the known one.
func (g *Gossiper) updateStatus(s *Status, now time.Time) bool {
	if !g.resolveMember(s, now) || s.Member.ID == g.Self.ID {
		return false
	}
	m := s.Member
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
	if p.Ready != s.Ready || p.Leaving != s.Leaving || len(p.Unreachable) != len(s.Unreachable) || now.Sub(p.StatusAt) > g.aliveTime() {
		g.aliveAt = time.Time{}
	}
	p.status, p.Ready, p.Leaving, p.Unreachable, p.StatusAt = s, s.Ready, s.Leaving, s.Unreachable, createdAt
	p.ClockOffset = time.Duration(s.UnixMilliseconds)*time.Millisecond - Monotonic(createdAt)
	return true
}

// resolveMember sets the member of a status that names only its incarnation. It returns false, and the member is
// requested with the next messages, if the incarnation is unknown.
func (g *Gossiper) resolveMember(s *Status, now time.Time) bool {
	if s.Member != nil {
		return s.Member.ID != ""
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if id := g.incarnations[s.Incarnation]; id != "" {
		s.Member = g.peers[id].Member
		return true
	}
	if s.Incarnation != "" && s.Incarnation != g.Self.Incarnation {
		if g.unknown == nil {
			g.unknown = map[string]time.Time{}
		}
		g.unknown[s.Incarnation] = now
	}
	return false
}

// compose builds the message for a peer; p is nil if the peer is not known yet.
func (g *Gossiper) compose(p *peer) *Beat {
	now := time.Now()
	own := g.Status(now)
	own.Member = g.Self
	b := &Beat{Statuses: []*Status{own}, Extended: true, AcceptsReferences: true}
	g.mu.Lock()
	g.sequence++
	own.Sequence = g.sequence
	var lastMessage *Beat
	firstHand := false
	if p != nil {
		lastMessage = p.lastMessage
		p.sent = append(p.sent[max(0, len(p.sent)-sentMessages+1):], sentMessage{g.sequence, now})
		if lastMessage != nil {
			b.EchoSequence, b.EchoAgeMilliseconds = lastMessage.Statuses[0].Sequence, now.Sub(p.receivedAt).Milliseconds()
		}
		firstHand = g.bothHubs(p, now)
		b.OmitStatuses = g.omitsStatuses(p, now)
		b.Statuses = append(b.Statuses, g.statusesToRelay(p, now)...)
		b.UnknownIncarnations = g.unknownIncarnations(now)
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
	g.AddPayload(b, lastMessage, firstHand)
	return b
}

// unknownIncarnations returns the incarnations whose members are requested. The caller must hold mu.
func (g *Gossiper) unknownIncarnations(now time.Time) []string {
	var list []string
	for incarnation, at := range g.unknown {
		if now.Sub(at) > relayAlive {
			delete(g.unknown, incarnation)
			continue
		}
		if len(list) < maximumUnknown {
			list = append(list, incarnation)
		}
	}
	return list
}

// monotonicOrigin is the origin of this process's monotonic clock.
var monotonicOrigin = time.Now()

// Monotonic returns the monotonic time since the start of the process.
func Monotonic(now time.Time) time.Duration { return now.Sub(monotonicOrigin) }

// launch starts the exchanges with a peer. The caller must hold mu.
func (g *Gossiper) launch(p *peer) {
	if g.ctx == nil || g.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(g.ctx)
	p.cancel, p.exchanging = cancel, true
	g.group.Go(func() {
		defer cancel()
		g.exchangeLoop(ctx, p)
	})
}

// exchangeLoop exchanges messages with a peer until ctx ends or the peer is no longer a partner.
func (g *Gossiper) exchangeLoop(ctx context.Context, p *peer) {
	lost := false
	var exchangedAt time.Time
	for ctx.Err() == nil {
		callDue, pause, partner := g.callDue(p, time.Now())
		if !partner {
			return
		}
		if callDue {
			exchangedAt = time.Now()
			err := g.exchangeOnce(ctx, p)
			switch {
			case err != nil:
				pause = g.recordFailure(p, time.Now())
			case g.unfinished(p):
				pause = batchDelay
			}
			if (err != nil) != lost && ctx.Err() == nil {
				lost = err != nil
				g.Logger.Info("peer", zap.String("Peer", p.Member.ID), zap.Bool("Lost", lost), zap.Error(err))
			}
		}
		select {
		case <-ctx.Done():
		case <-p.sendNow:
			if sleeper.Sleep(ctx, g.sendDelay(time.Since(exchangedAt))) != nil {
				return
			}
		case <-time.After(pause):
		}
	}
}

// unfinished reports whether the next exchange with a peer follows at once.
func (g *Gossiper) unfinished(p *peer) bool {
	g.mu.Lock()
	last := p.lastMessage
	g.mu.Unlock()
	return last != nil && g.Unfinished(last, time.Now())
}

// sendDelay returns how long a message is held back for further changes, given the time since the last exchange.
func (g *Gossiper) sendDelay(sinceExchange time.Duration) time.Duration {
	if g.UsesHubs() {
		return max(batchDelay, relaySendSpacing-sinceExchange)
	}
	return batchDelay
}

// recordFailure records a failed exchange and returns the pause before the next one.
func (g *Gossiper) recordFailure(p *peer, now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	p.failedAt = now
	// The lost message may have held statuses, and members, that the peer now lacks.
	clear(p.relayed)
	if !g.isolated(now) {
		g.invalidate()
	}
	if now.Sub(p.StatusAt) > goneTime {
		return gonePause
	}
	return retryPause
}

func (g *Gossiper) exchangeOnce(ctx context.Context, p *peer) error {
	ctx, cancel := context.WithTimeout(ctx, ExchangeTimeout)
	defer cancel()
	reply, sentAt := &Beat{}, time.Now()
	if err := g.PeerClient.Exchange(ctx, p.Member.PeerAddress, g.compose(p), reply); err != nil {
		return err
	}
	g.receive(reply, sentAt)
	return nil
}
