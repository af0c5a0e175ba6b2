package administrator

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/freshener"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrNoMajority is returned when a majority has not acknowledged the membership in force.
var ErrNoMajority = errors.New("no majority holds the membership in force")

const joinTimeout = 5 * time.Second

// Join makes the member part of the membership; ErrConflict means that another change came first.
func (a *Administrator) Join(ctx context.Context, m *recorder.Member) error {
	version, err := a.settled()
	if err != nil {
		return err
	}
	r := a.Config.NewRecord()
	r.Body = &recorder.Record_Join{Join: &recorder.Join{Member: m, MembersVersion: version}}
	return a.changeMembers(ctx, r)
}

// Evict removes a member's incarnation; ErrConflict means that another change came first.
func (a *Administrator) Evict(ctx context.Context, instance, incarnation string) error {
	version, err := a.settled()
	if err != nil {
		return err
	}
	r := a.Config.NewRecord()
	r.Body = &recorder.Record_Evict{Evict: &recorder.Evict{Instance: instance, Incarnation: incarnation, MembersVersion: version}}
	return a.changeMembers(ctx, r)
}

// Leave announces that an incarnation takes no new callers.
func (a *Administrator) Leave(ctx context.Context, instance, incarnation string) error {
	r := a.Config.NewRecord()
	r.Body = &recorder.Record_Leave{Leave: &recorder.Leave{Instance: instance, Incarnation: incarnation}}
	_, err := a.Config.Append(ctx, r)
	return err
}

// settled returns the version of the membership once a majority of it holds the record that made it.
func (a *Administrator) settled() (uint64, error) {
	var version uint64
	var offset identifier.Offset
	var count int
	a.Config.Query(func() {
		version, offset = a.Fold.Membership()
		count = a.Fold.MemberCount()
	})
	if count == 0 {
		return version, nil
	}
	if !freshener.HeldByMajority(offset, a.Members()) {
		return 0, fmt.Errorf("%w: membership %d", ErrNoMajority, version)
	}
	return version, nil
}

func (a *Administrator) changeMembers(ctx context.Context, r *recorder.Record) error {
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	verdict, err := a.decide(ctx, r)
	if err != nil {
		return err
	}
	if !verdict.Accepted {
		return fmt.Errorf("%w: %s", configurator.ErrConflict, verdict.Reason)
	}
	a.Logger.Info("membership changed", zap.String("RecordID", r.ID), zap.Uint64("Offset", verdict.Offset))
	return nil
}
