package gossiper

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
)

// A small fleet is a full mesh: all instances are partners of each other. In a large fleet the live instances with the
// highest capacity in each availability zone are hubs: the partners of an instance are the hubs of its zone, and all
// hubs are partners of each other. An instance with far less capacity than the strongest one is never a hub, because
// gossip messages would saturate its link. The instances of a zone without a hub use two hubs of other zones, selected
// by a hash of the IDs. Hubs relay the statuses of other instances, each status once to each partner. The message rate
// of an instance therefore does not grow with the fleet, that of a hub grows with its zone, and few messages cross
// zones. Each instance computes the hubs from its own view; while views differ, an instance may have one partner
// too many or too few.

const (
	// meshSize is the largest fleet that uses a full mesh.
	meshSize = 12
	// hubsPerZone is the number of hubs in a zone; a second one keeps the zone connected when one is lost.
	hubsPerZone = 2
	// hubCapacityFraction is the least capacity of a hub, as a fraction of the strongest instance's capacity.
	hubCapacityFraction = 0.5
	// hubsCacheTime is how long the computed set of hubs is reused.
	hubsCacheTime = 200 * time.Millisecond
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

// callDue reports whether this instance calls a peer now, and the pause before the next check. Of two partners the one
// with the smaller ID calls; the other one calls if it has received no message for three intervals.
func (g *Gossiper) callDue(p *peer, now time.Time) (bool, time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	interval := meshInterval
	if g.usesHubs() {
		interval = RelayInterval
	}
	if !g.isPartner(p, now) {
		return false, partnerCheckInterval
	}
	return g.Self.ID < p.Member.ID || now.Sub(p.receivedAt) > 3*interval, interval
}

// isPartner reports whether this instance exchanges messages with a peer. The caller must hold mu.
func (g *Gossiper) isPartner(p *peer, now time.Time) bool {
	if !g.usesHubs() {
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

// hubsOf returns the hubs of an instance: those of its zone, or some of other zones if its zone has none. The caller
// must hold mu.
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

// currentHubs returns the IDs of the hubs of all zones. The caller must hold mu.
func (g *Gossiper) currentHubs(now time.Time) map[string]bool {
	if g.hubs != nil && now.Sub(g.hubsAt) < hubsCacheTime {
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
		ids = slices.DeleteFunc(ids, func(id string) bool { return float64(g.capacity(id)) < hubCapacityFraction*float64(strongest) })
		slices.SortFunc(ids, func(a, b string) int { return g.compare(a, b) })
		for _, id := range ids[:min(len(ids), hubsPerZone)] {
			g.hubs[id] = true
		}
	}
	return g.hubs
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

// statusesToRelay returns the recent statuses of other instances that were not sent to a partner yet; only hubs relay.
// The caller must hold mu.
func (g *Gossiper) statusesToRelay(p *peer, now time.Time) []*Status {
	if !g.usesHubs() || !g.currentHubs(now)[g.Self.ID] {
		return nil
	}
	var list []*Status
	for id, other := range g.peers {
		if id == p.Member.ID || other.status == nil || now.Sub(other.StatusAt) > relayAlive {
			continue
		}
		key := id + "/" + other.Member.Incarnation
		if p.relayedSequences[key] >= other.status.Sequence {
			continue
		}
		p.relayedSequences[key] = other.status.Sequence
		s := proto.Clone(other.status).(*Status)
		s.AgeMilliseconds = now.Sub(other.StatusAt).Milliseconds()
		list = append(list, s)
	}
	return list
}
