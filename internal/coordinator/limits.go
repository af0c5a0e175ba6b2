package coordinator

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/apportioner"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// wireLimits lets the instances take turns at targets that name a limit, and tell each other of the limits.
func (c *Coordinator) wireLimits(a *apportioner.Apportioner) {
	a.Logger, a.Metrics, a.OnChange = c.logger, c.metrics, c.peers.SendNow
	a.TimeOfDay = func(time.Time) time.Time { return c.medianTime() }
	a.Place = c.place
}

// place returns this instance's place among all that may be running. Bounds on all instances together are shared out by it:
// live peers are fewer in a partition, on each side of which the others go on.
//
// It is not known as long as the members are not, and while a started instance knows fewer than the settings name: in a fleet
// that starts together each one reads the members before the others have registered.
func (c *Coordinator) place(now time.Time) apportioner.Place {
	rank, instances := c.peers.Place(now)
	_, known := c.members.Age(now)
	if !known && instances == 1 || instances < c.seedCount() && now.Sub(c.startedAt) < discoveryTime {
		return apportioner.Place{}
	}
	return apportioner.Place{Rank: rank, Instances: instances}
}

// seedCount returns the number of instances that the settings name, this one with them.
func (c *Coordinator) seedCount() int {
	n := 1
	for _, seed := range c.settings.Load().Seeds {
		if seed != c.self.PeerAddress {
			n++
		}
	}
	return n
}

// addLimits adds the limits that changed recently, or all if the peer knows fewer.
func (c *Coordinator) addLimits(b, last *gossiper.Beat, now time.Time) {
	limits := &c.platform.Gate.Limits
	b.KnownLimits = uint32(limits.Limited())
	for _, l := range limits.Report(last != nil && last.KnownLimits < b.KnownLimits, now) {
		b.Limits = append(b.Limits, &gossiper.Limit{
			Target: string(l.Target), StartedAtMilliseconds: l.StartedAt.UnixMilli(), Named: l.Named, RequestsPerSecond: float64(l.Rate),
			AgeMilliseconds: now.Sub(l.At).Milliseconds(),
		})
	}
}

// applyLimits takes the limits of a peer's message. Their ages count from the earliest time at which it can have been
// composed: peers send each other's reports back and forth, and a limit must not become newer by that.
func (c *Coordinator) applyLimits(b *gossiper.Beat, receipt gossiper.Receipt) {
	composedAt := receipt.ComposedAt(b)
	if composedAt.IsZero() {
		composedAt = receipt.At.Add(-gossiper.ExchangeTimeout)
	}
	var reported []apportioner.Limit
	for _, l := range b.Limits {
		reported = append(reported, apportioner.Limit{
			Target: identifier.TargetID(l.Target), StartedAt: time.UnixMilli(l.StartedAtMilliseconds), Named: l.Named,
			Rate: apportioner.Rate(l.RequestsPerSecond), At: composedAt.Add(-time.Duration(l.AgeMilliseconds) * time.Millisecond),
		})
	}
	if c.platform.Gate.Limits.Apply(reported, receipt.At) {
		c.passOn()
	}
}

// memberCount returns the number of instances that may be running, this one with them, or zero if it is not known yet.
func (c *Coordinator) memberCount() int { return c.place(time.Now()).Instances }

func (c *Coordinator) namesLimit(t *registrar.Target) bool {
	_, limited := c.platform.Gate.Limits.Limit(t)
	return limited
}
