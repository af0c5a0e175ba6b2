package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/quarantiner"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	deadlyRequest identifier.RequestDigest = 1
	soundRequest  identifier.RequestDigest = 2
)

var start = time.Unix(1000, 0)

// broke returns a crash of the numbered target under a request.
func broke(digest identifier.RequestDigest, target int, at time.Time, parts ...identifier.PartID) quarantiner.Crash {
	return quarantiner.Crash{Target: identifier.TargetID(fmt.Sprint(target)), Digest: digest, Parts: parts, Began: true, At: at}
}

func isDenied(q *quarantiner.Quarantine, digest identifier.RequestDigest, now time.Time) bool {
	return q.DeniedRequest(digest, now) > 0
}

// TestRequestIsDeniedByCrashesThatDifferentInstancesSaw guards against a request that is sent on because each instance has seen fewer
// crashes under it than all together.
func TestRequestIsDeniedByCrashesThatDifferentInstancesSaw(t *testing.T) {
	nodes := []*quarantiner.Quarantine{{}, {}, {}}
	now := start
	for i, q := range nodes {
		quicktest.Check(t, isDenied(q, deadlyRequest, now), quicktest.IsFalse)
		q.Crashed(broke(deadlyRequest, i, now), now)
		q.Crashed(broke(soundRequest, i%2, now), now)
		now = now.Add(time.Second)
	}
	for range 2 {
		for i, q := range nodes {
			nodes[(i+1)%3].Apply(q.Report(now), now)
		}
	}
	late := &quarantiner.Quarantine{}
	late.Apply(nodes[0].Report(now.Add(time.Minute)), now.Add(time.Minute))
	for _, q := range append(nodes, late) {
		quicktest.Check(t, isDenied(q, deadlyRequest, now), quicktest.IsTrue)
		quicktest.Check(t, isDenied(q, soundRequest, now), quicktest.IsFalse)
	}
}

// TestDeniedRequestIsTriedAgain checks that a denial ends, and that one more crash then denies the request again.
func TestDeniedRequestIsTriedAgain(t *testing.T) {
	q := &quarantiner.Quarantine{}
	now := start
	for i := range 3 {
		q.Crashed(broke(deadlyRequest, i, now), now)
	}
	for age := time.Duration(0); age < 11*time.Minute; age += time.Second {
		q.Expire(now.Add(age))
		quicktest.Check(t, isDenied(q, deadlyRequest, now.Add(age)), quicktest.Equals, age < 10*time.Minute)
	}
	now = now.Add(11 * time.Minute)
	q.Crashed(broke(deadlyRequest, 9, now), now)
	quicktest.Check(t, isDenied(q, deadlyRequest, now), quicktest.IsTrue)
	peer := &quarantiner.Quarantine{}
	peer.Apply(q.Report(now), now)
	quicktest.Check(t, peer.Completed(deadlyRequest, nil, now.Add(time.Second)), quicktest.IsTrue)
	q.Apply(peer.Report(now.Add(time.Second)), now.Add(time.Second))
	quicktest.Check(t, isDenied(q, deadlyRequest, now.Add(time.Second)), quicktest.IsFalse, quicktest.Commentf("it has completed elsewhere"))
}

// TestTargetsThatCannotBeReachedHaveNotCrashed guards against requests that are denied because an instance is cut off from targets,
// which looks to it as if they had crashed: one that has completed lately is not suspected, and none is for longer than the
// entries of crashed targets remain.
func TestTargetsThatCannotBeReachedHaveNotCrashed(t *testing.T) {
	q := &quarantiner.Quarantine{Gone: func(identifier.TargetID, time.Time) bool { return false }}
	now := start
	q.Completed(soundRequest, nil, now)
	for i := range 5 {
		now = now.Add(time.Second)
		q.Crashed(broke(soundRequest, i, now), now)
		q.Crashed(broke(deadlyRequest, i, now), now)
	}
	quicktest.Check(t, isDenied(q, soundRequest, now), quicktest.IsFalse)
	quicktest.Check(t, isDenied(q, deadlyRequest, now), quicktest.IsTrue, quicktest.Commentf("as long as they may have crashed"))
	report := q.Report(now)
	now = now.Add(10 * time.Second)
	q.Expire(now)
	quicktest.Check(t, isDenied(q, deadlyRequest, now), quicktest.IsFalse)
	q.Apply(report, now)
	quicktest.Check(t, isDenied(q, deadlyRequest, now), quicktest.IsFalse, quicktest.Commentf("old reports do not count"))
}

// TestOneRequestDoesNotDenyItsParts guards against sound requests that are denied for a part of their prompts: it was in flight at all
// crashes, but so was one request, which explains them.
func TestOneRequestDoesNotDenyItsParts(t *testing.T) {
	q := &quarantiner.Quarantine{}
	now := start
	for i := range 4 {
		now = now.Add(time.Second)
		// The crash under the request itself becomes known last.
		q.Crashed(broke(identifier.RequestDigest(100+i), i, now, 7), now)
		q.Crashed(broke(identifier.RequestDigest(200+i), i, now, 8), now)
		q.Crashed(broke(deadlyRequest, i, now, 7), now)
		quicktest.Check(t, q.Report(now).Denials, quicktest.HasLen, 0)
	}
	quicktest.Check(t, isDenied(q, deadlyRequest, now), quicktest.IsTrue)
	quicktest.Check(t, q.Denied([]identifier.PartID{7}, now), quicktest.Equals, time.Duration(0))
	quicktest.Check(t, q.Denied([]identifier.PartID{8}, now), quicktest.Equals, time.Duration(0))
	quicktest.Check(t, q.Report(now.Add(2*time.Second)).Denials, quicktest.HasLen, 0)
}

// TestCrashAtTheMomentOfAPeersDenial guards against a process that ends because it sees a crash at the moment of a denial of which a
// peer has told it.
func TestCrashAtTheMomentOfAPeersDenial(t *testing.T) {
	q := &quarantiner.Quarantine{}
	q.Crashed(broke(soundRequest, 0, start), start)
	q.Apply(quarantiner.Report{Denials: []quarantiner.Denial{{Part: 7, Common: []identifier.PartID{7}, At: start}}}, start)
	q.Crashed(broke(deadlyRequest, 1, start.Add(100*time.Millisecond), 7), start.Add(100*time.Millisecond))
	quicktest.Check(t, q.Denied([]identifier.PartID{7}, start.Add(time.Second)) > 0, quicktest.IsTrue)
}

// TestFirstCrashKeepsDenialsOfPeers guards against denials that peers have told of and that are forgotten with the first crash which an
// instance sees itself.
func TestFirstCrashKeepsDenialsOfPeers(t *testing.T) {
	q := &quarantiner.Quarantine{}
	q.Apply(quarantiner.Report{Denials: []quarantiner.Denial{{Part: 7, Common: []identifier.PartID{7}, At: start}}}, start)
	q.Crashed(broke(soundRequest, 0, start.Add(time.Minute), 8), start.Add(time.Minute))
	quicktest.Check(t, q.Denied([]identifier.PartID{7}, start.Add(time.Minute)) > 0, quicktest.IsTrue)
}
