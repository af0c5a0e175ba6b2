package prober

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/singleflight"
)

const (
	// probeTimeout limits the opening of a connection.
	probeTimeout = 250 * time.Millisecond
	// silence is how long an answer may be missing, while the target gives no other one, before the target is probed, or before
	// an attempt at a target that cannot be reached is ended.
	silence = 500 * time.Millisecond
	// checkInterval is the time between checks for missing answers.
	checkInterval = 100 * time.Millisecond
	// returnInterval is the time between probes of targets that cannot be reached, of which each round has returnSample at most: the work
	// of an instance that is cut off must not grow with the targets. For returnTime after one has returned, all are probed.
	returnInterval = 400 * time.Millisecond
	returnSample   = 8
	returnTime     = time.Second
	// spread is the number of other targets that are probed once a target cannot be reached, and all if most of these, over
	// recentTime, cannot either.
	spread     = 3
	recentTime = 2 * time.Second
	// presumeSample is the number of targets of a sample that could not be reached, presumeRatio times as many as could, from which the rest
	// of more than twice as many targets is presumed to be unreachable too: that is verified by the probes of targets that may have
	// returned, as many as those are at a time.
	presumeSample = 16
	presumeRatio  = 15
	// probePause is the least time between two probes of a target that can be reached.
	probePause = time.Second
	// maximumProbes limits the probes that run at once, and maximumReturnProbes those beside which targets that are down are
	// probed again.
	maximumProbes       = 128
	maximumReturnProbes = 32
)

// Prober knows which targets cannot be reached from here. A target counts as reachable until a connection to it could not be
// opened, and again once one could. Exported fields must be set before Run; without Run, all targets count as reachable.
type Prober struct {
	// Addresses returns the addresses of all targets that should be reachable.
	Addresses func() []string
	// Connect reports whether a target accepts a connection, and whether one could be tried.
	Connect func(ctx context.Context, address string) (reached, tried bool)
	// OnChange is called after a target has become unreachable or reachable.
	OnChange func()
	Logger   *zap.Logger

	mu sync.Mutex
	// targets holds the state of each target that was used or probed.
	targets map[string]*state
	// waiting holds the attempts that wait for an answer.
	waiting map[*attempt]bool
	// probing is the number of probes that run.
	probing int
	// returnedAt is when a target could be reached again, and roundAt when the last round of probes of those that cannot began, which has
	// had inRound probes.
	returnedAt, roundAt time.Time
	inRound             int
	// probes is the number of probes that were started.
	probes int64
	// checks lets the attempts that wait for a target share one check of it.
	checks singleflight.Group
}

// state is what is known of one target.
type state struct {
	down       bool
	probing    bool
	probedAt   time.Time
	answeredAt time.Time
	// suspect is set if the target has failed and is to be probed, sample if it was chosen because another one has.
	suspect bool
	sample  bool
}

// attempt waits for an answer of a target.
type attempt struct {
	address string
	at      time.Time
	// end is called while the target is down and silent; it may be nil.
	end func()
}

// state returns the state of a target. The caller must hold mu.
func (p *Prober) state(address string) *state {
	s := p.targets[address]
	if s == nil {
		s = &state{}
		if p.targets == nil {
			p.targets = map[string]*state{}
		}
		p.targets[address] = s
	}
	return s
}

// Down reports whether a target cannot be reached from here.
func (p *Prober) Down(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.targets[address]
	return s != nil && s.down
}

// Begin records an attempt that waits for a target until done is called. end, which may be nil, is called, more than once, while the
// target is down and silent. It must not call the Prober.
func (p *Prober) Begin(address string, end func()) (done func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &attempt{address, time.Now(), end}
	if p.waiting == nil {
		p.waiting = map[*attempt]bool{}
	}
	p.waiting[a] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.waiting, a)
	}
}

// Probes returns how many probes were started so far.
func (p *Prober) Probes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probes
}

// Answered records that a target has answered.
func (p *Prober) Answered(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(address).answeredAt = time.Now()
}

// Silent reports whether a target has answered nothing since and accepts no connection within the given time. It then also starts a
// probe, which decides whether the target counts as unreachable.
func (p *Prober) Silent(ctx context.Context, address string, since time.Time, limit time.Duration) bool {
	if p.Connect == nil || p.answeredSince(address, since) {
		return false
	}
	result := p.checks.DoChan(address, func() (any, error) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), limit)
		defer cancel()
		reached, tried := p.Connect(ctx, address)
		return tried && !reached, nil
	})
	select {
	case <-ctx.Done():
		return false
	case r := <-result:
		if unreached := r.Val.(bool); !unreached || p.answeredSince(address, since) {
			return false
		}
	}
	p.Failed(address)
	return true
}

func (p *Prober) answeredSince(address string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.targets[address]
	return s != nil && s.answeredAt.After(since)
}

// Failed records that a connection to a target broke or could not be opened, which starts a probe.
func (p *Prober) Failed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state(address).suspect = true
}

// Run keeps the state until ctx ends.
func (p *Prober) Run(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.check(ctx, time.Now())
	}
}

// check starts the probes that are due, and calls the attempts that wait in vain.
func (p *Prober) check(ctx context.Context, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiting) == 0 && len(p.targets) == 0 {
		return
	}
	for a := range p.waiting {
		s := p.state(a.address)
		if now.Sub(a.at) < silence || now.Sub(s.answeredAt) < silence {
			continue
		}
		if s.suspect = true; s.down && a.end != nil {
			a.end()
		}
	}
	for address, s := range p.targets {
		if !s.probing && !s.down && s.suspect && now.Sub(s.probedAt) >= probePause {
			p.probe(ctx, address, s, maximumProbes)
		}
	}
	for _, address := range p.mayHaveReturned(now) {
		p.probe(ctx, address, p.targets[address], maximumReturnProbes)
	}
}

// mayHaveReturned returns the targets that cannot be reached and are to be probed now. The caller must hold mu.
func (p *Prober) mayHaveReturned(now time.Time) []string {
	var due []string
	for address, s := range p.targets {
		if !s.probing && s.down && now.Sub(s.probedAt) >= returnInterval {
			due = append(due, address)
		}
	}
	if now.Sub(p.returnedAt) < returnTime {
		return due
	}
	if now.Sub(p.roundAt) >= returnInterval {
		p.roundAt, p.inRound = now, 0
	}
	n := min(len(due), returnSample-p.inRound)
	p.inRound += n
	// Those that have waited longest come first.
	slices.SortFunc(due, func(a, b string) int { return p.targets[a].probedAt.Compare(p.targets[b].probedAt) })
	return due[:n]
}

// probe opens a connection to a target in the background, unless the given number of probes run. The caller must hold mu.
func (p *Prober) probe(ctx context.Context, address string, s *state, most int) {
	if p.probing >= most {
		return
	}
	p.probing++
	p.probes++
	s.probing, s.suspect, s.probedAt = true, false, time.Now()
	go func() {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		reached, tried := p.Connect(ctx, address)
		if p.finish(address, s, reached, tried) {
			p.OnChange()
		}
	}()
}

// finish applies the result of a probe and reports whether the target's state has changed.
func (p *Prober) finish(address string, s *state, reached, tried bool) (changed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.probing--
	s.probing = false
	if !tried || s.down == !reached {
		return false
	}
	s.down = !reached
	p.Logger.Info("connection to target", zap.String("Address", address), zap.Bool("Reachable", reached))
	if s.down {
		p.suspectOthers(time.Now())
	} else {
		p.returnedAt = time.Now()
	}
	return true
}

// suspectOthers lets other targets be probed once one cannot be reached: a few, and more once most of them cannot. If hardly any of a
// large sample can be reached, it presumes that of the rest. The caller must hold mu.
func (p *Prober) suspectOthers(now time.Time) {
	addresses := p.Addresses()
	down, up, pending := 0, 0, 0
	for _, a := range addresses {
		switch s := p.state(a); {
		case s.sample && (s.probing || s.suspect):
			pending++
		case !s.sample || now.Sub(s.probedAt) >= recentTime:
		case s.down:
			down++
		default:
			up++
		}
	}
	limit := spread
	if down > max(up, spread) {
		limit = len(addresses)
		if clear := len(addresses) > 2*presumeSample && down >= presumeRatio*up; clear && down >= presumeSample {
			p.presumeDown(addresses, now)
			return
		} else if clear {
			limit = presumeSample - pending
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, a := range addresses {
		s := p.state(a)
		if limit <= 0 {
			return
		}
		if !s.down && !s.probing && now.Sub(s.probedAt) >= probePause {
			s.suspect, s.sample = true, true
			limit--
		}
	}
}

// presumeDown takes all targets for unreachable that have not answered lately. The caller must hold mu.
func (p *Prober) presumeDown(addresses []string, now time.Time) {
	presumed := 0
	for _, a := range addresses {
		if s := p.state(a); !s.down && !s.probing && now.Sub(s.answeredAt) >= silence {
			s.down, s.suspect, s.probedAt = true, false, now
			presumed++
		}
	}
	if presumed > 0 {
		p.Logger.Info("targets presumed unreachable", zap.Int("Targets", presumed))
	}
}

// Retain forgets all targets but those at the given addresses.
func (p *Prober) Retain(addresses []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.targets, func(address string, s *state) bool { return !slices.Contains(addresses, address) && !s.probing })
}
