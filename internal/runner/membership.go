package runner

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/freshener"
	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/caller"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// beat returns this instance's heartbeat. It votes only once it has read the log itself since its
// start, because what an earlier incarnation acknowledged is lost with its memory.
func (e *Entry) beat() *messenger.Heartbeat {
	age := maximumFreshAge
	if fresh := e.config.Fresh(); !fresh.IsZero() {
		age = min(age, time.Since(fresh))
	}
	beat := &messenger.Heartbeat{
		Instance:             e.member.Instance,
		Incarnation:          e.member.Incarnation,
		ConfigNext:           uint64(e.config.Next()),
		FreshAgeMilliseconds: age.Milliseconds() + 1,
		Voting:               e.config.ReadSelf(),
		Leaving:              e.leaving.Load(),
		Hears:                e.observer.Hears(addressSilence),
	}
	for subject, rate := range e.meter.Rates() {
		beat.Rates = append(beat.Rates, &messenger.TeamRate{
			Team: string(subject.Team), Model: string(subject.Model),
			PromptTokensPerSecond: rate.Prompt, OutputTokensPerSecond: rate.Output,
		})
	}
	return beat
}

// joined reports whether this incarnation is a member.
func (e *Entry) joined() bool {
	m := e.view.Load().State.GetMembers()[e.member.Instance]
	return m != nil && m.Incarnation == e.member.Incarnation
}

// serving reports whether the configuration is surely current enough to serve callers.
func (e *Entry) serving() bool {
	now := time.Now()
	bound := e.settings.Timing.Freshness
	if !e.joined() {
		return false
	}
	if now.Before(e.config.Fresh().Add(bound)) {
		return true
	}
	v := freshener.View{Joined: true, Next: e.config.Next(), Fresh: e.config.Fresh(), Members: e.observer.View()}
	return now.Before(freshener.ServeUntil(now, bound, v))
}

// runMembership joins, and joins again some time after an eviction. Without that time an entry that the
// lease holder does not hear would come and go with each look of the holder, and no change would settle.
func (e *Entry) runMembership(ctx context.Context) {
	var memberAt time.Time
	every(ctx, joinRetry, func(ctx context.Context) {
		if e.joined() {
			memberAt = time.Now()
			return
		}
		evicted := !memberAt.IsZero() && time.Since(memberAt) < rejoinAfter
		if evicted || e.leaving.Load() || !e.config.ReadSelf() {
			return
		}
		if err := e.admin.Join(ctx, e.member); err != nil {
			e.logger.Debug("join failed", zap.Error(err))
			sleeper.Sleep(ctx, rand.N(joinRetry))
		}
	})
}

// runList reads the platform's list of live and leaving instances.
func (e *Entry) runList(ctx context.Context) {
	absent := map[string]time.Time{}
	every(ctx, listInterval, func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, listTimeout)
		defer cancel()
		list, err := e.platform.Instances(ctx)
		if err != nil || len(list) == 0 {
			return
		}
		listed := map[string]bool{}
		leaving := map[identifier.TargetID]bool{}
		for _, i := range list {
			listed[i.ID] = true
			leaving[identifier.TargetID(i.ID)] = i.Leaving
		}
		e.tracker.SetLeaving(leaving)
		e.observer.SetGone(e.gone(listed, absent))
	})
}

// gone returns the members that the platform has not listed, and that were not heard, for long enough.
func (e *Entry) gone(listed map[string]bool, absent map[string]time.Time) map[string]bool {
	gone := map[string]bool{}
	for id, m := range e.view.Load().State.GetMembers() {
		silent, heard := e.observer.SilentFor(id, m.Incarnation)
		if listed[id] || id == e.member.Instance || heard && silent < goneAfter {
			delete(absent, id)
			continue
		}
		if absent[id].IsZero() {
			absent[id] = time.Now()
		}
		gone[id] = time.Since(absent[id]) >= goneAfter
	}
	return gone
}

// runEvictions removes members that neither this instance nor those that it hears have heard for long,
// while this instance holds the lease.
func (e *Entry) runEvictions(ctx context.Context) {
	lastSeen := map[string]time.Time{}
	every(ctx, evictInterval, func(ctx context.Context) {
		members := e.view.Load().State.GetMembers()
		e.noteHeard(members, lastSeen)
		if _, _, err := e.holder.Authority(); err != nil || !e.hearsMajority() {
			return
		}
		for id, m := range members {
			if id != e.member.Instance && time.Since(lastSeen[id]) > evictAfter {
				err := e.admin.Evict(ctx, id, m.Incarnation)
				e.logger.Info("Evict", zap.String("Instance", id), zap.Error(err))
				return
			}
		}
	})
}

// hearsMajority reports whether this instance hears a majority of the members now. One that is cut off
// must not evict the others.
func (e *Entry) hearsMajority() bool {
	members := e.observer.View()
	heard := 0
	for _, m := range members {
		if m.Self || m.Gone || time.Since(m.SentAt) <= addressSilence {
			heard++
		}
	}
	return heard >= len(members)/2+1
}

// noteHeard follows when each member was last heard here or by a member that is heard here; one that has
// just joined counts as heard.
func (e *Entry) noteHeard(members map[string]*recorder.Member, lastSeen map[string]time.Time) {
	now := time.Now()
	heard := map[string]bool{}
	for _, beat := range e.observer.RecentHeartbeats(addressSilence) {
		heard[beat.Instance] = true
		for _, id := range beat.Hears {
			heard[id] = true
		}
	}
	for id := range members {
		if heard[id] || lastSeen[id].IsZero() {
			lastSeen[id] = now
		}
	}
	maps.DeleteFunc(lastSeen, func(id string, _ time.Time) bool { return members[id] == nil })
}

// addresses ranks the entries that take callers: those of the caller's availability zone first.
func (e *Entry) addresses(zone identifier.ZoneID) caller.Addresses {
	if zone == "" {
		zone = e.settings.Zone
	}
	leaving := map[string]bool{e.member.Instance: e.leaving.Load()}
	for _, beat := range e.observer.RecentHeartbeats(beatMaximumAge) {
		leaving[beat.Instance] = beat.Leaving
	}
	var near, far []caller.Address
	for id, m := range e.view.Load().State.GetMembers() {
		if m.Leaving || leaving[id] || e.quiet(m) {
			continue
		}
		a := caller.Address{Address: m.Address, Zone: identifier.ZoneID(m.Zone), Instance: identifier.InstanceID(id)}
		if a.Zone == zone {
			near = append(near, a)
		} else {
			far = append(far, a)
		}
	}
	shuffle(near)
	shuffle(far)
	return caller.Addresses{
		Addresses:            slices.Concat(near, far),
		LifetimeMilliseconds: e.settings.Timing.AddressLifetime.Milliseconds(),
	}
}

// quiet reports whether a member has not answered heartbeats lately.
func (e *Entry) quiet(m *recorder.Member) bool {
	silent, ok := e.observer.SilentFor(m.Instance, m.Incarnation)
	return ok && silent > addressSilence
}

func shuffle(list []caller.Address) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
