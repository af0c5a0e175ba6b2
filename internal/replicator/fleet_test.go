package replicator_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/follower"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/replicator"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// The users' grown Tabline site: three zones, each with two instances on links of 200 Mbit/s and 19 on links of 10 Mbit/s.
const (
	fleetSize   = 63
	zones       = 3
	strongCount = 6
	strongLink  = 200_000_000 / 8
	weakLink    = 10_000_000 / 8
	// usualLoads is the number of targets at which an instance has work in flight.
	usualLoads = 10
	// segmentBytes is the unit in which transfers share a link, and latency the time in transit.
	segmentBytes = 16 << 10
	latency      = time.Millisecond
)

// link is one direction of an instance's network link.
type link struct {
	bytesPerSecond float64
	freeAt         time.Time
	bytes          int
}

// reserve returns when the link has carried n more bytes.
func (l *link) reserve(now time.Time, n int) time.Time {
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.bytes += n
	l.freeAt = l.freeAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	return l.freeAt
}

// fleet is a network of instances in one process, with a store.
type fleet struct {
	mu    sync.Mutex
	nodes map[string]*node
	store map[string]*topic
	// delay returns how much longer a message is in transit; nil means not at all.
	delay func() time.Duration
}

type node struct {
	*gossiper.Gossiper
	fleet          *fleet
	in, out        link
	configuration  mirrorer.Mirror
	targets        mirrorer.Mirror
	replicators    []*replicator.Replicator
	cancel         context.CancelFunc
	group          sync.WaitGroup
	receivingCount int
}

// transfer sends bytes from one link to another, which other transfers share.
func (f *fleet) transfer(ctx context.Context, from, to *link, bytes int) error {
	for ; bytes > 0; bytes -= segmentBytes {
		n := min(bytes, segmentBytes)
		f.mu.Lock()
		now := time.Now()
		done := to.reserve(now, n)
		if from != nil {
			if sent := from.reserve(now, n); sent.After(done) {
				done = sent
			}
		}
		f.mu.Unlock()
		if err := sleeper.Sleep(ctx, time.Until(done)); err != nil {
			return err
		}
	}
	return sleeper.Sleep(ctx, latency)
}

// Exchange sends a message over the links of both instances, and the reply back.
func (n *node) Exchange(ctx context.Context, addr string, req, reply proto.Message) error {
	n.fleet.mu.Lock()
	to := n.fleet.nodes[addr]
	n.fleet.mu.Unlock()
	if to == nil {
		return fmt.Errorf("nothing listens at %s", addr)
	}
	if err := n.fleet.transfer(ctx, &n.out, &to.in, proto.Size(req)); err != nil {
		return err
	}
	if err := n.fleet.wait(ctx); err != nil {
		return err
	}
	answer := to.Answer(proto.Clone(req).(*gossiper.Beat))
	if err := n.fleet.transfer(ctx, &to.out, &n.in, proto.Size(answer)); err != nil {
		return err
	}
	if err := n.fleet.wait(ctx); err != nil {
		return err
	}
	proto.Merge(reply, answer)
	return nil
}

// wait waits for as long as a message is delayed.
func (f *fleet) wait(ctx context.Context) error {
	f.mu.Lock()
	delay := f.delay
	f.mu.Unlock()
	if delay == nil {
		return nil
	}
	return sleeper.Sleep(ctx, delay())
}

// topic is a keyed stream of the store as one node reads it.
type topic struct {
	mu      sync.Mutex
	records []mirrorer.Record
}

// put appends a record, which is then acknowledged.
func (t *topic) put(key string, value []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.records = append(t.records, mirrorer.Record{Key: key, Value: value, Offset: identifier.Offset(len(t.records))})
}

// reader is a topic as one node reads it, over its link.
type reader struct {
	*topic
	node *node
}

func (r *reader) Newest(ctx context.Context) ([]mirrorer.Record, identifier.Offset, error) {
	return r.Read(ctx, 0, 0)
}

func (r *reader) Read(ctx context.Context, from identifier.Offset, _ time.Duration) ([]mirrorer.Record, identifier.Offset, error) {
	r.mu.Lock()
	list := r.records[min(from, identifier.Offset(len(r.records))):]
	end := identifier.Offset(len(r.records))
	r.mu.Unlock()
	bytes := 1
	for _, record := range list {
		bytes += len(record.Value)
	}
	if err := r.node.fleet.transfer(ctx, nil, &r.node.in, bytes); err != nil {
		return nil, 0, err
	}
	return list, end, nil
}

func (r *reader) Era() identifier.Era { return 0 }

// start adds an instance; those with the lowest numbers are the strong ones.
func (f *fleet) start(i int) {
	id := fmt.Sprintf("entry-%02d", i)
	n := &node{fleet: f, in: link{bytesPerSecond: weakLink}, out: link{bytesPerSecond: weakLink}}
	self := &gossiper.Member{ID: id, Incarnation: id, Zone: fmt.Sprint("zone-", i%zones), PeerAddress: id, Capacity: 100}
	if i < strongCount {
		n.in.bytesPerSecond, n.out.bytesPerSecond, self.Capacity = strongLink, strongLink, 800
	}
	n.Gossiper = &gossiper.Gossiper{
		Self: self, PeerClient: n, Logger: zap.NewNop(), Status: usualStatus, OnStatus: func(*gossiper.Status, time.Time) {},
		AddPayload: func(b, last *gossiper.Beat, _ bool) {
			for _, r := range n.replicators {
				b.Streams = append(b.Streams, r.Compose(last, time.Now()))
			}
		},
		OnMessage: n.receive,
		Unfinished: func(last *gossiper.Beat, now time.Time) bool {
			for _, r := range n.replicators {
				if r.Unfinished(last, now) {
					return true
				}
			}
			return false
		},
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	f.mu.Lock()
	f.nodes[id] = n
	f.mu.Unlock()
	n.group.Go(func() { n.Run(ctx) })
	for name, m := range map[string]*mirrorer.Mirror{"Configuration": &n.configuration, "Targets": &n.targets} {
		n.replicators = append(n.replicators, &replicator.Replicator{Name: name, Mirror: m, Logger: zap.NewNop()})
		m.OnChange = func(mirrorer.Record) { n.passOn() }
		reads := &follower.Follower{Name: name, Stream: &reader{f.store[name], n}, Mirror: m, Logger: zap.NewNop(), MaximumAge: func() time.Duration {
			if i == 0 {
				return 300 * time.Millisecond
			}
			return coordinator.MaximumCopyAge(n.UsesHubs(), i)
		}}
		n.group.Go(func() { reads.Run(ctx) })
	}
	for other := range f.nodes {
		n.AddMember(f.nodes[other].Self)
		f.nodes[other].AddMember(self)
	}
}

func usualStatus(now time.Time) *gossiper.Status {
	s := &gossiper.Status{Ready: true, UnixMilliseconds: now.UnixMilli()}
	for i := range usualLoads {
		s.Loads = append(s.Loads, &gossiper.Load{Target: fmt.Sprintf("i-%010d", i), PromptTokens: 17_020, Answers: 1, AnswerTokens: 17_040})
	}
	return s
}

func (n *node) receive(b *gossiper.Beat, receipt gossiper.Receipt) {
	n.fleet.mu.Lock()
	n.receivingCount++
	n.fleet.mu.Unlock()
	for _, r := range n.replicators {
		for _, s := range b.Streams {
			if s.Name == r.Name {
				r.Apply(b, s, receipt)
			}
		}
	}
	n.fleet.mu.Lock()
	n.receivingCount--
	n.fleet.mu.Unlock()
}

// passOn sends a change on as the coordinator does: what a hub has sent goes no further.
func (n *node) passOn() {
	n.fleet.mu.Lock()
	receiving := n.receivingCount > 0
	n.fleet.mu.Unlock()
	if !receiving || n.IsHub(time.Now()) {
		n.SendNow()
	}
}

// lacking returns the instances whose copy of a topic has no record of the key with the value.
func (f *fleet) lacking(mirror func(n *node) *mirrorer.Mirror, key string, value []byte) (list []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.nodes {
		if r, ok := mirror(n).Get(key); !ok || string(r.Value) != string(value) {
			list = append(list, id)
		}
	}
	return list
}

// runFleet runs f in virtual time after all instances know each other.
func runFleet(t *testing.T, f func(t *testing.T, fl *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		fl := &fleet{nodes: map[string]*node{}, store: map[string]*topic{"Configuration": {}, "Targets": {}}}
		for i := range fleetSize {
			fl.start(i)
		}
		time.Sleep(5 * time.Second)
		f(t, fl)
		for _, n := range fl.nodes {
			n.cancel()
		}
		for _, n := range fl.nodes {
			n.group.Wait()
		}
	})
}
