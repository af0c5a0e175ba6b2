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
	// peerSendFraction is the load that each other entry instance is assumed to add, as a fraction of this one's.
	peerSendFraction = 0.5
)

// Tracker holds the state of the current targets. HTTP must be set.
type Tracker struct {
	HTTP   *http.Client
	Logger *zap.Logger

	mu            sync.Mutex
	targets       map[identifier.TargetID]*target
	groups        map[string]*group
	peerSendRatio float64
	leaving       map[identifier.TargetID]bool
	draining      map[identifier.TargetID]bool
}

// group holds the candidates for one model or service. They are updated in place so that a choice allocates nothing.
type group struct {
	candidates []router.Candidate
	targets    []*target
}

// Assignment is a request counted as sent to a target. The caller ends it with Finish or, if the request was not sent,
// with Release of its Plan.
type Assignment struct {
	ID        identifier.TargetID
	Address   string
	Zone      identifier.ZoneID
	Role      recorder.Role
	target    *target
	cost      time.Duration
	sentAt    time.Time
	predicted time.Duration
}

// GroupOf returns the name of the group in which a target of the inventory is a candidate.
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

// SetTargets replaces the targets with those of an inventory. Targets whose address is unchanged keep their state.
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
			tg.peerSendRatio = t.peerSendRatio
		}
		tg.spec = spec
		tg.role = spec.Role
		t.targets[id] = tg
		t.addToGroup(tg, spec, id)
	}
}

// addToGroup makes a target a candidate of its model or service.
func (t *Tracker) addToGroup(tg *target, spec *recorder.Target, id identifier.TargetID) {
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

// SetEntryCount sets the number of entry instances that send to the same targets. The load that each other instance has
// added since a report is assumed to be a fraction of this one's, because not all instances choose the same targets.
func (t *Tracker) SetEntryCount(count int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peerSendRatio = float64(max(0, count-1)) * peerSendFraction
	for _, tg := range t.targets {
		tg.peerSendRatio = t.peerSendRatio
	}
}

// SetRoles overrides the roles of the inventory with those set by orders.
func (t *Tracker) SetRoles(roles map[identifier.TargetID]recorder.Role) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, role := range roles {
		if tg := t.targets[id]; tg != nil {
			tg.setRole(role)
		}
	}
}

// SetDraining replaces the set of targets that are draining for an order in progress; they get no new requests.
func (t *Tracker) SetDraining(draining map[identifier.TargetID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = draining
}

// SetLeaving replaces the set of targets that the platform lists as leaving; they get no new requests.
func (t *Tracker) SetLeaving(leaving map[identifier.TargetID]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving = leaving
}

// Choose chooses a target of the named group and counts the request as sent to it. onScore, unless nil, is called
// for each candidate that was compared.
func (t *Tracker) Choose(name string, req *router.Request, onScore func(identifier.TargetID, router.Score)) (Assignment, router.Score, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		return Assignment{}, router.Score{}, false
	}
	now := time.Now()
	t.refresh(g, now)
	best, ok := choose(now, g, req, onScore)
	if !ok {
		return Assignment{}, router.Score{}, false
	}
	return g.assign(now, req, best), best, true
}

// choose returns the best candidate of a group and passes each score to onScore.
func choose(now time.Time, g *group, req *router.Request, onScore func(identifier.TargetID, router.Score)) (router.Score, bool) {
	choice, ok := router.Choose(now, req, g.candidates)
	if onScore != nil {
		for _, s := range choice.Scores[:choice.Compared] {
			onScore(g.candidates[s.Index].ID, s)
		}
	}
	return choice.Best, ok
}

// assign counts a request as sent to the candidate with the best score.
func (g *group) assign(now time.Time, req *router.Request, best router.Score) Assignment {
	tg := g.targets[best.Index]
	c := &g.candidates[best.Index]
	asserter.That(c.Usable && !tg.reported.Leaving, asserter.UsableTargetChosen, "target %s", c.ID)
	a := Assignment{ID: c.ID, Address: tg.spec.Address, Zone: c.Zone, Role: c.Role, target: tg}
	if !req.Prefilled {
		a.cost = time.Duration(float64(req.PromptTokens-best.Cached) / max(1, c.PrefillPerSecond) * float64(time.Second))
	}
	a.sentAt = now
	a.predicted = max(0, tg.prefillFreeAt.Sub(now)) + a.cost
	tg.recordSend(now, a.cost, req.Parts)
	return a
}

// refresh updates the candidates of a group from the state of their targets.
func (t *Tracker) refresh(g *group, now time.Time) {
	for i, tg := range g.targets {
		c := &g.candidates[i]
		c.Role = tg.role
		c.Usable = tg.usable(now) && !t.leaving[c.ID] && !t.draining[c.ID]
		c.SlowStartAt = tg.slowStartAt
		c.ActiveRequests = tg.activeRequests()
		c.FreeAt = tg.prefillFreeAt
		c.PrefillSlowdown = tg.prefillSlowdown
		c.LateShare = tg.decayedLateShare(now)
		c.BatchLimit = tg.concurrencyLimit()
	}
}

// FirstToken records the first token of an answer, or the end of a separate prefill, at the time of the call. It
// compares the time since the request was sent with the time predicted from the prefill rate.
func (t *Tracker) FirstToken(a Assignment) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.target.observeFirstToken(time.Since(a.sentAt), a.predicted)
}

// Tokens records tokens of an answer and how many of them were late: their gap to the previous token exceeded
// the promised time between tokens.
func (t *Tracker) Tokens(a Assignment, late, total int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a.target.observeTokens(time.Now(), late, total)
}

// Finish ends a request that Choose or Plan counted; failed means that the target did not serve it.
func (t *Tracker) Finish(a Assignment, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	a.target.recordEnd(now)
	if failed {
		a.target.recordFailure(now)
		return
	}
	a.target.recordSuccess()
}

// Capacity returns the rates, in tokens per second, at which the usable targets of a group can prefill and decode.
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

// Run polls all engines until ctx ends.
func (t *Tracker) Run(ctx context.Context) {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		for _, tg := range t.enginesToPoll() {
			go t.poll(ctx, tg)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// enginesToPoll returns the engines with no poll in progress and marks them as being polled.
func (t *Tracker) enginesToPoll() []*target {
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

// poll fetches the load report of an engine, and its cache events with every loadsPerEvents-th report.
func (t *Tracker) poll(ctx context.Context, tg *target) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	t.mu.Lock()
	address, next := tg.spec.Address, tg.nextEvent
	wantsEvents := tg.pollCount%loadsPerEvents == 0
	tg.pollCount++
	t.mu.Unlock()
	var load chatter.Load
	err := t.getJSON(ctx, address, "/control/load", &load)
	received := time.Now()
	var events chatter.CacheEvents
	if err == nil && wantsEvents {
		err = t.getJSON(ctx, address, fmt.Sprintf("/control/cache-events?From=%d", next), &events)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	tg.polling = false
	if err != nil {
		tg.recordFailure(received)
		return
	}
	tg.applyReport(received, load)
	if wantsEvents {
		tg.events(events)
	}
}

func (t *Tracker) getJSON(ctx context.Context, address, path string, out any) error {
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

// Leaving reports whether the platform lists a target as leaving or the target's last load report says so.
func (t *Tracker) Leaving(id identifier.TargetID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	tg := t.targets[id]
	return t.leaving[id] || tg != nil && tg.reported.Leaving
}
