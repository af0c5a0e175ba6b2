package gossiper

import (
	"cmp"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// In a small fleet all instances are each other's partners. In a large one the first live instances of each availability
// zone are hubs: an instance's partners are the hubs of its zone, and hubs are partners of each other. Hubs pass on the
// statuses of others, each to each partner once. So the beats of an instance do not grow with the fleet, those of a hub
// grow with its zone, and few of them cross zones. Everyone computes the hubs from what it knows; where two disagree
// for a while, an instance has a partner more or less.

const (
	// meshSize is the largest fleet in which all instances are partners.
	meshSize = 12
	// hubsPerZone is how many hubs a zone has, so that the loss of one is not felt.
	hubsPerZone = 2
	// hubsLife is how long the computed hubs stand.
	hubsLife = 200 * time.Millisecond
	// suspectTime is how long an instance that could not be reached is not a hub here.
	suspectTime = 5 * time.Second
)

// Large tells that the fleet is too large for a mesh.
func (g *Gossiper) Large() bool {
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
		interval = relayInterval
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
	if p.Member.Zone == g.Self.Zone {
		return hubs[g.Self.ID] || hubs[p.Member.ID]
	}
	return hubs[g.Self.ID] && hubs[p.Member.ID]
}

// currentHubs are the ids of the hubs of all zones.
func (g *Gossiper) currentHubs(now time.Time) map[string]bool {
	if g.hubs != nil && now.Sub(g.hubsAt) < hubsLife {
		return g.hubs
	}
	byZone := map[string][]string{g.Self.Zone: {g.Self.ID}}
	for id, p := range g.peers {
		silent := !p.HeardAt.IsZero() && now.Sub(p.HeardAt) > relayAlive
		suspect := !p.failedAt.IsZero() && now.Sub(p.failedAt) < suspectTime
		if !silent && !suspect && !p.Leaving {
			byZone[p.Member.Zone] = append(byZone[p.Member.Zone], id)
		}
	}
	g.hubs, g.hubsAt = map[string]bool{}, now
	for _, ids := range byZone {
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
		if id == p.Member.ID || other.status == nil || now.Sub(other.HeardAt) > relayAlive {
			continue
		}
		key := id + "/" + other.Member.Incarnation
		if p.told[key] >= other.status.Sequence {
			continue
		}
		p.told[key] = other.status.Sequence
		s := proto.Clone(other.status).(*Status)
		s.AgeMilliseconds = now.Sub(other.HeardAt).Milliseconds()
		list = append(list, s)
	}
	return list
}
