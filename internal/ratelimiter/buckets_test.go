package ratelimiter_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/ratelimiter"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// terms apply to a settled keeper with a quota of 100 a second.
var terms = ratelimiter.Terms{Quota: matcher.Quota{Rate: 100, Burst: 50}, Share: 1, Majority: true, First: true, Allowance: 10, UnsettledAllowance: 5, Maximum: 1000}

// filled returns buckets with a full one for the team, and the time.
func filled() (*ratelimiter.Buckets, time.Time) {
	b, now := &ratelimiter.Buckets{}, time.Unix(1000, 0)
	for range 50 {
		b.Maintain("team", terms, now)
		now = now.Add(100 * time.Millisecond)
	}
	return b, now
}

func level(b *ratelimiter.Buckets, t ratelimiter.Terms, now time.Time) float64 {
	l, _ := b.Level("team", t, now)
	return float64(l)
}

// TestBucket guards against levels that differ from burst and rate, and against double counts and double returns.
func TestBucket(t *testing.T) {
	b, now := filled()
	quicktest.Check(t, level(b, terms, now), quicktest.Equals, 50.0)
	quicktest.Check(t, b.Decide("team", 1, 30, terms, now).Verdict, quicktest.Equals, ratelimiter.Verdict_Admitted)
	again := b.Decide("team", 1, 30, terms, now)
	quicktest.Check(t, again.Verdict, quicktest.Equals, ratelimiter.Verdict_Admitted)
	quicktest.Check(t, again.Repeated, quicktest.IsTrue)
	quicktest.Check(t, float64(again.Level), quicktest.Equals, 20.0, quicktest.Commentf("counted once"))
	quicktest.Check(t, float64(b.Decide("team", 2, 80, terms, now).Level), quicktest.Equals, -60.0, quicktest.Commentf("the whole cost is taken"))
	refused := b.Decide("team", 3, 1, terms, now)
	quicktest.Check(t, refused.Verdict, quicktest.Equals, ratelimiter.Verdict_Refused)
	quicktest.Check(t, refused.RetryAfter, quicktest.Equals, 600*time.Millisecond)
	quicktest.Check(t, refused.Began, quicktest.IsTrue)
	quicktest.Check(t, b.Decide("team", 4, 20, terms, now).RetryAfter, quicktest.Equals, 610*time.Millisecond)
	quicktest.Check(t, b.Decide("team", 5, 20, terms, now).RetryAfter, quicktest.Equals, 810*time.Millisecond, quicktest.Commentf("after the one before"))
	quicktest.Check(t, b.Return("team", 2, terms, now), quicktest.IsTrue)
	quicktest.Check(t, b.Return("team", 2, terms, now), quicktest.IsFalse)
	quicktest.Check(t, level(b, terms, now), quicktest.Equals, 20.0, quicktest.Commentf("given back once"))
	quicktest.Check(t, b.Return("team", 6, terms, now), quicktest.IsFalse)
	late := b.Decide("team", 6, 10, terms, now)
	quicktest.Check(t, late.Verdict, quicktest.Equals, ratelimiter.Verdict_Undecided, quicktest.Commentf("a question that arrives after it was given back is not counted"))
	quicktest.Check(t, float64(late.Level), quicktest.Equals, 20.0)
	quicktest.Check(t, b.Decide("team", 7, 1001, terms, now).Verdict, quicktest.Equals, ratelimiter.Verdict_Refused, quicktest.Commentf("breaks the rule by itself"))
}

// TestChangedTerms guards against buckets that keep a level of a quota that no longer applies.
func TestChangedTerms(t *testing.T) {
	b, now := filled()
	lowered := terms
	lowered.Quota.Burst = 10
	quicktest.Check(t, level(b, lowered, now), quicktest.Equals, 10.0)
	quicktest.Check(t, level(b, terms, now), quicktest.Equals, 10.0, quicktest.Commentf("a raised burst has to fill"))
	b, now = filled()
	tokens := terms
	tokens.Quota.Kind = matcher.TokenQuota
	quicktest.Check(t, level(b, tokens, now), quicktest.Equals, 1.0, quicktest.Commentf("another unit"))
	b, now = filled()
	minority := terms
	minority.Majority, minority.Share = false, 0.2
	quicktest.Check(t, level(b, minority, now), quicktest.Equals, 10.0, quicktest.Commentf("a share of the burst"))
	quicktest.Check(t, b.Decide("team", 1, 20, minority, now).Verdict, quicktest.Equals, ratelimiter.Verdict_Admitted, quicktest.Commentf("level and allowance"))
	d := b.Decide("team", 2, 1, minority, now)
	quicktest.Check(t, d.Verdict, quicktest.Equals, ratelimiter.Verdict_Undecided, quicktest.Commentf("the others may be within the quota"))
	quicktest.Check(t, d.RetryAfter, quicktest.Equals, 200*time.Millisecond)
	quicktest.Check(t, level(b, minority, now.Add(500*time.Millisecond)), quicktest.Equals, 0.0, quicktest.Commentf("a share of the rate"))
}

// TestUnknownLevels guards against buckets that start full after a restart or a freeze, which forgets what was admitted.
func TestUnknownLevels(t *testing.T) {
	b, now := filled()
	now = now.Add(3 * time.Second)
	quicktest.Check(t, level(b, terms, now), quicktest.Equals, 1.0, quicktest.Commentf("after a freeze"))
	quicktest.Check(t, b.Adopt("team", 30, terms, now), quicktest.IsTrue)
	quicktest.Check(t, b.Adopt("team", 20, terms, now), quicktest.IsTrue, quicktest.Commentf("a lower level is nearer to the truth"))
	quicktest.Check(t, b.Adopt("team", 40, terms, now), quicktest.IsFalse)
	quicktest.Check(t, level(b, terms, now), quicktest.Equals, 20.0)
	quicktest.Check(t, level(b, terms, now.Add(200*time.Millisecond)), quicktest.Equals, 30.0, quicktest.Commentf("half the rate until the views agree"))

	fresh := &ratelimiter.Buckets{}
	_, known := fresh.Level("team", terms, now)
	quicktest.Check(t, known, quicktest.IsFalse)
	fresh.Learn("team", 1, 5, 12, false, terms, now)
	quicktest.Check(t, level(fresh, terms, now), quicktest.Equals, 12.0, quicktest.Commentf("the first message that carries a level"))
	fresh.Learn("team", 2, 5, 40, false, terms, now)
	quicktest.Check(t, level(fresh, terms, now), quicktest.Equals, 7.0, quicktest.Commentf("what another instance admitted"))
	fresh.Learn("team", 2, 5, 40, false, terms, now)
	quicktest.Check(t, level(fresh, terms, now), quicktest.Equals, 7.0, quicktest.Commentf("told twice"))
	fresh.Learn("team", 3, 5, 40, true, terms, now)
	quicktest.Check(t, level(fresh, terms, now), quicktest.Equals, 40.0, quicktest.Commentf("the level of the keeper replaces that of another"))
}

// TestUnsettledKeepersTakeNoDebt guards against several instances that decide at the same time, each of which lets a large request
// take its level below zero.
func TestUnsettledKeepersTakeNoDebt(t *testing.T) {
	b, now := filled()
	second := terms
	second.First = false
	d := b.Decide("team", 1, 60, second, now)
	quicktest.Check(t, d.Verdict, quicktest.Equals, ratelimiter.Verdict_Undecided, quicktest.Commentf("the team is not over its quota"))
	quicktest.Check(t, b.Decide("team", 2, 55, second, now).Verdict, quicktest.Equals, ratelimiter.Verdict_Admitted)
	quicktest.Check(t, b.Decide("team", 3, 1, second, now).Verdict, quicktest.Equals, ratelimiter.Verdict_Refused)
	for range 21 {
		now = now.Add(100 * time.Millisecond)
		b.Maintain("team", terms, now)
	}
	quicktest.Check(t, b.Decide("team", 4, 500, terms, now).Verdict, quicktest.Equals, ratelimiter.Verdict_Admitted, quicktest.Commentf("first for long enough"))
}

// TestIdentitiesAreBounded guards against memory that grows with the requests, and against identities that are kept beyond their
// lifetime.
func TestIdentitiesAreBounded(t *testing.T) {
	b, now := filled()
	quicktest.Check(t, b.Decide("team", 1, 0, terms, now).Verdict, quicktest.Equals, ratelimiter.Verdict_Admitted)
	quicktest.Check(t, b.Decide("team", 1, 0, terms, now.Add(9*time.Second)).Repeated, quicktest.IsTrue)
	quicktest.Check(t, b.Decide("team", 1, 0, terms, now.Add(11*time.Second)).Repeated, quicktest.IsFalse)
	for id := range ratelimiter.Identity(1 << 17) {
		b.Decide("team", id+10, 0, terms, now.Add(11*time.Second))
	}
	quicktest.Check(t, b.Identities(), quicktest.Equals, 1<<16)
	quicktest.Check(t, b.Len(), quicktest.Equals, 1)
	b.Retain(nil, func(identifier.TeamID) bool { return true }, now.Add(12*time.Second))
	quicktest.Check(t, b.Len(), quicktest.Equals, 1, quicktest.Commentf("still asked while views differ"))
	b.Retain(nil, func(identifier.TeamID) bool { return true }, now.Add(20*time.Second))
	quicktest.Check(t, b.Len(), quicktest.Equals, 0)
}

// TestEndOfALimitation guards against teams that are reported as limited for ever, and refusals that are not summed up.
func TestEndOfALimitation(t *testing.T) {
	b, now := filled()
	b.Decide("team", 1, 60, terms, now)
	b.Decide("team", 2, 7, terms, now)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		if _, ended := b.Maintain("team", terms, now); ended != nil {
			quicktest.Check(t, float64(ended.Refused), quicktest.Equals, 7.0)
			return
		}
	}
	t.Fatal("the limitation has not ended")
}

// TestNewBucketInAMajorityGetsTheGrantOnce guards against a restart of all instances after which clients within their quota are
// refused, and against a grant that a minority or a thawed process gets.
func TestNewBucketInAMajorityGetsTheGrantOnce(t *testing.T) {
	granting := terms
	granting.Grant, granting.Share = 40, 0.6
	b, now := &ratelimiter.Buckets{}, time.Unix(1000, 0)
	minority := granting
	minority.Majority, minority.Share = false, 0.4
	quicktest.Check(t, level(b, minority, now), quicktest.Equals, 1.0, quicktest.Commentf("no grant in a minority"))
	quicktest.Check(t, level(b, granting, now), quicktest.Equals, 1+0.6*40)
	quicktest.Check(t, level(b, granting, now), quicktest.Equals, 1+0.6*40, quicktest.Commentf("once"))
	granting.Share = 1
	quicktest.Check(t, level(b, granting, now), quicktest.Equals, 1+40.0, quicktest.Commentf("it grows with the share"))
	b, now = filled()
	b.Decide("team", 1, 50, terms, now)
	now = now.Add(5 * time.Second)
	quicktest.Check(t, level(b, granting, now) <= 1, quicktest.IsTrue, quicktest.Commentf("a frozen process gets none"))
}
