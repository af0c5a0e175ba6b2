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

// runOrders raises the fencing number at the targets when the lease is new, resumes open orders and starts the orders
// that the placement needs.
func (e *Entry) runOrders(ctx context.Context) {
	var raised identifier.Fence
	every(ctx, dutyInterval, func(ctx context.Context) {
		fence, _, err := e.leaseholder.Authority()
		if err != nil {
			return
		}
		if raised != fence {
			if err := e.orderer.RaiseFence(ctx, fence, e.fenceCheckingTargets()); err != nil {
				e.logger.Info("fencing number not raised at some targets", zap.Error(err))
			}
			raised = fence
		}
		for _, order := range e.orderer.OpenOrders() {
			e.startOrder(order, func() error { return e.orderer.Resume(ctx, order) })
		}
		e.updatePlacement(ctx)
	})
}

func (e *Entry) fenceCheckingTargets() []identifier.TargetID {
	var list []identifier.TargetID
	for _, t := range e.fleet() {
		if t.Kind == recorder.TargetKind_Engine && t.ChecksFence {
			list = append(list, identifier.TargetID(t.ID))
		}
	}
	return list
}

// runReports closes the usage window once per Timing.Window and reports the closed windows to the platform.
func (e *Entry) runReports(ctx context.Context) {
	var closedAt time.Time
	every(ctx, dutyInterval, func(ctx context.Context) {
		fence, _, err := e.leaseholder.Authority()
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
			e.logger.Info("usage report failed", zap.Error(err))
		}
	})
}

// runCheckpoints appends checkpoints of the folded states well before the records that they summarize expire.
func (e *Entry) runCheckpoints(ctx context.Context) {
	streams := []*tailer.Tailer{e.config, e.control, e.usage, e.journal}
	checkpointed := make([]identifier.Offset, len(streams))
	var lastRun time.Time
	every(ctx, dutyInterval, func(ctx context.Context) {
		if _, _, err := e.leaseholder.Authority(); err != nil {
			return
		}
		due := time.Since(lastRun) >= checkpointInterval
		for i, t := range streams {
			next := t.Next()
			if next <= checkpointed[i]+1 || !due && next < checkpointed[i]+checkpointRecords {
				continue
			}
			if e.checkpoint(ctx, t) {
				checkpointed[i] = next
			}
		}
		if due {
			lastRun = time.Now()
		}
	})
}

func (e *Entry) checkpoint(ctx context.Context, t *tailer.Tailer) bool {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	err := t.AppendCheckpoint(ctx)
	if err != nil {
		e.logger.Debug("checkpoint failed", zap.String("Stream", string(t.Stream)), zap.Error(err))
	}
	return err == nil
}

// fleet returns the targets in the inventory and those acquired from the platform.
func (e *Entry) fleet() []*recorder.Target {
	var acquired []*recorder.Target
	e.control.Query(func() { acquired = e.controlFold.Acquired() })
	return slices.Concat(e.view.Load().State.GetInventory().GetTargets(), acquired)
}

// targetAddress returns the address of a target in the fleet.
func (e *Entry) targetAddress(id identifier.TargetID) (string, bool) {
	targets := e.fleet()
	i := slices.IndexFunc(targets, func(t *recorder.Target) bool { return t.ID == string(id) })
	if i < 0 {
		return "", false
	}
	return targets[i].Address, true
}

// roles returns the role that each engine was last assigned by a completed order, and the targets that an open order
// drains.
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
