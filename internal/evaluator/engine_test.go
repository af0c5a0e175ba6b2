package evaluator_test

import (
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

const (
	prefillRate  = 20000.0
	stepBase     = 20 * time.Millisecond
	stepPerToken = 400 * time.Microsecond
	fullStep     = stepBase + engineSlots*stepPerToken
	prefillChunk = 512
	engineSlots  = 32
	pieceTokens  = chatter.PartTokens
	cachePieces  = 64
	changeTime   = 3 * time.Second
	promisedGap  = 53 * time.Millisecond
	promisedWait = 1600 * time.Millisecond
)

// job is one request at an engine.
type job struct {
	pieces      []uint64
	prompt      int64
	output      int64
	imported    bool
	prefillOnly bool

	left    int64
	begun   bool
	emitted int64
	last    time.Time
	late    int64
	first   time.Time
	cached  int64
	onToken func()
	done    chan bool
}

// engine is a small fake of a continuously batching engine: each step computes a chunk of
// a prompt and one token of every running answer, and takes longer the more of them there are.
type engine struct {
	mu       sync.Mutex
	wake     chan struct{}
	role     recorder.Role
	waiting  []*job
	running  []*job
	order    []uint64
	cached   map[uint64]bool
	events   []chatter.CacheEvent
	dead     bool
	leaving  bool
	changing time.Time
	reports  []report
	lag      time.Duration
	prefills int64
	cheap    bool
	price    float64
}

type report struct {
	at   time.Time
	load chatter.Load
}

func newEngine(lag time.Duration, cheap bool) *engine {
	e := &engine{wake: make(chan struct{}, 1), cached: map[uint64]bool{}, lag: lag, cheap: cheap, price: 2}
	if cheap {
		e.price = 0.8
	}
	return e
}

// submit queues a job; its done channel tells whether it was served.
func (e *engine) submit(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dead || time.Now().Before(e.changing) {
		j.done <- false
		return
	}
	e.waiting = append(e.waiting, j)
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// run makes steps until stop is closed.
func (e *engine) run(stop <-chan struct{}) {
	for {
		d := e.prepare()
		if d == 0 {
			select {
			case <-e.wake:
				continue
			case <-stop:
				return
			}
		}
		time.Sleep(d)
		e.step(time.Now())
	}
}

// prepare admits jobs to the batch and returns how long the next step takes.
func (e *engine) prepare() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.waiting) > 0 && len(e.running) < engineSlots {
		j := e.waiting[0]
		e.waiting = e.waiting[1:]
		e.begin(j)
		e.running = append(e.running, j)
	}
	d := time.Duration(0)
	if p := e.prefilling(); p != nil {
		d += time.Duration(float64(min(p.left, e.chunk())) / prefillRate * float64(time.Second))
	}
	if n := e.decoding(); n > 0 {
		d += stepBase + time.Duration(n)*stepPerToken
	}
	return d
}

func (e *engine) begin(j *job) {
	if j.begun {
		return
	}
	j.begun = true
	if j.imported {
		return
	}
	hit := int64(0)
	for _, p := range j.pieces {
		if !e.cached[p] {
			break
		}
		hit++
	}
	j.cached = min(hit*pieceTokens, j.prompt)
	j.left = j.prompt - j.cached
	e.prefills += j.left
	e.store(j.pieces)
}

func (e *engine) store(pieces []uint64) {
	for _, p := range pieces {
		if e.cached[p] {
			continue
		}
		e.cached[p] = true
		e.order = append(e.order, p)
		e.events = append(e.events, chatter.CacheEvent{Sequence: uint64(len(e.events)), Piece: p, Stored: true})
		if len(e.order) > cachePieces {
			old := e.order[0]
			e.order = e.order[1:]
			delete(e.cached, old)
			e.events = append(e.events, chatter.CacheEvent{Sequence: uint64(len(e.events)), Piece: old})
		}
	}
}

func (e *engine) prefilling() *job {
	for _, j := range e.running {
		if j.left > 0 {
			return j
		}
	}
	return nil
}

// chunk is how much of a prompt one step computes: a small part beside running answers.
func (e *engine) chunk() int64 {
	if e.decoding() > 0 {
		return prefillChunk
	}
	return pieceTokens
}

func (e *engine) decoding() int {
	n := 0
	for _, j := range e.running {
		if j.left == 0 {
			n++
		}
	}
	return n
}

// step ends a step: one piece of the oldest prompt is computed and each running answer gets a token.
func (e *engine) step(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if computed := e.prefilling(); computed != nil {
		computed.left -= min(computed.left, e.chunk())
	}
	kept := e.running[:0]
	for _, j := range e.running {
		if j.left > 0 || !j.emit(now) {
			kept = append(kept, j)
		}
	}
	e.running = kept
}

// emit adds a token and reports whether the job is finished.
func (j *job) emit(now time.Time) bool {
	if j.prefillOnly {
		j.done <- true
		return true
	}
	if j.emitted == 0 && j.first.IsZero() {
		j.first = now
	} else if now.Sub(j.last) > promisedGap {
		j.late++
	}
	j.last = now
	j.emitted++
	if j.onToken != nil {
		j.onToken()
	}
	if j.emitted < j.output {
		return false
	}
	j.done <- true
	return true
}

// crash fails all jobs and refuses new ones.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = true
	for _, j := range append(e.waiting, e.running...) {
		j.done <- false
	}
	e.waiting, e.running = nil, nil
	e.cached, e.order = map[uint64]bool{}, nil
}

func (e *engine) restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.dead = false
}

func (e *engine) idle() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.waiting)+len(e.running) == 0
}

// load returns the load as it was lag ago.
func (e *engine) load() (chatter.Load, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	queued := int64(0)
	for _, j := range e.running {
		queued += j.left
	}
	for _, j := range e.waiting {
		queued += j.prompt
	}
	current := chatter.Load{
		Running: int64(len(e.running)), Waiting: int64(len(e.waiting)), Slots: engineSlots, Leaving: e.leaving,
		QueuedPrefillMilliseconds: int64(float64(queued) / prefillRate * 1000),
	}
	e.reports = append(e.reports, report{now, current})
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.lag {
		e.reports = e.reports[1:]
	}
	r := e.reports[0]
	r.load.AgeMilliseconds = now.Sub(r.at).Milliseconds()
	return r.load, !e.dead
}

func (e *engine) eventsFrom(from uint64) chatter.CacheEvents {
	e.mu.Lock()
	defer e.mu.Unlock()
	page := chatter.CacheEvents{Next: uint64(len(e.events))}
	if from < page.Next {
		page.Events = append(page.Events, e.events[from:]...)
	}
	return page
}
