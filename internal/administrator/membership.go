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
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrNoMajority is returned when no majority of the members has acknowledged the membership in force.
var ErrNoMajority = errors.New("no majority holds the membership in force")

// membershipTimeout limits one membership change.
const membershipTimeout = 5 * time.Second

// Join adds a member; configurator.ErrConflict means that another change came first.
func (a *Administrator) Join(ctx context.Context, m *recorder.Member) error {
	version, err := a.acknowledgedVersion()
	if err != nil {
		return err
	}
	r := a.Config.NewRecord()
	r.Body = &recorder.Record_Join{Join: &recorder.Join{Member: m, MembersVersion: version}}
	return a.changeMembers(ctx, r)
}

// Evict removes an incarnation from the membership; configurator.ErrConflict means that another change came first.
func (a *Administrator) Evict(ctx context.Context, instance, incarnation string) error {
	version, err := a.acknowledgedVersion()
	if err != nil {
		return err
	}
	r := a.Config.NewRecord()
	r.Body = &recorder.Record_Evict{Evict: &recorder.Evict{Instance: instance, Incarnation: incarnation, MembersVersion: version}}
	return a.changeMembers(ctx, r)
}

// Leave marks an incarnation as leaving, so that new callers are sent to other instances.
func (a *Administrator) Leave(ctx context.Context, instance, incarnation string) error {
	r := a.Config.NewRecord()
	r.Body = &recorder.Record_Leave{Leave: &recorder.Leave{Instance: instance, Incarnation: incarnation}}
	_, err := a.Config.Append(ctx, r)
	return err
}

// acknowledgedVersion returns the version of the membership in force, or ErrNoMajority if no majority of the members
// holds the record that led to it. An empty membership needs no majority.
func (a *Administrator) acknowledgedVersion() (uint64, error) {
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
	if !arbiter.HeldByMajority(offset, a.Members()) {
		return 0, fmt.Errorf("%w: membership %d", ErrNoMajority, version)
	}
	return version, nil
}

func (a *Administrator) changeMembers(ctx context.Context, r *recorder.Record) error {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	verdict, err := a.submit(ctx, r)
	if err != nil {
		return err
	}
	if !verdict.Accepted {
		return fmt.Errorf("%w: %s", configurator.ErrConflict, verdict.Reason)
	}
	a.Logger.Info("membership changed", zap.String("RecordID", r.ID), zap.Uint64("Offset", verdict.Offset))
	return nil
}
