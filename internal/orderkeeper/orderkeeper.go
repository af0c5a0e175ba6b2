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

// Supply is an order for targets of a service in an availability zone.
type Supply struct {
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

// Duty is the lease under which orders are sent.
type Duty interface {
	Authority() (identifier.Fence, error)
	Do(ctx context.Context, send func(ctx context.Context, fence identifier.Fence) error) error
}

const (
	// stepPause is how often the fleet is looked at.
	stepPause = 250 * time.Millisecond
	// settleTime is how long an ordered target has to show its new stage before it is ordered again.
	settleTime = 6 * time.Second
	// startPause is how long a new holder waits, so that it has heard of the targets.
	startPause = 500 * time.Millisecond
)

// Keeper keeps the stages of all model targets; exported fields must be set.
type Keeper struct {
	Holder    string
	Duty      Duty
	Commander Commander
	Table     func() *matcher.Table
	Targets   func(service identifier.ServiceID) []*registrar.Target
	Logger    *zap.Logger

	mu      sync.Mutex
	ordered map[identifier.TargetID]time.Time
	heldAt  time.Time
	fenced  identifier.Fence
}

// Run orders stages while the lease is held, until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, stepPause) == nil {
		fence, err := k.Duty.Authority()
		if err != nil || fence == k.fenced {
			k.heldAt = time.Time{}
			continue
		}
		if k.heldAt.IsZero() {
			k.heldAt = time.Now()
		}
		if table := k.Table(); table != nil && time.Since(k.heldAt) > startPause {
			for i := range table.Services {
				if s := &table.Services[i]; s.Engine != nil {
					k.arrange(ctx, s)
				}
			}
		}
	}
}

// arrange orders the stages of one service's targets.
func (k *Keeper) arrange(ctx context.Context, s *matcher.Service) {
	targets := k.Targets(s.ID)
	byID := map[identifier.TargetID]*registrar.Target{}
	var engines []placer.StageEngine
	for _, t := range targets {
		if t.Stage == registrar.AnyStage {
			continue
		}
		byID[t.ID] = t
		engines = append(engines, placer.StageEngine{ID: t.ID, Zone: t.Zone, Stage: t.Stage, Cheap: t.Cheap, Busy: k.settling(t.ID)})
	}
	placer.SortEngines(engines)
	changes := placer.Split(engines, placer.Answerers(len(engines)))
	var group sync.WaitGroup
	for _, c := range changes {
		group.Go(func() { k.order(ctx, byID[c.ID], c.Stage) })
	}
	group.Wait()
}

// settling tells that a target was ordered lately; the target counts with the stage that it shows.
func (k *Keeper) settling(id identifier.TargetID) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return time.Since(k.ordered[id]) < settleTime
}

func (k *Keeper) order(ctx context.Context, t *registrar.Target, stage registrar.Stage) {
	k.mu.Lock()
	if k.ordered == nil {
		k.ordered = map[identifier.TargetID]time.Time{}
	}
	maps.DeleteFunc(k.ordered, func(_ identifier.TargetID, at time.Time) bool { return time.Since(at) > settleTime })
	k.ordered[t.ID] = time.Now()
	k.mu.Unlock()
	var sent Order
	err := k.Duty.Do(ctx, func(ctx context.Context, fence identifier.Fence) error {
		expected, err := k.Commander.Accepted(ctx, t)
		if err != nil {
			return err
		}
		if held, err := k.Duty.Authority(); err != nil || held != fence {
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

// Stages counts the targets of each stage, for logs and metrics.
func Stages(targets []*registrar.Target) map[string]int {
	n := map[string]int{}
	for _, t := range targets {
		n[t.Stage.String()]++
	}
	return n
}
