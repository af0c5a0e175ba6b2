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
	model      = identifier.ModelID("menu-7b")
	entryCount = 3
	gossipLag  = 250 * time.Millisecond
	logLag     = 100 * time.Millisecond
	settleTime = 40 * time.Second
	attempts   = 4
)

// simulation runs one scenario under one policy; entries share nothing but what the product shares.
type simulation struct {
	traffic  *traffic
	policy   policy
	engines  []*engine
	targets  []*recorder.Target
	entries  []*entry
	rates    map[limiter.RateKey]limiter.Rate
	mu       sync.Mutex
	outcome  outcome
	roles    map[identifier.TargetID]recorder.Role
	draining map[identifier.TargetID]bool
	stop     chan struct{}
	group    sync.WaitGroup
	r        *rand.Rand
	next     int
}

// entry is the deciding part of an entry instance.
type entry struct {
	tracker *tracker.Tracker
	meter   limiter.Meter
}

// outcome is what a run measured.
type outcome struct {
	offered   map[identifier.TeamID]int
	good      map[identifier.TeamID]int
	refused   int
	failed    int
	harmed    int
	changes   int
	spend     float64
	cheapWork float64
	honest    int
	lateFirst int
	lateGaps  int
	prompt    int64
	computed  int64
}

func newSimulation(tr *traffic, p policy, seed uint64) *simulation {
	s := &simulation{
		traffic: tr, policy: p, stop: make(chan struct{}), r: rand.New(rand.NewPCG(seed, 9)),
		roles: map[identifier.TargetID]recorder.Role{}, draining: map[identifier.TargetID]bool{},
		outcome: outcome{offered: map[identifier.TeamID]int{}, good: map[identifier.TeamID]int{}},
	}
	for i := range tr.engines {
		s.engines = append(s.engines, newEngine(tr.lag, i%tr.zones == 0))
		s.targets = append(s.targets, &recorder.Target{
			ID: fmt.Sprintf("engine-%02d", i), Address: strconv.Itoa(i), Zone: fmt.Sprint("zone-", i%tr.zones), Model: string(model),
			PrefillTokensPerSecond: prefillRate, DecodeTokensPerSecond: float64(time.Second) / float64(fullStep), Slots: engineSlots, Cheap: i%tr.zones == 0,
		})
	}
	for range entryCount {
		e := &entry{tracker: &tracker.Tracker{HTTP: &http.Client{Transport: polls{s}}}}
		e.tracker.SetTargets(s.targets)
		e.tracker.SetEntryCount(entryCount)
		s.entries = append(s.entries, e)
	}
	return s
}

// polls answers the trackers' polls from the fake engines.
type polls struct{ s *simulation }

// RoundTrip answers one poll.
func (p polls) RoundTrip(r *http.Request) (*http.Response, error) {
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

func (s *simulation) zone(n int) []*engine {
	var list []*engine
	for i, e := range s.engines {
		if i%s.traffic.zones == n {
			list = append(list, e)
		}
	}
	return list
}

// victim returns an engine that is changing its role, or the next one.
func (s *simulation) victim() *engine {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, t := range s.targets {
		if s.draining[identifier.TargetID(t.ID)] {
			return s.engines[i]
		}
	}
	s.next++
	return s.engines[s.next%len(s.engines)]
}

// run plays all arrivals and waits for their ends.
func (s *simulation) run(list []arrival) outcome {
	var background sync.WaitGroup
	ctx, cancel := contextOf(s.stop)
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
	if s.traffic.events != nil {
		background.Go(func() { s.traffic.events(s) })
	}
	began := time.Now()
	for _, a := range list {
		time.Sleep(time.Until(began.Add(a.at)))
		s.group.Go(func() { s.serve(a) })
	}
	s.group.Wait()
	elapsed := time.Since(began)
	time.Sleep(settleTime)
	close(s.stop)
	cancel()
	background.Wait()
	for _, e := range s.engines {
		s.outcome.computed += e.prefills
		s.outcome.spend += e.price * elapsed.Hours()
		if e.cheap {
			s.outcome.cheapWork += float64(e.prefills)
		}
	}
	return s.outcome
}

// gossip carries the rates of all entries to all entries with a lag.
func (s *simulation) gossip() {
	ticker := time.NewTicker(gossipLag)
	defer ticker.Stop()
	for {
		total := map[limiter.RateKey]limiter.Rate{}
		for _, e := range s.entries {
			for subject, rate := range e.meter.Rates() {
				t := total[subject]
				t.Prompt += rate.Prompt
				t.Output += rate.Output
				total[subject] = t
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

// serve takes one request through admission, routing and up to four attempts.
func (s *simulation) serve(a arrival) {
	s.count(func(o *outcome) { o.offered[a.team]++ })
	e := s.entries[a.entry]
	began := time.Now()
	tried := map[identifier.TargetID]bool{}
	j := &job{pieces: a.pieces, prompt: a.prompt, output: a.output}
	for attempt := 1; attempt <= attempts; attempt++ {
		plan, ok := s.policy.route(s, e, a, j, tried)
		if !ok {
			break
		}
		if attempt == 1 && s.policy.admit != nil {
			v := s.policy.admit(s, e, a, plan)
			if !v.Admitted {
				s.refuse(e, a, plan, v)
				return
			}
		}
		if s.attempt(e, a, j, plan) {
			e.meter.RecordAnswerLength(model, identifier.Tokens(a.output))
			s.judge(a, j, began)
			return
		}
		tried[plan.Answer.ID] = true
	}
	s.count(func(o *outcome) { o.failed++ })
}

// refuse counts a refusal, and looks after the time that was told whether the request would get in then.
func (s *simulation) refuse(e *entry, a arrival, plan tracker.Plan, v limiter.Decision) {
	e.tracker.Release(plan)
	e.meter.AddRefused(model, identifier.Tokens(a.prompt)-plan.Cached)
	s.count(func(o *outcome) { o.refused++ })
	time.Sleep(v.RetryAfter)
	again, ok := s.policy.route(s, e, a, &job{}, nil)
	if !ok {
		return
	}
	held := s.policy.admit(s, e, a, again).Admitted
	e.tracker.Release(again)
	if held {
		s.count(func(o *outcome) { o.honest++ })
	}
}

// attempt runs a job by a plan; a failed one can be resumed at its token offset.
func (s *simulation) attempt(e *entry, a arrival, j *job, plan tracker.Plan) bool {
	if plan.Split {
		pre := &job{pieces: a.pieces, prompt: a.prompt + j.emitted, prefillOnly: true, done: make(chan bool, 1)}
		s.engine(plan.Prefill.ID).submit(pre)
		ok := <-pre.done
		e.tracker.Finish(plan.Prefill, !ok)
		e.tracker.FirstToken(plan.Prefill)
		j.imported = ok
		time.Sleep(20 * time.Millisecond)
	} else {
		j.imported = false
	}
	j.begun, j.left, j.done = false, 0, make(chan bool, 1)
	j.prompt = a.prompt + j.emitted
	uncached := identifier.Tokens(a.prompt) - plan.Cached
	first := j.emitted == 0
	observed := false
	last := time.Time{}
	late, total := int64(0), int64(0)
	j.onToken = func() {
		if !observed {
			observed = true
			e.tracker.FirstToken(plan.Answer)
		} else {
			total++
			if time.Since(last) > promisedGap {
				late++
			}
		}
		last = time.Now()
		if total == 8 {
			e.tracker.Tokens(plan.Answer, late, total)
			late, total = 0, 0
		}
		if first {
			e.meter.Add(limiter.RateKey{Team: a.team, Model: model}, uncached, 0)
			first = false
		}
		e.meter.Add(limiter.RateKey{Team: a.team, Model: model}, 0, 1)
	}
	s.engine(plan.Answer.ID).submit(j)
	ok := <-j.done
	e.tracker.Finish(plan.Answer, !ok)
	if !ok && s.engine(plan.Answer.ID).cheap {
		s.count(func(o *outcome) { o.harmed++ })
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

// judge counts an answer as good if its first token and 95 of 100 of its other tokens came within the promise.
func (s *simulation) judge(a arrival, j *job, began time.Time) {
	first := j.first.Sub(began) <= promisedWait
	gaps := float64(j.late) <= 0.05*float64(j.output)
	s.count(func(o *outcome) {
		o.prompt += a.prompt
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

func (s *simulation) count(f func(o *outcome)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(&s.outcome)
}

// applyRoles shows roles and draining targets to every entry.
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

// change drains an engine, changes its role and puts it to use again.
func (s *simulation) change(c placer.RoleChange) {
	s.mu.Lock()
	s.draining[c.ID] = true
	s.outcome.changes++
	s.mu.Unlock()
	time.Sleep(logLag)
	s.applyRoles()
	e := s.engine(c.ID)
	for !e.idle() {
		time.Sleep(100 * time.Millisecond)
	}
	e.mu.Lock()
	e.role = c.Role
	e.changing = time.Now().Add(changeTime)
	e.mu.Unlock()
	time.Sleep(changeTime + logLag)
	s.mu.Lock()
	s.roles[c.ID] = c.Role
	delete(s.draining, c.ID)
	s.mu.Unlock()
	s.applyRoles()
}

func request(a arrival, draw uint64, tried map[identifier.TargetID]bool) router.Request {
	return router.Request{
		Zone: identifier.ZoneID(fmt.Sprint("zone-", a.entry)), PromptTokens: identifier.Tokens(a.prompt), Parts: a.pieces, Random: draw,
		Excluded: func(id identifier.TargetID) bool { return tried[id] },
	}
}
