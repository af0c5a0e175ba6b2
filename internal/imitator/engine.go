package imitator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/pkg/caller"
)

// Engine is a stand-in for a model engine. PrefillPerSecond, DecodePerSecond (both in tokens) and Slots must be set.
type Engine struct {
	Model            string
	PrefillPerSecond float64
	DecodePerSecond  float64
	Slots            int
	CacheParts       int
	LoadLag          time.Duration
	ChangeTime       time.Duration
	ChecksFence      bool

	mu            sync.Mutex
	role          string
	running       int
	waiting       int64
	prefillFreeAt time.Time
	cache         partCache
	events        []chatter.CacheEvent
	firstSequence uint64
	loadHistory   []timedLoad
	highestFence  uint64
	lastOrder     chatter.EngineOrder
	firstOrder    chatter.EngineOrder
	changingUntil time.Time
	leaving       bool
	crashed       bool
	crash         chan struct{}
	counts        EngineCounts
	slots         chan struct{}
}

// EngineCounts counts the engine's work and calls that must not occur, such as conflicting orders.
type EngineCounts struct {
	Started           int
	Finished          int
	Cut               int
	KeysSeen          int
	StartedLeaving    int
	Orders            int
	StaleOrders       int
	ConflictingOrders int
	PrefilledTokens   int64
	CachedTokens      int64
}

type timedLoad struct {
	at   time.Time
	load chatter.Load
}

const maximumCacheEvents = 1024

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.complete)
	mux.HandleFunc("POST /kv/prefill", e.prefillOnly)
	mux.HandleFunc("GET /addresses", e.addresses)
	mux.HandleFunc("GET /control/load", e.load)
	mux.HandleFunc("GET /control/cache-events", e.cacheEvents)
	mux.HandleFunc("GET /control/state", e.state)
	mux.HandleFunc("POST /control/order", e.order)
	mux.HandleFunc("POST /control/leave", e.leave)
	mux.HandleFunc("POST /fault/crash", func(w http.ResponseWriter, _ *http.Request) { e.Crash(); writeJSON(w, struct{}{}) })
	mux.HandleFunc("POST /fault/restart", func(w http.ResponseWriter, _ *http.Request) { e.Restart(); writeJSON(w, struct{}{}) })
	mux.HandleFunc("GET /verdict", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Counts()) })
	return mux
}

// Counts returns the counts so far.
func (e *Engine) Counts() EngineCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Crash aborts all requests and empties the cache; until Restart, new requests are aborted too.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = true
	close(e.crashSignal())
	e.crash = nil
	e.cache = partCache{}
}

// Restart ends a crash; the engine starts with an empty cache and is not leaving.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
	e.leaving = false
}

// Leave marks the engine as leaving; requests that arrive afterwards are served and counted in StartedLeaving.
func (e *Engine) Leave() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// crashSignal returns the channel that the next crash closes; the caller holds the lock.
func (e *Engine) crashSignal() chan struct{} {
	if e.crash == nil {
		e.crash = make(chan struct{})
	}
	return e.crash
}

// start counts a request and returns the channel that a crash closes. It refuses the request and returns false during a
// role or model change.
func (e *Engine) start(w http.ResponseWriter, r *http.Request) (<-chan struct{}, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		abort(w)
	}
	if time.Now().Before(e.changingUntil) {
		http.Error(w, "role change in progress", http.StatusServiceUnavailable)
		return nil, false
	}
	e.counts.Started++
	if e.leaving {
		e.counts.StartedLeaving++
	}
	if r.Header.Get("Authorization") != "" {
		e.counts.KeysSeen++
	}
	if e.slots == nil {
		e.slots = make(chan struct{}, e.Slots)
	}
	return e.crashSignal(), true
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	var req chatter.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	crash, ok := e.start(w, r)
	if !ok {
		return
	}
	finished := false
	defer func() { e.countEnd(finished) }()
	if !e.acquireSlot(r, crash) {
		abort(w)
	}
	defer e.releaseSlot()
	if !e.prefill(r, crash, req) {
		abort(w)
	}
	if req.Stream {
		finished = e.stream(w, r, crash, req)
		return
	}
	finished = e.respond(w, r, crash, req)
}

func (e *Engine) countEnd(finished bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if finished {
		e.counts.Finished++
		return
	}
	e.counts.Cut++
}

// acquireSlot waits for a free slot and returns false if the engine crashes or the client leaves first.
func (e *Engine) acquireSlot(r *http.Request, crash <-chan struct{}) bool {
	e.mu.Lock()
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.slots <- struct{}{}:
	case <-crash:
		return false
	case <-r.Context().Done():
		return false
	}
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	return true
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	<-e.slots
}

// prefill waits until the uncached tokens of the prompt are prefilled. The engine prefills one prompt at a time.
func (e *Engine) prefill(r *http.Request, crash <-chan struct{}, req chatter.Request) bool {
	tokens := req.PromptTokens()
	parts := req.PartHashes()
	e.mu.Lock()
	cached := min(tokens, e.cache.cachedPrefix(parts)*chatter.PartTokens)
	if r.Header.Get(chatter.HandleHeader) != "" {
		cached = tokens
	}
	e.addToCache(parts)
	e.counts.CachedTokens += cached
	e.counts.PrefilledTokens += tokens - cached
	now := time.Now()
	if e.prefillFreeAt.Before(now) {
		e.prefillFreeAt = now
	}
	e.prefillFreeAt = e.prefillFreeAt.Add(time.Duration(float64(tokens-cached) / e.PrefillPerSecond * float64(time.Second)))
	wait := e.prefillFreeAt.Sub(now)
	e.mu.Unlock()
	return e.wait(r, crash, wait)
}

func (e *Engine) addToCache(parts []uint64) {
	for _, event := range e.cache.add(parts, e.CacheParts) {
		event.Sequence = e.firstSequence + uint64(len(e.events))
		e.events = append(e.events, event)
	}
	if over := len(e.events) - maximumCacheEvents; over > 0 {
		e.events = e.events[over:]
		e.firstSequence += uint64(over)
	}
}

func (e *Engine) wait(r *http.Request, crash <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-crash:
		return false
	case <-r.Context().Done():
		return false
	}
}

func (e *Engine) decodeInterval() time.Duration {
	return time.Duration(float64(time.Second) / e.DecodePerSecond)
}

// Token returns the text of the n-th output token, counted from 1. It depends only on the prompt and n.
func Token(req chatter.Request, n int64) string {
	return "t" + strconv.FormatUint(xxhash.Sum64String(req.Prompt()+strconv.FormatInt(n, 10))%100_000, 10) + " "
}

func (e *Engine) stream(w http.ResponseWriter, r *http.Request, crash <-chan struct{}, req chatter.Request) bool {
	id := r.Header.Get(chatter.RequestIDHeader)
	received, _ := strconv.ParseInt(r.Header.Get(chatter.ResumeHeader), 10, 64)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(chatter.RequestIDHeader, id)
	w.WriteHeader(http.StatusOK)
	flush(w)
	total := req.OutputLimit()
	for n := received + 1; n <= total; n++ {
		if !e.wait(r, crash, e.decodeInterval()) {
			abort(w)
		}
		chunk := chatter.NewChunk(id, req.Model, Token(req, n))
		if err := chatter.WriteEvent(w, n, chunk); err != nil {
			return false
		}
		flush(w)
	}
	chatter.WriteEvent(w, total, chatter.NewFinalChunk(id, req.Model, req.PromptTokens(), total))
	chatter.WriteDone(w)
	flush(w)
	return true
}

func (e *Engine) respond(w http.ResponseWriter, r *http.Request, crash <-chan struct{}, req chatter.Request) bool {
	id := r.Header.Get(chatter.RequestIDHeader)
	total := req.OutputLimit()
	text := ""
	for n := int64(1); n <= total; n++ {
		text += Token(req, n)
	}
	if !e.wait(r, crash, time.Duration(total)*e.decodeInterval()) {
		abort(w)
	}
	w.Header().Set(chatter.RequestIDHeader, id)
	writeJSON(w, chatter.NewCompletion(id, req.Model, text, req.PromptTokens(), total))
	return true
}

// prefillOnly prefills a prompt and responds with the handle by which another engine imports its KV cache.
func (e *Engine) prefillOnly(w http.ResponseWriter, r *http.Request) {
	var req chatter.Request
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	crash, ok := e.start(w, r)
	if !ok {
		return
	}
	if !e.prefill(r, crash, req) {
		e.countEnd(false)
		abort(w)
	}
	e.countEnd(true)
	writeJSON(w, chatter.Transfer{Handle: fmt.Sprintf("%s/kv/%s", r.Host, r.Header.Get(chatter.RequestIDHeader))})
}

// addresses responds as an entry instance does, so that load can be sent to the engine directly for comparison.
func (e *Engine) addresses(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, caller.Addresses{Addresses: []caller.Address{{Address: r.Host}}, LifetimeMilliseconds: time.Minute.Milliseconds()})
}

// abort closes the connection without completing the response.
func abort(http.ResponseWriter) { panic(http.ErrAbortHandler) }

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
