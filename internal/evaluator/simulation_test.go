package evaluator_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/router"
	"github.com/coltsfootscale/coltsfootscale/internal/tracker"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	model           = identifier.ModelID("menu-7b")
	entryCount      = 3
	gossipInterval  = 250 * time.Millisecond
	logLag          = 100 * time.Millisecond
	settleTime      = 40 * time.Second
	maximumAttempts = 4
)

// simulation runs one scenario under one policy. Its entries exchange only the state that the product's entry
// instances exchange.
type simulation struct {
	scenario   *scenario
	policy     policy
	engines    []*engine
	targets    []*recorder.Target
	entries    []*entry
	rates      map[limiter.RateKey]limiter.Rate
	mu         sync.Mutex
	outcome    outcome
	roles      map[identifier.TargetID]recorder.Role
	draining   map[identifier.TargetID]bool
	stop       chan struct{}
	group      sync.WaitGroup
	rng        *rand.Rand
	nextEngine int
}

// entry holds the routing and admission state of one entry instance.
type entry struct {
	tracker *tracker.Tracker
	meter   limiter.Meter
}

// outcome holds the totals of one run. spend is a price; cheapWork (on cheap engines only), promptTokens and prefilled
// are prompt tokens; the rest are counts.
type outcome struct {
	offered         map[identifier.TeamID]int
	good            map[identifier.TeamID]int
	refused         int
	failed          int
	failedOnCheap   int
	roleChanges     int
	spend           float64
	cheapWork       float64
	admittedOnRetry int
	lateFirst       int
	lateGaps        int
	promptTokens    int64
	prefilled       int64
}

func newSimulation(sc *scenario, p policy, seed uint64) *simulation {
	s := &simulation{
		scenario: sc, policy: p, stop: make(chan struct{}), rng: rand.New(rand.NewPCG(seed, 9)),
		roles: map[identifier.TargetID]recorder.Role{}, draining: map[identifier.TargetID]bool{},
		outcome: outcome{offered: map[identifier.TeamID]int{}, good: map[identifier.TeamID]int{}},
	}
	for i := range sc.engines {
		s.engines = append(s.engines, newEngine(sc.reportLag, i%sc.zones == 0))
		s.targets = append(s.targets, &recorder.Target{
			ID: fmt.Sprintf("engine-%02d", i), Address: strconv.Itoa(i), Zone: fmt.Sprint("zone-", i%sc.zones), Model: string(model),
			PrefillTokensPerSecond: prefillTokensPerSecond, DecodeTokensPerSecond: float64(time.Second) / float64(fullStep), Slots: engineSlots, Cheap: i%sc.zones == 0,
		})
	}
	for range entryCount {
		e := &entry{tracker: &tracker.Tracker{HTTP: &http.Client{Transport: pollTransport{s}}}}
		e.tracker.SetTargets(s.targets)
		e.tracker.SetEntryCount(entryCount)
		s.entries = append(s.entries, e)
	}
	return s
}

// pollTransport is an http.RoundTripper that answers the trackers' polls from the simulated engines.
type pollTransport struct{ s *simulation }

// RoundTrip answers a poll of an engine's load or cache events.
func (p pollTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	i, _ := strconv.Atoi(r.URL.Host)
	load, alive := p.s.engines[i].load()
	if !alive {
		return nil, io.ErrUnexpectedEOF
	}
	var answer any = load
	if strings.HasSuffix(r.URL.Path, "cache-events") {
		from, _ := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
		answer = p.s.engines[i].eventsFrom(from)
	}
	data, err := json.Marshal(answer)
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(data))}, err
}

// zoneEngines returns the engines of zone n.
func (s *simulation) zoneEngines(n int) []*engine {
	var list []*engine
	for i, e := range s.engines {
		if i%s.scenario.zones == n {
			list = append(list, e)
		}
	}
	return list
}

// engineToCrash returns an engine that is draining for a role change, or the next engine in turn if there is none.
func (s *simulation) engineToCrash() *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range s.targets {
		if s.draining[identifier.TargetID(t.ID)] {
			return s.engines[i]
		}
	}
	s.nextEngine++
	return s.engines[s.nextEngine%len(s.engines)]
}

// run serves all arrivals at their times, waits until they end, and returns the outcome.
func (s *simulation) run(list []arrival) outcome {
	var background sync.WaitGroup
	ctx, cancel := contextUntil(s.stop)
	for _, e := range s.engines {
		background.Go(func() { e.run(s.stop) })
	}
	for _, e := range s.entries {
		background.Go(func() { e.tracker.Run(ctx) })
	}
	background.Go(s.gossip)
	if s.policy.place != nil {
		background.Go(func() { s.policy.place(s) })
	}
	if s.scenario.events != nil {
		background.Go(func() { s.scenario.events(s) })
	}
	start := time.Now()
	for _, a := range list {
		time.Sleep(time.Until(start.Add(a.at)))
		s.group.Go(func() { s.serve(a) })
	}
	s.group.Wait()
	elapsed := time.Since(start)
	time.Sleep(settleTime)
	close(s.stop)
	cancel()
	background.Wait()
	for _, e := range s.engines {
		s.outcome.prefilled += e.prefilledTokens
		s.outcome.spend += e.pricePerHour * elapsed.Hours()
		if e.cheap {
			s.outcome.cheapWork += float64(e.prefilledTokens)
		}
	}
	return s.outcome
}

// gossip gives every entry the sum of all entries' rates, updated every gossipInterval.
func (s *simulation) gossip() {
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		total := map[limiter.RateKey]limiter.Rate{}
		for _, e := range s.entries {
			for key, rate := range e.meter.Rates() {
				t := total[key]
				t.Prompt += rate.Prompt
				t.Output += rate.Output
				total[key] = t
			}
		}
		s.mu.Lock()
		s.rates = total
		s.mu.Unlock()
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// serve routes and admits one request and makes up to maximumAttempts attempts.
func (s *simulation) serve(a arrival) {
	s.updateOutcome(func(o *outcome) { o.offered[a.team]++ })
	e := s.entries[a.entry]
	start := time.Now()
	tried := map[identifier.TargetID]bool{}
	r := &engineRequest{parts: a.parts, promptTokens: a.promptTokens, outputTokens: a.outputTokens}
	for attempt := 1; attempt <= maximumAttempts; attempt++ {
		plan, ok := s.policy.route(s, e, a, r, tried)
		if !ok {
			break
		}
		if attempt == 1 && s.policy.admit != nil {
			decision := s.policy.admit(s, e, a, plan)
			if !decision.Admitted {
				s.refuse(e, a, plan, decision)
				return
			}
		}
		if s.attempt(e, a, r, plan) {
			e.meter.RecordAnswerLength(model, identifier.Tokens(a.outputTokens))
			s.recordAnswer(a, r, start)
			return
		}
		tried[plan.Answer.ID] = true
	}
	s.updateOutcome(func(o *outcome) { o.failed++ })
}

// refuse counts a refusal, waits for its RetryAfter, and records whether the request would then be admitted.
func (s *simulation) refuse(e *entry, a arrival, plan tracker.Plan, decision limiter.Decision) {
	e.tracker.Release(plan)
	e.meter.AddRefused(model, identifier.Tokens(a.promptTokens)-plan.Cached)
	s.updateOutcome(func(o *outcome) { o.refused++ })
	time.Sleep(decision.RetryAfter)
	retryPlan, ok := s.policy.route(s, e, a, &engineRequest{}, nil)
	if !ok {
		return
	}
	admitted := s.policy.admit(s, e, a, retryPlan).Admitted
	e.tracker.Release(retryPlan)
	if admitted {
		s.updateOutcome(func(o *outcome) { o.admittedOnRetry++ })
	}
}

// attempt runs a request on the targets of a plan and reports whether it succeeded. The next attempt of a failed
// request resumes after the tokens already emitted.
func (s *simulation) attempt(e *entry, a arrival, r *engineRequest, plan tracker.Plan) bool {
	if plan.Split {
		prefill := &engineRequest{parts: a.parts, promptTokens: a.promptTokens + r.emitted, prefillOnly: true, done: make(chan bool, 1)}
		s.engine(plan.Prefill.ID).submit(prefill)
		ok := <-prefill.done
		e.tracker.Finish(plan.Prefill, !ok)
		e.tracker.FirstToken(plan.Prefill)
		r.imported = ok
		time.Sleep(20 * time.Millisecond) // transfer of the KV cache
	} else {
		r.imported = false
	}
	r.started, r.remaining, r.done = false, 0, make(chan bool, 1)
	r.promptTokens = a.promptTokens + r.emitted
	uncached := identifier.Tokens(a.promptTokens) - plan.Cached
	first := r.emitted == 0
	observed := false
	last := time.Time{}
	lateTokens, total := int64(0), int64(0)
	r.onToken = func() {
		if !observed {
			observed = true
			e.tracker.FirstToken(plan.Answer)
		} else {
			total++
			if time.Since(last) > promisedTokenGap {
				lateTokens++
			}
		}
		last = time.Now()
		if total == 8 {
			e.tracker.Tokens(plan.Answer, lateTokens, total)
			lateTokens, total = 0, 0
		}
		if first {
			e.meter.Add(limiter.RateKey{Team: a.team, Model: model}, uncached, 0)
			first = false
		}
		e.meter.Add(limiter.RateKey{Team: a.team, Model: model}, 0, 1)
	}
	s.engine(plan.Answer.ID).submit(r)
	ok := <-r.done
	e.tracker.Finish(plan.Answer, !ok)
	if !ok && s.engine(plan.Answer.ID).cheap {
		s.updateOutcome(func(o *outcome) { o.failedOnCheap++ })
	}
	return ok
}

func (s *simulation) engine(id identifier.TargetID) *engine {
	for i, t := range s.targets {
		if t.ID == string(id) {
			return s.engines[i]
		}
	}
	return nil
}

// recordAnswer counts an answer as good if its first token and at least 95% of its other tokens came within the
// promised latencies.
func (s *simulation) recordAnswer(a arrival, r *engineRequest, start time.Time) {
	first := r.first.Sub(start) <= promisedFirstToken
	gaps := float64(r.lateTokens) <= 0.05*float64(r.outputTokens)
	s.updateOutcome(func(o *outcome) {
		o.promptTokens += a.promptTokens
		switch {
		case first && gaps:
			o.good[a.team]++
		case !first:
			o.lateFirst++
		default:
			o.lateGaps++
		}
	})
}

func (s *simulation) updateOutcome(f func(o *outcome)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.outcome)
}

// applyRoles sets the roles and draining targets in every entry's tracker.
func (s *simulation) applyRoles() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.entries {
		e.tracker.SetRoles(s.roles)
		draining := map[identifier.TargetID]bool{}
		for id, d := range s.draining {
			draining[id] = d
		}
		e.tracker.SetDraining(draining)
	}
}

// changeRole drains an engine, changes its role and makes it available again.
func (s *simulation) changeRole(c placer.RoleChange) {
	s.mu.Lock()
	s.draining[c.ID] = true
	s.outcome.roleChanges++
	s.mu.Unlock()
	time.Sleep(logLag)
	s.applyRoles()
	e := s.engine(c.ID)
	for !e.idle() {
		time.Sleep(100 * time.Millisecond)
	}
	e.mu.Lock()
	e.role = c.Role
	e.changingUntil = time.Now().Add(roleChangeTime)
	e.mu.Unlock()
	time.Sleep(roleChangeTime + logLag)
	s.mu.Lock()
	s.roles[c.ID] = c.Role
	delete(s.draining, c.ID)
	s.mu.Unlock()
	s.applyRoles()
}

// routerRequest returns the routing request for an arrival, excluding the targets already tried.
func routerRequest(a arrival, random uint64, tried map[identifier.TargetID]bool) router.Request {
	return router.Request{
		Zone: identifier.ZoneID(fmt.Sprint("zone-", a.entry)), PromptTokens: identifier.Tokens(a.promptTokens), Parts: a.parts, Random: random,
		Excluded: func(id identifier.TargetID) bool { return tried[id] },
	}
}
