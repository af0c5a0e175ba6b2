package reporter

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/accounter"
	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// maximumSentWindows limits the number of sent windows that are remembered. They are used only by an assertion.
const maximumSentWindows = 1024

// Authority runs send if the lease is held under the fencing number, and no longer than the lease lasts.
type Authority interface {
	WithLease(ctx context.Context, fence identifier.Fence, timeout time.Duration, send func(ctx context.Context) error) error
}

// Platform accepts usage reports.
type Platform interface {
	SendReport(ctx context.Context, report provider.Report) error
}

// Reporter closes usage windows and reports them; all exported fields must be set.
type Reporter struct {
	Sender    string
	Authority Authority
	Usage     *tailer.Tailer
	Fold      *accounter.Fold
	Platform  Platform
	Timeout   time.Duration
	Logger    *zap.Logger

	sent map[uint64]*recorder.Window
}

// Close appends a close record, whose offset in the Usage stream fixes the figures of the open window.
func (p *Reporter) Close(ctx context.Context) error {
	var window uint64
	p.Usage.Query(func() { window = p.Fold.Window() })
	r := p.Usage.NewRecord()
	r.Body = &recorder.Record_WindowClose{WindowClose: &recorder.WindowClose{Window: window}}
	return p.append(ctx, r)
}

// Report sends every closed window that has not been reported yet, oldest first.
func (p *Reporter) Report(ctx context.Context, fence identifier.Fence) error {
	var windows []*recorder.Window
	p.Usage.Query(func() { windows = p.Fold.Unreported() })
	for _, w := range windows {
		if err := p.reportOne(ctx, fence, w); err != nil {
			return fmt.Errorf("report window %d: %w", w.Number, err)
		}
	}
	return nil
}

func (p *Reporter) reportOne(ctx context.Context, fence identifier.Fence, w *recorder.Window) error {
	p.assertSame(w)
	report := provider.Report{Window: w.Number, Sender: p.Sender, Fence: fence, Teams: figures(w)}
	err := p.Authority.WithLease(ctx, fence, p.Timeout, func(ctx context.Context) error {
		return p.Platform.SendReport(ctx, report)
	})
	if err != nil {
		return err
	}
	r := p.Usage.NewRecord()
	r.Body = &recorder.Record_WindowReported{WindowReported: &recorder.WindowReported{Window: w.Number}}
	if err := p.append(ctx, r); err != nil {
		return err
	}
	p.Logger.Info("Report", zap.Uint64("Window", w.Number), zap.Int("Teams", len(w.Teams)), zap.Uint64("Fence", uint64(fence)))
	return nil
}

// assertSame asserts that a window is sent with the same figures as in earlier attempts.
func (p *Reporter) assertSame(w *recorder.Window) {
	if sent := p.sent[w.Number]; sent != nil {
		asserter.That(slices.Equal(figures(sent), figures(w)), asserter.SameFiguresPerWindow, "window %d", w.Number)
	}
	if p.sent == nil || len(p.sent) > maximumSentWindows {
		p.sent = map[uint64]*recorder.Window{}
	}
	p.sent[w.Number] = w
}

func (p *Reporter) append(ctx context.Context, r *recorder.Record) error {
	ctx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	_, err := p.Usage.Append(ctx, r)
	return err
}

func figures(w *recorder.Window) []provider.TeamTotals {
	list := make([]provider.TeamTotals, len(w.Teams))
	for i, u := range w.Teams {
		list[i] = provider.TeamTotals{
			Team: u.Team, Requests: u.Requests, Refused: u.Refused, Cut: u.Cut,
			PromptTokens: u.PromptTokens, OutputTokens: u.OutputTokens,
		}
	}
	return list
}
