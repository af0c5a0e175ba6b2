package coordinator_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
)

// TestStreamsOfMovedRoutes guards against ORDER: a stream of which nothing else was known was taken up at the service to which its route had
// moved since it began.
func TestStreamsOfMovedRoutes(t *testing.T) {
	const within = 9 * time.Second
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	moved, other := matcher.PathIDs("h", "/moved/x"), matcher.PathIDs("h", "/other/x")
	tell := func(from, to *coordinator.Moves, now time.Time) {
		m := &gossiper.Beat{}
		from.Compose(m, within, now)
		to.Apply(m, now, now)
	}
	saw, peer := &coordinator.Moves{}, &coordinator.Moves{}
	quicktest.Check(t, saw.Within(other, within, at(100)), quicktest.IsTrue, quicktest.Commentf("no configuration yet"))
	saw.Record(nil, at(0))
	peer.Record(nil, at(0))
	quicktest.Check(t, saw.Within(other, within, at(8)), quicktest.IsTrue, quicktest.Commentf("moves of before the start are not known"))
	quicktest.Check(t, saw.Within(other, within, at(9)), quicktest.IsFalse)

	saw.Record(moved[1:2], at(20))
	tell(saw, peer, at(21))
	restarted, besideOldBuild := &coordinator.Moves{}, &coordinator.Moves{}
	restarted.Record(nil, at(22))
	besideOldBuild.Record(nil, at(22))
	tell(saw, restarted, at(22))
	besideOldBuild.Apply(&gossiper.Beat{SightingsSpanMilliseconds: 3600_000}, at(22), at(22))
	for name, m := range map[string]*coordinator.Moves{"saw it": saw, "peer": peer, "restarted": restarted} {
		quicktest.Check(t, m.Within(moved, within, at(28.9)), quicktest.IsTrue, quicktest.Commentf(name))
		quicktest.Check(t, m.Within(moved, within, at(30.1)), quicktest.IsFalse, quicktest.Commentf(name))
		quicktest.Check(t, m.Within(other, within, at(23)), quicktest.IsFalse, quicktest.Commentf(name))
	}
	quicktest.Check(t, besideOldBuild.Within(moved, within, at(30)), quicktest.IsTrue, quicktest.Commentf("a peer of the build before knows no moves"))
	quicktest.Check(t, besideOldBuild.Within(moved, within, at(31.1)), quicktest.IsFalse)

	saw.Record([]matcher.PathID{matcher.AllPaths}, at(40))
	quicktest.Check(t, saw.Within(other, within, at(48)), quicktest.IsTrue)

	// The build before ignores the fields.
	m := &gossiper.Beat{}
	saw.Compose(m, within, at(41))
	data, err := proto.Marshal(m)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, len(data) < 64, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(data)))
}

// TestMovesOfLongStreams guards against ORDER: an instance forgot after a minute that a route had moved, and a longer stream went on at the
// other service.
func TestMovesOfLongStreams(t *testing.T) {
	const within = 135 * time.Second
	start := time.Now()
	moved := matcher.PathIDs("h", "/moved/x")
	saw := &coordinator.Moves{}
	saw.Record(nil, start)
	saw.Record(moved[1:2], start.Add(200*time.Second))
	saw.Compose(&gossiper.Beat{}, within, start.Add(290*time.Second))
	quicktest.Check(t, saw.Within(moved, within, start.Add(290*time.Second)), quicktest.IsTrue)
	quicktest.Check(t, saw.Within(moved, within, start.Add(340*time.Second)), quicktest.IsFalse)
}

// TestMovesOfAStormAreBounded guards against messages that grow with the versions of a storm of configurations.
func TestMovesOfAStormAreBounded(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	saw, other := &coordinator.Moves{}, matcher.PathIDs("h", "/other/x")
	saw.Record(nil, at(0))
	for i := range 2000 {
		saw.Record([]matcher.PathID{matcher.PathID(1000 + i)}, at(60+float64(i)/1000))
	}
	// They count as moves of all paths, at the time of the last one.
	quicktest.Check(t, saw.Within(other, 9*time.Second, at(70)), quicktest.IsTrue)
	quicktest.Check(t, saw.Within(other, 9*time.Second, at(71.1)), quicktest.IsFalse)
	m := &gossiper.Beat{}
	saw.Compose(m, 9*time.Second, at(62))
	quicktest.Check(t, len(m.Moves) <= 256, quicktest.IsTrue, quicktest.Commentf("%d moves", len(m.Moves)))
}
