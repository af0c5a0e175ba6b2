package runner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
)

// runMirror copies the usage that is not in the log yet to a peer, preferably one in another zone.
func (e *Entry) runMirror(ctx context.Context) {
	dirty := e.ledger.Dirty()
	ticker := time.NewTicker(mirrorKeepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-dirty:
		case <-ticker.C:
		}
		for ctx.Err() == nil && !e.mirrorOnce(ctx) {
			sleeper.Sleep(ctx, usageRetryInterval)
		}
	}
}

// mirrorOnce sends the usage that is not in the log yet to the first peer that accepts it. It reports false if no peer
// did, and true if there are no peers.
func (e *Entry) mirrorOnce(ctx context.Context) bool {
	peers := e.mirrorPeers()
	e.ledger.SetMirrored(len(peers) > 0)
	if len(peers) == 0 {
		return true
	}
	delta, version := e.ledger.Unlogged()
	if delta == nil {
		delta = &recorder.UsageDelta{Origin: e.origin()}
	}
	req := &messenger.Request{Body: &messenger.Request_Hold{Hold: &messenger.Hold{Delta: delta}}}
	for _, m := range peers {
		if e.sendHold(ctx, m, req) {
			e.ledger.Acknowledge(version)
			return true
		}
	}
	return false
}

func (e *Entry) sendHold(ctx context.Context, m *recorder.Member, req *messenger.Request) bool {
	ctx, cancel := context.WithTimeout(ctx, mirrorTimeout)
	defer cancel()
	_, err := e.peerClient.Call(ctx, m.PeerAddress, req)
	return err == nil
}

// mirrorPeers returns the other members in order of preference: members that are neither silent nor leaving before the
// rest, then members of other zones before those of this zone, then by ID.
func (e *Entry) mirrorPeers() []*recorder.Member {
	var list []*recorder.Member
	for id, m := range e.view.Load().State.GetMembers() {
		if id != e.member.Instance {
			list = append(list, m)
		}
	}
	rank := func(m *recorder.Member) int {
		n := 0
		if e.isSilent(m) || m.Leaving {
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

// runUsage appends this instance's usage to the log at each UsageInterval.
func (e *Entry) runUsage(ctx context.Context) {
	every(ctx, e.settings.Timing.UsageInterval, func(ctx context.Context) { e.appendUsage(ctx) })
}

// appendUsage appends the usage that is not in the log yet and reports whether the log then has all of it.
func (e *Entry) appendUsage(ctx context.Context) bool {
	d, _ := e.ledger.Unlogged()
	if d == nil {
		return true
	}
	if err := e.appendDelta(ctx, d); err != nil {
		e.logger.Debug("usage append failed", zap.Error(err))
	}
	e.ledger.SetCounted(e.counted(e.origin()))
	d, _ = e.ledger.Unlogged()
	return d == nil
}

// counted returns the usage totals of an origin that are in the log.
func (e *Entry) counted(origin string) map[string]*recorder.TeamUsage {
	var counted map[string]*recorder.TeamUsage
	e.usage.Query(func() { counted = e.usageFold.Counted(origin) })
	return counted
}

func (e *Entry) appendDelta(ctx context.Context, d *recorder.UsageDelta) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	r := e.usage.NewRecord()
	r.Body = &recorder.Record_UsageDelta{UsageDelta: d}
	_, err := e.usage.Append(ctx, r)
	return err
}

// flushUsage appends all remaining usage before the instance ends.
func (e *Entry) flushUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownStepTimeout)
	defer cancel()
	for ctx.Err() == nil && !e.appendUsage(ctx) {
		sleeper.Sleep(ctx, usageRetryInterval)
	}
}

// runTakeover appends the mirrored usage of instances that have sent neither usage nor keep-alives for
// originSilenceTimeout.
func (e *Entry) runTakeover(ctx context.Context) {
	every(ctx, takeoverInterval, func(ctx context.Context) {
		if !e.usage.CaughtUp() {
			return
		}
		for _, d := range e.mirror.Overdue(originSilenceTimeout, e.counted) {
			err := e.appendDelta(ctx, d)
			e.logger.Info("usage of a silent instance taken over", zap.String("Origin", d.Origin), zap.Int("Teams", len(d.Teams)), zap.Error(err))
		}
	})
}
