package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/reflect/protoreflect"
)

// A small fleet is a full mesh: all instances are partners of each other. In a large fleet the live instances with the
// highest capacity in each availability zone are hubs: the partners of an instance are the hubs of its zone, and all
// hubs are partners of each other. An instance with far less capacity than the strongest one is never a hub, because
// gossip messages would saturate its link. An instance is not used as a hub for some time after a failed exchange with it,
// but still shows that weak ones are no hubs. The instances of a zone without a hub use two hubs of other zones, selected
// by a hash of the IDs. The message rate of an instance therefore does not grow with the fleet, that of a hub grows with
// its zone, and few messages cross zones. Each instance computes the hubs from its own view; while views differ, an
// instance may have one partner too many or too few.
//
// Hubs relay the statuses of other instances:
//   - To another hub, a hub sends at each interval what it received first hand. What other hubs sent it follows only at
//     relaySpacing, for the case that a pair of hubs cannot reach each other.
//   - An instance that is not a hub receives the statuses from one hub only and asks the others to omit them.
//     Each status is repeated at relaySpacing unless it changes in a way that directories depend on.
//
// A relayed status names its member by the incarnation once the receiver knows the member.

const (
	// meshSize is the largest fleet that uses a full mesh.
	meshSize = 12
	// hubsPerZone is the number of hubs in a zone; a second one keeps the zone connected when one is lost.
	hubsPerZone = 2
	// hubCapacityFraction is the least capacity of a hub, as a fraction of the strongest instance's capacity.
	hubCapacityFraction = 0.5
	// topologyCacheTime is how long the computed topology is reused.
	topologyCacheTime = 200 * time.Millisecond
	// relaySpacing is the time between two statuses of an instance that are relayed to the same partner.
	relaySpacing = 900 * time.Millisecond
	// hubSilence is the time without a message after which an instance asks its next hub for statuses.
	hubSilence = 1300 * time.Millisecond
	// suspectTime is how long this instance excludes another one from the hubs after a failed exchange with it.
	suspectTime = 5 * time.Second
)

// UsesHubs reports whether the fleet is too large for a full mesh.
func (g *Gossiper) UsesHubs() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usesHubs()
}

func (g *Gossiper) usesHubs() bool { return len(g.peers)+1 > meshSize }

func (g *Gossiper) aliveTime() time.Duration {
	if g.usesHubs() {
		return relayAlive
	}
	return meshAlive
}

// topology is the set of hubs as this instance sees it.
type topology struct {
	at     time.Time
	hubs   map[string]bool
	byZone map[string][]string
}

// callDue reports whether this instance calls a peer now, the pause before the next check, and whether the peer is still
// a partner. Of two partners the one with the smaller ID calls; the other one calls if it has received no message for
// three intervals.
func (g *Gossiper) callDue(p *peer, now time.Time) (due bool, pause time.Duration, partner bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := meshInterval
	if g.usesHubs() {
		interval = RelayInterval
	}
	if !g.isPartner(p, now) {
		p.exchanging = false
		return false, 0, false
	}
	return g.Self.ID < p.Member.ID || now.Sub(p.receivedAt) > 3*interval, interval, true
}

// isPartner reports whether this instance exchanges messages with a peer. The caller must hold mu.
func (g *Gossiper) isPartner(p *peer, now time.Time) bool {
	if !g.usesHubs() {
		return true
	}
	t := g.currentTopology(now)
	switch self, other := t.hubs[g.Self.ID], t.hubs[p.Member.ID]; {
	case self && other:
		return true
	case self:
		return !g.isolated(now) && slices.Contains(g.hubsOf(p.Member.ID, p.Member.Zone), g.Self.ID)
	case other:
		return slices.Contains(g.hubsOf(g.Self.ID, g.Self.Zone), p.Member.ID)
	}
	return false
}

// IsHub reports whether this instance relays statuses.
func (g *Gossiper) IsHub(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.usesHubs() && g.currentTopology(now).hubs[g.Self.ID]
}

// bothHubs reports whether this instance and the peer are hubs. The caller must hold mu.
func (g *Gossiper) bothHubs(p *peer, now time.Time) bool {
	if !g.usesHubs() {
		return false
	}
	t := g.currentTopology(now)
	return t.hubs[g.Self.ID] && t.hubs[p.Member.ID]
}

// hubsOf returns the hubs of an instance: those of its zone, or some of other zones if its zone has none. The caller
// must hold mu and have called currentTopology.
func (g *Gossiper) hubsOf(id, zone string) []string {
	if own := g.topology.byZone[zone]; len(own) > 0 {
		return own
	}
	all := make([]string, 0, len(g.topology.hubs))
	for hub := range g.topology.hubs {
		all = append(all, hub)
	}
	sortByHash(all, id)
	return all[:min(len(all), hubsPerZone)]
}

// sortByHash sorts hubs in an order that differs between the instances that use them.
func sortByHash(hubs []string, id string) {
	slices.SortFunc(hubs, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(id+"/"+a), xxhash.Sum64String(id+"/"+b))
	})
}

// currentTopology returns the hubs of all zones. The caller must hold mu.
func (g *Gossiper) currentTopology(now time.Time) *topology {
	if g.topology.hubs != nil && now.Sub(g.topology.at) < topologyCacheTime {
		return &g.topology
	}
	newest := time.Time{}
	for _, p := range g.peers {
		if p.StatusAt.After(newest) {
			newest = p.StatusAt
		}
	}
	present := func(p *peer) bool { return p.isPresent(newest, now) }
	known := func(p *peer) bool { return !p.Leaving }
	byZone := g.chooseHubs(present, func(p *peer) bool { return !p.isSuspect(now) })
	// Without another hub the suspects are used, and without these all known members.
	for _, considered := range []func(*peer) bool{present, known} {
		if onlyHub(byZone, g.Self.ID) {
			byZone = g.chooseHubs(considered, known)
		}
	}
	g.topology = topology{at: now, byZone: byZone, hubs: map[string]bool{}}
	for _, ids := range byZone {
		for _, id := range ids {
			g.topology.hubs[id] = true
		}
	}
	return &g.topology
}

// chooseHubs returns the hubs of each zone among the considered peers that are usable. All considered peers count for the
// capacity that a hub needs. The caller must hold mu.
func (g *Gossiper) chooseHubs(considered, usable func(p *peer) bool) map[string][]string {
	strongest := g.Self.Capacity
	for _, p := range g.peers {
		if considered(p) {
			strongest = max(strongest, p.Member.Capacity)
		}
	}
	byZone := map[string][]string{}
	add := func(m *Member) {
		if float64(m.Capacity) < hubCapacityFraction*float64(strongest) {
			return
		}
		list := append(byZone[m.Zone], m.ID)
		slices.SortFunc(list, g.compare)
		byZone[m.Zone] = list[:min(len(list), hubsPerZone)]
	}
	add(g.Self)
	for _, p := range g.peers {
		if considered(p) && usable(p) {
			add(p.Member)
		}
	}
	return byZone
}

// onlyHub reports whether there is no hub besides the given instance.
func onlyHub(byZone map[string][]string, id string) bool {
	for _, hubs := range byZone {
		if slices.ContainsFunc(hubs, func(hub string) bool { return hub != id }) {
			return false
		}
	}
	return true
}

// isolated reports whether no peer has sent a message recently. An isolated instance calls hubs only: which peers lack a hub
// is not known to it, and if all instances are isolated, each would call all others. The caller must hold mu.
func (g *Gossiper) isolated(now time.Time) bool { return now.Sub(g.heardAt) > hubSilence }

// isSuspect reports whether an exchange with the peer failed recently.
func (p *peer) isSuspect(now time.Time) bool {
	return !p.failedAt.IsZero() && now.Sub(p.failedAt) < suspectTime
}

// isPresent reports whether the peer counts for the choice of hubs; newest is the time of the newest status of any peer.
//
// An instance that hears nobody cannot tell which peers are gone: their silence counts against the newest status. A peer
// is gone, however, if exchanges with it fail as well.
func (p *peer) isPresent(newest, now time.Time) bool {
	silent := !p.StatusAt.IsZero() && newest.Sub(p.StatusAt) > relayAlive
	gone := p.isSuspect(now) && now.Sub(p.StatusAt) > relayAlive
	return !silent && !gone && !p.Leaving
}

// compare orders instances by descending capacity, then by ID. The caller must hold mu.
func (g *Gossiper) compare(a, b string) int {
	return cmp.Or(cmp.Compare(g.capacity(b), g.capacity(a)), cmp.Compare(a, b))
}

func (g *Gossiper) capacity(id string) uint32 {
	if p := g.peers[id]; p != nil {
		return p.Member.Capacity
	}
	return g.Self.Capacity
}

// omitsStatuses reports whether this instance asks a hub to omit statuses, because it receives them from another hub.
// The caller must hold mu.
func (g *Gossiper) omitsStatuses(p *peer, now time.Time) bool {
	if !g.usesHubs() || g.currentTopology(now).hubs[g.Self.ID] {
		return false
	}
	hubs := slices.Clone(g.hubsOf(g.Self.ID, g.Self.Zone))
	sortByHash(hubs, g.Self.ID)
	for _, hub := range hubs {
		if h := g.peers[hub]; h != nil && now.Sub(h.receivedAt) <= hubSilence {
			return hub != p.Member.ID
		}
	}
	return false
}

// memberKey identifies one incarnation of an instance.
type memberKey struct{ id, incarnation string }

func keyOf(m *Member) memberKey { return memberKey{m.ID, m.Incarnation} }

// relayedStatus describes the newest status of an incarnation that a partner has sent or was sent.
type relayedStatus struct {
	sequence       uint64
	at             time.Time
	ready, leaving bool
	unreachable    []*Unreachable
	// memberKnown is set once the partner has sent or was sent the member.
	memberKnown bool
}

func newRelayedStatus(s *Status, now time.Time) *relayedStatus {
	return &relayedStatus{sequence: s.Sequence, at: now, ready: s.Ready, leaving: s.Leaving, unreachable: s.Unreachable, memberKnown: true}
}

// receivedStatus records that the peer has a status, so that it is not sent back. The caller must hold mu.
func (p *peer) receivedStatus(s *Status, now time.Time) {
	if s.Member == nil {
		return
	}
	if r := p.relayed[keyOf(s.Member)]; r == nil || r.sequence < s.Sequence {
		p.relayed[keyOf(s.Member)] = newRelayedStatus(s, now)
	}
}

// statusesToRelay returns the statuses of other instances for a partner; only hubs relay. The caller must hold mu.
func (g *Gossiper) statusesToRelay(p *peer, now time.Time) []*Status {
	if !g.usesHubs() || p.lastMessage == nil {
		return nil
	}
	t := g.currentTopology(now)
	toHub := t.hubs[p.Member.ID]
	if !t.hubs[g.Self.ID] || p.lastMessage.OmitStatuses && !toHub {
		return nil
	}
	var list []*Status
	for _, other := range g.sortedPeers() {
		if other == p || other.status == nil || now.Sub(other.StatusAt) > relayAlive {
			continue
		}
		incarnation := other.Member.Incarnation
		last := p.relayed[keyOf(other.Member)]
		firstHand := now.Sub(other.receivedAt) < RelayInterval*2 && !t.hubs[other.Member.ID]
		requested := slices.Contains(p.lastMessage.UnknownIncarnations, incarnation)
		if last != nil && !requested && (other.status.Sequence <= last.sequence || !last.due(other, now, toHub && firstHand)) {
			continue
		}
		if last == nil {
			last = &relayedStatus{}
			p.relayed[keyOf(other.Member)] = last
		}
		s := other.statusToRelay(now, p.lastMessage.OmitCounts)
		unique := g.incarnations[incarnation] == other.Member.ID
		if requested || !unique || !last.memberKnown || !p.lastMessage.Extended {
			s.Member = other.Member
		}
		*last = *newRelayedStatus(other.status, now)
		list = append(list, s)
	}
	return list
}

// due reports whether a newer status is relayed now.
func (r *relayedStatus) due(other *peer, now time.Time, always bool) bool {
	return always || now.Sub(r.at) >= relaySpacing || other.Ready != r.ready || other.Leaving != r.leaving ||
		!SameReach(other.Unreachable, r.unreachable)
}

// SameReach reports whether two lists name the same services, and the same of them as cut off. How many targets cannot be reached
// may differ: that changes many times as a cut begins.
func SameReach(a, b []*Unreachable) bool {
	return slices.EqualFunc(a, b, func(x, y *Unreachable) bool { return x.Service == y.Service && x.CutOff == y.CutOff })
}

// statusToRelay returns the peer's status for another instance, which shares its lists. It holds all fields of the status, also those
// that only later builds know, but the member and, with omitRates, the rates.
func (p *peer) statusToRelay(now time.Time, omitRates bool) *Status {
	s := &Status{}
	from, to := p.status.ProtoReflect(), s.ProtoReflect()
	from.Range(func(field protoreflect.FieldDescriptor, value protoreflect.Value) bool {
		to.Set(field, value)
		return true
	})
	to.SetUnknown(from.GetUnknown())
	s.Member, s.Incarnation, s.AgeMilliseconds = nil, p.Member.Incarnation, now.Sub(p.StatusAt).Milliseconds()
	if omitRates {
		s.Rates = nil
	}
	return s
}
