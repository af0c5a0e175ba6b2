package holder_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/authorizer"
	"github.com/coltsfootscale/coltsfootscale/internal/holder"
	"github.com/coltsfootscale/coltsfootscale/internal/imitator"
	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
)

const lease = 3 * time.Second

// overlap runs three contenders while the platform is cut from one after the other, and returns how
// often two of them held the lease at the same instant, and how many fencing numbers were seen.
func overlap(t *testing.T, contenderLease time.Duration) (overlaps, fences int) {
	synctest.Test(t, func(t *testing.T) {
		var network imitator.Network
		lis, err := network.Host("platform").Listen("platform:1")
		quicktest.Assert(t, err, quicktest.IsNil)
		srv := &http.Server{Handler: (&imitator.Platform{}).Handler()}
		go srv.Serve(lis)
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		var holders []*holder.Holder
		var clients []*http.Client
		for i := range 3 {
			name := fmt.Sprint("host-", i)
			client := networker.Client(network.Host(name), true)
			clients = append(clients, client)
			fold := &authorizer.Fold{}
			control := &tailer.Tailer{Stream: "Control", Log: &provider.Provider{Base: "http://platform:1", HTTP: client}, Fold: fold}
			h := &holder.Holder{Scope: "Fleet", ID: name, Control: control, Fold: fold, Lease: lease, DriftMargin: 500 * time.Millisecond, Logger: zap.NewNop()}
			if i > 0 {
				h.Lease = contenderLease
			}
			holders = append(holders, h)
			group.Go(func() { control.Run(ctx) })
			group.Go(func() { h.Run(ctx) })
			// The first host gets the lease before the others contend for it.
			time.Sleep(time.Second)
		}
		seen := map[any]bool{}
		for step := range 1200 {
			cut := fmt.Sprint("host-", step/300%3)
			if step%300 == 100 {
				network.Partition(cut, "platform")
			}
			if step%300 == 250 {
				network.Heal(cut, "platform")
			}
			time.Sleep(100 * time.Millisecond)
			held := 0
			for _, h := range holders {
				if fence, _, err := h.Authority(); err == nil {
					held++
					seen[fence] = true
				}
			}
			if held > 1 {
				overlaps++
			}
		}
		fences = len(seen)
		cancel()
		group.Wait()
		srv.Close()
		for _, c := range clients {
			c.CloseIdleConnections()
		}
	})
	return overlaps, fences
}

func TestOneHolderAtATime(t *testing.T) {
	impatient, _ := overlap(t, time.Second)
	quicktest.Check(t, impatient > 0, quicktest.IsTrue, quicktest.Commentf("contenders that do not wait out the lease overlap with its holder"))
	overlaps, fences := overlap(t, lease)
	quicktest.Check(t, overlaps, quicktest.Equals, 0)
	quicktest.Check(t, fences >= 2, quicktest.IsTrue, quicktest.Commentf("the lease changed hands: %d fencing numbers", fences))
}
