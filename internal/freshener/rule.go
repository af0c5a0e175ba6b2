package freshener

import (
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// The two rules of this file fit together.
//
// A change counts as accepted only when a majority of the members has acknowledged it and, unless all
// have and none was removed lately, the whole bound has passed since the majority was seen. A member
// that was removed may go on for as long as the bound, and nobody asks it for an acknowledgement.
//
// An instance serves until the bound has passed since it knew that its configuration was whole:
// by a read of the log, by a peer at the same offset that had read the log, or, where nobody reaches
// the log, by answers of a majority none of which was ahead. Two majorities share a member, so a
// change that was accepted was seen by one of those who answered, or came after its answer and then
// waits for the bound.

// Member is what an instance last heard of a member.
type Member struct {
	ID     identifier.InstanceID
	Self   bool
	SentAt time.Time
	Next   identifier.Offset
	Voting bool
	Gone   bool
}

// View is what an instance knows when it decides whether to serve.
type View struct {
	Joined  bool
	Next    identifier.Offset
	FreshAt   time.Time
	Members []Member
}

// ServeUntil returns the instant at which the instance must stop serving.
func ServeUntil(now time.Time, bound time.Duration, v View) time.Time {
	if !v.Joined {
		return time.Time{}
	}
	known := v.FreshAt
	if confirmed := majorityInstant(now, v); confirmed.After(known) {
		known = confirmed
	}
	if known.IsZero() {
		return time.Time{}
	}
	return known.Add(bound)
}

// majorityInstant returns the latest instant at which a majority of voting members was not ahead.
func majorityInstant(now time.Time, v View) time.Time {
	var heard []time.Time
	for _, m := range v.Members {
		if m.Self {
			heard = append(heard, now)
			continue
		}
		if m.Next > v.Next {
			return time.Time{}
		}
		if m.Voting && !m.SentAt.IsZero() {
			heard = append(heard, m.SentAt)
		}
	}
	quorum := len(v.Members)/2 + 1
	if len(heard) < quorum {
		return time.Time{}
	}
	slices.SortFunc(heard, func(a, b time.Time) int { return b.Compare(a) })
	return heard[quorum-1]
}

// HeldByMajority reports whether a majority of the members holds the record at offset.
func HeldByMajority(offset identifier.Offset, members []Member) bool {
	return countHolding(offset, members) >= len(members)/2+1
}

// Acceptance follows one change until it is in force everywhere; Offset, Bound and Margin must be set.
type Acceptance struct {
	Offset   identifier.Offset
	Bound    time.Duration
	Margin   time.Duration
	majority time.Time
}

// InForce reports whether no instance serves without the change any more; removed is when a member was last removed.
func (a *Acceptance) InForce(now, removed time.Time, members []Member) bool {
	holding := countHolding(a.Offset, members)
	if holding < len(members)/2+1 {
		return false
	}
	if a.majority.IsZero() {
		a.majority = now
	}
	wait := a.Bound + a.Margin
	if holding == len(members) && now.Sub(removed) >= wait {
		return true
	}
	return now.Sub(a.majority) >= wait
}

func countHolding(offset identifier.Offset, members []Member) int {
	n := 0
	for _, m := range members {
		if m.Gone || m.Voting && m.Next > offset {
			n++
		}
	}
	return n
}
