package pinner

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// copies is the number of peers that are told where a stream began. Any one of them, or the instance that began the
	// stream, is enough to go on with it.
	copies = 4
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
	// Peers returns the live peers.
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
	peers := slices.DeleteFunc(slices.Clone(p.Peers()), func(peer Peer) bool { return peer.Leaving })
	confirmed := false
	p.exchange(ctx, holders(k, peers, copies), announceTimeout,
		&Datagram{Kind: Kind_Announcement, Stream: uint64(k), Service: string(pin.Service), Build: string(pin.Build)},
		func(*Datagram) bool { confirmed = true; return true })
	return confirmed
}

// Find returns where a stream began. It returns ErrUnknown if neither this instance nor a peer that answers in time knows.
func (p *Pinner) Find(ctx context.Context, k Key) (Pin, error) {
	pin, err := p.memory.find(k, time.Now())
	if err == nil || errors.Is(err, ErrAmbiguous) {
		return pin, err
	}
	p.exchange(ctx, holders(k, p.Peers(), asked), findTimeout, &Datagram{Kind: Kind_Question, Stream: uint64(k)}, func(d *Datagram) bool {
		if d.Service == "" {
			return false
		}
		p.memory.store(k, Pin{identifier.ServiceID(d.Service), identifier.Build(d.Build)}, d.Ambiguous, time.Now())
		return true
	})
	return p.memory.find(k, time.Now())
}

// holders returns the peers that hold the pin of a stream, the first ones in the order of rendezvous hashing.
func holders(k Key, peers []Peer, n int) []Peer {
	type ranked struct {
		Peer
		weight uint64
	}
	suffix := strconv.FormatUint(uint64(k), 16)
	list := make([]ranked, 0, len(peers))
	for _, peer := range peers {
		list = append(list, ranked{peer, xxhash.Sum64String(peer.ID + "/" + suffix)})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.ID, b.ID))
	})
	chosen := make([]Peer, 0, n)
	for _, r := range list[:min(n, len(list))] {
		chosen = append(chosen, r.Peer)
	}
	return chosen
}

// exchange sends a datagram to peers, again while they do not reply, until accept returns true, all have replied, or the
// timeout passes.
func (p *Pinner) exchange(ctx context.Context, peers []Peer, timeout time.Duration, d *Datagram, accept func(reply *Datagram) bool) {
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
			if accept(r.Datagram) {
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
		if d.Service == "" {
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
