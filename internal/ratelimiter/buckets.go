package ratelimiter

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// identityLifetime is how long a request is remembered, so that a question that is repeated is not counted again.
	identityLifetime = 10 * time.Second
	// maximumIdentities limits the remembered requests, the oldest of which are dropped. They take some 100 bytes each.
	maximumIdentities = 1 << 16
	// minimumRetryAfter and maximumRetryAfter limit the time that a refused client is told to wait.
	minimumRetryAfter = 50 * time.Millisecond
	maximumRetryAfter = 10 * time.Second
	// undecidedRetryAfter is that time if the team may well be within its quota.
	undecidedRetryAfter = 200 * time.Millisecond
	// learnTime is how long a new bucket takes its level from others that know it. It covers several questions.
	learnTime = 2 * time.Second
	// correctTime is how long after the first level a lower one of another instance replaces it.
	correctTime = 300 * time.Millisecond
	// settleTime is how long an instance must have been first in the order before its buckets accrue at the full rate: it
	// covers the time for which another instance may still see itself first, and decide as well.
	settleTime = 2 * time.Second
	// unsettledShare is the share of the rate that a bucket accrues until then: two instances that decide at the same time get
	// the rate together.
	unsettledShare = 0.5
	// stallTime is the time without any call after which the process is taken to have been frozen. Others may have decided
	// meanwhile, so that the levels are unknown. Run calls Maintain each maintainInterval.
	stallTime = time.Second
	// initialLevel is the level of a bucket of which nobody knows what was spent.
	initialLevel matcher.QuotaUnits = 1
	// fullyGranted marks a bucket that gets no grant.
	fullyGranted matcher.QuotaUnits = 1 << 62
	// retainTime is how long an unused bucket is kept for which this instance may no longer decide.
	retainTime = 5 * time.Second
	// calmTime is the time without a refusal after which a team is no longer limited.
	calmTime = 2 * time.Second
)

// Identity identifies one request.
type Identity uint64

// Terms are what applies to a team's bucket at the moment of a call.
type Terms struct {
	Quota matcher.Quota
	// Share is the share of the instances that may be running that are live as seen from here.
	Share float64
	// Majority is set if these are more than half.
	Majority bool
	// First is set if this instance comes first in the order of the team's keepers.
	First bool
	// Allowance is how far below zero the level may fall in a minority, and UnsettledAllowance while another instance may
	// decide as well.
	Allowance, UnsettledAllowance matcher.QuotaUnits
	// Excess is by how much the level may exceed the burst.
	Excess matcher.QuotaUnits
	// Grant is added to a new bucket in a majority: after a restart of all instances the clients that failed meanwhile come back
	// at once, and the level begins at nearly zero.
	Grant matcher.QuotaUnits
	// Maximum is the cost beyond which a request breaks the rule by itself.
	Maximum matcher.QuotaUnits
}

// Decision is the answer to a request.
type Decision struct {
	Verdict Verdict
	// RetryAfter is the time after which the client may retry, unless the request was admitted.
	RetryAfter time.Duration
	// Level is the level of the bucket after the decision.
	Level matcher.QuotaUnits
	// Repeated is set if the request was counted before.
	Repeated bool
	// Began is set if the team is limited from this refusal on.
	Began bool
	// Learns is set if the bucket is new, so that the level should be asked of others.
	Learns bool
}

// bucket is the token bucket of one team.
type bucket struct {
	level matcher.QuotaUnits
	at    time.Time
	kind  matcher.QuotaKind
	// createdAt is when the level became unknown; learnedAt is when it was first taken from another instance since then.
	createdAt, learnedAt time.Time
	// usedAt is when the bucket was last asked or told of a request.
	usedAt time.Time
	// firstSince is since when this instance has been first in the order; zero if it is not.
	firstSince time.Time
	// nextFree is when the level will be above zero once all refused requests have come back.
	nextFree time.Time
	// granted is the part of Terms.Grant that was added; it grows with the share.
	granted matcher.QuotaUnits
	// limitedSince, refusedAt and refused describe the refusals since the team has been limited.
	limitedSince, refusedAt time.Time
	refused                 matcher.QuotaUnits
}

// counted is a request that was counted here, or given back.
type counted struct {
	at       time.Time
	cost     matcher.QuotaUnits
	returned bool
}

// Buckets holds the token buckets of the teams for which this instance may decide; the zero value is empty.
type Buckets struct {
	mu         sync.Mutex
	buckets    map[identifier.TeamID]*bucket
	identities *simplelru.LRU[Identity, counted]
	calledAt   time.Time
}

// Decide admits a request or refuses it. A request that was counted before is admitted again and costs nothing.
func (b *Buckets) Decide(team identifier.TeamID, id Identity, cost matcher.QuotaUnits, t Terms, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.advanced(team, t, now)
	k.usedAt = now
	d := Decision{Verdict: Verdict_Undecided, RetryAfter: undecidedRetryAfter, Learns: k.learns(now)}
	c, known := b.identity(id, now)
	switch {
	case known && c.returned:
		d.Repeated = true
	case known:
		d.Verdict, d.Repeated = Verdict_Admitted, true
	case cost > t.Maximum:
		d.Verdict, d.RetryAfter = Verdict_Refused, maximumRetryAfter
	case k.admits(cost, t, now):
		d.Verdict = Verdict_Admitted
		k.level -= cost
		b.remember(id, counted{at: now, cost: cost})
	case t.Majority && k.level <= 0:
		d.Verdict, d.Began = Verdict_Refused, k.limitedSince.IsZero()
		d.RetryAfter = k.refuse(id, cost, t, now)
	}
	if d.Verdict == Verdict_Admitted {
		d.RetryAfter = 0
	}
	d.Level = k.level
	return d
}

// admits reports whether the level suffices for a request. Only a settled keeper in a majority may let a request of any size take
// the level below zero: several keepers that each did would exceed the rule.
func (k *bucket) admits(cost matcher.QuotaUnits, t Terms, now time.Time) bool {
	switch {
	case !t.Majority:
		return k.level+t.Allowance >= cost
	case !k.settled(t, now):
		return k.level > 0 && k.level+t.UnsettledAllowance >= cost
	}
	return k.level > 0
}

// settled reports whether this instance has been first in the order for long enough that no other one sees itself first.
func (k *bucket) settled(t Terms, now time.Time) bool {
	return t.First && now.Sub(k.firstSince) >= settleTime
}

// refuse records a refusal, and returns when quota will be available for the request. Refusals queue up, so that the clients
// come back one after the other. Those beyond maximumRetryAfter are spread over its second half.
func (k *bucket) refuse(id Identity, cost matcher.QuotaUnits, t Terms, now time.Time) time.Duration {
	if k.limitedSince.IsZero() {
		k.limitedSince, k.refused = now, 0
	}
	k.refusedAt, k.refused = now, k.refused+cost
	rate := float64(t.Quota.Rate) * t.Share
	perUnit := func(n matcher.QuotaUnits) time.Duration {
		return time.Duration(min(float64(n)/rate, maximumRetryAfter.Seconds()) * float64(time.Second))
	}
	if free := now.Add(perUnit(max(0, -k.level))); k.nextFree.Before(free) {
		k.nextFree = free
	}
	wait := k.nextFree.Sub(now)
	if wait >= maximumRetryAfter {
		const steps = 1 << 16
		return maximumRetryAfter/2 + maximumRetryAfter/2*time.Duration(id%steps)/steps
	}
	k.nextFree = k.nextFree.Add(perUnit(cost))
	return max(wait, minimumRetryAfter)
}

// Learn takes over what another instance has admitted, or given back if the cost is below zero. If the other one comes before
// this one in the order, its level replaces the one here.
func (b *Buckets) Learn(team identifier.TeamID, id Identity, cost, level matcher.QuotaUnits, authoritative bool, t Terms, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.advanced(team, t, now)
	k.usedAt = now
	_, known := b.identity(id, now)
	switch {
	case authoritative || k.learns(now):
		k.level = min(level, capacity(t))
		k.learnedAt = now
	case !known:
		k.level -= cost
	}
	if !known {
		b.remember(id, counted{at: now, cost: cost})
	}
}

// Adopt takes the level of another instance if the bucket is new. It reports whether the level has changed.
func (b *Buckets) Adopt(team identifier.TeamID, level matcher.QuotaUnits, t Terms, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.advanced(team, t, now)
	level = min(level, capacity(t))
	switch {
	case k.learns(now):
		k.learnedAt = now
	case now.Sub(k.learnedAt) < correctTime && level < k.level:
	default:
		return false
	}
	k.level = level
	return true
}

// Return gives back a request that has not run. It reports whether the request had been counted here. If it had not, it will not
// be: the question may arrive later.
func (b *Buckets) Return(team identifier.TeamID, id Identity, t Terms, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.advanced(team, t, now)
	c, known := b.identity(id, now)
	if known && c.returned {
		return false
	}
	b.remember(id, counted{at: now, cost: c.cost, returned: true})
	if known {
		k.level = min(k.level+c.cost, capacity(t))
	}
	return known
}

// Level returns the level of a team's bucket, and whether it is known: a new bucket may lack what other instances admitted.
func (b *Buckets) Level(team identifier.TeamID, t Terms, now time.Time) (level matcher.QuotaUnits, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.advanced(team, t, now)
	return k.level, !k.learns(now)
}

// Limitation is a time in which requests of a team were refused.
type Limitation struct {
	Level matcher.QuotaUnits
	// Refused is the cost of the requests that were refused.
	Refused matcher.QuotaUnits
	Length  time.Duration
}

// Maintain brings a team's bucket up to date, and creates it if there is none. It reports whether its level should be asked of
// others, and returns the limitation of the team if one has ended.
func (b *Buckets) Maintain(team identifier.TeamID, t Terms, now time.Time) (learns bool, ended *Limitation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := b.advanced(team, t, now)
	if !k.limitedSince.IsZero() && now.Sub(k.refusedAt) > calmTime {
		ended = &Limitation{Level: k.level, Refused: k.refused, Length: k.refusedAt.Sub(k.limitedSince)}
		k.limitedSince = time.Time{}
	}
	return k.learns(now), ended
}

// Retain removes the buckets of teams without a quota, and those of teams for which this instance may no longer decide, once they
// have not been used for retainTime: while views differ, this instance may still be asked.
func (b *Buckets) Retain(held map[identifier.TeamID]bool, limited func(team identifier.TeamID) bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for team, k := range b.buckets {
		if !limited(team) || !held[team] && now.Sub(k.usedAt) > retainTime {
			delete(b.buckets, team)
		}
	}
}

// Len returns the number of buckets.
func (b *Buckets) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.buckets)
}

// Identities returns the number of remembered requests.
func (b *Buckets) Identities() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.identities == nil {
		return 0
	}
	return b.identities.Len()
}

// advanced returns a team's bucket with its level at a time. The caller must hold mu.
func (b *Buckets) advanced(team identifier.TeamID, t Terms, now time.Time) *bucket {
	b.checkStall(now)
	k := b.buckets[team]
	if k == nil || k.kind != t.Quota.Kind {
		if b.buckets == nil {
			b.buckets = map[identifier.TeamID]*bucket{}
		}
		k = &bucket{level: initialLevel, at: now, createdAt: now, kind: t.Quota.Kind}
		b.buckets[team] = k
	}
	switch {
	case !t.First:
		k.firstSince = time.Time{}
	case k.firstSince.IsZero():
		k.firstSince = now
	}
	share := t.Share
	if !k.settled(t, now) {
		share *= unsettledShare
	}
	if elapsed := now.Sub(k.at); elapsed > 0 {
		k.level += matcher.QuotaUnits(float64(t.Quota.Rate) * share * elapsed.Seconds())
		k.at = now
	}
	if grant := t.Grant * matcher.QuotaUnits(t.Share); t.Majority && grant > k.granted && now.Sub(k.createdAt) < learnTime {
		k.level += grant - k.granted
		k.granted = grant
	}
	k.level = min(k.level, capacity(t))
	return k
}

// checkStall makes all levels unknown if the process has been frozen: others may have decided meanwhile, and the clock may have
// run on. The caller must hold mu.
func (b *Buckets) checkStall(now time.Time) {
	stalled := !b.calledAt.IsZero() && now.Sub(b.calledAt) > stallTime
	b.calledAt = now
	if !stalled {
		return
	}
	for _, k := range b.buckets {
		k.level = min(k.level, initialLevel)
		k.at, k.createdAt, k.learnedAt, k.firstSince = now, now, time.Time{}, time.Time{}
		k.granted = fullyGranted
	}
}

// capacity returns the highest level of a bucket: the share of the burst, but at least one unit, without which no request could
// ever be admitted.
func capacity(t Terms) matcher.QuotaUnits {
	return matcher.QuotaUnits(float64(max(t.Quota.Burst+t.Excess, initialLevel)) * t.Share)
}

// learns reports whether the bucket is new, so that its level is not known here.
func (k *bucket) learns(now time.Time) bool {
	return k.learnedAt.IsZero() && now.Sub(k.createdAt) < learnTime
}

// identity returns a remembered request. The caller must hold mu.
func (b *Buckets) identity(id Identity, now time.Time) (counted, bool) {
	if b.identities == nil {
		return counted{}, false
	}
	c, found := b.identities.Peek(id)
	if !found || now.Sub(c.at) > identityLifetime {
		return counted{}, false
	}
	return c, true
}

// remember stores a request. The caller must hold mu.
func (b *Buckets) remember(id Identity, c counted) {
	if b.identities == nil {
		// The error is impossible: the size is positive.
		b.identities, _ = simplelru.NewLRU[Identity, counted](maximumIdentities, nil)
	}
	b.identities.Add(id, c)
}
