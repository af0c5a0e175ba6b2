package tracker

import (
	"math"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

const (
	failuresToEject         = 3
	initialEjection         = time.Second
	maximumEjection         = 30 * time.Second
	maximumSendRecords      = 4096
	maximumParts            = 1 << 16
	minimumPredictedPrefill = 50 * time.Millisecond
	maximumPrefillSlowdown  = 5.0
	slowdownSmoothing       = 0.1
	lateWindowTokens        = 100.0
	lateDecayTime           = 2 * time.Second
	toleratedLateShare      = 0.01
	batchAdjustInterval     = 500 * time.Millisecond
	batchDecreaseFactor     = 0.9
	batchIncreaseFraction   = 0.004
	minimumBatchFraction    = 0.25
)

// target holds the state of one target. The predicted end of its prefill queue and its active requests are those of the
// last load report, plus the requests that this instance sent since and the load that its peers are assumed to add.
type target struct {
	spec *recorder.Target
	role recorder.Role
	// slowStartAt is the start of the slow start, when the target was added or its ejection ended; zero means none.
	slowStartAt time.Time
	polling     bool
	pollCount   int
	nextEvent   uint64
	parts       map[uint64]bool

	reportedAt    time.Time
	reported      chatter.Load
	sends         []send
	starts        []time.Time
	ends          []time.Time
	prefillFreeAt time.Time
	inFlight      int64
	// prefillSlowdown is the moving average of measured over predicted prefill time; zero means no observation.
	prefillSlowdown float64
	// peerSendRatio is the load that all other entry instances together are assumed to add, as a multiple of this one's.
	peerSendRatio float64
	// late is the moving average of the share of late tokens.
	late               float64
	lateShareUpdatedAt time.Time
	// batchLimit is the estimated number of answers at which tokens are still on time; zero means no observation.
	batchLimit     float64
	batchUpdatedAt time.Time

	failures     int
	ejections    int
	ejectedUntil time.Time
}

type send struct {
	at   time.Time
	cost time.Duration
}

// newTarget returns a target. Targets of the first inventory need no slow start.
func newTarget(spec *recorder.Target, now time.Time, first bool) *target {
	tg := &target{spec: spec, parts: map[uint64]bool{}}
	if !first {
		tg.slowStartAt = now
	}
	return tg
}

// Hit returns the number of leading parts of a prompt that the target is assumed to have cached.
func (tg *target) Hit(parts []uint64) int {
	for i, p := range parts {
		if !tg.parts[p] {
			return i
		}
	}
	return len(parts)
}

// usable reports whether the target is neither ejected nor reported as leaving.
func (tg *target) usable(now time.Time) bool {
	return !now.Before(tg.ejectedUntil) && !tg.reported.Leaving
}

// activeRequests estimates the number of requests that run or wait on the target.
func (tg *target) activeRequests() int64 {
	if tg.reportedAt.IsZero() {
		return tg.inFlight
	}
	sinceReport := float64(len(tg.starts)-len(tg.ends)) * (1 + tg.peerSendRatio)
	return max(tg.inFlight, tg.reported.Running+tg.reported.Waiting+int64(sinceReport))
}

// recordSend counts a request sent to the target; cost is its predicted prefill time. Its prompt parts are assumed
// to be cached from then on.
func (tg *target) recordSend(now time.Time, cost time.Duration, parts []uint64) {
	tg.inFlight++
	if tg.spec.Kind == recorder.TargetKind_Service {
		return
	}
	tg.sends = newest(append(tg.sends, send{at: now, cost: cost}))
	tg.starts = newest(append(tg.starts, now))
	tg.prefillFreeAt = later(tg.prefillFreeAt, now).Add(tg.withPeerSends(cost))
	if len(tg.parts) > maximumParts {
		tg.parts = map[uint64]bool{}
	}
	for _, p := range parts {
		tg.parts[p] = true
	}
}

// recordEnd counts the end of a request, whatever its result.
func (tg *target) recordEnd(now time.Time) {
	tg.inFlight--
	if tg.spec.Kind == recorder.TargetKind_Service {
		return
	}
	tg.ends = newest(append(tg.ends, now))
}

// setRole changes the role and discards what was observed in the previous one.
func (tg *target) setRole(role recorder.Role) {
	if tg.role == role {
		return
	}
	tg.role = role
	tg.prefillSlowdown = 0
	tg.batchLimit = 0
	tg.late = 0
}

// observeFirstToken updates the moving average of the ratio of measured to predicted prefill time. Short
// predictions are ignored.
func (tg *target) observeFirstToken(measured, predicted time.Duration) {
	if predicted < minimumPredictedPrefill {
		return
	}
	ratio := min(maximumPrefillSlowdown, max(1, float64(measured)/float64(predicted)))
	if tg.prefillSlowdown == 0 {
		tg.prefillSlowdown = 1
	}
	tg.prefillSlowdown += (ratio - tg.prefillSlowdown) * slowdownSmoothing
}

// observeTokens updates the moving average of the share of late tokens.
func (tg *target) observeTokens(now time.Time, late, total int64) {
	if total == 0 {
		return
	}
	share := tg.decayedLateShare(now)
	weight := 1 - math.Exp(-float64(total)/lateWindowTokens)
	tg.late = share + (float64(late)/float64(total)-share)*weight
	tg.lateShareUpdatedAt = now
	tg.adjustBatchLimit(now)
}

// adjustBatchLimit searches for the largest batch at which tokens are still on time, by additive increase and
// multiplicative decrease: while too many tokens are late, the limit drops below the number of active requests, but not
// below minimumBatchFraction of the target's slots.
func (tg *target) adjustBatchLimit(now time.Time) {
	if now.Sub(tg.batchUpdatedAt) < batchAdjustInterval {
		return
	}
	tg.batchUpdatedAt = now
	slots := float64(tg.spec.Slots)
	if tg.batchLimit == 0 {
		tg.batchLimit = slots
	}
	if tg.late > toleratedLateShare {
		tg.batchLimit = max(slots*minimumBatchFraction, min(tg.batchLimit, float64(tg.activeRequests()))*batchDecreaseFactor)
		return
	}
	tg.batchLimit = min(slots, tg.batchLimit+slots*batchIncreaseFraction)
}

// concurrencyLimit returns the number of answers that the target should generate at once.
func (tg *target) concurrencyLimit() int64 {
	if tg.batchLimit == 0 {
		return tg.spec.Slots
	}
	return max(1, int64(tg.batchLimit))
}

// decayedLateShare returns the share of late tokens, which decays while no tokens are observed.
func (tg *target) decayedLateShare(now time.Time) float64 {
	if tg.lateShareUpdatedAt.IsZero() {
		return 0
	}
	return tg.late * math.Exp(-now.Sub(tg.lateShareUpdatedAt).Seconds()/lateDecayTime.Seconds())
}

// applyReport replaces the reported load and drops the records of sends and ends that the report already covers.
func (tg *target) applyReport(received time.Time, load chatter.Load) {
	tg.reported = load
	tg.reportedAt = received.Add(-time.Duration(load.AgeMilliseconds) * time.Millisecond)
	tg.starts = timesAfter(tg.starts, tg.reportedAt)
	tg.ends = timesAfter(tg.ends, tg.reportedAt)
	tg.prefillFreeAt = tg.reportedAt.Add(time.Duration(load.QueuedPrefillMilliseconds) * time.Millisecond)
	newer := tg.sends[:0]
	for _, s := range tg.sends {
		if !s.at.After(tg.reportedAt) {
			continue
		}
		newer = append(newer, s)
		tg.prefillFreeAt = later(tg.prefillFreeAt, s.at).Add(tg.withPeerSends(s.cost))
	}
	tg.sends = newer
	if !received.Before(tg.ejectedUntil) && tg.ejections > 0 && tg.failures == 0 {
		tg.ejections = 0
	}
	tg.failures = 0
}

// events updates the set of cached parts. It discards the set first if events are missing or the sequence numbers went
// back.
func (tg *target) events(page chatter.CacheEvents) {
	if page.Next < tg.nextEvent || len(page.Events) > 0 && page.Events[0].Sequence > tg.nextEvent {
		tg.parts = map[uint64]bool{}
	}
	tg.nextEvent = page.Next
	for _, e := range page.Events {
		if e.Stored {
			tg.parts[e.Piece] = true
		} else {
			delete(tg.parts, e.Piece)
		}
	}
}

// recordFailure counts a failure and ejects the target after several consecutive ones, each time for twice as long, up
// to maximumEjection.
func (tg *target) recordFailure(now time.Time) {
	tg.failures++
	if tg.failures < failuresToEject || now.Before(tg.ejectedUntil) {
		return
	}
	ejection := min(maximumEjection, initialEjection<<min(tg.ejections, 10))
	tg.ejections++
	tg.ejectedUntil = now.Add(ejection)
	tg.slowStartAt = tg.ejectedUntil
	tg.parts = map[uint64]bool{}
}

func (tg *target) recordSuccess() { tg.failures = 0 }

// withPeerSends adds the load that other entry instances are assumed to have sent in the same time.
func (tg *target) withPeerSends(cost time.Duration) time.Duration {
	return time.Duration(float64(cost) * (1 + tg.peerSendRatio))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func timesAfter(times []time.Time, t time.Time) []time.Time {
	newer := times[:0]
	for _, at := range times {
		if at.After(t) {
			newer = append(newer, at)
		}
	}
	return newer
}

// newest limits a list to its most recent maximumSendRecords elements.
func newest[T any](list []T) []T {
	if len(list) > maximumSendRecords {
		return list[len(list)-maximumSendRecords:]
	}
	return list
}

// cancelSend undoes the recordSend of a request that was not sent. It drops the newest records, which may be those of
// another request.
func (tg *target) cancelSend(cost time.Duration) {
	tg.inFlight--
	tg.prefillFreeAt = tg.prefillFreeAt.Add(-tg.withPeerSends(cost))
	if n := len(tg.starts); n > 0 {
		tg.starts = tg.starts[:n-1]
	}
	if n := len(tg.sends); n > 0 {
		tg.sends = tg.sends[:n-1]
	}
}
