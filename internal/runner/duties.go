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

// runOrders raises the fence when the lease is new, finishes open orders and orders what the placement wants.
func (e *Entry) runOrders(ctx context.Context) {
	var raised identifier.Fence
	every(ctx, dutyInterval, func(ctx context.Context) {
		fence, _, err := e.holder.Authority()
		if err != nil {
			return
		}
		if raised != fence {
			if err := e.orderer.RaiseFence(ctx, fence, e.checkingTargets()); err != nil {
				e.logger.Info("fence not raised everywhere", zap.Error(err))
			}
			raised = fence
		}
		for _, order := range e.orderer.OpenOrders() {
			e.startOrder(order, func() error { return e.orderer.Resume(ctx, order) })
		}
		e.place(ctx)
	})
}

func (e *Entry) checkingTargets() []identifier.TargetID {
	var list []identifier.TargetID
	for _, t := range e.fleet() {
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

// fleet returns the targets of the inventory and those that orders to the platform brought.
func (e *Entry) fleet() []*recorder.Target {
	var acquired []*recorder.Target
	e.control.Query(func() { acquired = e.controlFold.Acquired() })
	return slices.Concat(e.view.Load().State.GetInventory().GetTargets(), acquired)
}

// addressOf returns the address of a target in force.
func (e *Entry) addressOf(id identifier.TargetID) (string, bool) {
	targets := e.fleet()
	i := slices.IndexFunc(targets, func(t *recorder.Target) bool { return t.ID == string(id) })
	if i < 0 {
		return "", false
	}
	return targets[i].Address, true
}

// roles returns the role of each engine whose last order was carried out, and the targets that an open order drains.
func (e *Entry) roles() (roles map[identifier.TargetID]recorder.Role, draining map[identifier.TargetID]bool) {
	roles = map[identifier.TargetID]recorder.Role{}
	draining = map[identifier.TargetID]bool{}
	newest := map[identifier.TargetID]uint64{}
	e.control.Query(func() {
		for _, o := range e.controlFold.Orders() {
			id := identifier.TargetID(o.Target)
			switch {
			case o.Kind == recorder.OrderKind_Acquire:
			case o.Status == recorder.OrderStatus_Open:
				draining[id] = true
			case o.Kind == recorder.OrderKind_Assign && o.Status == recorder.OrderStatus_Done && o.Sequence >= newest[id]:
				roles[id] = o.Role
				newest[id] = o.Sequence
			}
		}
	})
	return roles, draining
}
