package reporter

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// windowInterval is the time between two checks for windows to close or report.
	windowInterval = 250 * time.Millisecond
	// closeDelay is the time from the end of a window until it is closed, in which the counts of peers arrive: they send
	// them within a few gossip messages.
	closeDelay = 2500 * time.Millisecond
	// maximumReportedWindows is the number of windows that are remembered as reported.
	maximumReportedWindows = 32
)

// WindowCloser fixes the figures of windows under the lease.
type WindowCloser interface {
	Authority() (identifier.Fence, error)
	WithLease(ctx context.Context, send func(ctx context.Context, fence identifier.Fence) error) error
	Close(ctx context.Context, window int64, figures elector.Figures) error
	Closed() map[int64]elector.Figures
	// Remembered returns the figures of all windows that are known to have been closed, also of those that the log has
	// lost. They come before those in the log, where a late record may have taken the place of a lost one.
	Remembered() map[int64]elector.Figures
	// CompleteFrom returns the first window that was closed by nobody if it is neither closed nor remembered. An earlier one may have
	// been closed and reported in an earlier era of the store.
	CompleteFrom() int64
}

// UsagePlatform accepts the figures of a window.
type UsagePlatform interface {
	ReportUsage(ctx context.Context, fence identifier.Fence, window int64, figures elector.Figures) error
}

// WindowReporter closes usage windows in the log and reports the figures in the log; exported fields must be set.
type WindowReporter struct {
	DutyLease WindowCloser
	Platform  UsagePlatform
	Length    time.Duration
	// MaximumDelay is the time after its end within which a window may still be reported.
	MaximumDelay time.Duration
	// Now returns the wall clock time, corrected for an error of this machine's clock.
	Now func() time.Time
	// Total returns the requests of each team in a window so far.
	Total func(window int64) map[identifier.TeamID]uint64
	// Held reports whether the figures of a closed window would survive this instance and the log; nil means that they do.
	Held func(window int64) bool
	// OnWithheld is called once for each window that is not reported because it may have been reported before; nil ignores it.
	OnWithheld func()
	Logger     *zap.Logger

	reported map[int64]bool
	// withheld is the newest window that was withheld.
	withheld int64
	fenced   identifier.Fence
}

// Run closes and reports windows while the lease is held, until ctx ends.
func (r *WindowReporter) Run(ctx context.Context) {
	r.reported = map[int64]bool{}
	for sleeper.Sleep(ctx, windowInterval) == nil {
		// A fencing number that was refused is not used again.
		if fence, err := r.DutyLease.Authority(); err != nil || fence == r.fenced {
			clear(r.reported)
			continue
		}
		r.step(ctx)
	}
}

// step closes and reports the windows that ended at least closeDelay and less than MaximumDelay ago.
func (r *WindowReporter) step(ctx context.Context) {
	now := r.Now()
	newest := now.Add(-closeDelay).UnixMilli()/r.Length.Milliseconds() - 1
	oldest := now.Add(-r.MaximumDelay).UnixMilli() / r.Length.Milliseconds()
	for w := oldest; w <= newest; w++ {
		if !r.reported[w] {
			r.report(ctx, w)
		}
	}
	for w := range r.reported {
		if w < newest-maximumReportedWindows {
			delete(r.reported, w)
		}
	}
}

// report reports the figures that the log holds for a window, after closing the window if necessary. A window that the
// log has lost is closed again with the same figures, and one without requests is not closed. A window whose figures may have been
// reported, but are not known, is not closed either.
func (r *WindowReporter) report(ctx context.Context, window int64) {
	figures, known := r.DutyLease.Remembered()[window]
	if _, closed := r.DutyLease.Closed()[window]; !closed {
		if !known {
			figures = r.Total(window)
		}
		if len(figures) == 0 {
			return
		}
		if from := r.DutyLease.CompleteFrom(); !known && window < from {
			r.withhold(window, from)
			return
		}
		if err := r.DutyLease.Close(ctx, window, figures); err != nil {
			r.Logger.Info("cannot close the usage window", zap.Int64("Window", window), zap.Error(err))
			return
		}
		if figures, known = r.DutyLease.Remembered()[window]; !known {
			return
		}
	}
	// After a loss of both, the next holder would have to leave the window out, or would, with an earlier build, report other figures.
	if r.Held != nil && !r.Held(window) {
		return
	}
	var fence identifier.Fence
	err := r.DutyLease.WithLease(ctx, func(ctx context.Context, f identifier.Fence) error {
		fence = f
		return r.Platform.ReportUsage(ctx, f, window, figures)
	})
	r.Logger.Info("window reported", zap.Int64("Window", window), zap.Uint64("Fence", uint64(fence)), zap.Any("Figures", figures), zap.Error(err))
	r.reported[window] = err == nil
	if errors.Is(err, elector.ErrFenced) {
		r.fenced = fence
	}
}

// withhold logs and counts a window that may have been reported with other figures before. It is checked again, because a peer may still
// tell its figures.
func (r *WindowReporter) withhold(window, completeFrom int64) {
	if window <= r.withheld {
		return
	}
	r.withheld = window
	r.Logger.Warn("window withheld", zap.Int64("Window", window), zap.Int64("CompleteFrom", completeFrom),
		zap.String("Reason", "it may have been reported before the store came back from an older copy"))
	if r.OnWithheld != nil {
		r.OnWithheld()
	}
}
