package imitator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
)

// load responds with the engine's load as it was LoadLag ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		abort(w)
	}
	now := time.Now()
	current := chatter.Load{Running: int64(e.running), Waiting: e.waiting, Slots: int64(e.Slots), Leaving: e.leaving}
	if e.prefillFreeAt.After(now) {
		current.QueuedPrefillMilliseconds = e.prefillFreeAt.Sub(now).Milliseconds()
	}
	e.loadHistory = append(e.loadHistory, timedLoad{at: now, load: current})
	reported := e.loadHistory[0]
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) >= e.LoadLag {
		e.loadHistory = e.loadHistory[1:]
		reported = e.loadHistory[0]
	}
	reported.load.AgeMilliseconds = now.Sub(reported.at).Milliseconds()
	writeJSON(w, reported.load)
}

func (e *Engine) cacheEvents(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("From"), 10, 64)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		abort(w)
	}
	page := chatter.CacheEvents{Next: e.firstSequence + uint64(len(e.events))}
	from = max(from, e.firstSequence)
	if from < page.Next {
		page.Events = append(page.Events, e.events[from-e.firstSequence:]...)
	}
	writeJSON(w, page)
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		abort(w)
	}
	writeJSON(w, e.currentState())
}

func (e *Engine) currentState() chatter.EngineState {
	return chatter.EngineState{
		Role:      e.role,
		Model:     e.Model,
		LastOrder: e.lastOrder.OrderID,
		Changing:  time.Now().Before(e.changingUntil),
		Running:   int64(e.running) + e.waiting,
	}
}

// order applies a role or model order. An order with a stale fencing number is refused only if ChecksFence is set; an
// order without an ID only raises the fencing number.
func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	var o chatter.EngineOrder
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		abort(w)
	}
	e.counts.Orders++
	if o.Fence < e.highestFence {
		e.counts.StaleOrders++
		if e.ChecksFence {
			http.Error(w, "stale fencing number", http.StatusConflict)
			return
		}
	}
	e.highestFence = max(e.highestFence, o.Fence)
	if o.OrderID == "" {
		writeJSON(w, e.currentState())
		return
	}
	if e.conflicts(o) {
		e.counts.ConflictingOrders++
	}
	if o.OrderID != e.lastOrder.OrderID {
		e.lastOrder = o
		e.applyOrder(o)
	}
	if e.firstOrder.OrderID == "" {
		e.firstOrder = o
	}
	writeJSON(w, e.currentState())
}

// conflicts reports whether an order contradicts an earlier one that may still be in progress.
func (e *Engine) conflicts(o chatter.EngineOrder) bool {
	differs := func(a chatter.EngineOrder) bool { return a.Role != o.Role || a.Model != o.Model }
	if o.OrderID == e.lastOrder.OrderID {
		return differs(e.lastOrder)
	}
	if !e.ChecksFence {
		return e.firstOrder.OrderID != "" && differs(e.firstOrder)
	}
	return time.Now().Before(e.changingUntil) && differs(e.lastOrder)
}

func (e *Engine) applyOrder(o chatter.EngineOrder) {
	if o.Role == e.role && (o.Model == "" || o.Model == e.Model) {
		return
	}
	e.role = o.Role
	if o.Model != "" && o.Model != e.Model {
		e.Model = o.Model
		e.cache = partCache{}
	}
	e.changingUntil = time.Now().Add(e.ChangeTime)
}

func (e *Engine) leave(w http.ResponseWriter, _ *http.Request) {
	e.Leave()
	writeJSON(w, struct{}{})
}
