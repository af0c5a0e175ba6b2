package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// headerFrom names the instance to which a consumer sent a request; instances forward it like any other header.
const headerFrom = "X-Sent-To"

// arrival is a request that reached a worker.
type arrival struct {
	at       time.Time
	id, from string
}

// worker is a worker of a plain service. It answers each request with its receipt.
type worker struct {
	id  string
	lis net.Listener
	srv http.Server

	record func(format string, args ...any)

	mu       sync.Mutex
	arrivals []arrival
}

func startWorker(id string, record func(format string, args ...any)) (*worker, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, lis: lis, record: record}
	w.srv.Handler = w
	go w.srv.Serve(lis)
	return w, nil
}

// entry returns what the worker writes of itself in the store.
func (w *worker) entry(started time.Time) string {
	return fmt.Sprintf(`{"service":"app","address":%q,"zone":"zone-1","version":"v1","slots":6,"state":"ready","cold_remaining_ms":0,"sequence":1,"born":%d}`,
		w.lis.Addr().String(), started.UnixMilli())
}

// ServeHTTP runs a request.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	h := rw.Header()
	if expected := r.Header.Get("X-Expected-Instance"); expected != "" && expected != w.id {
		h.Set("X-Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.mu.Lock()
	w.arrivals = append(w.arrivals, arrival{time.Now(), id, r.Header.Get(headerFrom)})
	w.mu.Unlock()
	w.record(" %s runs %s", w.id, id)
	time.Sleep(runTime)
	h.Set("X-Request-Id", id)
	h.Set("X-Server-Seal", w.id+"."+id)
	io.WriteString(rw, "done\n")
}

// runTime is how long a worker takes for a request.
const runTime = 5 * time.Millisecond

// report is a usage report that the platform accepted.
type report struct {
	At     time.Time      `json:"at"`
	Window int64          `json:"window"`
	Counts map[string]int `json:"counts"`
	Holder string         `json:"holder"`
	Fence  string         `json:"fence"`
}

// cloud is the platform's interface for duties. It checks generation numbers.
type cloud struct {
	mu      sync.Mutex
	highest uint64
	reports []report
	refused int
}

// ServeHTTP takes a usage report.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil || r.URL.Path != "/usage" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	rep := report{At: time.Now(), Holder: r.Header.Get("X-Duty-Holder"), Fence: r.Header.Get("X-Fencing-Token")}
	fence := uint64(0)
	if _, err := fmt.Sscan(rep.Fence, &fence); err != nil || json.Unmarshal(body, &rep) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if fence < c.highest {
		c.refused++
		w.WriteHeader(http.StatusConflict)
		return
	}
	c.highest = fence
	c.reports = append(c.reports, rep)
}

// all returns the accepted reports.
func (c *cloud) all() []report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]report(nil), c.reports...)
}

// load sends requests of two tenants to one instance until ctx ends.
func load(ctx context.Context, e *entry, pause time.Duration, record func(format string, args ...any)) {
	prefix := e.id + "-" + strconv.FormatUint(rand.Uint64(), 36)
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{}}
	for n := 0; ctx.Err() == nil; n++ {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.listen+"/apply/step", bytes.NewReader([]byte("step")))
		if err != nil {
			return
		}
		req.Host = "h.example"
		id := fmt.Sprintf("%s-%d", prefix, n)
		req.Header.Set("X-Request-Id", id)
		req.Header.Set(headerFrom, e.id)
		req.Header.Set("X-Deadline-Ms", "1500")
		req.Header.Set("Authorization", fmt.Sprintf("Bearer key-%d", rand.IntN(2)))
		record(" %s is sent to %s", id, e.id)
		res, err := client.Do(req)
		if err != nil {
			record(" %s is not answered", id)
		} else {
			io.Copy(io.Discard, res.Body)
			res.Body.Close()
			record(" %s is answered %d", id, res.StatusCode)
		}
		time.Sleep(pause/2 + rand.N(pause))
	}
}

// configText is the operator's configuration.
const configText = `{"version":3,"limits":{"header_bytes":16384,"body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"routes":[{"name":"apply","host":"h.example","path_prefix":"/apply/","kind":"unsafe","timeout_ms":800,"target_latency_ms":100,"priority":2,"service":"app","attempts":1}],
"services":[{"name":"app","health_path":"/health","connection_limit":96}],
"tenants":[{"name":"bank","api_keys":["key-0"]},{"name":"telecom","api_keys":["key-1"]}]}`
