package main

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "site.example"

var lastRequest atomic.Int64

// answer is what a client got.
type answer struct {
	id     string
	status int
	err    error
}

// String shows the answer in the record.
func (a answer) String() string {
	if a.err != nil {
		return a.err.Error()
	}
	return fmt.Sprint(a.status)
}

// newClient returns a client that keeps its connections.
func newClient() *http.Client {
	return &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 4, DisableCompression: true}}
}

// get sends a safe request with a key to an instance.
func get(client *http.Client, e *entry, path, key string) answer {
	a := answer{id: fmt.Sprintf("r%08x", lastRequest.Add(1))}
	req, err := http.NewRequest(http.MethodGet, "http://"+e.addr("front")+path, nil)
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", "1500")
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	res, err := client.Do(req)
	if err != nil {
		a.err = err
		return a
	}
	defer res.Body.Close()
	if _, a.err = io.Copy(io.Discard, res.Body); a.err == nil {
		a.status = res.StatusCode
	}
	return a
}

// config returns a configuration with one plain safe route.
func config(version int, tenants []any) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "balance", "host": host, "path_prefix": "/balance/", "kind": "safe", "timeout_ms": 800, "target_latency_ms": 100,
			"priority": 2, "service": "core", "attempts": 2,
		}},
		"services": []any{map[string]any{"name": "core", "health_path": "/health", "connection_limit": 110}},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  tenants,
	}
}

// tenant returns a tenant with its keys.
func tenant(name string, keys ...string) map[string]any {
	return map[string]any{"name": name, "api_keys": keys}
}
