package coordinator_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
)

// TestListOfBeforeASuspensionIsOld guards against ORDER after an instance was suspended: its list of targets, and messages that had waited,
// seemed to be as new as its thaw, so that it knew nothing of a build that had come meanwhile and went on with a stream at another one.
func TestListOfBeforeASuspensionIsOld(t *testing.T) {
	const suspended = 5 * time.Second
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	clock := &coordinator.Suspensions{}
	clock.Observe(0, at(29))
	read := at(30)
	clock.Observe(time.Millisecond, at(30)) // The clocks are read one after the other.
	quicktest.Check(t, clock.Past(read), quicktest.Equals, at(30))
	// The machine is suspended at 30.1 s of its clock, and for five seconds.
	thaw := at(30.2)
	clock.Observe(suspended, thaw)
	quicktest.Check(t, clock.Past(read), quicktest.Equals, at(30))
	quicktest.Check(t, clock.Now(thaw), quicktest.Equals, at(35.2))
	quicktest.Check(t, clock.Past(at(31)), quicktest.Equals, at(36))

	builds := &coordinator.Builds{}
	builds.SetLongestTimeout(2*time.Second, at(0))
	list := coordinator.BuildList{Pins: []pinner.Pin{{Service: "s", Build: "v1"}}}
	contact := coordinator.Contact{Alive: 3, Running: 3}
	for i := range 31 {
		list.AsOf = at(float64(i))
		builds.Record(list, contact, at(float64(i)))
	}
	// A request that waited through the suspension asks with the list of before.
	list.AsOf = clock.Past(read)
	_, err := builds.Sole("s", list, contact, at(30.05), clock.Now(thaw))
	quicktest.Check(t, err, quicktest.IsNotNil)
	// A message that a peer composed before the suspension does not cover it.
	m := &gossiper.Beat{SightingsSpanMilliseconds: 60_000, Sightings: []*gossiper.Sighting{{Service: "s", Build: "v1"}}}
	builds.Apply(m, clock.Past(read), clock.Now(thaw))
	list.AsOf = clock.Past(at(30.5))
	_, err = builds.Sole("s", list, contact, clock.Past(at(30.4)), clock.Past(at(30.5)))
	quicktest.Check(t, err, quicktest.ErrorIs, coordinator.ErrSeveralBuilds)
}
