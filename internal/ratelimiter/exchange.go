package ratelimiter

import (
	"cmp"
	"context"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// copies is the number of instances that may decide about a team.
const copies = 3

// first returns the first instances in the order of rendezvous hashing.
func first(team identifier.TeamID, peers []Peer) []Peer {
	chosen, weights := make([]Peer, 0, copies+1), make([]uint64, 0, copies+1)
	var b [16]byte
	binary.LittleEndian.PutUint64(b[8:], xxhash.Sum64String(string(team)))
	for _, peer := range peers {
		binary.LittleEndian.PutUint64(b[:8], xxhash.Sum64String(peer.ID))
		weight := xxhash.Sum64(b[:])
		at, _ := slices.BinarySearchFunc(weights, weight, func(a, b uint64) int { return cmp.Compare(b, a) })
		if at < copies {
			chosen, weights = slices.Insert(chosen, at, peer), slices.Insert(weights, at, weight)
			chosen, weights = chosen[:min(copies, len(chosen))], weights[:min(copies, len(weights))]
		}
	}
	return chosen
}

// exchange sends a datagram to instances, again while they do not reply.
type exchange struct {
	l  *Limiter
	to []Peer
	d  *Datagram
	// atOnce is set if all instances get the datagram at once, and not each only after those before it were silent.
	atOnce bool
	// sent is the number of datagrams, with those to this instance itself.
	sent int
	data []byte
}

// run ends once accept returns true, all instances have replied, or the timeout passes.
func (e *exchange) run(ctx context.Context, timeout time.Duration, accept func(r reply) bool) {
	data, err := encode(e.d)
	if err != nil {
		e.l.Logger.Error("datagram not encoded", zap.Error(err))
		return
	}
	e.data = data
	replies := make(chan reply, 4*len(e.to))
	e.l.setReplies(e.d.Exchange, replies)
	defer e.l.setReplies(e.d.Exchange, nil)
	resend, expired := time.NewTicker(resendInterval), time.NewTimer(timeout)
	defer resend.Stop()
	defer expired.Stop()
	silent := slices.Clone(e.to)
	reached := len(e.to)
	if !e.atOnce {
		reached = 1
	}
	own := e.sendTo(silent[:reached])
	for ticks := 1; ; {
		if own != nil {
			e.l.deliver(reply{"", own})
			own = nil
		}
		select {
		case r := <-replies:
			silent = slices.DeleteFunc(silent, func(p Peer) bool { return p.Address == r.from || p.ID == e.l.Self && r.from == "" })
			if accept(r) || len(silent) == 0 {
				return
			}
		case <-resend.C:
			ticks++
			asked := min(len(e.to), 1+(ticks-1)/nextKeeperTicks)
			own = e.sendTo(slices.DeleteFunc(slices.Clone(silent), func(p Peer) bool {
				return !e.atOnce && !slices.Contains(e.to[:asked], p)
			}))
		case <-expired.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// sendTo sends the datagram to instances. It returns the reply of this instance if it is one of them and has one.
func (e *exchange) sendTo(peers []Peer) (own *Datagram) {
	for _, p := range peers {
		e.sent++
		if p.ID != e.l.Self {
			e.l.sendData(p.Address, e.data)
			continue
		}
		if own = e.l.process("", e.d); own != nil {
			own.Exchange = e.d.Exchange
		}
	}
	return own
}

// encode returns a datagram with the prefix.
func encode(d *Datagram) ([]byte, error) {
	return proto.MarshalOptions{}.MarshalAppend([]byte{Prefix}, d)
}

// sendAll sends a datagram to all of the instances but this one.
func (l *Limiter) sendAll(peers []Peer, d *Datagram) {
	for _, p := range peers {
		if p.ID != l.Self {
			l.send(p.Address, d)
		}
	}
}

func (l *Limiter) send(to string, d *Datagram) {
	data, err := encode(d)
	if err != nil {
		l.Logger.Error("datagram not encoded", zap.Error(err))
		return
	}
	l.sendData(to, data)
}

func (l *Limiter) sendData(to string, data []byte) {
	if err := l.Network.Send(to, data); err != nil {
		l.Logger.Debug("datagram not sent", zap.String("Address", to), zap.Error(err))
	}
}

// setReplies sets the channel for the replies of an exchange, or removes it if it is nil.
func (l *Limiter) setReplies(exchange uint64, replies chan reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if replies == nil {
		delete(l.replies, exchange)
		return
	}
	if l.replies == nil {
		l.replies = map[uint64]chan reply{}
	}
	l.replies[exchange] = replies
}

// deliver hands a reply to the exchange that waits for it, if there is one.
func (l *Limiter) deliver(r reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case l.replies[r.Exchange] <- r:
	default: // The exchange has ended, or has more replies than it needs.
	}
}
