package tracker

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/router"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	pollInterval     = 500 * time.Millisecond
	loadsPerEvents   = 4
	pollTimeout      = time.Second
	maximumPollBytes = 1 << 20
	likeness         = 0.5
)

// Tracker keeps what is known of the targets in force; HTTP must be set.
type Tracker struct {
	HTTP   *http.Client
	Logger *zap.Logger

	mu       sync.Mutex
	targets  map[identifier.TargetID]*target
	groups   map[string]*group
	crowd    float64
	leaving  map[identifier.TargetID]bool
	draining map[identifier.TargetID]bool
}

// group is the candidates for one model or service, kept in place so that a decision allocates nothing.
type group struct {
	candidates []router.Candidate
	targets    []*target
}

// Assignment names a chosen target for the duration of one request.
type Assignment struct {
	ID      identifier.TargetID
	Address string
	Zone    identifier.ZoneID
	Role    recorder.Role
	target  *target
	cost    time.Duration
	sentAt  time.Time
	queued  time.Duration
}

// GroupOf returns the group name under which a target of the inventory is a candidate.
func GroupOf(t *recorder.Target) string {
	if t.Kind == recorder.TargetKind_Service {
		return ServiceGroup(t.Service)
	}
	return ModelGroup(identifier.ModelID(t.Model))
}

// ModelGroup returns the group name of a model's engines.
func ModelGroup(model identifier.ModelID) string { return "Model/" + string(model) }

// ServiceGroup returns the group name of a service's targets.
func ServiceGroup(service string) string { return "Service/" + service }

// SetTargets replaces the targets by those of an inventory and keeps what is known of those that stay.
func (t *Tracker) SetTargets(list []*recorder.Target) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.targets
	t.targets = map[identifier.TargetID]*target{}
	t.groups = map[string]*group{}
	now := time.Now()
	for _, spec := range list {
		id := identifier.TargetID(spec.ID)
		tg := old[id]
		if tg == nil || tg.spec.Address != spec.Address {
			tg = newTarget(spec, now, len(old) == 0)
			tg.crowd = t.crowd
		}
		tg.spec = spec
		tg.role = spec.Role
		t.targets[id] = tg
		t.join(tg, spec, id)
	}
}

func (t *Tracker) join(tg *target, spec *recorder.Target, id identifier.TargetID) {
	name := GroupOf(spec)
	g := t.groups[name]
	if g == nil {
		g = &group{}
		t.groups[name] = g
	}
	g.targets = append(g.targets, tg)
	g.candidates = append(g.candidates, router.Candidate{
		ID:               id,
		Hash:             xxhash.Sum64String(spec.ID),
		Zone:             identifier.ZoneID(spec.Zone),
		Cheap:            spec.Cheap,
		PrefillPerSecond: spec.PrefillTokensPerSecond,
		DecodePerSecond:  spec.DecodeTokensPerSecond,
		Slots:            spec.Slots,
		Cache:            tg,
	})
}

// SetEntryCount tells how many entry instances send to the same targets. What this one sent since a
// report then stands for what the others sent, in part, because they do not all choose alike.
func (t *Tracker) SetEntryCount(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.crowd = float64(max(0, n-1)) * likeness
	for _, tg := range t.targets {
		tg.crowd = t.crowd
	}
}

// SetRoles overrides the inventory's roles by those that orders have brought about.
func (t *Tracker) SetRoles(roles map[identifier.TargetID]recorder.Role) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, role := range roles {
		if tg := t.targets[id]; tg != nil {
			tg.setRole(role)
		}
	}
}

// SetDraining replaces the set of targets that an order under way wants to be free of work.
func (t *Tracker) SetDraining(draining map[identifier.TargetID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = draining
}

// SetLeaving replaces the set of targets that the platform lists as leaving.
func (t *Tracker) SetLeaving(leaving map[identifier.TargetID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// Choose picks a target and counts the request as sent to it; the names call back for each candidate compared.
func (t *Tracker) Choose(name string, req *router.Request, note func(identifier.TargetID, router.Score)) (Assignment, router.Score, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		return Assignment{}, router.Score{}, false
	}
	now := time.Now()
	t.refresh(g, now)
	best, ok := choose(now, g, req, note)
	if !ok {
		return Assignment{}, router.Score{}, false
	}
	return g.take(now, req, best), best, true
}

// choose compares the candidates of a group and reports each comparison to note.
func choose(now time.Time, g *group, req *router.Request, note func(identifier.TargetID, router.Score)) (router.Score, bool) {
	choice, ok := router.Choose(now, req, g.candidates)
	if note != nil {
		for _, s := range choice.Scores[:choice.Compared] {
			note(g.candidates[s.Index].ID, s)
		}
	}
	return choice.Best, ok
}

// take counts a request as sent to the chosen candidate.
func (g *group) take(now time.Time, req *router.Request, best router.Score) Assignment {
	tg := g.targets[best.Index]
	c := &g.candidates[best.Index]
	asserter.That(c.Usable && !tg.reported.Leaving, asserter.UsableTargetChosen, "target %s", c.ID)
	h := Assignment{ID: c.ID, Address: tg.spec.Address, Zone: c.Zone, Role: c.Role, target: tg}
	if !req.Prefilled {
		h.cost = time.Duration(float64(req.PromptTokens-best.Cached) / max(1, c.PrefillPerSecond) * float64(time.Second))
	}
	h.sentAt = now
	h.queued = max(0, tg.freeAt.Sub(now)) + h.cost
	tg.sent(now, h.cost, req.Parts)
	return h
}

// refresh copies what changes with time into the candidates.
func (t *Tracker) refresh(g *group, now time.Time) {
	for i, tg := range g.targets {
		c := &g.candidates[i]
		c.Role = tg.role
		c.Usable = tg.usable(now) && !t.leaving[c.ID] && !t.draining[c.ID]
		c.AddedAt = tg.since
		c.Running = tg.busy()
		c.FreeAt = tg.freeAt
		c.PrefillSlowdown = tg.stretch
		c.LateShare = tg.lateShare(now)
		c.BatchLimit = tg.slots()
	}
}

// ObserveFirstToken compares the time to an answer's first token, or to the end of a prompt that is computed
// alone, with what the prefill rate would give.
func (t *Tracker) ObserveFirstToken(h Assignment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.target.observe(time.Since(h.sentAt), h.queued)
}

// ObserveTokens counts tokens of an answer, and how many of them came later after the one before than promised.
func (t *Tracker) ObserveTokens(h Assignment, late, total int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.target.tokens(time.Now(), late, total)
}

// Finish ends a request that Choose counted; failed tells that the target did not serve it.
func (t *Tracker) Finish(h Assignment, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	h.target.finished(now)
	if failed {
		h.target.fail(now)
		return
	}
	h.target.succeed()
}

// Capacity returns the prompt and output tokens per second that a group's usable targets can compute.
func (t *Tracker) Capacity(name string) (prefillPerSecond, decodePerSecond float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		return 0, 0
	}
	t.refresh(g, time.Now())
	for i := range g.candidates {
		c := &g.candidates[i]
		if c.Usable {
			prefillPerSecond += c.PrefillPerSecond
			decodePerSecond += c.DecodePerSecond * float64(c.Slots)
		}
	}
	return prefillPerSecond, decodePerSecond
}

// Run polls every engine until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		for _, tg := range t.due() {
			go t.poll(ctx, tg)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (t *Tracker) due() []*target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []*target
	for _, tg := range t.targets {
		if tg.spec.Kind == recorder.TargetKind_Engine && !tg.polling {
			tg.polling = true
			list = append(list, tg)
		}
	}
	return list
}

func (t *Tracker) poll(ctx context.Context, tg *target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	t.mu.Lock()
	address, next := tg.spec.Address, tg.nextEvent
	wantsEvents := tg.polls%loadsPerEvents == 0
	tg.polls++
	t.mu.Unlock()
	var load chatter.Load
	err := t.get(ctx, address, "/control/load", &load)
	received := time.Now()
	var events chatter.CacheEvents
	if err == nil && wantsEvents {
		err = t.get(ctx, address, fmt.Sprintf("/control/cache-events?From=%d", next), &events)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tg.polling = false
	if err != nil {
		tg.fail(received)
		return
	}
	tg.report(received, load)
	if wantsEvents {
		tg.events(events)
	}
}

func (t *Tracker) get(ctx context.Context, address, path string, out any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return err
	}
	resp, err := t.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("poll %s: status %d", path, resp.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maximumPollBytes)).Decode(out)
}

// Leaving reports whether a target is listed as leaving or says so itself.
func (t *Tracker) Leaving(id identifier.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	tg := t.targets[id]
	return t.leaving[id] || tg != nil && tg.reported.Leaving
}
