package orderkeeper

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

// ErrRejected is returned when an order was not accepted.
var ErrRejected = errors.New("order rejected")

// Order is a stage order to a target.
type Order struct {
	Stage  registrar.Stage
	Holder string
	Fence  identifier.Fence
	// Expected is how many orders the target has accepted; a late copy then has no effect.
	Expected uint64
}

// ScaleOrder is an order for targets of a service in an availability zone.
type ScaleOrder struct {
	Service identifier.ServiceID
	Zone    identifier.ZoneID
	Count   int
	Cheap   bool
}

// Commander orders targets.
type Commander interface {
	Accepted(ctx context.Context, t *registrar.Target) (uint64, error)
	Order(ctx context.Context, t *registrar.Target, o Order) error
}

// DutyLease is the lease under which orders are sent.
type DutyLease interface {
	Authority() (identifier.Fence, error)
	WithLease(ctx context.Context, send func(ctx context.Context, fence identifier.Fence) error) error
}

const (
	// announceTime is what the other instances take to hear of an order.
	announceTime = 30 * time.Millisecond
	// stepPause is how often the fleet is looked at.
	stepPause = 250 * time.Millisecond
	// SettleTime is how long an ordered target has to show its new stage before it is ordered again.
	SettleTime = 6 * time.Second
	// quietTime is how long no target may have come before the first orders, so that a fleet that starts, or is heard of
	// bit by bit, is not rearranged more than once: a fleet's entries come within one heartbeat.
	quietTime = 700 * time.Millisecond
)

// StageController keeps the stages of all model targets; exported fields must be set.
type StageController struct {
	Holder    string
	DutyLease DutyLease
	Commander Commander
	Table     func() *matcher.Table
	Targets   func(service identifier.ServiceID) []*registrar.Target
	// ScalingDown tells that targets of a service are being given back: one that answers may be among them.
	ScalingDown func(service identifier.ServiceID) bool
	// Announce tells the other instances of Pending at once.
	Announce func()
	Logger   *zap.Logger

	mu      sync.Mutex
	ordered map[identifier.TargetID]pending
	heldAt  time.Time
	fenced  identifier.Fence
	arrival arrival
}

// pending is an order that the target's entry may not show yet.
type pending struct {
	stage registrar.Stage
	at    time.Time
}

// arrival tells whether the targets that were there at the start have been heard of.
type arrival struct {
	count     int
	changedAt time.Time
	over      bool
}

// done notes the number of targets and tells whether it once was the same for long enough.
func (a *arrival) done(count int, now time.Time) bool {
	if count != a.count {
		a.count, a.changedAt = count, now
	}
	a.over = a.over || count > 0 && now.Sub(a.changedAt) > quietTime
	return a.over
}

// Run orders stages while the lease is held, until ctx ends.
func (k *StageController) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, stepPause) == nil {
		fence, err := k.DutyLease.Authority()
		if err != nil || fence == k.fenced {
			k.heldAt = time.Time{}
			continue
		}
		if k.heldAt.IsZero() {
			k.heldAt = time.Now()
		}
		if table := k.Table(); table != nil {
			k.arrangeAll(ctx, table)
		}
	}
}

func (k *StageController) arrangeAll(ctx context.Context, table *matcher.Table) {
	count := 0
	for i := range table.Services {
		if table.Services[i].Engine != nil {
			count += len(k.Targets(table.Services[i].ID))
		}
	}
	if !k.arrival.done(count, time.Now()) {
		return
	}
	for i := range table.Services {
		if s := &table.Services[i]; s.Engine != nil {
			k.arrange(ctx, s)
		}
	}
}

// arrange orders the stages of one service's targets.
func (k *StageController) arrange(ctx context.Context, s *matcher.Service) {
	targets := k.Targets(s.ID)
	byID := map[identifier.TargetID]*registrar.Target{}
	var engines []placer.StageEngine
	for _, t := range targets {
		if t.Stage == registrar.AnyStage {
			continue
		}
		byID[t.ID] = t
		e := placer.StageEngine{ID: t.ID, Zone: t.Zone, Stage: t.Stage, Cheap: t.Cheap}
		// The order counts as carried out until the entry has had time to show it.
		if p, ordered := k.settling(t.ID); ordered {
			e.Stage, e.Busy = p.stage, true
		}
		engines = append(engines, e)
	}
	placer.SortEngines(engines)
	wanted := placer.WantedDecodeEngines(len(engines))
	if k.ScalingDown(s.ID) {
		wanted = max(wanted, min(2, len(engines)-1))
	}
	changes := placer.PlanStages(engines, wanted)
	var group sync.WaitGroup
	for _, c := range changes {
		group.Go(func() { k.order(ctx, byID[c.ID], c.Stage) })
	}
	group.Wait()
}

// PendingOrder is an order that was sent lately.
type PendingOrder struct {
	Target identifier.TargetID
	Stage  registrar.Stage
	Age    time.Duration
}

// PendingOrders returns the orders that the targets' entries may not show yet.
func (k *StageController) PendingOrders() []PendingOrder {
	k.mu.Lock()
	defer k.mu.Unlock()
	var list []PendingOrder
	for id, p := range k.ordered {
		if age := time.Since(p.at); age < SettleTime {
			list = append(list, PendingOrder{Target: id, Stage: p.stage, Age: age})
		}
	}
	return list
}

// settling returns a target's order if it was sent lately.
func (k *StageController) settling(id identifier.TargetID) (pending, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p, ok := k.ordered[id]
	return p, ok && time.Since(p.at) < SettleTime
}

func (k *StageController) order(ctx context.Context, t *registrar.Target, stage registrar.Stage) {
	k.mu.Lock()
	if k.ordered == nil {
		k.ordered = map[identifier.TargetID]pending{}
	}
	maps.DeleteFunc(k.ordered, func(_ identifier.TargetID, p pending) bool { return time.Since(p.at) > SettleTime })
	k.ordered[t.ID] = pending{stage, time.Now()}
	k.mu.Unlock()
	// All instances stop using the target before it refuses their requests.
	k.Announce()
	if sleeper.Sleep(ctx, announceTime) != nil {
		return
	}
	var sent Order
	err := k.DutyLease.WithLease(ctx, func(ctx context.Context, fence identifier.Fence) error {
		expected, err := k.Commander.Accepted(ctx, t)
		if err != nil {
			return err
		}
		if held, err := k.DutyLease.Authority(); err != nil || held != fence {
			return elector.ErrNotHolder
		}
		sent = Order{Stage: stage, Holder: k.Holder, Fence: fence, Expected: expected}
		return k.Commander.Order(ctx, t, sent)
	})
	k.Logger.Info("stage ordered", zap.String("Target", string(t.ID)), zap.Stringer("Stage", stage), zap.Stringer("Was", t.Stage),
		zap.Uint64("Fence", uint64(sent.Fence)), zap.Uint64("Expected", sent.Expected), zap.Error(err))
	if errors.Is(err, elector.ErrFenced) {
		k.fenced = sent.Fence
	}
}
