package gossiper_test

import (
	"bytes"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/encoding/protowire"

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

// TestHubsRelayFieldsOfLaterBuilds guards against hubs that relay only the fields of a status that they know: while builds are replaced
// one after the other, instances of the later one would not learn what others of it say.
func TestHubsRelayFieldsOfLaterBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		field := protowire.AppendVarint(protowire.AppendTag(nil, 1000, protowire.VarintType), 7)
		var received, without atomic.Int64
		fl := &fleet{unknownField: field, onStatus: func(_ string, s *gossiper.Status) {
			received.Add(1)
			if !bytes.Equal(s.ProtoReflect().GetUnknown(), field) {
				without.Add(1)
			}
		}}
		for i := range 30 {
			fl.start(i, 3, "first")
		}
		time.Sleep(8 * time.Second)
		quicktest.Check(t, received.Load() > 30*29, quicktest.IsTrue, quicktest.Commentf("%d statuses", received.Load()))
		quicktest.Check(t, without.Load(), quicktest.Equals, int64(0))
		for id := range fl.nodes {
			fl.stop(id)
		}
	})
}
