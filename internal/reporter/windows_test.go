package reporter_test

import (
	"context"
	"errors"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/internal/reporter"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// fakeLease is a lease whose holder may change, with the closed windows of the log.
type fakeLease struct {
	fence      identifier.Fence
	closed     map[int64]elector.Figures
	remembered map[int64]elector.Figures
	// completeFrom is the first window that nobody has closed if it is in neither.
	completeFrom int64
}

func (d *fakeLease) Remembered() map[int64]elector.Figures {
	all := map[int64]elector.Figures{}
	maps.Copy(all, d.closed)
	maps.Copy(all, d.remembered)
	return all
}

func (d *fakeLease) Authority() (identifier.Fence, error) {
	if d.fence == 0 {
		return 0, elector.ErrNotHolder
	}
	return d.fence, nil
}

func (d *fakeLease) WithLease(ctx context.Context, send func(context.Context, identifier.Fence) error) error {
	if d.fence == 0 {
		return elector.ErrNotHolder
	}
	return send(ctx, d.fence)
}

func (d *fakeLease) Close(_ context.Context, window int64, figures elector.Figures) error {
	if _, closed := d.closed[window]; !closed {
		d.closed[window] = figures
	}
	return nil
}

func (d *fakeLease) CompleteFrom() int64 { return d.completeFrom }

func (d *fakeLease) Closed() map[int64]elector.Figures { return d.closed }

// platform records reports and returns err if it is set.
type platform struct {
	reports map[int64][]elector.Figures
	err     error
	calls   int
}

func (p *platform) ReportUsage(_ context.Context, _ identifier.Fence, window int64, figures elector.Figures) error {
	p.calls++
	if p.err == nil {
		p.reports[window] = append(p.reports[window], figures)
	}
	return p.err
}

func TestWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &fakeLease{fence: 1, closed: map[int64]elector.Figures{}}
		p := &platform{reports: map[int64][]elector.Figures{}}
		count := uint64(10)
		w := &reporter.WindowReporter{
			DutyLease: d, Platform: p, Length: 5 * time.Second, MaximumDelay: 10 * time.Second, Now: time.Now, Logger: zap.NewNop(),
			Total: func(int64) map[identifier.TeamID]uint64 { return map[identifier.TeamID]uint64{"team": count} },
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		start := time.Now().UnixMilli() / 5000
		time.Sleep(8 * time.Second)
		quicktest.Assert(t, p.reports[start], quicktest.DeepEquals, []elector.Figures{{"team": 10}})

		// Counts that arrive later have no effect: the next lease holder, too, reports the figures of the closed window.
		count = 99
		d.fence = 0
		time.Sleep(time.Second)
		d.fence = 5
		time.Sleep(2 * time.Second)
		for window, reports := range p.reports {
			for _, figures := range reports {
				quicktest.Check(t, figures, quicktest.DeepEquals, reports[0], quicktest.Commentf("window %d", window))
			}
		}

		// A failed report is retried; one refused by fencing is not retried with the same fencing number.
		p.err = errors.New("silent")
		time.Sleep(5 * time.Second)
		quicktest.Check(t, p.calls > 5, quicktest.IsTrue)
		p.err = elector.ErrFenced
		time.Sleep(time.Second)
		p.calls = 0
		time.Sleep(10 * time.Second)
		quicktest.Check(t, p.calls, quicktest.Equals, 0)
		cancel()
		<-done
	})
}

// TestLostCloseIsRepeatedWithTheSameFigures loses the record of a window that a peer remembers, as a store does that
// comes back from an older copy. The window must be reported with the remembered figures, and no window before a peer
// holds its figures.
func TestLostCloseIsRepeatedWithTheSameFigures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		window := time.Now().UnixMilli() / 5000
		d := &fakeLease{fence: 1, closed: map[int64]elector.Figures{}, remembered: map[int64]elector.Figures{window: {"team": 7}}}
		p := &platform{reports: map[int64][]elector.Figures{}}
		held := false
		w := &reporter.WindowReporter{
			DutyLease: d, Platform: p, Length: 5 * time.Second, MaximumDelay: 10 * time.Second, Now: time.Now, Logger: zap.NewNop(),
			Total: func(int64) map[identifier.TeamID]uint64 { return map[identifier.TeamID]uint64{"team": 9} },
			Held:  func(int64) bool { return held },
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); w.Run(ctx) }()
		time.Sleep(9 * time.Second)
		quicktest.Check(t, d.closed[window], quicktest.DeepEquals, elector.Figures{"team": 7})
		quicktest.Check(t, p.reports, quicktest.HasLen, 0)
		held = true
		time.Sleep(time.Second)
		quicktest.Check(t, p.reports[window], quicktest.DeepEquals, []elector.Figures{{"team": 7}})
		cancel()
		<-done
	})
}
