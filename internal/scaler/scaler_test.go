package scaler_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/scaler"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// boot and change are the times that the users' engines take to boot and to change their stage; entryDelay is the time
	// until a change of a target's entry becomes known.
	boot       = 4 * time.Second
	change     = 3 * time.Second
	entryDelay = 1200 * time.Millisecond
)

// fakeLease is a lease that is always held.
type fakeLease struct{}

func (fakeLease) Authority() (identifier.Fence, error) { return 7, nil }

func (fakeLease) WithLease(ctx context.Context, send func(ctx context.Context, fence identifier.Fence) error) error {
	return send(ctx, 7)
}

// fleet fakes the platform and its engines. Withdrawn engines leave after entryDelay, those in the decode stage first.
type fleet struct {
	mu      sync.Mutex
	targets []*registrar.Target
	changed map[identifier.TargetID]time.Time
	next    int
}

func (f *fleet) add(zone identifier.ZoneID, cheap bool, stage registrar.Stage) {
	f.next++
	f.targets = append(f.targets, &registrar.Target{
		ID: identifier.TargetID(fmt.Sprintf("t%03d", f.next)), Service: "s", Zone: zone, Cheap: cheap, Stage: stage, Slots: 64,
	})
}

func (f *fleet) OrderTargets(_ context.Context, _ identifier.Fence, o scaler.ScaleOrder) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var pool []*registrar.Target
	for _, t := range f.targets {
		if t.Zone == o.Zone && t.Cheap == o.Cheap {
			pool = append(pool, t)
		}
	}
	for range o.Count - len(pool) {
		time.AfterFunc(boot, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.add(o.Zone, o.Cheap, registrar.Answers)
		})
	}
	slices.SortStableFunc(pool, func(a, b *registrar.Target) int { return int(b.Stage) - int(a.Stage) })
	for len(pool) > o.Count {
		f.remove(pool[0].ID)
		pool = pool[1:]
	}
	return nil
}

func (f *fleet) remove(id identifier.TargetID) {
	time.AfterFunc(entryDelay, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.targets = slices.DeleteFunc(f.targets, func(t *registrar.Target) bool { return t.ID == id })
	})
}

func (f *fleet) Accepted(context.Context, *registrar.Target) (uint64, error) { return 0, nil }

func (f *fleet) Order(_ context.Context, t *registrar.Target, o scaler.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.changed[t.ID] = time.Now()
	time.AfterFunc(change, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.changed, t.ID)
		for i, old := range f.targets {
			if old.ID == t.ID {
				next := *old
				next.Stage = o.Stage
				f.targets[i] = &next
			}
		}
	})
	return nil
}

func (f *fleet) list(identifier.ServiceID) []*registrar.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.targets)
}

func (f *fleet) serving(identifier.ServiceID, time.Time) []*registrar.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.targets), func(t *registrar.Target) bool { return !f.changed[t.ID].IsZero() })
}

func (f *fleet) decoding() int {
	n := 0
	for _, t := range f.serving("s", time.Now()) {
		if t.Stage == registrar.Answers {
			n++
		}
	}
	return n
}

// TestWithdrawalsKeepDecodingTargets checks that some engine is always in the decode stage while the load falls:
// engines are withdrawn in every zone, and the platform stops those in the decode stage first.
func TestWithdrawalsKeepDecodingTargets(t *testing.T) {
	for _, zones := range [][]identifier.ZoneID{{"a", "b", "c", "d"}, {"a", "b"}, {"a"}} {
		synctest.Test(t, func(t *testing.T) {
			prices := map[identifier.ZoneID]float64{}
			f := &fleet{changed: map[identifier.TargetID]time.Time{}}
			for i, zone := range zones {
				prices[zone] = 1
				for n := range 4 {
					stage := registrar.Prompts
					if n == 0 && i < 2 {
						stage = registrar.Answers
					}
					f.add(zone, false, stage)
				}
			}
			table := matcher.New(matcher.Configuration{Services: []matcher.Service{{
				ID: "s", Engine: &matcher.Engine{Slots: 64}, Scaling: &matcher.Scaling{Minimum: 1, Maximum: 6, BootTime: boot, Prices: prices},
			}}})
			load := func(identifier.ServiceID) float64 { return 0.1 }
			getTable := func() *matcher.Table { return table }
			targetScaler := &scaler.Scaler{DutyLease: fakeLease{}, Platform: f, Table: getTable, Targets: f.list, Serving: f.serving, Load: load, Logger: zap.NewNop()}
			controller := &scaler.StageController{
				Holder: "h", DutyLease: fakeLease{}, OrderSender: f, Table: getTable, Targets: f.list, ScalingDown: targetScaler.ScalingDown, Announce: func() {}, Logger: zap.NewNop(),
			}
			ctx, cancel := context.WithCancel(context.Background())
			var group sync.WaitGroup
			group.Go(func() { controller.Run(ctx) })
			group.Go(func() { targetScaler.Run(ctx) })
			for range 600 {
				time.Sleep(100 * time.Millisecond)
				quicktest.Assert(t, f.decoding() > 0, quicktest.IsTrue, quicktest.Commentf("%d zones: no engine in the decode stage", len(zones)))
			}
			cancel()
			group.Wait()
			time.Sleep(10 * time.Second) // The fleet's timers expire.
			quicktest.Check(t, len(f.list("s")) <= 2*len(zones), quicktest.IsTrue, quicktest.Commentf("%d zones: %d engines left", len(zones), len(f.list("s"))))
		})
	}
}
