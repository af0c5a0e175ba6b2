package coordinator

import (
	"cmp"
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// wireProber watches which targets cannot be reached from here. Peers are told as soon as that changes which services this
// instance can serve.
func (c *Coordinator) wireProber() {
	c.prober.Logger, c.prober.Connect = c.logger, c.probeTarget
	c.prober.Addresses = c.targetAddresses
	c.prober.OnChange = c.updateReach
}

// updateReach determines which services this instance cannot serve as others can, and tells its peers if that has changed. How many
// targets it cannot reach goes with the next message: that changes with each target as a cut begins and ends.
func (c *Coordinator) updateReach() {
	now := c.determineReach()
	before := c.unreachable.Swap(&now)
	if before != nil && gossiper.SameReach(*before, now) || before == nil && len(now) == 0 {
		return
	}
	for _, u := range now {
		c.logger.Info("targets cannot be reached", zap.String("Service", u.Service), zap.Uint32("Targets", u.Targets), zap.Bool("CutOff", u.CutOff))
	}
	if len(now) == 0 {
		c.logger.Info("all targets can be reached")
	}
	c.peers.SendNow()
}

// unreachableServices returns the services of which this instance cannot reach some targets, in order.
func (c *Coordinator) unreachableServices() []*gossiper.Unreachable {
	if list := c.unreachable.Load(); list != nil {
		return *list
	}
	return nil
}

// mayHoldDuties reports whether this instance can do the duties as well as its peers can: it hears them, or they have not claimed the
// duties, and it is cut off from no service, or all peers are from some.
func (c *Coordinator) mayHoldDuties() bool {
	if c.yieldsDuties() {
		return false
	}
	if !cutOffFromAny(c.unreachableServices()) {
		return true
	}
	return !slices.ContainsFunc(c.peers.Alive(time.Now()), func(p gossiper.Peer) bool {
		return p.Ready && !p.Leaving && !cutOffFromAny(p.Unreachable)
	})
}

func cutOffFromAny(list []*gossiper.Unreachable) bool {
	return slices.ContainsFunc(list, func(u *gossiper.Unreachable) bool { return u.CutOff })
}

// probeTarget opens a connection to a target within this instance's share of the target's connections.
func (c *Coordinator) probeTarget(ctx context.Context, address string) (reached, tried bool) {
	limit := 0
	for _, t := range c.registry.Targets() {
		if t.Address == address {
			limit = c.forward.ConnectionShare(t.Service)
		}
	}
	return c.platform.ProbeTarget(ctx, address, limit)
}

// targetAddresses returns the addresses of all targets that are not leaving.
func (c *Coordinator) targetAddresses() []string {
	var list []string
	for _, t := range c.registry.Targets() {
		if !t.Leaving {
			list = append(list, t.Address)
		}
	}
	return list
}

// determineReach returns the services of which some targets cannot be reached from here, in order.
func (c *Coordinator) determineReach() []*gossiper.Unreachable {
	type count struct{ listed, down, answering uint32 }
	counts := map[identifier.ServiceID]*count{}
	for _, t := range c.registry.Targets() {
		if t.Leaving {
			continue
		}
		n := counts[t.Service]
		if n == nil {
			n = &count{}
			counts[t.Service] = n
		}
		n.listed++
		switch {
		case c.prober.Down(t.Address):
			n.down++
		case t.Stage != registrar.Prompts:
			n.answering++
		}
	}
	var list []*gossiper.Unreachable
	for service, n := range counts {
		if n.down > 0 {
			list = append(list, &gossiper.Unreachable{Service: string(service), Targets: n.down, CutOff: n.answering == 0 || 2*n.down > n.listed})
		}
	}
	slices.SortFunc(list, func(a, b *gossiper.Unreachable) int { return cmp.Compare(a.Service, b.Service) })
	return list
}

// cutOffFromAll reports whether an instance that cannot reach the given targets can serve no service.
func (c *Coordinator) cutOffFromAll(unreachable []*gossiper.Unreachable) bool {
	if len(unreachable) == 0 {
		return false
	}
	return !slices.ContainsFunc(c.registry.Targets(), func(t *registrar.Target) bool {
		return !t.Leaving && !slices.ContainsFunc(unreachable, func(u *gossiper.Unreachable) bool { return u.CutOff && u.Service == string(t.Service) })
	})
}

// unreachableTargets returns how many targets of a service cannot be reached.
func unreachableTargets(list []*gossiper.Unreachable, service identifier.ServiceID) (targets int, cutOff bool) {
	for _, u := range list {
		if u.Service == string(service) {
			return int(u.Targets), u.CutOff
		}
	}
	return 0, false
}

// reachingPeers returns the addresses of ready peers that reach at least half of the targets of a service more than this instance, of
// which the given number is known to be unreachable, in the order in which they should be tried.
func (c *Coordinator) reachingPeers(service identifier.ServiceID, unreachable int) []string {
	own, _ := unreachableTargets(c.unreachableServices(), service)
	if own = max(own, unreachable); own == 0 {
		return nil
	}
	l := ReachingPeers{Listed: len(c.registry.NotLeaving(service)), Zone: c.self.Zone, ZoneCapacity: uint64(c.self.Capacity)}
	for _, p := range c.peers.Alive(time.Now()) {
		if !p.Ready || p.Leaving {
			continue
		}
		if p.Member.Zone == c.self.Zone {
			l.ZoneCapacity += uint64(p.Member.Capacity)
		}
		down, cutOff := unreachableTargets(p.Unreachable, service)
		cutOff = cutOff || c.cutOffPeers.contains(service, p.Member.RelayAddress)
		if p.Member.RelayAddress != "" && !cutOff && ReachesMore(own, down, l.Listed) {
			l.Peers = append(l.Peers, ReachingPeer{Member: p.Member, Down: down})
		}
	}
	return l.Addresses(rand.Float64)
}

// cutOff reports whether this instance cannot reach most targets of a service.
func (c *Coordinator) cutOff(service identifier.ServiceID) bool {
	_, cutOff := unreachableTargets(c.unreachableServices(), service)
	return cutOff
}

// cutOffMemory is how long a peer's word counts that it is cut off. By then its status tells, unless hubs of an earlier build leave
// that out.
const cutOffMemory = 2 * time.Second

// cutOffPeers holds the peers that have refused a request because they are cut off from its service too. The zero value is ready to use.
type cutOffPeers struct {
	mu    sync.Mutex
	until map[peerService]time.Time
}

type peerService struct {
	service identifier.ServiceID
	address string
}

func (p *cutOffPeers) add(service identifier.ServiceID, address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if p.until == nil {
		p.until = map[peerService]time.Time{}
	}
	maps.DeleteFunc(p.until, func(_ peerService, until time.Time) bool { return now.After(until) })
	p.until[peerService{service, address}] = now.Add(cutOffMemory)
}

func (p *cutOffPeers) contains(service identifier.ServiceID, address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Now().Before(p.until[peerService{service, address}])
}

// ReachesMore reports whether a peer that cannot reach some of a service's listed targets reaches so many more than this instance that
// it should get its requests. Instances learn at different times that a few targets have crashed, which is no reason.
func ReachesMore(ownDown, peerDown, listed int) bool {
	return ownDown-peerDown >= max(1, (listed+1)/2)
}
