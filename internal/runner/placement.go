package runner

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/orderer"
	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// placement is the lease holder's state between placement plans. inProgress holds the targets with an order in
// progress, refusedAt the time at which an order for a target was last refused.
type placement struct {
	plannedAt  time.Time
	models     map[identifier.ModelID]*modelPlacement
	mu         sync.Mutex
	inProgress map[identifier.TargetID]bool
	refusedAt  map[identifier.TargetID]time.Time
}

// modelPlacement tracks the long-window demand for one model and the time of its last role change.
type modelPlacement struct {
	long      placer.Demand
	changedAt time.Time
}

// updatePlacement plans roles and targets once per placementInterval and starts the resulting orders.
func (e *Entry) updatePlacement(ctx context.Context) {
	p := &e.placement
	now := time.Now()
	elapsed := now.Sub(p.plannedAt)
	if elapsed < placementInterval {
		return
	}
	p.plannedAt = now
	short := e.demands()
	for model, engines := range e.enginesByModel() {
		m := p.model(model)
		m.updateLong(short[model], elapsed)
		e.placeRoles(ctx, model, m, engines, short[model])
		e.placeTargets(ctx, model, engines, short[model])
	}
}

func (p *placement) model(id identifier.ModelID) *modelPlacement {
	if p.models == nil {
		p.models = map[identifier.ModelID]*modelPlacement{}
	}
	if p.models[id] == nil {
		p.models[id] = &modelPlacement{}
	}
	return p.models[id]
}

// updateLong moves the long-window demand exponentially towards the short-window demand.
func (m *modelPlacement) updateLong(short placer.Demand, elapsed time.Duration) {
	weight := 1 - math.Exp(-elapsed.Seconds()/longDemandWindow.Seconds())
	m.long.Prompt += weight * (short.Prompt - m.long.Prompt)
	m.long.Output += weight * (short.Output - m.long.Output)
}

// demands returns each model's token rates, summed over all teams and entries and including refused requests.
func (e *Entry) demands() map[identifier.ModelID]placer.Demand {
	demands := map[identifier.ModelID]placer.Demand{}
	for key, rate := range e.allRates() {
		d := demands[key.Model]
		d.Prompt += rate.Prompt
		d.Output += rate.Output
		demands[key.Model] = d
	}
	return demands
}

func (e *Entry) enginesByModel() map[identifier.ModelID][]*recorder.Target {
	engines := map[identifier.ModelID][]*recorder.Target{}
	for _, t := range e.fleet() {
		if t.Kind == recorder.TargetKind_Engine {
			model := identifier.ModelID(t.Model)
			engines[model] = append(engines[model], t)
		}
	}
	return engines
}

func (e *Entry) placeRoles(ctx context.Context, model identifier.ModelID, m *modelPlacement, engines []*recorder.Target, short placer.Demand) {
	input := placer.RoleInput{
		Engines: e.roleEngines(engines), Short: short, Long: m.long, SinceChange: time.Since(m.changedAt),
	}
	for _, change := range placer.PlanRoles(input) {
		m.changedAt = time.Now()
		e.logger.Info("Place",
			zap.String("Target", string(change.ID)), zap.String("Role", change.Role.String()),
			zap.Float64("PromptPerSecond", short.Prompt), zap.Float64("OutputPerSecond", short.Output))
		order := &recorder.Order{Kind: recorder.OrderKind_Assign, Target: string(change.ID), Role: change.Role, Model: string(model), ChecksFence: true}
		e.startOrder(order, func() error { return e.orderer.Order(ctx, order) })
	}
}

// roleEngines returns the engines as input of PlanRoles. An engine that does not check fencing numbers is not
// orderable, because it must not get a second order.
func (e *Entry) roleEngines(targets []*recorder.Target) []placer.Engine {
	roles, draining := e.roles()
	engines := make([]placer.Engine, len(targets))
	for i, t := range targets {
		id := identifier.TargetID(t.ID)
		role, ordered := roles[id]
		if !ordered {
			role = t.Role
		}
		engines[i] = placer.Engine{
			ID: id, Zone: identifier.ZoneID(t.Zone), Role: role, Orderable: t.ChecksFence, Changing: draining[id],
			PrefillPerSecond: t.PrefillTokensPerSecond, DecodePerSecond: t.DecodeTokensPerSecond * float64(t.Slots),
		}
	}
	return engines
}

// startOrder carries out an order on its own goroutine, at most one at a time per target. It does nothing while
// maximumConcurrentOrders are in progress or the target is in backoff after a refusal.
func (e *Entry) startOrder(order *recorder.Order, run func() error) {
	id := identifier.TargetID(order.Target)
	p := &e.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress == nil {
		p.inProgress = map[identifier.TargetID]bool{}
	}
	if p.inProgress[id] || len(p.inProgress) >= maximumConcurrentOrders || time.Since(p.refusedAt[id]) < refusedOrderBackoff {
		return
	}
	p.inProgress[id] = true
	go func() {
		err := run()
		if err != nil {
			e.logger.Info("order failed", zap.String("Target", order.Target), zap.Error(err))
		}
		p.orderFinished(id, err)
	}()
}

func (p *placement) orderFinished(id identifier.TargetID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.inProgress, id)
	if errors.Is(err, orderer.ErrTargetRefused) || errors.Is(err, provider.ErrRefused) {
		if p.refusedAt == nil {
			p.refusedAt = map[identifier.TargetID]time.Time{}
		}
		p.refusedAt[id] = time.Now()
	}
}

// inBackoff reports whether an order for a target was refused within refusedOrderBackoff.
func (p *placement) inBackoff(id identifier.TargetID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.refusedAt[id]) < refusedOrderBackoff
}

// newTargetID returns the placeholder ID of a target to be ordered. There is one ID per model and zone, because the
// platform takes one order per model and zone at a time.
func newTargetID(model identifier.ModelID, zone string) identifier.TargetID {
	return identifier.TargetID("new/" + string(model) + "/" + zone)
}

// placeTargets acquires targets from the platform or withdraws some, if the rules set a scaling for the model.
func (e *Entry) placeTargets(ctx context.Context, model identifier.ModelID, engines []*recorder.Target, short placer.Demand) {
	scaling := e.scaling(model)
	if scaling == nil {
		return
	}
	targetInput := e.targetInput(scaling, engines, short)
	for _, change := range placer.PlanTargets(targetInput) {
		order := &recorder.Order{Kind: recorder.OrderKind_Acquire, Zone: string(change.Zone), Model: string(model), Cheap: change.Cheap, ChecksFence: true}
		order.Target = string(newTargetID(model, string(change.Zone)))
		if change.Withdraw != "" {
			order.Kind, order.Target = recorder.OrderKind_Withdraw, string(change.Withdraw)
		}
		e.logger.Info("Place",
			zap.String("Order", order.Kind.String()), zap.String("Target", order.Target), zap.Bool("Cheap", order.Cheap),
			zap.Float64("Needed", targetInput.NeededEngines), zap.Int("Held", len(targetInput.Targets)))
		e.startOrder(order, func() error { return e.orderer.Order(ctx, order) })
	}
}

func (e *Entry) scaling(model identifier.ModelID) *recorder.Scaling {
	for _, s := range e.view.Load().State.GetRules().GetScalings() {
		if s.Model == string(model) {
			return s
		}
	}
	return nil
}

func (e *Entry) targetInput(scaling *recorder.Scaling, engines []*recorder.Target, short placer.Demand) placer.TargetInput {
	state := e.view.Load().State
	targetInput := placer.TargetInput{
		Maximum: int(scaling.Maximum), SurvivingShare: scaling.SurvivingShare, CheapShare: scaling.CheapShare,
		NeededEngines: placer.NeededEngines(e.roleEngines(engines), short),
	}
	for _, z := range state.GetInventory().GetZones() {
		if !e.placement.inBackoff(newTargetID(identifier.ModelID(scaling.Model), z.ID)) {
			targetInput.Zones = append(targetInput.Zones, identifier.ZoneID(z.ID))
		}
	}
	inInventory := map[string]bool{}
	for _, t := range state.GetInventory().GetTargets() {
		inInventory[t.ID] = true
	}
	_, draining := e.roles()
	for _, t := range engines {
		id := identifier.TargetID(t.ID)
		targetInput.Targets = append(targetInput.Targets, placer.TargetState{
			ID: id, Zone: identifier.ZoneID(t.Zone), Cheap: t.Cheap, Acquired: !inInventory[t.ID], Leaving: draining[id] || e.tracker.Leaving(id),
		})
	}
	return targetInput
}
