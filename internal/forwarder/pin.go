package forwarder

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// unknownStreamRetryAfter is the retry delay of a stream that cannot go on because it is not known where it began: an
	// instance that knows may be cut off for a moment.
	unknownStreamRetryAfter = 300 * time.Millisecond
	// absentBuildRetryAfter is the retry delay of a stream whose build has no target: one that has crashed may be back by then.
	absentBuildRetryAfter = time.Second
	// loneBuildCost keeps streams that may be taken up from a build with a single answer target, where another build has more:
	// once that target is lost, none of its streams can go on.
	loneBuildCost = 100 * time.Millisecond
)

// Pins knows where streams began.
type Pins interface {
	// Announce returns once another instance has confirmed that it remembers the pin, or after a short time.
	Announce(ctx context.Context, k pinner.Key, p pinner.Pin) bool
	// Find returns pinner.ErrUnknown or pinner.ErrAmbiguous if the stream cannot go on.
	Find(ctx context.Context, k pinner.Key) (pinner.Pin, error)
}

// goesOn reports whether the client has received a part of the stream already.
func (c *Call) goesOn() bool {
	last, err := strconv.Atoi(c.LastEvent)
	return c.Origin != "" || c.LastEvent != "" && (err != nil || last > 0)
}

// findPin restricts a request that goes on with a stream to the service and the build at which the stream began.
func (rs *requestState) findPin(ctx context.Context) *Refusal {
	if !rs.call.goesOn() {
		return nil
	}
	pin, err := pinner.Pin{}, pinner.ErrUnknown
	if rs.call.Origin != "" {
		pin, err = rs.f.Pins.Find(ctx, pinner.KeyOf(rs.teamID(), rs.call.Origin))
	}
	if errors.Is(err, pinner.ErrUnknown) && len(rs.route.WeightedServices) == 1 {
		if build, ok := rs.f.SoleBuild(ctx, rs.service, rs.call.Host, rs.call.Path); ok {
			pin, err = pinner.Pin{Service: rs.service, Build: build}, nil
		}
	}
	if err != nil {
		return refuseNotRun("StreamUnknown", unknownStreamRetryAfter, err)
	}
	if !slices.ContainsFunc(rs.route.WeightedServices, func(s matcher.WeightedService) bool { return s.Service == pin.Service }) {
		return refuseNotRun("StreamOfOtherService", 0, nil)
	}
	rs.service, rs.pin = pin.Service, &pin
	return nil
}

// begin pins the stream to the build whose event is about to be sent to the client. Other instances are told before, so that
// the stream can go on wherever the client takes it up.
func (rs *requestState) begin(ctx context.Context, build identifier.Build) {
	if rs.begun {
		return
	}
	rs.begun = true
	if rs.pin == nil {
		rs.pin = &pinner.Pin{Service: rs.service, Build: build}
	}
	if !rs.route.Resumable {
		return
	}
	if rs.f.CoverStream != nil {
		rs.f.CoverStream(ctx)
	}
	if !rs.f.Pins.Announce(ctx, pinner.KeyOf(rs.teamID(), rs.call.ID), *rs.pin) {
		rs.f.Metrics.Counter("PinsUnconfirmed").Inc(1)
		rs.f.Logger.Debug("no other instance has confirmed where a stream began", zap.String("RequestID", string(rs.call.ID)))
	}
	if origin := rs.call.Origin; origin != "" {
		// The instances that hold the pin may have changed since the stream began.
		pin := *rs.pin
		go rs.f.Pins.Announce(context.WithoutCancel(ctx), pinner.KeyOf(rs.teamID(), origin), pin)
	}
}

// admitsAnswer reports whether the answer may come from a target.
func (rs *requestState) admitsAnswer(t *registrar.Target) bool {
	return rs.pin == nil || t.Build == rs.pin.Build
}

// chargeLoneBuilds makes targets that are the only one of their build more expensive, if another build has several.
func chargeLoneBuilds(list []chooser.Candidate) {
	targets := map[identifier.Build]int{}
	most := 0
	for i := range list {
		build := list[i].Target.Build
		targets[build]++
		most = max(most, targets[build])
	}
	for i := range list {
		if most > 1 && targets[list[i].Target.Build] == 1 {
			list[i].Surcharge += loneBuildCost
		}
	}
}

// refuseAbsentBuild refuses to go on with a stream if no target of its build is listed, or returns nil.
func (rs *requestState) refuseAbsentBuild() *Refusal {
	if rs.started || rs.pin == nil {
		return nil
	}
	if slices.ContainsFunc(rs.f.Targets(rs.service, time.Now()), rs.admitsAnswer) {
		return nil
	}
	return refuseNotRun("BuildAbsent", absentBuildRetryAfter, nil)
}
