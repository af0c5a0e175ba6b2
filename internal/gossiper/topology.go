package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// In a small fleet all instances are each other's partners. In a large one the strongest live instances of each
// availability zone are hubs: an instance's partners are the hubs of its zone, and hubs are partners of each other. An
// instance far weaker than the strongest is no hub: its link would be choked by beats. Where a zone has none, its
// instances turn to two hubs of other zones, by a hash of their ids. Hubs pass on the statuses of others, each to each
// partner once. So the beats of an instance do not grow with the fleet, those of a hub grow with its zone, and few of
// them cross zones. Everyone computes the hubs from what it knows; where two disagree for a while, an instance has a
// partner more or less.

const (
	// meshSize is the largest fleet in which all instances are partners.
	meshSize = 12
	// hubsPerZone is how many hubs a zone has, so that the loss of one is not felt.
	hubsPerZone = 2
	// hubStrength is the part of the strongest instance's capacity that a hub has at least.
	hubStrength = 0.5
	// hubsLife is how long the computed hubs stand.
	hubsLife = 200 * time.Millisecond
	// suspectTime is how long an instance that could not be reached is not a hub here.
	suspectTime = 5 * time.Second
)

// UsesHubs tells that the fleet is too large for a mesh.
func (g *Gossiper) UsesHubs() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.large()
}

func (g *Gossiper) large() bool { return len(g.peers)+1 > meshSize }

func (g *Gossiper) aliveTime() time.Duration {
	if g.large() {
		return relayAlive
	}
	return meshAlive
}

// turn tells whether to call a peer now, and when to look again: a partner is called by the one with the smaller id, or
// by the other one if that does not come.
func (g *Gossiper) turn(p *peer, now time.Time) (bool, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := meshInterval
	if g.large() {
		interval = RelayInterval
	}
	if !g.partners(p, now) {
		return false, strangerPause
	}
	return g.Self.ID < p.Member.ID || now.Sub(p.directAt) > 3*interval, interval
}

// partners tells whether beats go to a peer; the caller holds the lock.
func (g *Gossiper) partners(p *peer, now time.Time) bool {
	if !g.large() {
		return true
	}
	hubs := g.currentHubs(now)
	switch self, other := hubs[g.Self.ID], hubs[p.Member.ID]; {
	case self && other:
		return true
	case self:
		return slices.Contains(g.hubsOf(p.Member.ID, p.Member.Zone), g.Self.ID)
	case other:
		return slices.Contains(g.hubsOf(g.Self.ID, g.Self.Zone), p.Member.ID)
	}
	return false
}

// hubsOf returns the hubs of an instance: those of its zone, or some of other zones; the caller holds the lock.
func (g *Gossiper) hubsOf(id, zone string) []string {
	var own, all []string
	for hub := range g.hubs {
		all = append(all, hub)
		if g.zone(hub) == zone {
			own = append(own, hub)
		}
	}
	if len(own) > 0 {
		return own
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(id+"/"+a), xxhash.Sum64String(id+"/"+b))
	})
	return all[:min(len(all), hubsPerZone)]
}

func (g *Gossiper) zone(id string) string {
	if p := g.peers[id]; p != nil {
		return p.Member.Zone
	}
	return g.Self.Zone
}

// currentHubs are the ids of the hubs of all zones.
func (g *Gossiper) currentHubs(now time.Time) map[string]bool {
	if g.hubs != nil && now.Sub(g.hubsAt) < hubsLife {
		return g.hubs
	}
	byZone := map[string][]string{g.Self.Zone: {g.Self.ID}}
	for id, p := range g.peers {
		silent := !p.StatusAt.IsZero() && now.Sub(p.StatusAt) > relayAlive
		suspect := !p.failedAt.IsZero() && now.Sub(p.failedAt) < suspectTime
		if !silent && !suspect && !p.Leaving {
			byZone[p.Member.Zone] = append(byZone[p.Member.Zone], id)
		}
	}
	strongest := uint32(0)
	for _, ids := range byZone {
		for _, id := range ids {
			strongest = max(strongest, g.capacity(id))
		}
	}
	g.hubs, g.hubsAt = map[string]bool{}, now
	for _, ids := range byZone {
		ids = slices.DeleteFunc(ids, func(id string) bool { return float64(g.capacity(id)) < hubStrength*float64(strongest) })
		slices.SortFunc(ids, func(a, b string) int { return g.compare(a, b) })
		for _, id := range ids[:min(len(ids), hubsPerZone)] {
			g.hubs[id] = true
		}
	}
	return g.hubs
}

// compare orders instances: the stronger first, then by id; the caller holds the lock.
func (g *Gossiper) compare(a, b string) int {
	return cmp.Or(cmp.Compare(g.capacity(b), g.capacity(a)), cmp.Compare(a, b))
}

func (g *Gossiper) capacity(id string) uint32 {
	if p := g.peers[id]; p != nil {
		return p.Member.Capacity
	}
	return g.Self.Capacity
}

// relayed returns the statuses of others that a partner may lack; the caller holds the lock.
func (g *Gossiper) relayed(p *peer, now time.Time) []*Status {
	if !g.large() || !g.currentHubs(now)[g.Self.ID] {
		return nil
	}
	var list []*Status
	for id, other := range g.peers {
		if id == p.Member.ID || other.status == nil || now.Sub(other.StatusAt) > relayAlive {
			continue
		}
		key := id + "/" + other.Member.Incarnation
		if p.told[key] >= other.status.Sequence {
			continue
		}
		p.told[key] = other.status.Sequence
		s := proto.Clone(other.status).(*Status)
		s.AgeMilliseconds = now.Sub(other.StatusAt).Milliseconds()
		list = append(list, s)
	}
	return list
}
