package runner

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// runOrders settles what earlier holders left open and then orders what the placement wants.
func (e *Entry) runOrders(ctx context.Context) {
	var settled identifier.Fence
	every(ctx, dutyInterval, func(ctx context.Context) {
		fence, _, err := e.holder.Authority()
		if err != nil {
			return
		}
		if settled != fence {
			if err := e.takeOver(ctx, fence); err != nil {
				e.logger.Info("taking over orders failed", zap.Error(err))
				return
			}
			settled = fence
		}
		e.place(ctx)
	})
}

// takeOver raises the fence on all targets that check it and settles inherited orders.
func (e *Entry) takeOver(ctx context.Context, fence identifier.Fence) error {
	if err := e.orderer.Raise(ctx, fence, e.checkingTargets()); err != nil {
		e.logger.Info("fence not raised everywhere", zap.Error(err))
	}
	return e.orderer.Settle(ctx, fence)
}

func (e *Entry) checkingTargets() []identifier.TargetID {
	var list []identifier.TargetID
	for _, t := range e.view.Load().State.GetInventory().GetTargets() {
		if t.Kind == recorder.TargetKind_Engine && t.ChecksFence {
			list = append(list, identifier.TargetID(t.ID))
		}
	}
	return list
}

// runReports closes a usage window at each interval and reports the closed ones.
func (e *Entry) runReports(ctx context.Context) {
	var closedAt time.Time
	every(ctx, dutyInterval, func(ctx context.Context) {
		fence, _, err := e.holder.Authority()
		if err != nil {
			return
		}
		if closedAt.IsZero() {
			closedAt = time.Now()
		}
		if time.Since(closedAt) >= e.settings.Timing.Window {
			if err := e.reporter.Close(ctx); err != nil {
				return
			}
			closedAt = time.Now()
		}
		if err := e.reporter.Report(ctx, fence); err != nil {
			e.logger.Info("report failed", zap.Error(err))
		}
	})
}

// runCheckpoints re-appends the folded states well before the records they come from expire.
func (e *Entry) runCheckpoints(ctx context.Context) {
	streams := []*tailer.Tailer{e.config, e.control, e.usage, e.journal}
	done := make([]identifier.Offset, len(streams))
	var at time.Time
	every(ctx, dutyInterval, func(ctx context.Context) {
		if _, _, err := e.holder.Authority(); err != nil {
			return
		}
		due := time.Since(at) >= checkpointInterval
		for i, t := range streams {
			next := t.Next()
			if next <= done[i]+1 || !due && next < done[i]+checkpointRecords {
				continue
			}
			if e.checkpoint(ctx, t) {
				done[i] = next
			}
		}
		if due {
			at = time.Now()
		}
	})
}

func (e *Entry) checkpoint(ctx context.Context, t *tailer.Tailer) bool {
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	err := t.AppendCheckpoint(ctx)
	if err != nil {
		e.logger.Debug("checkpoint failed", zap.String("Stream", string(t.Stream)), zap.Error(err))
	}
	return err == nil
}

// addressOf returns the address of a target in force.
func (e *Entry) addressOf(id identifier.TargetID) (string, bool) {
	targets := e.view.Load().State.GetInventory().GetTargets()
	i := slices.IndexFunc(targets, func(t *recorder.Target) bool { return t.ID == string(id) })
	if i < 0 {
		return "", false
	}
	return targets[i].Address, true
}

// roles returns the role of each engine whose last order was carried out.
func (e *Entry) roles() map[identifier.TargetID]recorder.Role {
	roles := map[identifier.TargetID]recorder.Role{}
	newest := map[identifier.TargetID]uint64{}
	e.control.Query(func() {
		for _, o := range e.controlFold.Orders() {
			id := identifier.TargetID(o.Target)
			if o.Kind != recorder.OrderKind_Assign || o.Status != recorder.OrderStatus_Done || o.Sequence < newest[id] {
				continue
			}
			roles[id] = o.Role
			newest[id] = o.Sequence
		}
	})
	return roles
}
