package coordinator

import (
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/calibrator"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// LoadFunc receives what a target says about its load, or false if that is invalid.
type LoadFunc = func(t *registrar.Target, l calibrator.Load, valid bool, now time.Time)

// wireCalibration lets the demand in engines follow what is measured, and choices if the settings say so.
func (c *Coordinator) wireCalibration() {
	if c.settings.Load().Routing.MeasuredTimes {
		c.targetStates.Model = &c.calibrator
	}
	c.targetStates.CacheTokens = c.cacheTokens
	c.demand.EngineRate = c.calibrator.EngineRate
	if c.platform.OnLoad != nil {
		invalid := c.metrics.Counter("InvalidLoads")
		c.platform.OnLoad(func(t *registrar.Target, l calibrator.Load, valid bool, now time.Time) {
			if !valid {
				invalid.Inc(1)
				return
			}
			c.calibrator.ObserveLoad(t, l, now)
			c.targetStates.ObserveLoad(t.ID, l.Running, l.Waiting, now)
		})
	}
}

// cacheTokens returns the KV cache capacity of a service's targets, or zero if the configuration names none.
func (c *Coordinator) cacheTokens(id identifier.ServiceID) identifier.Tokens {
	t := c.table.Load()
	if t == nil {
		return 0
	}
	s := t.Service(id)
	if s == nil || s.Engine == nil {
		return 0
	}
	return max(0, s.Engine.CacheTokens)
}

// addCalibration adds the fits of all services, and the estimates that have changed since the last message to the peer. A hub
// passes on what others have measured: to hubs what instances of its zone report, to other instances everything.
func (c *Coordinator) addCalibration(b, last *gossiper.Beat, firstHand bool, now time.Time) {
	scope := calibrator.Own
	switch {
	case !c.peers.UsesHubs() || !c.peers.IsHub(now):
	case firstHand:
		scope = calibrator.FirstHand
	default:
		scope = calibrator.All
	}
	for _, f := range c.calibrator.ReportSums(scope, now) {
		b.Fits = append(b.Fits, &gossiper.Fit{
			Service: string(f.Service), Samples: f.Sums.Samples, W: f.Sums.W, X: f.Sums.X, XX: f.Sums.XX, Y: f.Sums.Y, XY: f.Sums.XY,
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.progressOf(last.Statuses[0].Member)
	entries, next := c.calibrator.Report(p.estimates, scope, now)
	p.estimates = next
	for _, e := range entries {
		b.Estimates = append(b.Estimates, &gossiper.Estimate{
			Service: string(e.Service), Target: string(e.Target), StartedAtMilliseconds: e.StartedAt.UnixMilli(),
			Kind: uint32(e.Kind), Seconds: float32(e.Seconds), Samples: float32(e.Samples),
		})
	}
}

// applyCalibration takes what a peer has learned.
func (c *Coordinator) applyCalibration(b *gossiper.Beat, receipt gossiper.Receipt) {
	source := b.Statuses[0].Member.ID
	for _, f := range b.Fits {
		c.calibrator.MergeSums(source, receipt.FromHub, calibrator.ServiceSums{Service: identifier.ServiceID(f.Service), Sums: calibrator.Sums{
			Samples: f.Samples, W: f.W, X: f.X, XX: f.XX, Y: f.Y, XY: f.XY,
		}}, receipt.At)
	}
	for _, e := range b.Estimates {
		c.calibrator.Merge(source, receipt.FromHub, calibrator.Entry{
			Service: identifier.ServiceID(e.Service), Target: identifier.TargetID(e.Target),
			StartedAt: time.UnixMilli(e.StartedAtMilliseconds), Kind: calibrator.Kind(min(e.Kind, calibrator.MaximumKind)),
			Seconds: float64(e.Seconds), Samples: float64(e.Samples),
		}, receipt.At)
	}
}

// updateSlowness sets the gauges for what targets deviate from their services.
func (c *Coordinator) updateSlowness(now time.Time) {
	list := c.calibrator.Slowness(now)
	if len(list) == 0 {
		return
	}
	slices.Sort(list)
	for rank, value := range map[string]float64{"Least": list[0], "Median": list[len(list)/2], "Most": list[len(list)-1]} {
		c.metrics.Tagged(map[string]string{"Rank": rank}).Gauge("TargetSlowness").Update(value)
	}
}
