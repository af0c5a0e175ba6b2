package scaler_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
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

const (
	// leaveTime is how long a target that leaves, or whose reclaim was announced, serves on.
	leaveTime    = 3 * time.Second
	reclaimTime  = 2500 * time.Millisecond
	reclaimPause = 9 * time.Second
	// expiry is how long the entry of a crashed target remains.
	expiry     = 3 * time.Second
	cheapPrice = 0.18
	// sitePeak is the demand in engines at which the plan asks for 14 regular targets in each of three zones of at most 40.
	sitePeak     = 22.5
	serveFactor  = 1.5
	demandKnown  = 16 * time.Second
	siteDuration = 60 * time.Second
	// withdrawalBound is the longest time in which three zones are withdrawn one after the other: targets must be surplus for 3 s,
	// the next zone follows once the entries of the previous one show that its targets are leaving, the plan is checked every
	// 0.5 s, and the site is observed every 0.1 s.
	withdrawalBound = 3*time.Second + 2*entryDelay + 3*500*time.Millisecond + 100*time.Millisecond
)

var siteZones = []identifier.ZoneID{"a", "b", "c"}

// siteTarget is a target of a site. A time is zero until its event is certain.
type siteTarget struct {
	registrar.Target
	readyAt, leavingAt, goneAt, changedAt time.Time
	next                                  registrar.Stage
	crashed                               bool
}

// site fakes a platform with 60 regular targets in three zones, of which 20 start in the prompt stage. The targets that leave are
// chosen at random.
type site struct {
	mu          sync.Mutex
	random      *rand.Rand
	targets     []*siteTarget
	unavailable map[identifier.ZoneID]time.Time
	withdrawals map[identifier.ZoneID]int
}

func newSite(seed uint64) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 1)), unavailable: map[identifier.ZoneID]time.Time{}, withdrawals: map[identifier.ZoneID]int{}}
	for i := range 60 {
		s.add(siteZones[i%3], false, time.Now())
	}
	return s
}

// add adds a target in the prompt stage for each two in the decode stage. The caller must hold mu.
func (s *site) add(zone identifier.ZoneID, cheap bool, readyAt time.Time) {
	stage := registrar.Answers
	if s.random.IntN(3) == 0 {
		stage = registrar.Prompts
	}
	s.targets = append(s.targets, &siteTarget{readyAt: readyAt, Target: registrar.Target{
		ID: identifier.TargetID(fmt.Sprintf("t%04d", len(s.targets))), Service: "s", Zone: zone, Cheap: cheap, Stage: stage, Slots: 128,
	}})
}

func (s *site) pool(zone identifier.ZoneID, cheap bool) []*siteTarget {
	var list []*siteTarget
	for _, t := range s.targets {
		if t.Zone == zone && t.Cheap == cheap && t.leavingAt.IsZero() && t.goneAt.IsZero() {
			list = append(list, t)
		}
	}
	return list
}

func (s *site) OrderTargets(_ context.Context, _ identifier.Fence, o scaler.ScaleOrder) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	list := s.pool(o.Zone, o.Cheap)
	if o.Cheap && len(list) < o.Count && now.Before(s.unavailable[o.Zone]) {
		return scaler.ErrRejected
	}
	for range o.Count - len(list) {
		s.add(o.Zone, o.Cheap, now.Add(boot))
	}
	if len(list) > o.Count {
		s.withdrawals[o.Zone]++
		s.leave(list, len(list)-o.Count, leaveTime)
	}
	return nil
}

// leave makes some targets of a list leave. The caller must hold mu.
func (s *site) leave(list []*siteTarget, count int, after time.Duration) {
	s.random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, t := range list[:count] {
		t.leavingAt, t.goneAt = time.Now(), time.Now().Add(after)
	}
}

func (s *site) reclaim(zones ...identifier.ZoneID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, zone := range zones {
		list := s.pool(zone, true)
		s.leave(list, len(list), reclaimTime)
		s.unavailable[zone] = time.Now().Add(reclaimPause)
	}
}

func (s *site) crashQuarter() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		if t.goneAt.IsZero() && s.random.IntN(4) == 0 {
			t.goneAt, t.crashed = time.Now(), true
		}
	}
}

func (s *site) Accepted(context.Context, *registrar.Target) (uint64, error) { return 0, nil }

func (s *site) Order(_ context.Context, t *registrar.Target, o scaler.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, target := range s.targets {
		if target.ID == t.ID {
			target.changedAt, target.next = time.Now().Add(change), o.Stage
		}
	}
	return nil
}

// list returns the targets as the entries show them, which is entryDelay late.
func (s *site) list(identifier.ServiceID) []*registrar.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*registrar.Target
	seen := time.Now().Add(-entryDelay)
	for _, t := range s.targets {
		gone := t.goneAt
		if t.crashed {
			gone = gone.Add(expiry - entryDelay)
		}
		leaving := !t.leavingAt.IsZero() && !seen.Before(t.leavingAt)
		if seen.Before(t.readyAt) && t.readyAt.After(start(t)) || leaving || !t.goneAt.IsZero() && !seen.Before(gone) {
			continue
		}
		shown := t.Target
		if !t.changedAt.IsZero() && !seen.Before(t.changedAt) {
			shown.Stage = t.next
		}
		list = append(list, &shown)
	}
	return list
}

// start returns the time at which the targets of the start are ready.
func start(t *siteTarget) time.Time {
	if t.Cheap {
		return time.Time{}
	}
	return t.readyAt
}

func (s *site) serving(id identifier.ServiceID, now time.Time) []*registrar.Target {
	list := s.list(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	changing := map[identifier.TargetID]bool{}
	for _, t := range s.targets {
		changing[t.ID] = t.changedAt.After(now)
	}
	return slices.DeleteFunc(list, func(t *registrar.Target) bool { return changing[t.ID] })
}

// observe returns how many engines serve, how many of these decode, how many regular ones are ordered, and their price per second.
func (s *site) observe() (serving, decoding, regular int, price float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, t := range s.targets {
		if !t.goneAt.IsZero() && !now.Before(t.goneAt) {
			continue
		}
		if t.Cheap {
			price += cheapPrice
		} else {
			price++
			if t.leavingAt.IsZero() {
				regular++
			}
		}
		if now.Before(t.readyAt) || now.Before(t.changedAt) {
			continue
		}
		serving++
		stage := t.Stage
		if !t.changedAt.IsZero() {
			stage = t.next
		}
		if stage == registrar.Answers {
			decoding++
		}
	}
	return serving, decoding, regular, price
}

// siteResult is what was seen of a site.
type siteResult struct {
	cost              float64
	least             int
	leastDecoding     int
	withdrawn         time.Duration
	withdrawalsByZone map[identifier.ZoneID]int
}

// runSite runs the scaler and the stage controller of a site for a minute, with events at given times.
func runSite(t *testing.T, seed uint64, events map[time.Duration]func(*site)) (r siteResult) {
	synctest.Test(t, func(*testing.T) {
		s, began := newSite(seed), time.Now()
		table := matcher.New(matcher.Configuration{Services: []matcher.Service{{
			ID: "s", Engine: &matcher.Engine{Slots: 128}, Scaling: &matcher.Scaling{
				Minimum: 1, Maximum: 40, BootTime: boot, CheapPriceFraction: cheapPrice, Prices: map[identifier.ZoneID]float64{"a": 1, "b": 1, "c": 1},
			},
		}}})
		load := func(identifier.ServiceID) float64 {
			if time.Since(began) < demandKnown {
				return 0
			}
			return sitePeak
		}
		getTable := func() *matcher.Table { return table }
		targetScaler := &scaler.Scaler{DutyLease: fakeLease{}, Platform: s, Table: getTable, Targets: s.list, Serving: s.serving, Load: load, Logger: zap.NewNop()}
		controller := &scaler.StageController{
			Holder: "h", DutyLease: fakeLease{}, OrderSender: s, Table: getTable, Targets: s.list, ScalingDown: targetScaler.ScalingDown, Announce: func() {}, Logger: zap.NewNop(),
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { controller.Run(ctx) })
		group.Go(func() { targetScaler.Run(ctx) })
		const tick = 100 * time.Millisecond
		for at := time.Duration(0); at < siteDuration; at += tick {
			if event := events[at]; event != nil {
				event(s)
			}
			serving, decoding, regular, price := s.observe()
			r.cost += price * tick.Seconds()
			if at >= demandKnown {
				if r.least == 0 || serving < r.least {
					r.least = serving
				}
				if r.leastDecoding == 0 || decoding < r.leastDecoding {
					r.leastDecoding = decoding
				}
				if regular <= 42 && r.withdrawn == 0 {
					r.withdrawn = at - demandKnown
				}
			}
			time.Sleep(tick)
		}
		cancel()
		group.Wait()
		r.withdrawalsByZone = s.withdrawals
	})
	return r
}

// TestSurplusIsWithdrawnSoon guards against surplus targets that are paid for half a minute because they are withdrawn one by one, and
// against withdrawals that leave too few engines when cheap ones are reclaimed or a quarter crashes meanwhile.
func TestSurplusIsWithdrawnSoon(t *testing.T) {
	for name, events := range map[string]map[time.Duration]func(*site){
		"quiet":     nil,
		"one zone":  {20 * time.Second: func(s *site) { s.reclaim("a") }},
		"two zones": {18 * time.Second: func(s *site) { s.reclaim("a", "b") }, 40 * time.Second: func(s *site) { s.reclaim("b", "c") }},
		"crash":     {21 * time.Second: (*site).crashQuarter},
		"two zones and a crash": {
			19 * time.Second: func(s *site) { s.reclaim("b", "c") }, 22 * time.Second: (*site).crashQuarter,
		},
		"reclaimed after the withdrawals, and a crash": {
			35 * time.Second: func(s *site) { s.reclaim("a", "c") }, 39 * time.Second: (*site).crashQuarter,
		},
	} {
		// The targets that a zone does not need are withdrawn in one order unless the platform takes others meanwhile.
		cost, least, leastDecoding, withdrawn, orders := 0.0, 1000, 1000, time.Duration(0), 0
		const seeds = 8
		for seed := range uint64(seeds) {
			r := runSite(t, seed, events)
			cost += r.cost / seeds
			least, leastDecoding, withdrawn = min(least, r.least), min(leastDecoding, r.leastDecoding), max(withdrawn, r.withdrawn)
			for _, n := range r.withdrawalsByZone {
				orders = max(orders, n)
			}
		}
		t.Logf("%-46s cost %5.0f, at least %3d engines serve (%2d decode), 42 regular ones left after %5v, withdrawals by zone at most %d", name, cost, least, leastDecoding, withdrawn, orders)
		quicktest.Check(t, float64(least) >= serveFactor*sitePeak, quicktest.IsTrue, quicktest.Commentf("%s: %d engines", name, least))
		quicktest.Check(t, events != nil || orders == 1, quicktest.IsTrue, quicktest.Commentf("%s: %d withdrawals in a zone", name, orders))
		quicktest.Check(t, leastDecoding > 0, quicktest.IsTrue, quicktest.Commentf("%s: no engine decodes", name))
		if events == nil {
			quicktest.Check(t, withdrawn > 0 && withdrawn <= withdrawalBound, quicktest.IsTrue, quicktest.Commentf("%s: %v", name, withdrawn))
			quicktest.Check(t, 2*leastDecoding >= placer.WantedDecodeEngines(least), quicktest.IsTrue, quicktest.Commentf("%s: %d decode", name, leastDecoding))
		}
	}
}

// TestNewHolderWaitsBeforeWithdrawals guards against an instance that withdraws targets right after it has claimed the duties, by the
// demand of the first moments after a restart of all instances.
func TestNewHolderWaitsBeforeWithdrawals(t *testing.T) {
	const surplusTime = 3 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := newSite(1)
		for _, zone := range siteZones {
			for range 20 {
				s.add(zone, true, time.Now().Add(-time.Minute))
			}
		}
		table := matcher.New(matcher.Configuration{Services: []matcher.Service{{
			ID: "s", Engine: &matcher.Engine{Slots: 128}, Scaling: &matcher.Scaling{
				Minimum: 1, Maximum: 40, BootTime: boot, CheapPriceFraction: cheapPrice, Prices: map[identifier.ZoneID]float64{"a": 1, "b": 1, "c": 1},
			},
		}}})
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() {
			(&scaler.Scaler{
				DutyLease: fakeLease{}, Platform: s, Table: func() *matcher.Table { return table }, Targets: s.list, Serving: s.serving,
				Load: func(identifier.ServiceID) float64 { return 1 }, Logger: zap.NewNop(),
			}).Run(ctx)
		})
		time.Sleep(surplusTime)
		s.mu.Lock()
		withdrawals := len(s.withdrawals)
		s.mu.Unlock()
		quicktest.Check(t, withdrawals, quicktest.Equals, 0)
		time.Sleep(20 * time.Second)
		cancel()
		group.Wait()
		quicktest.Check(t, len(s.withdrawals), quicktest.Equals, len(siteZones), quicktest.Commentf("surplus targets stay"))
	})
}

// TestShortDipIsNotWithdrawn guards against a withdrawal down to a number that was planned for a moment only, right after an earlier and
// smaller fall of the plan has lasted for the hold.
func TestShortDipIsNotWithdrawn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, began := newSite(1), time.Now()
		for _, zone := range siteZones {
			for range 20 {
				s.add(zone, true, time.Now().Add(-time.Minute))
			}
		}
		table := matcher.New(matcher.Configuration{Services: []matcher.Service{{
			ID: "s", Engine: &matcher.Engine{Slots: 128}, Scaling: &matcher.Scaling{
				Minimum: 1, Maximum: 40, BootTime: boot, CheapPriceFraction: cheapPrice, Prices: map[identifier.ZoneID]float64{"a": 1, "b": 1, "c": 1},
			},
		}}})
		// The plan has 20 regular targets in each zone, then 14, and 1 for half a second when the hold of the 20 ends.
		load := func(identifier.ServiceID) float64 {
			switch at := time.Since(began); {
			case at < 10*time.Second:
				return 60
			case at < 12900*time.Millisecond || at > 13400*time.Millisecond:
				return sitePeak
			}
			return 1
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() {
			(&scaler.Scaler{
				DutyLease: fakeLease{}, Platform: s, Table: func() *matcher.Table { return table }, Targets: s.list, Serving: s.serving, Load: load, Logger: zap.NewNop(),
			}).Run(ctx)
		})
		time.Sleep(30 * time.Second)
		cancel()
		group.Wait()
		for _, zone := range siteZones {
			quicktest.Check(t, len(s.pool(zone, false)) >= 14, quicktest.IsTrue, quicktest.Commentf("%d regular targets in %s", len(s.pool(zone, false)), zone))
		}
	})
}
