package scaler_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/scaler"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// TestLargeFleetMovesToCheapTargets has the pattern of the users' large site: 48 regular targets in each of five zones, a
// third of them prefilling, and cheap targets at 0.18 of the price. The regular ones that cheap ones replace must be
// gone within the shortest standard day, 42 s, less the time in which the load becomes known and the cheap ones boot.
// Decode engines must remain all the while, although the platform stops these first.
func TestLargeFleetMovesToCheapTargets(t *testing.T) {
	const (
		zones, regular = 5, 48
		deadline       = 30 * time.Second
		load           = 60.0
	)
	synctest.Test(t, func(t *testing.T) {
		prices := map[identifier.ZoneID]float64{}
		f := &fleet{changed: map[identifier.TargetID]time.Time{}}
		for _, zone := range []identifier.ZoneID{"a", "b", "c", "d", "e"} {
			prices[zone] = 1
			for n := range regular {
				stage := registrar.Answers
				if n < regular*35/100 {
					stage = registrar.Prompts
				}
				f.add(zone, false, stage)
			}
		}
		table := matcher.New(matcher.Configuration{Services: []matcher.Service{{
			ID: "s", Engine: &matcher.Engine{Slots: 64}, Scaling: &matcher.Scaling{Minimum: 1, Maximum: 96, BootTime: boot, Prices: prices, CheapPriceFraction: 0.18},
		}}})
		getTable := func() *matcher.Table { return table }
		targetScaler := &scaler.Scaler{DutyLease: fakeLease{}, Platform: f, Table: getTable, Targets: f.list, Serving: f.serving, Load: func(identifier.ServiceID) float64 { return load }, Logger: zap.NewNop()}
		controller := &scaler.StageController{
			Holder: "h", DutyLease: fakeLease{}, OrderSender: f, Table: getTable, Targets: f.list, ScalingDown: targetScaler.ScalingDown, Announce: func() {}, Logger: zap.NewNop(),
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { controller.Run(ctx) })
		group.Go(func() { targetScaler.Run(ctx) })
		fewest := f.decoding()
		for range deadline / (100 * time.Millisecond) {
			time.Sleep(100 * time.Millisecond)
			fewest = min(fewest, f.decoding())
		}
		left := 0
		for _, target := range f.list("s") {
			if !target.Cheap {
				left++
			}
		}
		cancel()
		group.Wait()
		time.Sleep(10 * time.Second) // The fleet's timers expire.
		quicktest.Check(t, left <= zones, quicktest.IsTrue, quicktest.Commentf("%d regular targets left", left))
		needed := placer.WantedDecodeEngines(zones*regular) / 4
		quicktest.Check(t, fewest >= needed, quicktest.IsTrue, quicktest.Commentf("%d decode engines, %d are needed", fewest, needed))
	})
}
