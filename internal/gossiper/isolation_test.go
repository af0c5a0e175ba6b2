package gossiper_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

const (
	grownSize   = 63
	grownStrong = 6
)

// grownCapacity is that of the users' grown sites: two strong instances in each zone.
func grownCapacity(i int) uint32 {
	if i < grownStrong {
		return 800
	}
	return 100
}

func isWeak(id string) bool { return id >= "entry-06" }

// setCut sets which messages are lost and resets the counts of exchanges.
func (f *fleet) setCut(cut func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut, f.exchanges = cut, 0
}

// TestFailedExchangesMakeNoWeakHubs guards against weak instances that relay for their zone as soon as exchanges with the
// strong ones fail, as they do on full links.
func TestFailedExchangesMakeNoWeakHubs(t *testing.T) {
	runFleet(t, grownSize, grownCapacity, func(fl *fleet) {
		fl.setCut(func(from, to string) bool { return isWeak(from) != isWeak(to) })
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			fl.mu.Lock()
			for id, n := range fl.nodes {
				quicktest.Check(t, isWeak(id) && n.IsHub(time.Now()), quicktest.IsFalse, quicktest.Commentf("%s", id))
			}
			fl.mu.Unlock()
		}
		fl.setCut(nil)
		time.Sleep(5 * time.Second)
		quicktest.Check(t, fl.wrongView(grownSize-1), quicktest.Equals, "")
	})
}

// TestIsolatedInstancesDoNotCallAll guards against a mesh of all instances when nobody hears anybody. Its bound is that of
// TestExchangesDoNotGrowQuadratically.
func TestIsolatedInstancesDoNotCallAll(t *testing.T) {
	const seconds = 15
	runFleet(t, grownSize, grownCapacity, func(fl *fleet) {
		fl.setCut(func(_, _ string) bool { return true })
		time.Sleep(seconds * time.Second)
		fl.mu.Lock()
		perSecond := float64(fl.exchanges) / seconds / grownSize
		fl.mu.Unlock()
		quicktest.Check(t, perSecond < 6, quicktest.IsTrue, quicktest.Commentf("%.1f exchanges per instance and second", perSecond))
		fl.setCut(nil)
		time.Sleep(8 * time.Second)
		quicktest.Check(t, fl.wrongView(grownSize-1), quicktest.Equals, "")
	})
}
