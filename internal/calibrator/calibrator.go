package calibrator

import (
	"math"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// defaultPlain is the duration of a call to a plain target until one is measured.
	defaultPlain = 20 * time.Millisecond
	// minimumFactor and maximumFactor bound what a target deviates from its service, so that one that reports false values draws or loses only
	// so much work.
	minimumFactor, maximumFactor = 0.2, 20.0
	// alikeSlower and distinctSlower bound how much slower a target is than its service, as logarithms: up to alikeSlower, 16 %,
	// it is taken for noise, and from distinctSlower on, 35 %, it counts in full. Without that all instances would send to the
	// target that happened to be measured as the fastest, and meet there. A faster one draws work, so it has to be 1.5 to 2
	// times as fast.
	alikeSlower, distinctSlower = 0.15, 0.3
	alikeFaster, distinctFaster = 0.4, 0.69
	// learningSamples is the number of samples of the service's line before targets are compared with it.
	learningSamples = 6
	// minimumWeight is the least weight of a prefill for one of the two parts of its target's time.
	minimumWeight = 0.05
	// reportFresh is how long a reported slowness counts in full. It then fades until reportFaded.
	reportFresh = 300 * time.Millisecond
	reportFaded = time.Second
	// usualStep is the least step of the usual reported slowness towards a new report. It follows the median.
	usualStep = 0.03
	// minimumPlainDifference is the difference of plain durations that counts: below, it is that of a network and a scheduler.
	// Without it, an idle target that was measured as 2 ms instead of 1 would get nothing.
	minimumPlainDifference = 5 * time.Millisecond
	// compareInterval is how often the targets of a service are compared.
	compareInterval = 500 * time.Millisecond
	// maximumDisturbance is the reported slowness relative to the usual one beyond which nothing is learned from a call.
	maximumDisturbance = 1.5
	// maximumDuration is the longest credible call.
	maximumDuration = time.Hour
)

// Load is what a target says about itself.
type Load struct {
	Running, Waiting, Slots int
	// Slowness is how long work takes now, relative to the usual; zero means not reported.
	Slowness float64
}

// Kind is what an estimate measures.
type Kind int

// Kinds of estimates.
const (
	// PerToken is the time of a prefill for each token.
	PerToken Kind = iota
	// Gap is the time between two events of an answer.
	Gap
	// Plain is the duration of a plain call.
	Plain
	// Fixed is the time of a prefill apart from its tokens.
	Fixed
	kinds
)

// MaximumKind is above all kinds; it stands for kinds that later builds may report.
const MaximumKind = uint32(kinds)

// Calibrator holds what is learned; the zero value is ready to use.
type Calibrator struct {
	mu       sync.Mutex
	services map[identifier.ServiceID]*service
	targets  map[identifier.TargetID]*target
	sequence uint64
	epoch    time.Time
	// lastSeen is the newest time that the calibrator has seen.
	lastSeen time.Time
}

type service struct {
	fitter fitter
	// plain is the duration of a plain call at all targets.
	plain *estimate
	// references are the logarithms with which the estimates of targets are compared, as of referencesAt; minus infinity stands
	// for none.
	references   [kinds]float64
	referencesAt instant
	compared     bool
}

type target struct {
	service   identifier.ServiceID
	startedAt time.Time
	estimates [kinds]*estimate
	// slowness is the last reported one, and usual the median of all reports; zero means no report.
	slowness, usual float64
	reports         float64
	reportedAt      instant
}

// instant is a time since the first one that a calibrator has seen: differences of these are cheap enough for each candidate of a
// choice.
type instant time.Duration

// instant returns now as a time since the first one.
func (c *Calibrator) instant(now time.Time) instant {
	if c.epoch.IsZero() {
		c.epoch = now
	}
	if now.After(c.lastSeen) {
		c.lastSeen = now
	}
	return instant(now.Sub(c.epoch))
}

// ObserveLoad records what a target says about itself.
func (c *Calibrator) ObserveLoad(t *registrar.Target, l Load, now time.Time) {
	if !(l.Slowness > 0) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.target(t)
	s.slowness, s.reportedAt = min(max(l.Slowness, minimumFactor), maximumFactor), c.instant(now)
	if s.usual == 0 {
		s.usual = s.slowness
	}
	s.reports++
	step := max(usualStep, 0.5/s.reports)
	s.usual *= math.Exp(min(max(math.Log(s.slowness/s.usual), -step), step))
}

// ObservePrefill records how long a target took to read the given number of tokens. The call must have found no queue.
func (c *Calibrator) ObservePrefill(t *registrar.Target, tokens identifier.Tokens, took time.Duration, now time.Time) {
	if tokens < 0 || took <= 0 || took > maximumDuration {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ts := c.service(t.Service), c.target(t)
	if ts.disturbed(c.instant(now)) {
		return
	}
	x := float64(tokens) * ts.slownessAt(c.instant(now))
	s.fitter.observe(sample{tokens: x, seconds: took.Seconds(), at: now})
	if s.fitter.sums(now, true).Samples < learningSamples {
		return
	}
	c.compare(t.Service, s, now)
	l := s.fitter.line
	work := l.perToken * x
	share := work / l.at(x)
	// Each part of the time is what the other one leaves. A short prompt shows the fixed time, a long one the time per token.
	if weight := share * share; weight >= minimumWeight {
		fixed := l.fixed * bounded(ts.factor(Fixed, s.references[Fixed]))
		c.observe(ts, PerToken, max(took.Seconds()-fixed, work*minimumFactor)/x, weight, now)
	}
	if weight := (1 - share) * (1 - share); weight >= minimumWeight {
		work *= bounded(ts.factor(PerToken, s.references[PerToken]))
		c.observe(ts, Fixed, max(took.Seconds()-work, l.fixed*minimumFactor), weight, now)
	}
}

// ObserveAnswer records the mean time between two events of an answer.
func (c *Calibrator) ObserveAnswer(t *registrar.Target, gap time.Duration, now time.Time) {
	c.observeCall(t, Gap, gap, now)
}

// ObservePlain records the duration of a plain call that found no queue.
func (c *Calibrator) ObservePlain(t *registrar.Target, took time.Duration, now time.Time) {
	c.observeCall(t, Plain, took, now)
}

func (c *Calibrator) observeCall(t *registrar.Target, kind Kind, took time.Duration, now time.Time) {
	if took <= 0 || took > maximumDuration {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s, ts := c.service(t.Service), c.target(t)
	if ts.disturbed(c.instant(now)) {
		return
	}
	seconds := took.Seconds() / ts.slownessAt(c.instant(now))
	if kind == Plain {
		if s.plain == nil {
			s.plain = &estimate{ofService: true}
		}
		s.plain.observe(seconds, 1, now)
		c.mark(s.plain, now)
	}
	c.observe(ts, kind, seconds, 1, now)
}

func (c *Calibrator) observe(ts *target, kind Kind, seconds, weight float64, now time.Time) {
	if ts.estimates[kind] == nil {
		ts.estimates[kind] = &estimate{}
	}
	ts.estimates[kind].observe(seconds, weight, now)
	c.mark(ts.estimates[kind], now)
}

// Prefill returns the predicted time in which an idle target reads the given number of tokens.
func (c *Calibrator) Prefill(t *registrar.Target, tokens identifier.Tokens, now time.Time) time.Duration {
	capability := c.Capability(t, now)
	return capability.Fixed + time.Duration(float64(tokens)*capability.PerToken)
}

// Plain returns the predicted duration of a plain call on an idle target.
func (c *Calibrator) Plain(t *registrar.Target, now time.Time) time.Duration {
	return c.Capability(t, now).Plain
}

// Capability returns what a target is predicted to be able to do.
func (c *Calibrator) Capability(t *registrar.Target, now time.Time) chooser.Capability {
	list := []chooser.Candidate{{Target: t}}
	c.Assess(list, now)
	return list[0].Capability
}

// Assess sets the capabilities of candidates, all of which belong to one service.
func (c *Calibrator) Assess(candidates []chooser.Candidate, now time.Time) {
	if len(candidates) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	base, at := c.base(candidates[0].Target.Service, now), c.instant(now)
	for i := range candidates {
		t := candidates[i].Target
		ts := c.targets[t.ID]
		if ts == nil || !ts.startedAt.Equal(t.StartedAt) {
			candidates[i].Capability = base.capability
			continue
		}
		candidates[i].Capability = base.of(ts, at)
	}
}

// baseline holds the values of a service.
type baseline struct {
	line line
	// references are the logarithms with which the estimates of targets are compared.
	references [kinds]float64
	capability chooser.Capability
}

func (c *Calibrator) base(id identifier.ServiceID, now time.Time) baseline {
	b := baseline{line: defaultLine}
	plain := defaultPlain.Seconds()
	if s := c.services[id]; s != nil {
		if s.fitter.line != (line{}) {
			b.line = s.fitter.line
		}
		plain = s.plain.value(plain)
		c.compare(id, s, now)
		b.references = s.references
	}
	b.capability = chooser.Capability{
		Fixed: seconds(b.line.fixed), PerToken: b.line.perToken * float64(time.Second), Slowness: 1, Plain: seconds(plain),
	}
	return b
}

// compare updates the references of a service: the median of its targets, each of which counts once, however many calls it gets. A
// target that reports false values moves it no more than any other. The references are of the same quantile as the estimates; the line is a median.
func (c *Calibrator) compare(id identifier.ServiceID, s *service, now time.Time) {
	at := c.instant(now)
	if s.compared && time.Duration(at-s.referencesAt) < compareInterval {
		return
	}
	s.compared, s.referencesAt = true, at
	for kind := range kinds {
		var list []evidence
		for _, ts := range c.targets {
			if e := ts.estimates[kind]; ts.service == id && e != nil && e.pooled.weight > 0 {
				list = append(list, evidence{log: e.pooled.log, weight: min(e.pooled.weight, trustedSamples)})
			}
		}
		s.references[kind] = math.Inf(-1)
		if len(list) > 0 {
			s.references[kind] = weightedQuantile(list, 0.5, now).log
		}
	}
}

func (b *baseline) of(ts *target, now instant) chooser.Capability {
	momentary := ts.slownessAt(now)
	prefill := ts.factor(PerToken, b.references[PerToken])
	slowness := prefill
	if ts.estimates[Gap] != nil {
		slowness = ts.factor(Gap, b.references[Gap])
	}
	capability := b.capability
	capability.Fixed = time.Duration(float64(capability.Fixed) * bounded(ts.factor(Fixed, b.references[Fixed])))
	capability.PerToken *= bounded(prefill * momentary)
	capability.Slowness = bounded(slowness * momentary)
	plain := time.Duration(float64(capability.Plain) * bounded(ts.factor(Plain, b.references[Plain])*momentary))
	if (plain - capability.Plain).Abs() >= minimumPlainDifference {
		capability.Plain = plain
	}
	return capability
}

// factor returns what the target deviates from its service, whose value is given as a logarithm.
func (ts *target) factor(kind Kind, logService float64) float64 {
	if ts.estimates[kind] == nil || math.IsInf(logService, 0) {
		return 1
	}
	deviation := ts.estimates[kind].deviation(logService)
	alike, distinct := alikeSlower, distinctSlower
	if deviation < 0 {
		alike, distinct = alikeFaster, distinctFaster
	}
	share := (math.Abs(deviation) - alike) / (distinct - alike)
	if share <= 0 {
		return 1
	}
	return math.Exp(deviation * min(share, 1))
}

// disturbed reports whether the target is much slower or faster at the given time than it usually is. What it reports at the end of
// a call then says little about the call as a whole: divided by it, a target that slowed down at the end would look fast.
func (ts *target) disturbed(now instant) bool {
	if ts.usual == 0 {
		return false
	}
	ratio := ts.slownessAt(now) / ts.usual
	return ratio > maximumDisturbance || ratio < 1/maximumDisturbance
}

// slownessAt returns the slowness at the given time: the reported one, which fades into the usual one.
func (ts *target) slownessAt(now instant) float64 {
	if ts.usual == 0 {
		return 1
	}
	switch age := time.Duration(now - ts.reportedAt); {
	case age <= reportFresh:
		return ts.slowness
	case age >= reportFaded:
		return ts.usual
	default:
		faded := float64(age-reportFresh) / float64(reportFaded-reportFresh)
		return ts.slowness*(1-faded) + ts.usual*faded
	}
}

// EngineRate returns the tokens per second that a fully busy engine of a service reads in the mean.
func (c *Calibrator) EngineRate(id identifier.ServiceID) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.base(id, c.lastSeen)
	n, sum := 0.0, 0.0
	for _, ts := range c.targets {
		if ts.service == id && ts.estimates[PerToken] != nil {
			usual := 1.0
			if ts.usual > 0 {
				usual = ts.usual
			}
			n++
			sum += bounded(ts.factor(PerToken, b.references[PerToken]) * usual)
		}
	}
	if n == 0 {
		return 1 / b.line.perToken
	}
	return n / (sum * b.line.perToken)
}

// Slowness returns the learned factors of all targets that have been measured.
func (c *Calibrator) Slowness(now time.Time) []float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []float64
	for _, ts := range c.targets {
		if ts.estimates == ([kinds]*estimate{}) {
			continue // Only its load is known.
		}
		b := c.base(ts.service, now)
		if ts.estimates[Plain] != nil {
			list = append(list, bounded(ts.factor(Plain, b.references[Plain])*ts.slownessAt(c.instant(now))))
			continue
		}
		list = append(list, b.of(ts, c.instant(now)).Slowness)
	}
	return list
}

// Retain removes the targets that are not in the list, what peers no longer report, and services without samples.
func (c *Calibrator) Retain(targets []*registrar.Target, now time.Time) {
	keep := map[identifier.TargetID]bool{}
	for _, t := range targets {
		keep[t.ID] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, ts := range c.targets {
		if !keep[id] {
			delete(c.targets, id)
			continue
		}
		poolAll(ts.estimates, now)
	}
	for id, s := range c.services {
		s.fitter.forget(now)
		if s.plain != nil {
			s.plain.pool(now)
		}
		if s.fitter.sums(now, true).Samples == 0 && (s.plain == nil || s.plain.pooled.weight == 0) {
			delete(c.services, id) // The defaults apply again, as for a service that is not known.
		}
	}
}

func poolAll(estimates [kinds]*estimate, now time.Time) {
	for _, e := range estimates {
		if e != nil {
			e.pool(now)
		}
	}
}

func (c *Calibrator) service(id identifier.ServiceID) *service {
	if c.services == nil {
		c.services = map[identifier.ServiceID]*service{}
	}
	s := c.services[id]
	if s == nil {
		s = &service{}
		c.services[id] = s
	}
	return s
}

// target returns the state of a target. A restarted one begins anew.
func (c *Calibrator) target(t *registrar.Target) *target {
	if c.targets == nil {
		c.targets = map[identifier.TargetID]*target{}
	}
	s := c.targets[t.ID]
	if s == nil || !s.startedAt.Equal(t.StartedAt) {
		s = &target{service: t.Service, startedAt: t.StartedAt}
		c.targets[t.ID] = s
	}
	return s
}

func bounded(factor float64) float64 { return min(max(factor, minimumFactor), maximumFactor) }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
