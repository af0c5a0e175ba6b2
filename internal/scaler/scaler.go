package scaler

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// TargetPlatform accepts orders for numbers of targets.
type TargetPlatform interface {
	OrderTargets(ctx context.Context, fence identifier.Fence, o ScaleOrder) error
}

const (
	// scaleInterval is the time between two checks of the numbers of targets.
	scaleInterval = 500 * time.Millisecond
	// arrivalSlack is the time that ordered targets may take to become known, beyond their boot time.
	arrivalSlack = 3 * time.Second
	// refusedPause is how long an order is not repeated after it failed, for example because no target is available.
	refusedPause = 2 * time.Second
	// holdTime is how long targets must be surplus before they are withdrawn: the first measured demand, and that after a
	// restart of all instances, is too low, and regular targets that were withdrawn are not ordered again.
	holdTime = 3 * time.Second
	// maximumWithdrawal is the number of targets that are withdrawn in one order: they take their cached prompt parts with them. With
	// 48 at once in a fleet of 240 regular targets, twice as many shared parts were read again.
	maximumWithdrawal = 8
)

// Scaler controls the number of targets of each service that can be scaled; exported fields must be set.
type Scaler struct {
	DutyLease DutyLease
	Platform  TargetPlatform
	Table     func() *matcher.Table
	Targets   func(service identifier.ServiceID) []*registrar.Target
	// Serving returns the targets that accept new requests at the given time.
	Serving func(service identifier.ServiceID, now time.Time) []*registrar.Target
	// Load returns the highest recent demand for a service, in engines; zero if it is not known yet.
	Load   func(service identifier.ServiceID) float64
	Logger *zap.Logger

	mu sync.Mutex
	// scalingDown records for each service whether targets of it are being withdrawn.
	scalingDown map[identifier.ServiceID]bool
	sent        map[pool]lastOrder
	// withdrawing holds the last withdrawal of each pool until its targets are gone or the order's time is over.
	withdrawing map[pool]lastOrder
	// planned holds the recent plans for each pool, without those before a plan that is as large.
	planned   map[pool][]plannedCount
	discovery discovery
}

// plannedCount is a planned number of targets and when it was planned last.
type plannedCount struct {
	count int
	at    time.Time
}

// pool is the regular or the cheap targets of a service in one availability zone.
type pool struct {
	service identifier.ServiceID
	zone    identifier.ZoneID
	cheap   bool
}

// lastOrder is the last order for a pool; the same order is not repeated before until.
type lastOrder struct {
	count int
	until time.Time
}

// Run orders and withdraws targets while the lease is held, until ctx ends.
func (s *Scaler) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, scaleInterval) == nil {
		if _, err := s.DutyLease.Authority(); err != nil {
			s.sent, s.withdrawing, s.planned, s.discovery = nil, nil, nil, discovery{}
			continue
		}
		table := s.Table()
		if table == nil {
			continue
		}
		for i := range table.Services {
			if service := &table.Services[i]; service.Scaling != nil {
				s.scale(ctx, service)
			}
		}
	}
}

// scale orders the targets that one service lacks, and withdraws surplus ones.
func (s *Scaler) scale(ctx context.Context, service *matcher.Service) {
	targets := s.Targets(service.ID)
	discovered := s.discovery.update(len(targets), time.Now())
	fleet := map[identifier.ZoneID]placer.ZoneFleet{}
	for zone := range service.Scaling.Prices {
		fleet[zone] = placer.ZoneFleet{Zone: zone}
	}
	for _, t := range targets {
		z := fleet[t.Zone]
		z.Zone = t.Zone
		if t.Cheap {
			z.Cheap++
		} else {
			z.Regular++
		}
		fleet[t.Zone] = z
	}
	input := placer.FleetInput{
		Minimum: service.Scaling.Minimum, Maximum: service.Scaling.Maximum,
		Load: s.Load(service.ID), CheapPriceFraction: service.Scaling.CheapPriceFraction,
	}
	for _, z := range fleet {
		input.Zones = append(input.Zones, z)
	}
	for p, o := range s.withdrawing {
		if have := fleet[p.zone]; p.service == service.ID && (count(have, p.cheap) <= o.count || time.Now().After(o.until)) {
			delete(s.withdrawing, p)
		}
	}
	scalingDown := false
	for _, w := range placer.PlanFleet(input) {
		have := fleet[w.Zone]
		scalingDown = scalingDown || w.Cheap < have.Cheap || discovered && w.Regular < have.Regular
		s.change(ctx, service, pool{service.ID, w.Zone, true}, have.Cheap, w.Cheap)
		// No regular target is ordered or withdrawn before all existing targets are known.
		if discovered {
			s.change(ctx, service, pool{service.ID, w.Zone, false}, have.Regular, w.Regular)
		}
	}
	s.setScalingDown(service.ID, scalingDown)
}

// change orders additional targets at once, and withdraws up to maximumWithdrawal surplus targets of a pool in one order, as far as
// enough targets in the decode stage remain: the platform chooses which targets leave, and replacing them takes a change of stage. Targets of the
// next pool are withdrawn once those of the previous one have said that they are leaving.
func (s *Scaler) change(ctx context.Context, service *matcher.Service, p pool, have, want int) {
	held := s.hold(p, want)
	if want < have {
		if want = held; want >= have || len(s.withdrawing) > 0 {
			return
		}
		withdrawn := min(have-want, maximumWithdrawal)
		if service.Engine != nil {
			inPool, total := s.decoding(p)
			withdrawn = min(withdrawn, placer.MaximumWithdrawals(inPool, total, len(s.Targets(service.ID))))
		}
		if withdrawn == 0 {
			return
		}
		want = have - withdrawn
	}
	if s.order(ctx, service, p, have, want) && want < have {
		if s.withdrawing == nil {
			s.withdrawing = map[pool]lastOrder{}
		}
		s.withdrawing[p] = s.sent[p]
	}
}

// hold returns the largest number planned for a pool within holdTime; before that much time has passed, nothing is surplus.
func (s *Scaler) hold(p pool, want int) int {
	now := time.Now()
	if s.planned == nil {
		s.planned = map[pool][]plannedCount{}
	}
	list, ok := s.planned[p]
	if !ok {
		list = []plannedCount{{math.MaxInt, now}}
	}
	list = slices.DeleteFunc(list, func(c plannedCount) bool { return c.count <= want || now.Sub(c.at) > holdTime })
	list = append(list, plannedCount{want, now})
	s.planned[p] = list
	return list[0].count
}

// ScalingDown reports whether targets of a service are being withdrawn.
func (s *Scaler) ScalingDown(service identifier.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scalingDown[service]
}

func (s *Scaler) setScalingDown(service identifier.ServiceID, scalingDown bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.scalingDown == nil {
		s.scalingDown = map[identifier.ServiceID]bool{}
	}
	s.scalingDown[service] = scalingDown
}

func count(z placer.ZoneFleet, cheap bool) int {
	if cheap {
		return z.Cheap
	}
	return z.Regular
}

// decoding counts the available targets in the decode stage, in one pool and in all pools of its service.
func (s *Scaler) decoding(p pool) (inPool, total int) {
	for _, t := range s.Serving(p.service, time.Now()) {
		if t.Stage != registrar.Answers {
			continue
		}
		total++
		if t.Zone == p.zone && t.Cheap == p.cheap {
			inPool++
		}
	}
	return inPool, total
}

// order sends an order, unless the pool has the wanted number of targets and no other number was ordered last, or the
// same order was sent and may still take effect. It reports whether the platform accepted the order.
func (s *Scaler) order(ctx context.Context, service *matcher.Service, p pool, have, want int) bool {
	last, ordered := s.sent[p]
	if have == want && (!ordered || last.count == want) {
		return false
	}
	if ordered && last.count == want && time.Now().Before(last.until) {
		return false
	}
	err := s.DutyLease.WithLease(ctx, func(ctx context.Context, fence identifier.Fence) error {
		return s.Platform.OrderTargets(ctx, fence, ScaleOrder{Service: p.service, Zone: p.zone, Count: want, Cheap: p.cheap})
	})
	if s.sent == nil {
		s.sent = map[pool]lastOrder{}
	}
	wait := service.Scaling.BootTime + arrivalSlack
	if err != nil {
		wait = refusedPause
	}
	s.sent[p] = lastOrder{want, time.Now().Add(wait)}
	s.Logger.Info("targets ordered", zap.String("Service", string(p.service)), zap.String("Zone", string(p.zone)),
		zap.Bool("Cheap", p.cheap), zap.Int("Have", have), zap.Int("Want", want), zap.Error(err))
	return err == nil
}
