package runner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// runMirror keeps a copy of the usage that the log does not have yet at a peer, in another zone where there is one.
func (e *Entry) runMirror(ctx context.Context) {
	dirty := e.ledger.Dirty()
	ticker := time.NewTicker(mirrorKeepAlive)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-dirty:
		case <-ticker.C:
		}
		for ctx.Err() == nil && !e.mirrorOnce(ctx) {
			sleep(ctx, mirrorRetry)
		}
	}
}

// mirrorOnce sends the copies to the first peer that takes them; it reports false where none did.
func (e *Entry) mirrorOnce(ctx context.Context) bool {
	peers := e.mirrorPeers()
	e.ledger.SetMirrored(len(peers) > 0)
	if len(peers) == 0 {
		return true
	}
	deltas, version := e.ledger.Held()
	req := &messenger.Request{Body: &messenger.Request_Hold{Hold: &messenger.Hold{Incarnation: e.origin(), Deltas: deltas}}}
	for _, m := range peers {
		if e.hold(ctx, m, req) {
			e.ledger.Acked(version)
			return true
		}
	}
	return false
}

func (e *Entry) hold(ctx context.Context, m *recorder.Member, req *messenger.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	_, err := e.peers.Call(ctx, m.PeerAddress, req)
	return err == nil
}

// mirrorPeers lists the other members: heard ones first, then those of other zones, then by id.
func (e *Entry) mirrorPeers() []*recorder.Member {
	var list []*recorder.Member
	for id, m := range e.view.Load().State.GetMembers() {
		if id != e.member.Instance {
			list = append(list, m)
		}
	}
	rank := func(m *recorder.Member) int {
		n := 0
		if e.quiet(m) || m.Leaving {
			n += 2
		}
		if m.Zone == e.member.Zone {
			n++
		}
		return n
	}
	slices.SortFunc(list, func(a, b *recorder.Member) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.Instance, b.Instance))
	})
	return list
}

// runUsage appends this instance's usage to the log.
func (e *Entry) runUsage(ctx context.Context) {
	every(ctx, e.settings.Timing.UsageInterval, func(ctx context.Context) { e.appendUsage(ctx) })
}

// appendUsage appends the next delta and reports whether one was counted.
func (e *Entry) appendUsage(ctx context.Context) bool {
	d := e.ledger.Freeze()
	if d == nil {
		return false
	}
	if err := e.appendDelta(ctx, d); err != nil {
		e.logger.Debug("usage not appended", zap.Error(err))
	}
	var counted *recorder.UsageDelta
	e.usage.Query(func() { counted = e.usageFold.Last(e.origin()) })
	e.ledger.Settle(counted)
	return counted.GetSequence() == d.Sequence
}

func (e *Entry) appendDelta(ctx context.Context, d *recorder.UsageDelta) error {
	ctx, cancel := context.WithTimeout(ctx, dutyTimeout)
	defer cancel()
	r := e.usage.NewRecord()
	r.Body = &recorder.Record_UsageDelta{UsageDelta: d}
	_, err := e.usage.Append(ctx, r)
	return err
}

// flushUsage appends all usage before the instance ends.
func (e *Entry) flushUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finalFlushTimeout)
	defer cancel()
	for ctx.Err() == nil {
		if e.ledger.Freeze() == nil {
			return
		}
		if !e.appendUsage(ctx) {
			sleep(ctx, mirrorRetry)
		}
	}
}

// runTakeover appends the usage of instances that fell silent.
func (e *Entry) runTakeover(ctx context.Context) {
	every(ctx, takeoverInterval, func(ctx context.Context) {
		if !e.usage.CaughtUp() {
			return
		}
		last := func(origin string) *recorder.UsageDelta {
			var d *recorder.UsageDelta
			e.usage.Query(func() { d = e.usageFold.Last(origin) })
			return d
		}
		for _, d := range e.mirror.Overdue(mirrorSilence, last) {
			err := e.appendDelta(ctx, d)
			e.logger.Info("usage taken over", zap.String("Origin", d.Origin), zap.Uint64("Sequence", d.Sequence), zap.Error(err))
		}
	})
}
