package server

import (
	"net/http"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// InventoryResponse is the configuration in force. It has the team of each key ID, but no key hashes.
type InventoryResponse struct {
	Version   identifier.Version
	Inventory *recorder.Inventory
	Rules     *recorder.Rules
	Keys      map[identifier.KeyID]identifier.TeamID
}

func (s *Server) inventory(w http.ResponseWriter, _ *http.Request) {
	state := s.View().State
	response := InventoryResponse{
		Version:   identifier.Version(state.GetVersion()),
		Inventory: state.GetInventory(),
		Rules:     state.GetRules(),
		Keys:      map[identifier.KeyID]identifier.TeamID{},
	}
	for _, k := range state.GetKeys() {
		response.Keys[identifier.KeyID(k.ID)] = identifier.TeamID(k.Team)
	}
	writeJSON(w, response)
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Status()) }

func (s *Server) usage(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Usage()) }

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	lines := s.Explain(identifier.RequestID(r.PathValue("id")))
	if len(lines) == 0 {
		refusal := &refuser.Refusal{Status: http.StatusNotFound, Code: refuser.CodeUnknownRequest, Run: refuser.NotRun, Message: "this instance keeps no decision for that request"}
		refusal.Write(w)
		return
	}
	writeJSON(w, struct{ Decisions []string }{lines})
}
