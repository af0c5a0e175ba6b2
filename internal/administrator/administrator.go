package administrator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/arbiter"
	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrNotInForce is returned when a change was accepted, but the context ended before the change was known to be in force
// everywhere.
var ErrNotInForce = errors.New("not yet known to be in force everywhere")

// pollInterval is the time between two checks whether a change is in force.
const pollInterval = 20 * time.Millisecond

// Administrator appends changes to the Config stream; all exported fields must be set.
type Administrator struct {
	Config *tailer.Tailer
	Fold   *configurator.Fold
	// Members returns the members with the state from their last heartbeats.
	Members func() []arbiter.Member
	// LastRemoval returns when a member was last removed.
	LastRemoval func() time.Time
	// Freshness is how long an instance may serve after its configuration was last known to be complete.
	Freshness time.Duration
	// Margin is added to Freshness to allow for clock drift.
	Margin time.Duration
	Logger *zap.Logger
}

// Change appends a record and returns its offset once it is in force everywhere. If the record was rejected, for
// example after a concurrent change, the error wraps configurator.ErrConflict.
func (a *Administrator) Change(ctx context.Context, r *recorder.Record) (identifier.Offset, error) {
	verdict, err := a.submit(ctx, r)
	if err != nil {
		return 0, err
	}
	offset := identifier.Offset(verdict.Offset)
	if !verdict.Accepted {
		return offset, fmt.Errorf("%w: %s", configurator.ErrConflict, verdict.Reason)
	}
	started := time.Now()
	acceptance := arbiter.Acceptance{Offset: offset, Bound: a.Freshness, Margin: a.Margin}
	for !acceptance.InForce(time.Now(), a.LastRemoval(), a.Members()) {
		if err := sleeper.Sleep(ctx, pollInterval); err != nil {
			return offset, fmt.Errorf("%w: offset %d", ErrNotInForce, offset)
		}
	}
	a.Logger.Info("Accept",
		zap.String("RecordID", r.ID),
		zap.Uint64("Offset", uint64(offset)),
		zap.Duration("InForceAfter", time.Since(started)))
	return offset, nil
}

// submit appends a record and returns its verdict.
func (a *Administrator) submit(ctx context.Context, r *recorder.Record) (*recorder.Verdict, error) {
	if _, err := a.Config.Append(ctx, r); err != nil {
		return nil, err
	}
	var verdict *recorder.Verdict
	a.Config.Query(func() { verdict = a.Fold.Verdict(r.ID) })
	if verdict == nil {
		return nil, fmt.Errorf("%w: record %s", tailer.ErrUnconfirmed, r.ID)
	}
	return verdict, nil
}
