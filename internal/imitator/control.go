package imitator

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
)

// load answers with the engine's load as it was LoadLag ago.
func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.crashed {
		abort(w)
	}
	now := time.Now()
	current := chatter.Load{Running: int64(e.running), Waiting: e.waiting, Slots: int64(e.Slots), Leaving: e.leaving}
	if e.prefillFree.After(now) {
		current.QueuedPrefillMilliseconds = e.prefillFree.Sub(now).Milliseconds()
	}
	e.reports = append(e.reports, timedLoad{at: now, load: current})
	reported := e.reports[0]
	for len(e.reports) > 1 && now.Sub(e.reports[1].at) >= e.LoadLag {
		e.reports = e.reports[1:]
		reported = e.reports[0]
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
	page := chatter.CacheEvents{Next: e.firstEvent + uint64(len(e.events))}
	from = max(from, e.firstEvent)
	if from < page.Next {
		page.Events = append(page.Events, e.events[from-e.firstEvent:]...)
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
		Changing:  time.Now().Before(e.changingTill),
		Running:   int64(e.running) + e.waiting,
	}
}

// order carries out a role or model order; only an engine that checks refuses an old fencing number.
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
	if o.Fence < e.fence {
		e.counts.StaleOrders++
		if e.ChecksFence {
			http.Error(w, "stale fencing number", http.StatusConflict)
			return
		}
	}
	e.fence = max(e.fence, o.Fence)
	if o.OrderID == "" {
		writeJSON(w, e.currentState())
		return
	}
	if e.conflicts(o) {
		e.counts.ConflictingOrders++
	}
	if o.OrderID != e.lastOrder.OrderID {
		e.lastOrder = o
		e.carryOut(o)
	}
	if e.firstOrder.OrderID == "" {
		e.firstOrder = o
	}
	writeJSON(w, e.currentState())
}

// conflicts reports whether an order contradicts one that may still be under way.
func (e *Engine) conflicts(o chatter.EngineOrder) bool {
	differs := func(a chatter.EngineOrder) bool { return a.Role != o.Role || a.Model != o.Model }
	if o.OrderID == e.lastOrder.OrderID {
		return differs(e.lastOrder)
	}
	if !e.ChecksFence {
		return e.firstOrder.OrderID != "" && differs(e.firstOrder)
	}
	return time.Now().Before(e.changingTill) && differs(e.lastOrder)
}

func (e *Engine) carryOut(o chatter.EngineOrder) {
	if o.Role == e.role && (o.Model == "" || o.Model == e.Model) {
		return
	}
	e.role = o.Role
	if o.Model != "" && o.Model != e.Model {
		e.Model = o.Model
		e.cache = pieceCache{}
	}
	e.changingTill = time.Now().Add(e.ChangeTime)
}

func (e *Engine) leave(w http.ResponseWriter, _ *http.Request) {
	e.Leave()
	writeJSON(w, struct{}{})
}
