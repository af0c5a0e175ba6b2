package arbiter

import (
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ServeUntil and Acceptance.InForce together ensure that no instance serves without a change that is reported as in
// force.
//
// A change is in force only once a majority of the members has acknowledged it. Unless all members have, and none was
// removed within the bound, the whole bound must also have passed since the majority was first seen: a removed member
// may keep serving for up to the bound, and its acknowledgement is no longer requested.
//
// An instance serves until the bound has passed since its configuration was last known to be complete: by its own read
// of the log, by a peer at the same offset that had read the log, or, so that serving continues while no instance
// reaches the log, by the replies of a majority of the members if no member was ahead, that is, at a later offset. Any
// two majorities share a member. So at least one member that replied either had the accepted change already, and was
// ahead, or acknowledged it only after its reply; the change then waits for the bound.
//
// Acceptance adds a margin for clock drift to the bound.

// Member is an instance's latest knowledge of one member.
type Member struct {
	ID   identifier.InstanceID
	Self bool
	// SentAt is when the last request that the member answered was sent, or zero if there is none.
	SentAt time.Time
	// Next is the offset after the last record of the Config stream that the member has applied.
	Next identifier.Offset
	// Voting is true once the member itself has read the log since its start, because a restart loses what an earlier
	// incarnation acknowledged.
	Voting bool
	// Gone is true if the member's process is presumed to have ended: the platform no longer lists it and it does not
	// answer, or another incarnation replies at its address.
	Gone bool
}

// View is an instance's knowledge of its own configuration and of the members, the input of ServeUntil.
type View struct {
	// Joined is true if the instance is a member.
	Joined bool
	// Next is the offset after the last record of the Config stream that the instance has applied.
	Next identifier.Offset
	// FreshAt is when the configuration was last known to be complete.
	FreshAt time.Time
	Members []Member
}

// ServeUntil returns the instant at which the instance must stop serving, or the zero time if it must not serve.
func ServeUntil(now time.Time, bound time.Duration, v View) time.Time {
	if !v.Joined {
		return time.Time{}
	}
	freshAt := v.FreshAt
	if confirmed := majorityFreshAt(now, v); confirmed.After(freshAt) {
		freshAt = confirmed
	}
	if freshAt.IsZero() {
		return time.Time{}
	}
	return freshAt.Add(bound)
}

// majorityFreshAt returns the latest instant at which a majority of the members was known not to be ahead, or the zero
// time if any member is ahead or too few voting members have replied.
func majorityFreshAt(now time.Time, v View) time.Time {
	var sentAt []time.Time
	for _, m := range v.Members {
		if m.Self {
			sentAt = append(sentAt, now)
			continue
		}
		if m.Next > v.Next {
			return time.Time{}
		}
		if m.Voting && !m.SentAt.IsZero() {
			sentAt = append(sentAt, m.SentAt)
		}
	}
	quorum := len(v.Members)/2 + 1
	if len(sentAt) < quorum {
		return time.Time{}
	}
	slices.SortFunc(sentAt, func(a, b time.Time) int { return b.Compare(a) })
	return sentAt[quorum-1]
}

// HeldByMajority reports whether a majority of the members holds the record at offset.
func HeldByMajority(offset identifier.Offset, members []Member) bool {
	return countHolding(offset, members) >= len(members)/2+1
}

// Acceptance tracks one change until it is in force at every instance; Offset, Bound and Margin must be set.
type Acceptance struct {
	Offset identifier.Offset
	Bound  time.Duration
	// Margin is added to Bound, to allow for clock drift.
	Margin time.Duration
	// majorityAt is when a majority was first seen to hold the change.
	majorityAt time.Time
}

// InForce reports whether no instance serves without the change any more; removedAt is when a member was last removed.
func (a *Acceptance) InForce(now, removedAt time.Time, members []Member) bool {
	holding := countHolding(a.Offset, members)
	if holding < len(members)/2+1 {
		return false
	}
	if a.majorityAt.IsZero() {
		a.majorityAt = now
	}
	wait := a.Bound + a.Margin
	if holding == len(members) && now.Sub(removedAt) >= wait {
		return true
	}
	return now.Sub(a.majorityAt) >= wait
}

// countHolding counts the voting members that hold the record at offset, and those that are gone, as they do not serve.
func countHolding(offset identifier.Offset, members []Member) int {
	n := 0
	for _, m := range members {
		if m.Gone || m.Voting && m.Next > offset {
			n++
		}
	}
	return n
}
