package coordinator

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/counter"
	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/orderkeeper"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

func (c *Coordinator) mirrors() map[string]*mirrorer.Mirror {
	return map[string]*mirrorer.Mirror{streamConfiguration: &c.config, streamTargets: &c.targets, streamMembers: &c.members}
}

// status is what this instance says of itself.
func (c *Coordinator) status(now time.Time) *gossiper.Status {
	s := &gossiper.Status{Ready: c.Ready(), Leaving: c.leaving.Load(), UnixMilliseconds: now.UnixMilli()}
	for id, load := range c.book.OwnLoads() {
		s.Loads = append(s.Loads, &gossiper.Load{
			Target: string(id), PromptTokens: uint64(max(0, load.PromptTokens)),
			Answers: uint32(max(0, load.Answers)), AnswerTokens: uint64(max(0, load.AnswerTokens)),
		})
	}
	for service, rate := range c.demand.LocalRates(now) {
		s.Rates = append(s.Rates, &gossiper.Rate{Service: string(service), PromptTokensPerSecond: rate})
	}
	return s
}

// complete adds to a beat what the peer lacks by its last one. Without one the beat only tells what there is: the peer
// answers with what it lacks, and after a restart of all nobody lacks anything.
func (c *Coordinator) complete(b, last *gossiper.Beat) {
	now := time.Now()
	known := map[string]uint64{}
	for _, s := range last.GetStreams() {
		known[s.Name] = s.Next
	}
	for name, m := range c.mirrors() {
		from := identifier.Offset(known[name])
		if last == nil {
			from = m.Next()
		}
		b.Streams = append(b.Streams, describe(name, m, from, now))
	}
	for _, o := range c.registry.PendingOrders(now) {
		b.Orders = append(b.Orders, &gossiper.Order{Target: string(o.Target), Stage: int32(o.Stage), AgeMilliseconds: (orderkeeper.SettleTime - o.Remaining).Milliseconds()})
	}
	if s, ok := c.elector.Head(); ok {
		b.Lease = &gossiper.Lease{Holder: s.Holder, Fence: uint64(s.Fence), Offset: uint64(s.Next), AgeMilliseconds: s.Age.Milliseconds()}
	}
	if last != nil {
		c.addNews(b, last.Statuses[0].Member)
	}
}

// cursor is how far a peer has been told of something. What the last two beats told is told again, because a beat may
// be lost.
type cursor struct{ before, last uint64 }

func (c *cursor) advance(next uint64) { c.before, c.last = c.last, next }

// told is how far one incarnation of a peer has been told of prompt parts and counts.
type told struct {
	incarnation   string
	parts, counts cursor
}

// addNews adds the prompt parts that were read and the counts that changed since the beat before the last one.
func (c *Coordinator) addNews(b *gossiper.Beat, peer *gossiper.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.told[peer.ID]
	if t == nil || t.incarnation != peer.Incarnation {
		t = &told{incarnation: peer.Incarnation}
		c.told[peer.ID] = t
	}
	// A part that is not told costs a prompt that is read twice at worst, so it is told once.
	sent, next := c.book.PartsSince(t.parts.last)
	t.parts.advance(next)
	for _, s := range sent {
		b.Parts = append(b.Parts, &gossiper.Part{Target: string(s.Target), Part: uint64(s.Part.ID), Tokens: uint32(s.Part.Tokens)})
	}
	cells, next := c.counts.ChangedSince(t.counts.before)
	t.counts.advance(next)
	for _, cell := range cells {
		b.Counts = append(b.Counts, &gossiper.Count{Incarnation: cell.Incarnation, Window: cell.Window, Team: string(cell.Team), Requests: cell.Requests})
	}
}

// announceOrders notes this instance's own orders and tells the peers.
func (c *Coordinator) announceOrders() {
	for _, p := range c.keeper.PendingOrders() {
		c.registry.RecordOrder(p.Target, p.Stage, time.Now().Add(orderkeeper.SettleTime-p.Age))
	}
	c.peers.SendNow()
}

func describe(name string, m *mirrorer.Mirror, from identifier.Offset, now time.Time) *gossiper.Stream {
	s := &gossiper.Stream{Name: name, From: uint64(from), Next: uint64(m.Next()), AgeMilliseconds: -1}
	if age, known := m.Age(now); known {
		s.AgeMilliseconds = age.Milliseconds()
	}
	for _, r := range m.Since(from) {
		s.Records = append(s.Records, &gossiper.Record{Key: r.Key, Value: r.Value, Offset: uint64(r.Offset)})
	}
	return s
}

// heard takes what another instance says of itself.
func (c *Coordinator) heard(s *gossiper.Status, now time.Time) {
	loads := map[identifier.TargetID]chooser.Load{}
	for _, l := range s.Loads {
		loads[identifier.TargetID(l.Target)] = chooser.Load{
			PromptTokens: identifier.Tokens(l.PromptTokens), Answers: int(l.Answers), AnswerTokens: identifier.Tokens(l.AnswerTokens),
		}
	}
	c.book.SetPeerLoads(s.Member.ID, loads, now)
	for _, r := range s.Rates {
		c.demand.SetPeerRate(s.Member.ID, identifier.ServiceID(r.Service), r.PromptTokensPerSecond, now)
	}
}

// learned takes what came with a peer's beat.
func (c *Coordinator) learned(b *gossiper.Beat, now time.Time) {
	mirrors := c.mirrors()
	for _, s := range b.Streams {
		if m := mirrors[s.Name]; m != nil {
			learnStream(m, s, now)
		}
	}
	for _, p := range b.Parts {
		part := chooser.Part{ID: identifier.PartID(p.Part), Tokens: identifier.Tokens(p.Tokens)}
		c.book.AddReported(chooser.CachedPart{Target: identifier.TargetID(p.Target), Part: part}, now)
	}
	for _, n := range b.Counts {
		c.counts.Merge(counter.Count{Incarnation: n.Incarnation, Window: n.Window, Team: identifier.TeamID(n.Team), Requests: n.Requests})
	}
	for _, o := range b.Orders {
		left := orderkeeper.SettleTime - time.Duration(o.AgeMilliseconds)*time.Millisecond
		c.registry.RecordOrder(identifier.TargetID(o.Target), registrar.Stage(o.Stage), now.Add(left))
	}
	if l := b.Lease; l != nil {
		c.elector.ReceiveHead(elector.LogHead{
			Holder: l.Holder, Fence: identifier.Fence(l.Fence), Next: identifier.Offset(l.Offset),
			Age: time.Duration(l.AgeMilliseconds) * time.Millisecond,
		})
	}
}

func learnStream(m *mirrorer.Mirror, s *gossiper.Stream, now time.Time) {
	if identifier.Offset(s.From) > m.Next() {
		return // There is a gap; the peer fills it when it has heard how far this instance knows the stream.
	}
	records := make([]mirrorer.Record, 0, len(s.Records))
	for _, r := range s.Records {
		records = append(records, mirrorer.Record{Key: r.Key, Value: r.Value, Offset: identifier.Offset(r.Offset)})
	}
	asOf := time.Time{}
	if s.AgeMilliseconds >= 0 {
		asOf = now.Add(-time.Duration(s.AgeMilliseconds) * time.Millisecond)
	}
	m.Apply(records, identifier.Offset(s.Next), asOf)
}

// rank is the position of this instance among those that are alive and ready.
func (c *Coordinator) rank() int {
	n := 0
	for _, p := range c.peers.Alive(time.Now()) {
		stronger := cmp.Or(cmp.Compare(c.self.Capacity, p.Member.Capacity), cmp.Compare(p.Member.ID, c.self.ID)) < 0
		if p.Ready && !p.Leaving && stronger {
			n++
		}
	}
	return n
}

// eligible lets the first instance claim at once, and the others only if it does not.
func (c *Coordinator) eligible(since time.Duration) bool {
	return !c.leaving.Load() && c.table.Load() != nil && since >= time.Duration(c.rank())*claimDelay
}

// trueTime is the median of the times of day of all instances, so that a few that jump do not matter.
func (c *Coordinator) trueTime() time.Time {
	now := time.Now()
	ahead := []time.Duration{time.Duration(now.UnixNano()) - gossiper.Monotonic(now)}
	for _, p := range c.peers.Alive(now) {
		ahead = append(ahead, p.ClockOffset)
	}
	slices.Sort(ahead)
	return time.Unix(0, int64(ahead[len(ahead)/2]+gossiper.Monotonic(now)))
}
