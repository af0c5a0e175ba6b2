package leaseholder_test

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
	"github.com/coltsfootscale/coltsfootscale/internal/imitator"
	"github.com/coltsfootscale/coltsfootscale/internal/leaseholder"
	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
)

const lease = 3 * time.Second

// runContenders runs three holders, of which all but the first use contenderLease, and partitions each in turn from the
// platform. It returns the number of checks at which more than one of them held the lease, and the number of fencing
// numbers seen.
func runContenders(t *testing.T, contenderLease time.Duration) (overlaps, fences int) {
	synctest.Test(t, func(t *testing.T) {
		var network imitator.Network
		lis, err := network.Host("platform").Listen("platform:1")
		quicktest.Assert(t, err, quicktest.IsNil)
		srv := &http.Server{Handler: (&imitator.Platform{}).Handler()}
		go srv.Serve(lis)
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		var holders []*leaseholder.Holder
		var clients []*http.Client
		for i := range 3 {
			name := fmt.Sprint("host-", i)
			client := networker.Client(network.Host(name), true)
			clients = append(clients, client)
			fold := &authorizer.Fold{}
			control := &tailer.Tailer{Stream: "Control", Log: &provider.Provider{BaseURL: "http://platform:1", HTTP: client}, Fold: fold}
			h := &leaseholder.Holder{Scope: "Fleet", ID: name, Control: control, Fold: fold, Lease: lease, DriftMargin: 500 * time.Millisecond, Logger: zap.NewNop()}
			if i > 0 {
				h.Lease = contenderLease
			}
			holders = append(holders, h)
			wg.Go(func() { control.Run(ctx) })
			wg.Go(func() { h.Run(ctx) })
			// The first host gets the lease before the others start.
			time.Sleep(time.Second)
		}
		seenFences := map[any]bool{}
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
					seenFences[fence] = true
				}
			}
			if held > 1 {
				overlaps++
			}
		}
		fences = len(seenFences)
		cancel()
		wg.Wait()
		srv.Close()
		for _, c := range clients {
			c.CloseIdleConnections()
		}
	})
	return overlaps, fences
}

// TestOneHolderAtATime checks that at most one holder has the lease at a time while each in turn cannot reach the
// platform. A run with contenders that claim too early shows that the check finds overlaps.
func TestOneHolderAtATime(t *testing.T) {
	early, _ := runContenders(t, time.Second)
	quicktest.Check(t, early > 0, quicktest.IsTrue, quicktest.Commentf("contenders that claim before the lease expires overlap with its holder"))
	overlaps, fences := runContenders(t, lease)
	quicktest.Check(t, overlaps, quicktest.Equals, 0)
	quicktest.Check(t, fences >= 2, quicktest.IsTrue, quicktest.Commentf("the lease must change holders: %d fencing numbers", fences))
}
