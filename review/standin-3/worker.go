package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the time between two entries of a worker in the store.
	heartbeatInterval = 1200 * time.Millisecond
	// workTime is how long a plain request takes.
	workTime = 15 * time.Millisecond
)

// worker is a sound worker of a plain service.
type worker struct {
	site     *site
	id       string
	service  string
	addr     string
	mu       sync.Mutex
	sequence int
	born     int64
	runs     []runRecord
}

// runRecord is a request that a worker has run.
type runRecord struct {
	id, uri, tenant string
}

// addWorker starts a worker, which registers itself.
func (s *site) addWorker(service, id string) (*worker, error) {
	wk := &worker{site: s, id: id, service: service, born: time.Now().UnixMilli()}
	var err error
	if wk.addr, err = s.serve("127.0.0.1:0", wk); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	s.closers = append(s.closers, func() { close(stop) })
	wk.register()
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(heartbeatInterval):
				wk.register()
			}
		}
	}()
	return wk, nil
}

// register writes the worker's entry.
func (wk *worker) register() {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	wk.sequence++
	wk.site.store.put("keyed.servers", wk.id, map[string]any{
		"service": wk.service, "address": wk.addr, "zone": "z-a", "version": "v1", "slots": 6, "state": "ready", "cold_remaining_ms": 0,
		"sequence": wk.sequence, "born": wk.born,
	})
}

// ServeHTTP runs a request.
func (wk *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != wk.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", wk.id)
		return
	}
	run := runRecord{r.Header.Get("X-Request-Id"), r.URL.RequestURI(), r.Header.Get("X-Tenant")}
	wk.mu.Lock()
	wk.runs = append(wk.runs, run)
	wk.mu.Unlock()
	time.Sleep(workTime)
	w.Header().Set("X-Request-Id", run.id)
	w.Header().Set("X-Server-Seal", "seal."+wk.id+"."+run.id)
	fmt.Fprintf(w, "done %s\n", run.id)
}

// ran returns the requests with the given ID that the worker has run.
func (wk *worker) ran(id string) (list []runRecord) {
	wk.mu.Lock()
	defer wk.mu.Unlock()
	for _, run := range wk.runs {
		if run.id == id {
			list = append(list, run)
		}
	}
	return list
}
