package coordinator

import (
	"slices"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// planInterval is how long a computed plan is used, at least.
	planInterval = 100 * time.Millisecond
	// planTimeShare is the inverse of the largest share of time that is spent on plans: with 720 targets of which 400 are to
	// change, one takes 6 ms of a core, and an instance may have a fifth of one.
	planTimeShare = 20
)

// spareAnswerTargets is the least number of targets in the decode stage while targets are being withdrawn. Only the holder of the
// duties knows whether they are.
const spareAnswerTargets = 2

// PlannedStages computes which targets the holder of the duties is about to order to another stage, as far as this instance's list of
// targets tells. The zero value is ready to use.
//
// A target that changes its stage refuses requests. Its entry shows the change only afterwards, other instances learn of the order up to
// a second later, and after a restart of all instances none knows it. The plan is a function of the list of targets.
type PlannedStages struct {
	mu       sync.Mutex
	services map[identifier.ServiceID]*plannedChanges
}

// plannedChanges are the targets of a service that change their stage. They are used until a time, and while they are computed again.
type plannedChanges struct {
	changing  map[identifier.TargetID]bool
	until     time.Time
	computing bool
}

// Changing returns the targets of a service that are to change their stage. list returns the service's targets as PlanStages needs them
// if they have to be considered again. The returned map must not be modified.
func (p *PlannedStages) Changing(service identifier.ServiceID, now time.Time, list func() []placer.StageEngine) map[identifier.TargetID]bool {
	p.mu.Lock()
	c := p.services[service]
	if c == nil {
		if p.services == nil {
			p.services = map[identifier.ServiceID]*plannedChanges{}
		}
		c = &plannedChanges{}
		p.services[service] = c
	}
	if c.computing || now.Before(c.until) {
		defer p.mu.Unlock()
		return c.changing
	}
	c.computing = true
	p.mu.Unlock()
	started := time.Now()
	changing := plannedToChange(list())
	pause := max(planInterval, planTimeShare*time.Since(started))
	p.mu.Lock()
	defer p.mu.Unlock()
	c.changing, c.until, c.computing = changing, now.Add(pause), false
	return changing
}

// Count returns how many targets were to change their stage when that was last considered.
func (p *PlannedStages) Count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.services {
		n += len(c.changing)
	}
	return n
}

// plannedToChange returns the targets that change to decode at the usual number of decode engines, and those that change to prefill
// even if targets are being withdrawn.
func plannedToChange(engines []placer.StageEngine) map[identifier.TargetID]bool {
	placer.SortEngines(engines)
	wanted := placer.WantedDecodeEngines(len(engines))
	withSpare := max(wanted, min(spareAnswerTargets, len(engines)-1))
	changing := map[identifier.TargetID]bool{}
	for _, change := range placer.PlanStages(slices.Clone(engines), wanted) {
		if change.Stage == registrar.Answers || withSpare == wanted {
			changing[change.ID] = true
		}
	}
	if withSpare == wanted {
		return changing
	}
	for _, change := range placer.PlanStages(slices.Clone(engines), withSpare) {
		if change.Stage == registrar.Prompts {
			changing[change.ID] = true
		}
	}
	return changing
}

// changing returns the targets of a service that the holder of the duties is about to order to another stage.
func (c *Coordinator) changing(service identifier.ServiceID, now time.Time) map[identifier.TargetID]bool {
	t := c.table.Load()
	if t == nil || c.settings.Load().Routing.FixedStages {
		return nil
	}
	if s := t.Service(service); s == nil || s.Engine == nil {
		return nil
	}
	return c.plannedStages.Changing(service, now, func() []placer.StageEngine { return c.stageEngines(service, now) })
}

// stageEngines returns the targets of a service for PlanStages; those that are known to be changing count as changed.
func (c *Coordinator) stageEngines(service identifier.ServiceID, now time.Time) []placer.StageEngine {
	ordered := map[identifier.TargetID]registrar.Stage{}
	for _, o := range c.registry.Orders(now) {
		ordered[o.Target] = o.Stage
	}
	var engines []placer.StageEngine
	for _, t := range c.registry.NotLeaving(service) {
		if t.Stage == registrar.AnyStage {
			continue
		}
		e := placer.StageEngine{ID: t.ID, Zone: t.Zone, Stage: t.Stage, Cheap: t.Cheap, Build: t.Build, Limited: c.namesLimit(t)}
		if stage, ok := ordered[t.ID]; ok {
			e.Stage, e.Busy = stage, true
		}
		engines = append(engines, e)
	}
	return engines
}
