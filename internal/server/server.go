package server

import (
	"net/http"

	"github.com/coltsfootscale/coltsfootscale/internal/administrator"
	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
	"github.com/coltsfootscale/coltsfootscale/internal/relayer"
	"github.com/coltsfootscale/coltsfootscale/pkg/caller"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Server serves callers and operators; all fields must be set.
type Server struct {
	Relayer         *relayer.Relayer
	Administrator   *administrator.Administrator
	Metrics         http.Handler
	OperatorKeyHash identifier.KeyHash
	// View returns the configuration in force.
	View func() *configurator.View
	// Serving reports whether this instance is a member with a configuration recent enough to serve callers.
	Serving func() bool
	// Addresses returns the entry instances that accept callers, those in the caller's zone first.
	Addresses func(zone identifier.ZoneID) caller.Addresses
	// Usage returns the response to /operator/usage.
	Usage func() any
	// Explain returns the retained decision log lines of a request.
	Explain func(id identifier.RequestID) []string
	// Status returns the response to /operator/status.
	Status func() any
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.Relayer.Chat)
	mux.HandleFunc("GET /addresses", s.addresses)
	mux.HandleFunc("GET /healthz", s.health)
	mux.Handle("GET /metrics", s.Metrics)
	mux.HandleFunc("POST /operator/publish", s.requireOperatorKey(s.publish))
	mux.HandleFunc("POST /operator/keys", s.requireOperatorKey(s.grant))
	mux.HandleFunc("DELETE /operator/keys/{id}", s.requireOperatorKey(s.withdraw))
	mux.HandleFunc("GET /operator/inventory", s.requireOperatorKey(s.inventory))
	mux.HandleFunc("GET /operator/status", s.requireOperatorKey(s.status))
	mux.HandleFunc("GET /operator/usage", s.requireOperatorKey(s.usage))
	mux.HandleFunc("GET /operator/explain/{id}", s.requireOperatorKey(s.explain))
	mux.HandleFunc("/operator/", s.unknownPath)
	mux.HandleFunc("/", s.Relayer.Service)
	return mux
}

func (s *Server) unknownPath(w http.ResponseWriter, r *http.Request) {
	refusal := &refuser.Refusal{Status: http.StatusNotFound, Code: refuser.CodeUnknownRoute, Run: refuser.NotRun, Message: "no operator call " + r.URL.Path}
	refusal.Write(w)
}

func (s *Server) addresses(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, s.Addresses(identifier.ZoneID(r.URL.Query().Get("AvailabilityZone"))))
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if !s.Serving() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	writeJSON(w, struct{ Serving bool }{s.Serving()})
}
