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

// placement is what the lease holder keeps between placement decisions.
type placement struct {
	at     time.Time
	models map[identifier.ModelID]*modelPlacement
	mu     sync.Mutex
	busy   map[identifier.TargetID]bool
	failed map[identifier.TargetID]time.Time
}

// modelPlacement follows the demand for one model.
type modelPlacement struct {
	long      placer.Demand
	changedAt time.Time
}

// place decides on roles and targets once in an interval and starts the orders that follow.
func (e *Entry) place(ctx context.Context) {
	p := &e.placement
	now := time.Now()
	elapsed := now.Sub(p.at)
	if elapsed < placementInterval {
		return
	}
	p.at = now
	short := e.demands()
	for model, engines := range e.enginesByModel() {
		m := p.model(model)
		m.follow(short[model], elapsed)
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

// follow moves the long window's demand towards the short one's.
func (m *modelPlacement) follow(short placer.Demand, elapsed time.Duration) {
	f := 1 - math.Exp(-elapsed.Seconds()/longWindow.Seconds())
	m.long.Prompt += f * (short.Prompt - m.long.Prompt)
	m.long.Output += f * (short.Output - m.long.Output)
}

// demands adds up the token rates of all teams at all entries.
func (e *Entry) demands() map[identifier.ModelID]placer.Demand {
	demands := map[identifier.ModelID]placer.Demand{}
	for subject, rate := range e.allRates() {
		d := demands[subject.Model]
		d.Prompt += rate.Prompt
		d.Output += rate.Output
		demands[subject.Model] = d
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
	situation := placer.RoleInput{
		Engines: e.roleEngines(engines), Short: short, Long: m.long, SinceChange: time.Since(m.changedAt),
	}
	for _, change := range placer.PlanRoles(situation) {
		m.changedAt = time.Now()
		e.logger.Info("Place",
			zap.String("Target", string(change.ID)), zap.String("Role", change.Role.String()),
			zap.Float64("PromptPerSecond", short.Prompt), zap.Float64("OutputPerSecond", short.Output))
		order := &recorder.Order{Kind: recorder.OrderKind_Assign, Target: string(change.ID), Role: change.Role, Model: string(model), ChecksFence: true}
		e.startOrder(order, func() error { return e.orderer.Order(ctx, order) })
	}
}

// roleEngines describes engines for a role decision; one that does not check fencing numbers gets no second order.
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

// startOrder carries out an order on a goroutine of its own, one at a time for each target.
func (e *Entry) startOrder(order *recorder.Order, carryOut func() error) {
	id := identifier.TargetID(order.Target)
	p := &e.placement
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy == nil {
		p.busy = map[identifier.TargetID]bool{}
	}
	if p.busy[id] || len(p.busy) >= ordersUnderWay || time.Since(p.failed[id]) < failureRest {
		return
	}
	p.busy[id] = true
	go func() {
		err := carryOut()
		if err != nil {
			e.logger.Info("order failed", zap.String("Target", order.Target), zap.Error(err))
		}
		p.finished(id, err)
	}()
}

func (p *placement) finished(id identifier.TargetID, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy, id)
	if errors.Is(err, orderer.ErrTargetRefused) || errors.Is(err, provider.ErrRefused) {
		if p.failed == nil {
			p.failed = map[identifier.TargetID]time.Time{}
		}
		p.failed[id] = time.Now()
	}
}

// resting reports whether an order for a target was refused lately.
func (p *placement) resting(id identifier.TargetID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Since(p.failed[id]) < failureRest
}

// newTarget names a target to be ordered; the platform takes one order per model and zone at a time.
func newTarget(model identifier.ModelID, zone string) identifier.TargetID {
	return identifier.TargetID("new/" + string(model) + "/" + zone)
}

// placeTargets orders targets from the platform or gives some back, where the rules let it.
func (e *Entry) placeTargets(ctx context.Context, model identifier.ModelID, engines []*recorder.Target, short placer.Demand) {
	scaling := e.scaling(model)
	if scaling == nil {
		return
	}
	supply := e.supply(scaling, engines, short)
	for _, change := range placer.PlanTargets(supply) {
		order := &recorder.Order{Kind: recorder.OrderKind_Acquire, Zone: string(change.Zone), Model: string(model), Cheap: change.Cheap, ChecksFence: true}
		order.Target = string(newTarget(model, string(change.Zone)))
		if change.Withdraw != "" {
			order.Kind, order.Target = recorder.OrderKind_Withdraw, string(change.Withdraw)
		}
		e.logger.Info("Place",
			zap.String("Order", order.Kind.String()), zap.String("Target", order.Target), zap.Bool("Cheap", order.Cheap),
			zap.Float64("Needed", supply.NeededEngines), zap.Int("Held", len(supply.Targets)))
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

func (e *Entry) supply(scaling *recorder.Scaling, engines []*recorder.Target, short placer.Demand) placer.TargetInput {
	state := e.view.Load().State
	supply := placer.TargetInput{
		Maximum: int(scaling.Maximum), SurvivingShare: scaling.SurvivingShare, CheapShare: scaling.CheapShare,
		NeededEngines: placer.NeededEngines(e.roleEngines(engines), short),
	}
	for _, z := range state.GetInventory().GetZones() {
		if !e.placement.resting(newTarget(identifier.ModelID(scaling.Model), z.ID)) {
			supply.Zones = append(supply.Zones, identifier.ZoneID(z.ID))
		}
	}
	owned := map[string]bool{}
	for _, t := range state.GetInventory().GetTargets() {
		owned[t.ID] = true
	}
	_, draining := e.roles()
	for _, t := range engines {
		id := identifier.TargetID(t.ID)
		supply.Targets = append(supply.Targets, placer.TargetState{
			ID: id, Zone: identifier.ZoneID(t.Zone), Cheap: t.Cheap, Acquired: !owned[t.ID], Leaving: draining[id] || e.tracker.Leaving(id),
		})
	}
	return supply
}
