package runner

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/arbiter"
	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/caller"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// heartbeat returns this instance's heartbeat. Voting is set only after this incarnation has read the log itself,
// because it does not know which offsets an earlier incarnation acknowledged.
func (e *Entry) heartbeat() *messenger.Heartbeat {
	age := maximumFreshAge
	if fresh := e.config.FreshAt(); !fresh.IsZero() {
		age = min(age, time.Since(fresh))
	}
	heartbeat := &messenger.Heartbeat{
		Instance:             e.member.Instance,
		Incarnation:          e.member.Incarnation,
		ConfigNext:           uint64(e.config.Next()),
		FreshAgeMilliseconds: age.Milliseconds() + 1,
		Voting:               e.config.ReadFromLog(),
		Leaving:              e.leaving.Load(),
		Hears:                e.observer.Hears(peerSilenceTimeout),
	}
	for key, rate := range e.meter.Rates() {
		heartbeat.Rates = append(heartbeat.Rates, &messenger.TeamRate{
			Team: string(key.Team), Model: string(key.Model),
			PromptTokensPerSecond: rate.Prompt, OutputTokensPerSecond: rate.Output,
		})
	}
	return heartbeat
}

// isMember reports whether this incarnation is a member.
func (e *Entry) isMember() bool {
	m := e.view.Load().State.GetMembers()[e.member.Instance]
	return m != nil && m.Incarnation == e.member.Incarnation
}

// serving reports whether this instance may serve: it is a member, and its configuration is known to be within the
// freshness bound.
func (e *Entry) serving() bool {
	now := time.Now()
	bound := e.settings.Timing.Freshness
	if !e.isMember() {
		return false
	}
	if now.Before(e.config.FreshAt().Add(bound)) {
		return true
	}
	v := arbiter.View{Joined: true, Next: e.config.Next(), FreshAt: e.config.FreshAt(), Members: e.observer.View()}
	return now.Before(arbiter.ServeUntil(now, bound, v))
}

// runMembership makes this incarnation a member and, after an eviction, waits for rejoinDelay before it joins again.
// Without the delay, an entry that the lease holder does not reach would be evicted and rejoin again and again, and no
// change would come into force.
func (e *Entry) runMembership(ctx context.Context) {
	var memberAt time.Time
	every(ctx, membershipRetryInterval, func(ctx context.Context) {
		if e.isMember() {
			memberAt = time.Now()
			return
		}
		evicted := !memberAt.IsZero() && time.Since(memberAt) < rejoinDelay
		if evicted || e.leaving.Load() || !e.config.ReadFromLog() {
			return
		}
		if err := e.admin.Join(ctx, e.member); err != nil {
			e.logger.Debug("join failed", zap.Error(err))
			sleeper.Sleep(ctx, rand.N(membershipRetryInterval))
		}
	})
}

// runList polls the platform's list of live and leaving instances.
func (e *Entry) runList(ctx context.Context) {
	absentSince := map[string]time.Time{}
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
		e.observer.SetGone(e.gone(listed, absentSince))
	})
}

// gone returns the absent members: those that the platform does not list and that have not answered a heartbeat within
// goneTimeout. The value is true for members that have been absent for at least goneTimeout.
func (e *Entry) gone(listed map[string]bool, absentSince map[string]time.Time) map[string]bool {
	gone := map[string]bool{}
	for id, m := range e.view.Load().State.GetMembers() {
		silent, answered := e.observer.SilentFor(id, m.Incarnation)
		if listed[id] || id == e.member.Instance || answered && silent < goneTimeout {
			delete(absentSince, id)
			continue
		}
		if absentSince[id].IsZero() {
			absentSince[id] = time.Now()
		}
		gone[id] = time.Since(absentSince[id]) >= goneTimeout
	}
	return gone
}

// runEvictions evicts members, while this instance holds the lease, if neither this instance nor any member that it
// reaches has reached them for evictionTimeout.
func (e *Entry) runEvictions(ctx context.Context) {
	lastSeen := map[string]time.Time{}
	every(ctx, evictionInterval, func(ctx context.Context) {
		members := e.view.Load().State.GetMembers()
		e.updateLastSeen(members, lastSeen)
		if _, _, err := e.leaseholder.Authority(); err != nil || !e.reachesMajority() {
			return
		}
		for id, m := range members {
			if id != e.member.Instance && time.Since(lastSeen[id]) > evictionTimeout {
				err := e.admin.Evict(ctx, id, m.Incarnation)
				e.logger.Info("Evict", zap.String("Instance", id), zap.Error(err))
				return
			}
		}
	})
}

// reachesMajority reports whether a majority of the members has answered a heartbeat within peerSilenceTimeout; this
// instance and members that are gone count as well. An isolated instance must not evict the other members.
func (e *Entry) reachesMajority() bool {
	members := e.observer.View()
	reached := 0
	for _, m := range members {
		if m.Self || m.Gone || time.Since(m.SentAt) <= peerSilenceTimeout {
			reached++
		}
	}
	return reached >= len(members)/2+1
}

// updateLastSeen records when this instance, or a member that it reaches, last reached each member. A member that has
// just joined counts as reached.
func (e *Entry) updateLastSeen(members map[string]*recorder.Member, lastSeen map[string]time.Time) {
	now := time.Now()
	reached := map[string]bool{}
	for _, heartbeat := range e.observer.RecentHeartbeats(peerSilenceTimeout) {
		reached[heartbeat.Instance] = true
		for _, id := range heartbeat.Hears {
			reached[id] = true
		}
	}
	for id := range members {
		if reached[id] || lastSeen[id].IsZero() {
			lastSeen[id] = now
		}
	}
	maps.DeleteFunc(lastSeen, func(id string, _ time.Time) bool { return members[id] == nil })
}

// addresses returns the entries that accept callers, in random order, with those in the given availability zone first.
// An empty zone stands for the zone of this instance.
func (e *Entry) addresses(zone identifier.ZoneID) caller.Addresses {
	if zone == "" {
		zone = e.settings.Zone
	}
	leaving := map[string]bool{e.member.Instance: e.leaving.Load()}
	for _, heartbeat := range e.observer.RecentHeartbeats(maximumHeartbeatAge) {
		leaving[heartbeat.Instance] = heartbeat.Leaving
	}
	var sameZone, otherZones []caller.Address
	for id, m := range e.view.Load().State.GetMembers() {
		if m.Leaving || leaving[id] || e.isSilent(m) {
			continue
		}
		a := caller.Address{Address: m.Address, Zone: identifier.ZoneID(m.Zone), Instance: identifier.InstanceID(id)}
		if a.Zone == zone {
			sameZone = append(sameZone, a)
		} else {
			otherZones = append(otherZones, a)
		}
	}
	shuffle(sameZone)
	shuffle(otherZones)
	return caller.Addresses{
		Addresses:            slices.Concat(sameZone, otherZones),
		LifetimeMilliseconds: e.settings.Timing.AddressLifetime.Milliseconds(),
	}
}

// isSilent reports whether a member last answered a heartbeat more than peerSilenceTimeout ago. It is false for a
// member that has never answered.
func (e *Entry) isSilent(m *recorder.Member) bool {
	silent, ok := e.observer.SilentFor(m.Instance, m.Incarnation)
	return ok && silent > peerSilenceTimeout
}

func shuffle(list []caller.Address) {
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
