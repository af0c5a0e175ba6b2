package imitator

import (
	"io"
	"maps"
	"net/http"
	"sync"
	"time"
)

// Service is a stand-in for a plain service that counts executions per idempotency key.
type Service struct {
	Latency time.Duration

	mu         sync.Mutex
	executions map[string]int
	keysSeen   int
}

// ServiceResponse is the service's response to a call.
type ServiceResponse struct {
	Key       string
	Execution int
	Echo      string
}

// ServiceCounts holds the executions per idempotency key and the number of requests with an Authorization header.
type ServiceCounts struct {
	Executions map[string]int
	KeysSeen   int
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /verdict", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	mux.HandleFunc("/", s.execute)
	return mux
}

// Counts returns the counts so far.
func (s *Service) Counts() ServiceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServiceCounts{Executions: maps.Clone(s.executions), KeysSeen: s.keysSeen}
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	key := r.Header.Get("Idempotency-Key")
	s.mu.Lock()
	if s.executions == nil {
		s.executions = map[string]int{}
	}
	s.executions[key]++
	n := s.executions[key]
	if r.Header.Get("Authorization") != "" {
		s.keysSeen++
	}
	s.mu.Unlock()
	if s.Latency > 0 && !sleep(r, s.Latency) {
		return
	}
	writeJSON(w, ServiceResponse{Key: key, Execution: n, Echo: string(body)})
}
