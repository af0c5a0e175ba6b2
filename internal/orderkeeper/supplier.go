package orderkeeper

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// TargetPlatform takes orders for targets.
type TargetPlatform interface {
	OrderTargets(ctx context.Context, fence identifier.Fence, o ScaleOrder) error
}

const (
	// supplyPause is how often the numbers of targets are looked at.
	supplyPause = 500 * time.Millisecond
	// arrivalSlack is what ordered targets may take to be seen, beyond their boot.
	arrivalSlack = 3 * time.Second
	// refusedPause is how long an order is not repeated where nothing was to be had.
	refusedPause = 2 * time.Second
)

// Scaler keeps the numbers of targets of all services that can be ordered; exported fields must be set.
type Scaler struct {
	DutyLease DutyLease
	Platform  TargetPlatform
	Table     func() *matcher.Table
	Targets   func(service identifier.ServiceID) []*registrar.Target
	// Serving returns the targets that take new work now.
	Serving func(service identifier.ServiceID, now time.Time) []*registrar.Target
	// Load returns the highest demand of late for a service, in engines; zero: not known yet.
	Load   func(service identifier.ServiceID) float64
	Logger *zap.Logger

	mu sync.Mutex
	// shrinking are the services of which targets are being given back.
	shrinking map[identifier.ServiceID]bool
	sent      map[lot]standing
	// leaving are the lots of which targets were given back that are still there.
	leaving map[lot]standing
	arrival arrival
}

// lot is one kind of target in one availability zone.
type lot struct {
	service identifier.ServiceID
	zone    identifier.ZoneID
	cheap   bool
}

// standing is the last order for a lot.
type standing struct {
	count int
	until time.Time
}

// Run orders targets while the lease is held, until ctx ends.
func (s *Scaler) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, supplyPause) == nil {
		if _, err := s.DutyLease.Authority(); err != nil {
			s.sent, s.leaving, s.arrival = nil, nil, arrival{}
			continue
		}
		table := s.Table()
		if table == nil {
			continue
		}
		for i := range table.Services {
			if service := &table.Services[i]; service.Scaling != nil {
				s.supply(ctx, service)
			}
		}
	}
}

// supply orders what one service lacks, or has too many of.
func (s *Scaler) supply(ctx context.Context, service *matcher.Service) {
	targets := s.Targets(service.ID)
	settled := s.arrival.done(len(targets), time.Now())
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
	situation := placer.FleetInput{
		Minimum: service.Scaling.Minimum, Maximum: service.Scaling.Maximum,
		PeakLoad: s.Load(service.ID), CheapPriceFraction: service.Scaling.CheapPriceFraction,
	}
	for _, z := range fleet {
		situation.Zones = append(situation.Zones, z)
	}
	shrinking := false
	for _, w := range placer.PlanFleet(situation) {
		have := fleet[w.Zone]
		shrinking = shrinking || w.Cheap < have.Cheap || settled && w.Regular < have.Regular
		s.change(ctx, service, lot{service.ID, w.Zone, true}, have.Cheap, w.Cheap)
		// Nothing is given back, and nothing dear ordered, before it is known what is there.
		if settled {
			s.change(ctx, service, lot{service.ID, w.Zone, false}, have.Regular, w.Regular)
		}
	}
	s.setShrinking(service.ID, shrinking)
	for l, o := range s.leaving {
		if have := fleet[l.zone]; l.service == service.ID && (count(have, l.cheap) <= o.count || time.Now().After(o.until)) {
			delete(s.leaving, l)
		}
	}
}

// change orders more at once. It gives back in one zone at a time, so that targets for answers stay: the platform chooses
// which targets leave, and others take a change of stage to replace them.
func (s *Scaler) change(ctx context.Context, service *matcher.Service, l lot, have, want int) {
	if want < have {
		if len(s.leaving) > 0 {
			return
		}
		most := have - want
		if service.Engine != nil {
			most = min(most, placer.MaximumWithdrawals(s.answering(service.ID), l.zone, len(s.Targets(service.ID))))
		}
		if most == 0 {
			return
		}
		want = have - most
	}
	if s.order(ctx, service, l, have, want) && want < have {
		if s.leaving == nil {
			s.leaving = map[lot]standing{}
		}
		s.leaving[l] = s.sent[l]
	}
}

// ScalingDown tells that targets of a service are being given back.
func (s *Scaler) ScalingDown(service identifier.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shrinking[service]
}

func (s *Scaler) setShrinking(service identifier.ServiceID, shrinking bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shrinking == nil {
		s.shrinking = map[identifier.ServiceID]bool{}
	}
	s.shrinking[service] = shrinking
}

func count(z placer.ZoneFleet, cheap bool) int {
	if cheap {
		return z.Cheap
	}
	return z.Regular
}

// answering counts the targets that take answers in each zone.
func (s *Scaler) answering(service identifier.ServiceID) map[identifier.ZoneID]int {
	zones := map[identifier.ZoneID]int{}
	for _, t := range s.Serving(service, time.Now()) {
		if t.Stage == registrar.DecodeStage {
			zones[t.Zone]++
		}
	}
	return zones
}

// order sends an order unless the same one stands and may still be on its way, and reports whether it was accepted.
func (s *Scaler) order(ctx context.Context, service *matcher.Service, l lot, have, want int) bool {
	last, ordered := s.sent[l]
	if have == want && (!ordered || last.count == want) {
		return false
	}
	if ordered && last.count == want && time.Now().Before(last.until) {
		return false
	}
	err := s.DutyLease.WithLease(ctx, func(ctx context.Context, fence identifier.Fence) error {
		return s.Platform.OrderTargets(ctx, fence, ScaleOrder{Service: l.service, Zone: l.zone, Count: want, Cheap: l.cheap})
	})
	if s.sent == nil {
		s.sent = map[lot]standing{}
	}
	wait := service.Scaling.BootTime + arrivalSlack
	if err != nil {
		wait = refusedPause
	}
	s.sent[l] = standing{want, time.Now().Add(wait)}
	s.Logger.Info("targets ordered", zap.String("Service", string(l.service)), zap.String("Zone", string(l.zone)),
		zap.Bool("Cheap", l.cheap), zap.Int("Have", have), zap.Int("Want", want), zap.Error(err))
	return err == nil
}
