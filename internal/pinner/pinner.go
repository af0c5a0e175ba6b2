package pinner

import (
	"cmp"
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// copies is the number of instances that hold a pin, beside the one that began the stream. Any one of them is enough to go on
	// with it. copiesInLargeFleet replaces it from largeFleet peers on, of which fewer are lost at once.
	copies             = 5
	copiesInLargeFleet = 3
	largeFleet         = 12
	// asked is the number of peers that are asked where a stream began. It exceeds copies because instances may see
	// different peers.
	asked = 8
	// announceTimeout is the longest time that the first event of a stream waits for a peer to confirm.
	announceTimeout = 60 * time.Millisecond
	// findTimeout limits the search for a pin.
	findTimeout = 150 * time.Millisecond
	// resendInterval is the time after which a datagram without a reply is sent again.
	resendInterval = 20 * time.Millisecond
)

// Peer is an instance to which datagrams may be sent.
type Peer struct {
	ID      string
	Address string
	Leaving bool
}

// Network sends datagrams, which may be lost.
type Network interface {
	Send(address string, datagram []byte) error
}

// Pinner remembers where streams began. Each pin is held by the instance that began the stream and by the peers that
// rendezvous hashing chooses, so that any instance finds it without knowing which one that was. Exported fields must be set.
type Pinner struct {
	// Self is this instance's ID.
	Self string
	// Peers returns the live peers. The list may be modified.
	Peers   func() []Peer
	Network Network
	Logger  *zap.Logger

	memory memory

	mu sync.Mutex
	// replies holds the channel to which the replies of each exchange go.
	replies map[uint64]chan reply
}

// reply is a datagram with the address that it came from.
type reply struct {
	from string
	*Datagram
}

// Announce remembers where a stream began, and returns once a peer has confirmed that it does too, or after
// announceTimeout. It reports whether a peer has.
func (p *Pinner) Announce(ctx context.Context, k Key, pin Pin) bool {
	p.memory.store(k, pin, false, time.Now())
	peers := slices.DeleteFunc(p.Peers(), func(peer Peer) bool { return peer.Leaving })
	to, _ := p.holders(k, peers)
	confirmed := false
	p.exchange(ctx, to, announceTimeout,
		&Datagram{Kind: Kind_Announcement, Stream: uint64(k), Service: string(pin.Service), Build: string(pin.Build)},
		func(reply) bool { confirmed = true; return true })
	return confirmed
}

// Find returns where a stream began. It returns ErrUnknown if neither this instance nor a peer that answers in time knows.
func (p *Pinner) Find(ctx context.Context, k Key) (Pin, error) {
	peers := p.Peers()
	held, own := p.holders(k, peers)
	if pin, err := p.memory.find(k, time.Now()); own && !errors.Is(err, ErrUnknown) {
		return pin, err
	}
	p.exchange(ctx, first(k, peers, asked), findTimeout, &Datagram{Kind: Kind_Question, Stream: uint64(k)}, func(r reply) bool {
		if r.Service == "" {
			return false
		}
		p.memory.store(k, Pin{identifier.ServiceID(r.Service), identifier.Build(r.Build)}, r.Ambiguous, time.Now())
		// An instance that began the stream may not know of another one with the same ID.
		return slices.ContainsFunc(held, func(peer Peer) bool { return peer.Address == r.from })
	})
	return p.memory.find(k, time.Now())
}

// holders returns the peers that hold the pin of a stream, and whether this instance does.
func (p *Pinner) holders(k Key, peers []Peer) (held []Peer, own bool) {
	n := copies
	if len(peers) >= largeFleet {
		n = copiesInLargeFleet
	}
	held = first(k, append(peers[:len(peers):len(peers)], Peer{ID: p.Self}), n)
	others := slices.DeleteFunc(held, func(peer Peer) bool { return peer.ID == p.Self })
	return others, len(others) < len(held)
}

// first returns the first n instances in the order of rendezvous hashing.
func first(k Key, peers []Peer, n int) []Peer {
	chosen, weights := make([]Peer, 0, n+1), make([]uint64, 0, n+1)
	var b [16]byte
	binary.LittleEndian.PutUint64(b[8:], uint64(k))
	for _, peer := range peers {
		binary.LittleEndian.PutUint64(b[:8], xxhash.Sum64String(peer.ID))
		weight := xxhash.Sum64(b[:])
		at, _ := slices.BinarySearchFunc(weights, weight, func(a, b uint64) int { return cmp.Compare(b, a) })
		if at < n {
			chosen, weights = slices.Insert(chosen, at, peer), slices.Insert(weights, at, weight)
			chosen, weights = chosen[:min(n, len(chosen))], weights[:min(n, len(weights))]
		}
	}
	return chosen
}

// exchange sends a datagram to peers, again while they do not reply, until accept returns true, all have replied, or the
// timeout passes.
func (p *Pinner) exchange(ctx context.Context, peers []Peer, timeout time.Duration, d *Datagram, accept func(r reply) bool) {
	if len(peers) == 0 {
		return
	}
	replies := make(chan reply, 2*len(peers))
	d.Exchange = rand.Uint64()
	p.setReplies(d.Exchange, replies)
	defer p.setReplies(d.Exchange, nil)
	data, err := proto.Marshal(d)
	if err != nil {
		p.Logger.Error("datagram not encoded", zap.Error(err))
		return
	}
	resend, expired := time.NewTicker(resendInterval), time.NewTimer(timeout)
	defer resend.Stop()
	defer expired.Stop()
	p.sendAll(peers, data)
	for len(peers) > 0 {
		select {
		case r := <-replies:
			if accept(r) {
				return
			}
			peers = slices.DeleteFunc(peers, func(peer Peer) bool { return peer.Address == r.from })
		case <-resend.C:
			p.sendAll(peers, data)
		case <-expired.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (p *Pinner) sendAll(peers []Peer, data []byte) {
	for _, peer := range peers {
		p.send(peer.Address, data)
	}
}

func (p *Pinner) send(address string, data []byte) {
	if err := p.Network.Send(address, data); err != nil {
		p.Logger.Debug("datagram not sent", zap.String("Address", address), zap.Error(err))
	}
}

// setReplies sets the channel for the replies of an exchange, or removes it if it is nil.
func (p *Pinner) setReplies(exchange uint64, replies chan reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if replies == nil {
		delete(p.replies, exchange)
		return
	}
	if p.replies == nil {
		p.replies = map[uint64]chan reply{}
	}
	p.replies[exchange] = replies
}

// Receive processes a datagram that arrived from an address.
func (p *Pinner) Receive(from string, data []byte) {
	d := &Datagram{}
	if err := proto.Unmarshal(data, d); err != nil {
		p.Logger.Debug("datagram not readable", zap.String("Address", from), zap.Error(err))
		return
	}
	switch d.Kind {
	case Kind_Announcement:
		if d.Service == "" || len(d.Service)+len(d.Build) > maximumNameBytes {
			return
		}
		p.memory.store(Key(d.Stream), Pin{identifier.ServiceID(d.Service), identifier.Build(d.Build)}, d.Ambiguous, time.Now())
		p.respond(from, &Datagram{Kind: Kind_Acknowledgement, Exchange: d.Exchange, Stream: d.Stream})
	case Kind_Question:
		answer := &Datagram{Kind: Kind_Answer, Exchange: d.Exchange, Stream: d.Stream}
		if pin, err := p.memory.find(Key(d.Stream), time.Now()); !errors.Is(err, ErrUnknown) {
			answer.Service, answer.Build, answer.Ambiguous = string(pin.Service), string(pin.Build), errors.Is(err, ErrAmbiguous)
		}
		p.respond(from, answer)
	case Kind_Acknowledgement, Kind_Answer:
		p.deliver(reply{from, d})
	}
}

func (p *Pinner) respond(to string, d *Datagram) {
	data, err := proto.Marshal(d)
	if err != nil {
		p.Logger.Error("datagram not encoded", zap.Error(err))
		return
	}
	p.send(to, data)
}

// deliver hands a reply to the exchange that waits for it, if there is one.
func (p *Pinner) deliver(r reply) {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case p.replies[r.Exchange] <- r:
	default: // The exchange has ended, or has more replies than it needs.
	}
}
