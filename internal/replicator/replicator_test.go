package replicator_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/replicator"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// instance is one end of exchanges that a test makes one by one.
type instance struct {
	*replicator.Replicator
	id string
}

// newInstance returns an instance whose copy holds a value at an offset, or nothing if the value is nil.
func newInstance(id string, era identifier.Era, offset identifier.Offset, value []byte) *instance {
	m := &mirrorer.Mirror{}
	if value != nil {
		m.Replace(mirrorer.Copy{Era: era, Records: []mirrorer.Record{{Key: "config", Value: value, Offset: offset}}, Next: offset + 1, AsOf: time.Now()})
	}
	return &instance{&replicator.Replicator{Name: "Configuration", Mirror: m, Logger: zap.NewNop()}, id}
}

// message returns what the instance sends to the sender of last.
func (n *instance) message(last *gossiper.Beat) *gossiper.Beat {
	return &gossiper.Beat{
		Statuses: []*gossiper.Status{{Member: &gossiper.Member{ID: n.id}}}, Extended: true, AcceptsReferences: true,
		Streams: []*gossiper.Stream{n.Compose(last, time.Now())},
	}
}

// receive applies the message of a peer at a time and returns the reply.
func (n *instance) receive(b *gossiper.Beat, now time.Time) *gossiper.Beat {
	n.Apply(b, b.Streams[0], gossiper.Receipt{At: now, NotBefore: now})
	return n.message(b)
}

func (n *instance) value() string {
	r, _ := n.Mirror.Get("config")
	return string(r.Value)
}

// exchange exchanges messages until the transfer of a value ends, and returns their number.
func exchange(from, to *instance, first *gossiper.Beat, now time.Time) (exchanges int) {
	for reply := first; ; {
		reply = to.receive(from.message(reply), now)
		if exchanges++; !from.Unfinished(reply, now) {
			return exchanges
		}
	}
}

// TestTransferContinuesFromAnotherPeer has the sender of a value fall silent after its first piece.
func TestTransferContinuesFromAnotherPeer(t *testing.T) {
	value := routes(4200, rand.New(rand.NewPCG(1, 1)))
	a, b, receiver := newInstance("a", 0, 3, value), newInstance("b", 0, 3, value), newInstance("c", 0, 0, nil)
	now := time.Now()
	fromScratch := exchange(a, newInstance("d", 0, 0, nil), newInstance("d", 0, 0, nil).message(nil), now)
	reply := receiver.receive(a.message(receiver.message(nil)), now)
	receiver.receive(a.message(reply), now)
	refused := receiver.receive(b.message(receiver.message(nil)), now.Add(100*time.Millisecond))
	quicktest.Check(t, refused.Streams[0].Request, quicktest.IsNil, quicktest.Commentf("one sender at a time"))
	exchanges := exchange(b, receiver, refused, now.Add(2*time.Second))
	quicktest.Check(t, receiver.value() == string(value), quicktest.IsTrue)
	quicktest.Check(t, exchanges < fromScratch, quicktest.IsTrue, quicktest.Commentf("%d exchanges, %d from the beginning", exchanges, fromScratch))
}

// TestValueIsNotSentAgainInNewEra has the store come back from an older copy: an instance that has the value already needs
// its new offset only.
func TestValueIsNotSentAgainInNewEra(t *testing.T) {
	value := routes(1400, rand.New(rand.NewPCG(1, 1)))
	sender, receiver := newInstance("a", 2, 1, value), newInstance("b", 1, 7, append([]byte(nil), value...))
	receiver.receive(sender.message(receiver.message(nil)), time.Now())
	quicktest.Check(t, receiver.Mirror.Position(), quicktest.Equals, identifier.Position{Era: 2, Offset: 2})
}

// TestDamagedPieceIsNotApplied has a sender whose piece does not fit the value that it refers to: the value is requested
// again, but not at once, since the same may happen each time.
func TestDamagedPieceIsNotApplied(t *testing.T) {
	value := routes(1400, rand.New(rand.NewPCG(1, 1)))
	sender, receiver := newInstance("a", 0, 3, value), newInstance("b", 0, 0, nil)
	now := time.Now()
	reply := receiver.receive(sender.message(receiver.message(nil)), now)
	damaged := sender.message(reply)
	damaged.Streams[0].Piece.Data = append([]byte(nil), damaged.Streams[0].Piece.Data...)
	damaged.Streams[0].Piece.Data[100] ^= 1
	reply = receiver.receive(damaged, now)
	quicktest.Check(t, receiver.value(), quicktest.Equals, "")
	quicktest.Check(t, reply.Streams[0].Request, quicktest.IsNil)
	exchange(sender, receiver, reply, now.Add(2*time.Second))
	quicktest.Check(t, receiver.value() == string(value), quicktest.IsTrue)
}

// TestEarlierBuildsGetValuesWhole has a receiver that does not understand references.
func TestEarlierBuildsGetValuesWhole(t *testing.T) {
	value := routes(1400, rand.New(rand.NewPCG(1, 1)))
	sender, receiver := newInstance("a", 0, 3, value), newInstance("b", 0, 0, nil)
	last := receiver.message(nil)
	last.AcceptsReferences = false
	receiver.receive(sender.message(last), time.Now())
	quicktest.Check(t, receiver.value() == string(value), quicktest.IsTrue)
}
