package evaluator_test

import (
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

const (
	prefillTokensPerSecond = 20000.0
	stepBase               = 20 * time.Millisecond
	stepPerToken           = 400 * time.Microsecond
	fullStep               = stepBase + engineSlots*stepPerToken
	prefillChunkTokens     = 512
	engineSlots            = 32
	partTokens             = chatter.PartTokens
	cacheParts             = 64
	roleChangeTime         = 3 * time.Second
	promisedTokenGap       = 53 * time.Millisecond
	promisedFirstToken     = 1600 * time.Millisecond
)

// engineRequest is one request on an engine. The first group of fields is its input, the second its state and results.
type engineRequest struct {
	parts        []uint64
	promptTokens int64
	outputTokens int64
	// imported is true if a prefill engine has computed the KV cache, so that the request starts to decode at once.
	imported    bool
	prefillOnly bool

	// remaining is the number of prompt tokens still to be prefilled.
	remaining  int64
	started    bool
	emitted    int64
	last       time.Time // time of the latest token
	lateTokens int64
	first      time.Time // time of the first token
	cached     int64
	onToken    func()
	done       chan bool
}

// engine simulates an inference engine with continuous batching. Each step prefills a chunk of one prompt and
// decodes one token of every running answer; it takes longer the more answers are running.
type engine struct {
	mu              sync.Mutex
	wake            chan struct{}
	role            recorder.Role
	waiting         []*engineRequest
	running         []*engineRequest
	cacheOrder      []uint64
	cached          map[uint64]bool
	events          []chatter.CacheEvent
	crashed         bool
	leaving         bool
	changingUntil   time.Time
	reports         []report
	reportLag       time.Duration
	prefilledTokens int64
	cheap           bool
	pricePerHour    float64
}

// report is the load of an engine at one time.
type report struct {
	at   time.Time
	load chatter.Load
}

func newEngine(reportLag time.Duration, cheap bool) *engine {
	e := &engine{wake: make(chan struct{}, 1), cached: map[uint64]bool{}, reportLag: reportLag, cheap: cheap, pricePerHour: 2}
	if cheap {
		e.pricePerHour = 0.8
	}
	return e
}

// submit queues a request. Its done channel receives true when it is finished and false if it failed.
func (e *engine) submit(r *engineRequest) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed || time.Now().Before(e.changingUntil) {
		r.done <- false
		return
	}
	e.waiting = append(e.waiting, r)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run executes steps until stop is closed.
func (e *engine) run(stop <-chan struct{}) {
	for {
		d := e.prepareStep()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-stop:
				return
			}
		}
		time.Sleep(d)
		e.finishStep(time.Now())
	}
}

// prepareStep admits waiting requests to the batch and returns the duration of the next step, 0 if there is no work.
func (e *engine) prepareStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < engineSlots {
		r := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.startRequest(r)
		e.running = append(e.running, r)
	}
	d := time.Duration(0)
	if p := e.prefillingRequest(); p != nil {
		d += time.Duration(float64(min(p.remaining, e.chunkTokens())) / prefillTokensPerSecond * float64(time.Second))
	}
	if n := e.decodingCount(); n > 0 {
		d += stepBase + time.Duration(n)*stepPerToken
	}
	return d
}

// startRequest finds the cached prefix of a request's prompt and sets how many tokens remain to be prefilled.
func (e *engine) startRequest(r *engineRequest) {
	if r.started {
		return
	}
	r.started = true
	if r.imported {
		return
	}
	hit := int64(0)
	for _, p := range r.parts {
		if !e.cached[p] {
			break
		}
		hit++
	}
	r.cached = min(hit*partTokens, r.promptTokens)
	r.remaining = r.promptTokens - r.cached
	e.prefilledTokens += r.remaining
	e.store(r.parts)
}

// store adds prompt parts to the cache and evicts the oldest ones beyond its capacity.
func (e *engine) store(parts []uint64) {
	for _, p := range parts {
		if e.cached[p] {
			continue
		}
		e.cached[p] = true
		e.cacheOrder = append(e.cacheOrder, p)
		e.events = append(e.events, chatter.CacheEvent{Sequence: uint64(len(e.events)), Piece: p, Stored: true})
		if len(e.cacheOrder) > cacheParts {
			old := e.cacheOrder[0]
			e.cacheOrder = e.cacheOrder[1:]
			delete(e.cached, old)
			e.events = append(e.events, chatter.CacheEvent{Sequence: uint64(len(e.events)), Piece: old})
		}
	}
}

// prefillingRequest returns the oldest running request whose prompt is not yet prefilled, or nil.
func (e *engine) prefillingRequest() *engineRequest {
	for _, r := range e.running {
		if r.remaining > 0 {
			return r
		}
	}
	return nil
}

// chunkTokens returns how many prompt tokens one step prefills: fewer while answers are decoded, because the chunk
// prolongs the gap between their tokens.
func (e *engine) chunkTokens() int64 {
	if e.decodingCount() > 0 {
		return prefillChunkTokens
	}
	return partTokens
}

// decodingCount returns the number of running requests whose prompt is prefilled.
func (e *engine) decodingCount() int {
	n := 0
	for _, r := range e.running {
		if r.remaining == 0 {
			n++
		}
	}
	return n
}

// finishStep applies the results of a step: a chunk of the oldest prompt is prefilled and each running answer gets
// one token.
func (e *engine) finishStep(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if p := e.prefillingRequest(); p != nil {
		p.remaining -= min(p.remaining, e.chunkTokens())
	}
	unfinished := e.running[:0]
	for _, r := range e.running {
		if r.remaining > 0 || !r.emit(now) {
			unfinished = append(unfinished, r)
		}
	}
	e.running = unfinished
}

// emit adds a token to the answer and reports whether the request is finished. A prefill request finishes without a
// token.
func (r *engineRequest) emit(now time.Time) bool {
	if r.prefillOnly {
		r.done <- true
		return true
	}
	if r.emitted == 0 && r.first.IsZero() {
		r.first = now
	} else if now.Sub(r.last) > promisedTokenGap {
		r.lateTokens++
	}
	r.last = now
	r.emitted++
	if r.onToken != nil {
		r.onToken()
	}
	if r.emitted < r.outputTokens {
		return false
	}
	r.done <- true
	return true
}

// crash fails all requests, empties the cache and makes the engine reject new requests.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	for _, r := range append(e.waiting, e.running...) {
		r.done <- false
	}
	e.waiting, e.running = nil, nil
	e.cached, e.cacheOrder = map[uint64]bool{}, nil
}

func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
}

func (e *engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting)+len(e.running) == 0
}

// load returns the load as it was reportLag ago, and whether the engine is alive.
func (e *engine) load() (chatter.Load, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	queued := int64(0)
	for _, r := range e.running {
		queued += r.remaining
	}
	for _, r := range e.waiting {
		queued += r.promptTokens
	}
	current := chatter.Load{
		Running: int64(len(e.running)), Waiting: int64(len(e.waiting)), Slots: engineSlots, Leaving: e.leaving,
		QueuedPrefillMilliseconds: int64(float64(queued) / prefillTokensPerSecond * 1000),
	}
	e.reports = append(e.reports, report{now, current})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.reportLag {
		e.reports = e.reports[1:]
	}
	oldest := e.reports[0]
	oldest.load.AgeMilliseconds = now.Sub(oldest.at).Milliseconds()
	return oldest.load, !e.crashed
}

// eventsFrom returns the cache events since a sequence number.
func (e *engine) eventsFrom(from uint64) chatter.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	page := chatter.CacheEvents{Next: uint64(len(e.events))}
	if from < page.Next {
		page.Events = append(page.Events, e.events[from:]...)
	}
	return page
}
