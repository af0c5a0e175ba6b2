package tracker

import (
	"math"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

const (
	failuresToEject  = 3
	ejectionInitial  = time.Second
	ejectionMaximum  = 30 * time.Second
	maximumOwnEvents = 4096
	maximumPieces    = 1 << 16
	observedLeast    = 50 * time.Millisecond
	stretchMaximum   = 5.0
	stretchShare     = 0.1
	lateMemory       = 100.0
	lateFading       = 2 * time.Second
	lateTolerated    = 0.01
	batchInterval    = 500 * time.Millisecond
	batchShrink      = 0.9
	batchGrowth      = 0.004
	batchLeast       = 0.25
)

// target is what is known of one target. The predicted end of its prefill queue and its occupied
// slots start from the last report and add what this instance sent after the instant of that report.
type target struct {
	spec      *recorder.Target
	role      recorder.Role
	since     time.Time
	polling   bool
	polls     int
	nextEvent uint64
	pieces    map[uint64]bool

	reportedAt time.Time
	reported   chatter.Load
	sends      []send
	starts     []time.Time
	ends       []time.Time
	freeAt     time.Time
	inFlight   int64
	stretch    float64
	crowd      float64
	late       float64
	lateAt     time.Time
	batch      float64
	batchAt    time.Time

	failures     int
	ejections    int
	ejectedUntil time.Time
}

type send struct {
	at   time.Time
	cost time.Duration
}

// newTarget returns a target; one of the first inventory needs no slow start.
func newTarget(spec *recorder.Target, now time.Time, first bool) *target {
	tg := &target{spec: spec, pieces: map[uint64]bool{}}
	if !first {
		tg.since = now
	}
	return tg
}

// Hit returns how many leading pieces the target is thought to have cached.
func (tg *target) Hit(pieces []uint64) int {
	for i, p := range pieces {
		if !tg.pieces[p] {
			return i
		}
	}
	return len(pieces)
}

func (tg *target) usable(now time.Time) bool {
	return !now.Before(tg.ejectedUntil) && !tg.reported.Leaving
}

func (tg *target) busy() int64 {
	if tg.reportedAt.IsZero() {
		return tg.inFlight
	}
	since := float64(len(tg.starts)-len(tg.ends)) * (1 + tg.crowd)
	return max(tg.inFlight, tg.reported.Running+tg.reported.Waiting+int64(since))
}

func (tg *target) sent(now time.Time, cost time.Duration, pieces []uint64) {
	tg.inFlight++
	if tg.spec.Kind == recorder.TargetKind_Service {
		return
	}
	tg.sends = bounded(append(tg.sends, send{at: now, cost: cost}))
	tg.starts = bounded(append(tg.starts, now))
	tg.freeAt = later(tg.freeAt, now).Add(tg.crowded(cost))
	if len(tg.pieces) > maximumPieces {
		tg.pieces = map[uint64]bool{}
	}
	for _, p := range pieces {
		tg.pieces[p] = true
	}
}

func (tg *target) finished(now time.Time) {
	tg.inFlight--
	if tg.spec.Kind == recorder.TargetKind_Service {
		return
	}
	tg.ends = bounded(append(tg.ends, now))
}

// setRole forgets what was learned in another role.
func (tg *target) setRole(role recorder.Role) {
	if tg.role == role {
		return
	}
	tg.role = role
	tg.stretch = 0
	tg.batch = 0
	tg.late = 0
}

// observe learns how much longer prompts take here than the prefill rate says.
func (tg *target) observe(took, queued time.Duration) {
	if queued < observedLeast {
		return
	}
	ratio := min(stretchMaximum, max(1, float64(took)/float64(queued)))
	if tg.stretch == 0 {
		tg.stretch = 1
	}
	tg.stretch += (ratio - tg.stretch) * stretchShare
}

// tokens follows the share of late tokens.
func (tg *target) tokens(now time.Time, late, total int64) {
	if total == 0 {
		return
	}
	share := tg.lateShare(now)
	weight := 1 - math.Exp(-float64(total)/lateMemory)
	tg.late = share + (float64(late)/float64(total)-share)*weight
	tg.lateAt = now
	tg.followBatch(now)
}

// followBatch learns the batch at which tokens still come in time: it shrinks below what is running
// while many come late, and grows slowly otherwise.
func (tg *target) followBatch(now time.Time) {
	if now.Sub(tg.batchAt) < batchInterval {
		return
	}
	tg.batchAt = now
	limit := float64(tg.spec.Slots)
	if tg.batch == 0 {
		tg.batch = limit
	}
	if tg.late > lateTolerated {
		tg.batch = max(limit*batchLeast, min(tg.batch, float64(tg.busy()))*batchShrink)
		return
	}
	tg.batch = min(limit, tg.batch+limit*batchGrowth)
}

// slots is the number of answers that the target should run at once.
func (tg *target) slots() int64 {
	if tg.batch == 0 {
		return tg.spec.Slots
	}
	return max(1, int64(tg.batch))
}

// lateShare is the share of late tokens, which fades while nothing is observed.
func (tg *target) lateShare(now time.Time) float64 {
	if tg.lateAt.IsZero() {
		return 0
	}
	return tg.late * math.Exp(-now.Sub(tg.lateAt).Seconds()/lateFading.Seconds())
}

func (tg *target) report(received time.Time, load chatter.Load) {
	tg.reported = load
	tg.reportedAt = received.Add(-time.Duration(load.AgeMilliseconds) * time.Millisecond)
	tg.starts = after(tg.starts, tg.reportedAt)
	tg.ends = after(tg.ends, tg.reportedAt)
	tg.freeAt = tg.reportedAt.Add(time.Duration(load.QueuedPrefillMilliseconds) * time.Millisecond)
	kept := tg.sends[:0]
	for _, s := range tg.sends {
		if !s.at.After(tg.reportedAt) {
			continue
		}
		kept = append(kept, s)
		tg.freeAt = later(tg.freeAt, s.at).Add(tg.crowded(s.cost))
	}
	tg.sends = kept
	if !received.Before(tg.ejectedUntil) && tg.ejections > 0 && tg.failures == 0 {
		tg.ejections = 0
	}
	tg.failures = 0
}

// events corrects the cache; after a gap it starts over.
func (tg *target) events(page chatter.CacheEvents) {
	if page.Next < tg.nextEvent || len(page.Events) > 0 && page.Events[0].Sequence > tg.nextEvent {
		tg.pieces = map[uint64]bool{}
	}
	tg.nextEvent = page.Next
	for _, e := range page.Events {
		if e.Stored {
			tg.pieces[e.Piece] = true
		} else {
			delete(tg.pieces, e.Piece)
		}
	}
}

// fail ejects the target after several failures in a row, for longer each time.
func (tg *target) fail(now time.Time) {
	tg.failures++
	if tg.failures < failuresToEject || now.Before(tg.ejectedUntil) {
		return
	}
	d := min(ejectionMaximum, ejectionInitial<<min(tg.ejections, 10))
	tg.ejections++
	tg.ejectedUntil = now.Add(d)
	tg.since = tg.ejectedUntil
	tg.pieces = map[uint64]bool{}
}

func (tg *target) succeed() { tg.failures = 0 }

// crowded adds what other entries have probably sent in the same time.
func (tg *target) crowded(cost time.Duration) time.Duration {
	return time.Duration(float64(cost) * (1 + tg.crowd))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func after(times []time.Time, t time.Time) []time.Time {
	kept := times[:0]
	for _, at := range times {
		if at.After(t) {
			kept = append(kept, at)
		}
	}
	return kept
}

func bounded[T any](list []T) []T {
	if len(list) > maximumOwnEvents {
		return list[len(list)-maximumOwnEvents:]
	}
	return list
}

// unsend takes back the newest send, which did not leave this instance.
func (tg *target) unsend(cost time.Duration) {
	tg.inFlight--
	tg.freeAt = tg.freeAt.Add(-tg.crowded(cost))
	if n := len(tg.starts); n > 0 {
		tg.starts = tg.starts[:n-1]
	}
	if n := len(tg.sends); n > 0 {
		tg.sends = tg.sends[:n-1]
	}
}
