package gossiper_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

// unaware returns how many instances do not know of each other instance whether it is cut off.
func (f *fleet) unaware(cutOff func(id string) bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	wrong := 0
	for _, n := range f.nodes {
		for _, p := range n.Alive(time.Now()) {
			if known := len(p.Unreachable) > 0 && p.Unreachable[0].CutOff; known != cutOff(p.Member.ID) {
				wrong++
				break
			}
		}
	}
	return wrong
}

// TestReachIsRelayedByHubs guards against RECOVER in a large fleet: instances that were cut off from all targets passed their
// requests to peers that were cut off too, because hubs relayed statuses without what cannot be reached.
func TestReachIsRelayedByHubs(t *testing.T) {
	for _, size := range []int{8, 30, 63} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				isCutOff := false
				cutOff := func(id string) bool { return isCutOff && id >= "entry-05" && id[len(id)-1]%2 == 1 }
				fl := &fleet{unreachable: func(id string) []*gossiper.Unreachable {
					if !cutOff(id) {
						return nil
					}
					return []*gossiper.Unreachable{{Service: "s", Targets: 100, CutOff: true}}
				}}
				for i := range size {
					fl.start(i, 3, "first")
				}
				time.Sleep(8 * time.Second)
				for _, now := range []bool{true, false} {
					fl.mu.Lock()
					isCutOff = now
					for _, n := range fl.nodes {
						n.SendNow()
					}
					fl.mu.Unlock()
					time.Sleep(2 * time.Second)
					quicktest.Check(t, fl.unaware(cutOff), quicktest.Equals, 0, quicktest.Commentf("cut off: %v", now))
				}
				for id := range fl.nodes {
					fl.stop(id)
				}
			})
		})
	}
}
