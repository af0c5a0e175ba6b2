package server

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/parser"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	changeTimeout       = 8 * time.Second
	maximumCommandBytes = 16 << 20
	commandRetryAfter   = 2 * time.Second
)

// PublishRequest publishes an inventory and rules in INI form; BaseVersion is the version that they replace.
type PublishRequest struct {
	BaseVersion identifier.Version
	Inventory   string
	// Rules must be given, even if they are empty: without rules no target is reserved for a team.
	Rules *string
}

// GrantRequest grants the key with the given hash to a team.
type GrantRequest struct {
	ID   identifier.KeyID
	Hash identifier.KeyHash
	Team identifier.TeamID
}

// ChangeResponse reports a change that is in force everywhere.
type ChangeResponse struct {
	Offset              identifier.Offset
	Version             identifier.Version
	InForceMilliseconds int64
}

// requireOperatorKey rejects requests without the operator key.
func (s *Server) requireOperatorKey(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		hash := identifier.HashKey(key)
		if key == "" || subtle.ConstantTimeCompare([]byte(hash), []byte(s.OperatorKeyHash)) != 1 {
			refusal := &refuser.Refusal{Status: http.StatusUnauthorized, Code: refuser.CodeUnauthorized, Run: refuser.NotRun, Message: "not the operators' key"}
			refusal.Write(w)
			return
		}
		h(w, r)
	}
}

func (s *Server) publish(w http.ResponseWriter, r *http.Request) {
	var in PublishRequest
	if !decodeBody(w, r, &in) {
		return
	}
	if in.Rules == nil {
		writeInvalid(w, fmt.Errorf("%w: the member Rules is missing", parser.ErrInvalid))
		return
	}
	inventory, err := parser.ParseInventory("inventory", []byte(in.Inventory))
	if err != nil {
		writeInvalid(w, err)
		return
	}
	rules, err := parser.ParseRules("rules", []byte(*in.Rules), inventory)
	if err != nil {
		writeInvalid(w, err)
		return
	}
	record := s.Administrator.Config.NewRecord()
	record.Body = &recorder.Record_Publish{Publish: &recorder.Publish{BaseVersion: uint64(in.BaseVersion), Inventory: inventory, Rules: rules}}
	s.change(w, r, record)
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var in GrantRequest
	if !decodeBody(w, r, &in) {
		return
	}
	if !s.hasTeam(in.Team) {
		writeInvalid(w, fmt.Errorf("%w: team %q is not in the inventory", parser.ErrInvalid, in.Team))
		return
	}
	record := s.Administrator.Config.NewRecord()
	record.Body = &recorder.Record_KeyGrant{KeyGrant: &recorder.KeyGrant{Key: &recorder.Key{ID: string(in.ID), Hash: string(in.Hash), Team: string(in.Team)}}}
	s.change(w, r, record)
}

func (s *Server) hasTeam(id identifier.TeamID) bool {
	for _, t := range s.View().State.GetInventory().GetTeams() {
		if t.ID == string(id) {
			return true
		}
	}
	return false
}

func (s *Server) withdraw(w http.ResponseWriter, r *http.Request) {
	record := s.Administrator.Config.NewRecord()
	record.Body = &recorder.Record_KeyWithdraw{KeyWithdraw: &recorder.KeyWithdraw{ID: r.PathValue("id")}}
	s.change(w, r, record)
}

// change appends a record and responds once it is in force everywhere. The Run field of an error says whether the
// change may have taken effect.
func (s *Server) change(w http.ResponseWriter, r *http.Request, record *recorder.Record) {
	ctx, cancel := context.WithTimeout(r.Context(), changeTimeout)
	defer cancel()
	started := time.Now()
	offset, err := s.Administrator.Change(ctx, record)
	refusal := &refuser.Refusal{Status: http.StatusServiceUnavailable, Code: refuser.CodeNotConfirmed, Run: refuser.Unknown, RetryAfter: commandRetryAfter}
	switch {
	case err == nil:
		version := identifier.Version(s.View().State.GetVersion())
		writeJSON(w, ChangeResponse{Offset: offset, Version: version, InForceMilliseconds: time.Since(started).Milliseconds()})
		return
	case errors.Is(err, configurator.ErrConflict):
		refusal.Status, refusal.Code, refusal.Run, refusal.RetryAfter = http.StatusConflict, refuser.CodeConflict, refuser.NotRun, 0
	case errors.Is(err, provider.ErrRefused):
		refusal.Run = refuser.NotRun
	}
	refusal.Message = err.Error()
	refusal.Write(w)
}

// decodeBody decodes the request body into in. If that fails, it writes an error response and returns false.
func decodeBody(w http.ResponseWriter, r *http.Request, in any) bool {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maximumCommandBytes))
	if err == nil {
		err = json.Unmarshal(data, in)
	}
	if err != nil {
		refusal := &refuser.Refusal{Status: http.StatusBadRequest, Code: refuser.CodeMalformed, Run: refuser.NotRun, Message: err.Error()}
		refusal.Write(w)
		return false
	}
	return true
}

func writeInvalid(w http.ResponseWriter, err error) {
	refusal := &refuser.Refusal{Status: http.StatusUnprocessableEntity, Code: refuser.CodeInvalid, Run: refuser.NotRun, Message: err.Error()}
	refusal.Write(w)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(v)
}
