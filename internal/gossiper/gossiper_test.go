package gossiper_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

var errUnreachable = errors.New("address unreachable")

// fleet is a network of gossipers in one process.
type fleet struct {
	mu        sync.Mutex
	nodes     map[string]*node
	exchanges int
	// capacity returns the capacity of an instance by its number; nil gives all instances the same capacity.
	capacity func(i int) uint32
	// loads returns the loads in the statuses of an instance; nil means none.
	loads func() []*gossiper.Load
	// unreachable returns what an instance cannot reach; nil means that all instances reach everything.
	unreachable func(id string) []*gossiper.Unreachable
	// unknownField is added to each status, as a later build would; nil means none. onStatus receives the statuses.
	unknownField []byte
	onStatus     func(to string, s *gossiper.Status)
	// cut reports whether messages between two instances are lost; nil means that none are.
	cut func(from, to string) bool
}

type node struct {
	*gossiper.Gossiper
	// exchangeCount is the number of exchanges in which the instance took part.
	exchangeCount int
	// bytes is the size of the messages that the instance has sent and received.
	bytes  int
	fleet  *fleet
	cancel context.CancelFunc
	done   chan struct{}
}

func (n *node) Exchange(_ context.Context, addr string, req, reply proto.Message) error {
	n.fleet.mu.Lock()
	to := n.fleet.nodes[addr]
	n.fleet.exchanges++
	if n.exchangeCount++; to != nil {
		to.exchangeCount++
	}
	cut := n.fleet.cut != nil && to != nil && n.fleet.cut(n.Self.ID, addr)
	n.fleet.mu.Unlock()
	if to == nil || cut {
		return errUnreachable
	}
	time.Sleep(time.Millisecond)
	answer := to.Answer(proto.Clone(req).(*gossiper.Beat))
	proto.Merge(reply, answer)
	n.fleet.mu.Lock()
	defer n.fleet.mu.Unlock()
	size := proto.Size(req) + proto.Size(answer)
	n.bytes, to.bytes = n.bytes+size, to.bytes+size
	return nil
}

// start adds an instance that contacts entry-00 until it sees a live peer.
func (f *fleet) start(i, zones int, incarnation string) {
	id := fmt.Sprintf("entry-%02d", i)
	self := &gossiper.Member{ID: id, Incarnation: incarnation, Zone: fmt.Sprint("zone-", i%zones), PeerAddress: id, Capacity: 400}
	if f.capacity != nil {
		self.Capacity = f.capacity(i)
	}
	n := &node{fleet: f, done: make(chan struct{})}
	n.Gossiper = &gossiper.Gossiper{
		Self: self, PeerClient: n, Logger: zap.NewNop(),
		Status: func(now time.Time) *gossiper.Status {
			s := &gossiper.Status{Ready: true, UnixMilliseconds: now.UnixMilli()}
			if f.loads != nil {
				s.Loads = f.loads()
			}
			if f.unreachable != nil {
				s.Unreachable = f.unreachable(id)
			}
			s.ProtoReflect().SetUnknown(f.unknownField)
			return s
		},
		AddPayload: func(_, _ *gossiper.Beat, _ bool) {}, OnStatus: func(s *gossiper.Status, _ time.Time) {
			if f.onStatus != nil {
				f.onStatus(id, s)
			}
		}, OnMessage: func(*gossiper.Beat, gossiper.Receipt) {},
		Unfinished: func(*gossiper.Beat, time.Time) bool { return false },
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.mu.Lock()
	if f.nodes == nil {
		f.nodes = map[string]*node{}
	}
	f.nodes[id] = n
	f.mu.Unlock()
	go func() { defer close(n.done); n.Run(ctx) }()
	go func() {
		for len(n.Alive(time.Now())) == 0 && ctx.Err() == nil {
			n.Contact(ctx, "entry-00")
			time.Sleep(500 * time.Millisecond)
		}
	}()
}

func (f *fleet) stop(id string) {
	f.mu.Lock()
	n := f.nodes[id]
	delete(f.nodes, id)
	f.mu.Unlock()
	n.cancel()
	<-n.done
}

// wrongView describes an instance that does not see exactly want live peers, or returns "" if there is none.
func (f *fleet) wrongView(want int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.nodes {
		if got := len(n.Alive(time.Now())); got != want {
			return fmt.Sprintf("%s sees %d live peers, want %d", id, got, want)
		}
	}
	return ""
}

func run(t *testing.T, size int, f func(fl *fleet)) {
	runFleet(t, size, nil, f)
}

func runFleet(t *testing.T, size int, capacity func(i int) uint32, f func(fl *fleet)) {
	synctest.Test(t, func(*testing.T) {
		fl := &fleet{capacity: capacity}
		for i := range size {
			fl.start(i, 3, "first")
		}
		time.Sleep(8 * time.Second)
		f(fl)
		for id := range fl.nodes {
			fl.stop(id)
		}
	})
}

func TestAllInstancesSeeEachOther(t *testing.T) {
	for _, size := range []int{2, 8, 30, 63} {
		run(t, size, func(fl *fleet) {
			quicktest.Check(t, fl.wrongView(size-1), quicktest.Equals, "", quicktest.Commentf("%d instances", size))
		})
	}
}

// TestExchangesDoNotGrowQuadratically guards against exchanges between all pairs of instances in a large fleet. Its bound
// per instance and second stands for two hubs per zone, two exchanges per second, and an allowance for new partners.
func TestExchangesDoNotGrowQuadratically(t *testing.T) {
	run(t, 63, func(fl *fleet) {
		fl.mu.Lock()
		fl.exchanges = 0
		fl.mu.Unlock()
		time.Sleep(10 * time.Second)
		fl.mu.Lock()
		perSecond := float64(fl.exchanges) / 10 / 63
		fl.mu.Unlock()
		quicktest.Check(t, perSecond < 6, quicktest.IsTrue, quicktest.Commentf("%.1f exchanges per instance and second", perSecond))
	})
}

// TestLostHubs stops both hubs of a zone: within seconds the others drop them from the live peers and see each other
// again.
func TestLostHubs(t *testing.T) {
	run(t, 30, func(fl *fleet) {
		fl.stop("entry-01")
		fl.stop("entry-04")
		time.Sleep(8 * time.Second)
		quicktest.Check(t, fl.wrongView(27), quicktest.Equals, "")
		fl.start(1, 3, "second")
		time.Sleep(4 * time.Second)
		quicktest.Check(t, fl.wrongView(28), quicktest.Equals, "")
	})
}

// TestOutdatedMemberDoesNotReplaceLiveIncarnation restarts an instance while an outdated record of its previous
// incarnation keeps arriving, as it does from the store and from peers.
func TestOutdatedMemberDoesNotReplaceLiveIncarnation(t *testing.T) {
	run(t, 8, func(fl *fleet) {
		fl.stop("entry-03")
		fl.start(3, 3, "second")
		time.Sleep(2 * time.Second)
		fl.mu.Lock()
		n := fl.nodes["entry-05"]
		fl.mu.Unlock()
		for range 20 {
			n.AddMember(&gossiper.Member{ID: "entry-03", Incarnation: "first", Zone: "zone-0", PeerAddress: "entry-03", Capacity: 400})
			quicktest.Assert(t, fl.wrongView(7), quicktest.Equals, "")
			time.Sleep(50 * time.Millisecond)
		}
	})
}

// TestWeakInstancesAreNoHubs checks the case of a rolling restart on machines of two sizes: when all strong instances of
// a zone are down, no weak one may become a hub and relay the messages of its zone over a slow link.
func TestWeakInstancesAreNoHubs(t *testing.T) {
	strong := func(i int) uint32 { return map[bool]uint32{true: 800, false: 100}[i < 6] }
	runFleet(t, 45, strong, func(fl *fleet) {
		fl.stop("entry-01")
		fl.stop("entry-04")
		time.Sleep(8 * time.Second)
		quicktest.Check(t, fl.wrongView(42), quicktest.Equals, "")
		fl.mu.Lock()
		for _, n := range fl.nodes {
			n.exchangeCount = 0
		}
		fl.mu.Unlock()
		time.Sleep(10 * time.Second)
		fl.mu.Lock()
		defer fl.mu.Unlock()
		for id, n := range fl.nodes {
			if n.Self.Capacity == 100 {
				quicktest.Check(t, n.exchangeCount < 10*6, quicktest.IsTrue, quicktest.Commentf("%s: %d exchanges in 10 s", id, n.exchangeCount))
			}
		}
	})
}

func TestStoppedInstanceIsDropped(t *testing.T) {
	run(t, 8, func(fl *fleet) {
		fl.stop("entry-03")
		time.Sleep(2 * time.Second)
		quicktest.Check(t, fl.wrongView(6), quicktest.Equals, "")
	})
}
