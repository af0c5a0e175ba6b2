package scaler

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrRejected is returned when a target or the platform did not accept an order.
var ErrRejected = errors.New("order rejected")

// Order is an order to a target to change to a stage.
type Order struct {
	Stage  registrar.Stage
	Holder string
	Fence  identifier.Fence
	// Expected is the number of orders that the target has accepted so far, so that a delayed duplicate has no effect.
	Expected uint64
}

// ScaleOrder is an order for the total number of regular or cheap targets of a service in an availability zone.
type ScaleOrder struct {
	Service identifier.ServiceID
	Zone    identifier.ZoneID
	Count   int
	Cheap   bool
}

// OrderSender sends stage orders to targets.
type OrderSender interface {
	// Accepted returns the number of orders that the target has accepted.
	Accepted(ctx context.Context, t *registrar.Target) (uint64, error)
	Order(ctx context.Context, t *registrar.Target, o Order) error
}

// DutyLease is the lease under which orders are sent.
type DutyLease interface {
	Authority() (identifier.Fence, error)
	WithLease(ctx context.Context, send func(ctx context.Context, fence identifier.Fence) error) error
}

const (
	// announceTime is the time that the other instances take to receive a pending order.
	announceTime = 30 * time.Millisecond
	// stepInterval is the time between two checks of the stages.
	stepInterval = 250 * time.Millisecond
	// SettleTime is the time that an ordered target has to report its new stage before it is ordered again.
	SettleTime = 6 * time.Second
	// quietTime is how long the number of targets must be unchanged before the first orders, so that a fleet that starts,
	// or is discovered gradually, is not rearranged more than once. All entries of a fleet arrive within one heartbeat.
	quietTime = 700 * time.Millisecond
)

// StageController controls the stages of all model targets; exported fields must be set.
type StageController struct {
	Holder      string
	DutyLease   DutyLease
	OrderSender OrderSender
	Table       func() *matcher.Table
	Targets     func(service identifier.ServiceID) []*registrar.Target
	// ScalingDown reports whether targets of a service are being withdrawn, which may include one in the decode stage.
	ScalingDown func(service identifier.ServiceID) bool
	// Limited reports whether a target accepts few requests; nil means that none does.
	Limited func(t *registrar.Target) bool
	// Announce reports Pending to the other instances at once.
	Announce func()
	Logger   *zap.Logger

	mu        sync.Mutex
	ordered   map[identifier.TargetID]sentOrder
	heldSince time.Time
	// refusedFence is the highest fencing number of an order that was refused for it.
	refusedFence identifier.Fence
	discovery    discovery
}

// sentOrder is an order that the target's published entry may not show yet.
type sentOrder struct {
	stage registrar.Stage
	at    time.Time
}

// discovery tracks whether all targets that exist at the start are known.
type discovery struct {
	count     int
	changedAt time.Time
	complete  bool
}

// update records the number of targets and reports whether it has ever been unchanged for quietTime.
func (d *discovery) update(count int, now time.Time) bool {
	if count != d.count {
		d.count, d.changedAt = count, now
	}
	d.complete = d.complete || count > 0 && now.Sub(d.changedAt) > quietTime
	return d.complete
}

// Run orders stages while the lease is held, until ctx ends. A fencing number that was refused is not used again.
func (c *StageController) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, stepInterval) == nil {
		fence, err := c.DutyLease.Authority()
		if err != nil || c.wasRefused(fence) {
			c.heldSince = time.Time{}
			continue
		}
		if c.heldSince.IsZero() {
			c.heldSince = time.Now()
		}
		if table := c.Table(); table != nil {
			c.arrangeAll(ctx, table)
		}
	}
}

func (c *StageController) arrangeAll(ctx context.Context, table *matcher.Table) {
	count := 0
	for i := range table.Services {
		if table.Services[i].Engine != nil {
			count += len(c.Targets(table.Services[i].ID))
		}
	}
	if !c.discovery.update(count, time.Now()) {
		return
	}
	for i := range table.Services {
		if s := &table.Services[i]; s.Engine != nil {
			c.arrange(ctx, s)
		}
	}
}

// arrange orders the stage changes of one service's targets.
func (c *StageController) arrange(ctx context.Context, s *matcher.Service) {
	targets := c.Targets(s.ID)
	byID := map[identifier.TargetID]*registrar.Target{}
	var engines []placer.StageEngine
	for _, t := range targets {
		if t.Stage == registrar.AnyStage {
			continue
		}
		byID[t.ID] = t
		e := placer.StageEngine{ID: t.ID, Zone: t.Zone, Stage: t.Stage, Cheap: t.Cheap, Build: t.Build, Limited: c.Limited != nil && c.Limited(t)}
		// An order counts as carried out while the target still has time to report its new stage.
		if o, ordered := c.settling(t.ID); ordered {
			e.Stage, e.Busy = o.stage, true
		}
		engines = append(engines, e)
	}
	placer.SortEngines(engines)
	wanted := placer.WantedDecodeEngines(len(engines))
	if c.ScalingDown(s.ID) {
		// The platform may withdraw a target in the decode stage, so a second one is needed.
		wanted = max(wanted, min(2, len(engines)-1))
	}
	changes := placer.PlanStages(engines, wanted)
	var group sync.WaitGroup
	for _, change := range changes {
		group.Go(func() { c.order(ctx, byID[change.ID], change.Stage) })
	}
	group.Wait()
}

// Pending is an order sent within the last SettleTime.
type Pending struct {
	Target identifier.TargetID
	Stage  registrar.Stage
	Age    time.Duration
}

// Pending returns the orders that the targets' published entries may not show yet.
func (c *StageController) Pending() []Pending {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Pending
	for id, o := range c.ordered {
		if age := time.Since(o.at); age < SettleTime {
			list = append(list, Pending{Target: id, Stage: o.stage, Age: age})
		}
	}
	return list
}

// settling returns the order of a target if it was sent within the last SettleTime.
func (c *StageController) settling(id identifier.TargetID) (sentOrder, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.ordered[id]
	return o, ok && time.Since(o.at) < SettleTime
}

// order announces a stage change to the other instances and then sends the order to the target.
func (c *StageController) order(ctx context.Context, t *registrar.Target, stage registrar.Stage) {
	c.mu.Lock()
	if c.ordered == nil {
		c.ordered = map[identifier.TargetID]sentOrder{}
	}
	maps.DeleteFunc(c.ordered, func(_ identifier.TargetID, o sentOrder) bool { return time.Since(o.at) > SettleTime })
	c.ordered[t.ID] = sentOrder{stage, time.Now()}
	c.mu.Unlock()
	// All instances must stop using the target before it begins to refuse their requests.
	c.Announce()
	if sleeper.Sleep(ctx, announceTime) != nil {
		return
	}
	var sent Order
	err := c.DutyLease.WithLease(ctx, func(ctx context.Context, fence identifier.Fence) error {
		expected, err := c.OrderSender.Accepted(ctx, t)
		if err != nil {
			return err
		}
		if held, err := c.DutyLease.Authority(); err != nil || held != fence {
			return elector.ErrNotHolder
		}
		sent = Order{Stage: stage, Holder: c.Holder, Fence: fence, Expected: expected}
		return c.OrderSender.Order(ctx, t, sent)
	})
	c.Logger.Info("stage ordered", zap.String("Target", string(t.ID)), zap.Stringer("Stage", stage), zap.Stringer("Was", t.Stage),
		zap.Uint64("Fence", uint64(sent.Fence)), zap.Uint64("Expected", sent.Expected), zap.Error(err))
	if errors.Is(err, elector.ErrFenced) {
		c.mu.Lock()
		c.refusedFence = max(c.refusedFence, sent.Fence)
		c.mu.Unlock()
	}
}

// wasRefused reports whether an order with the fencing number, or a higher one, was refused for it.
func (c *StageController) wasRefused(fence identifier.Fence) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fence <= c.refusedFence
}
