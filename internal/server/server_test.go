package server_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/relayer"
	"github.com/coltsfootscale/coltsfootscale/internal/server"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// TestOperatorCommandsNeedAKey guards against commands that anybody may run because the hash in the settings is that of an empty key.
func TestOperatorCommandsNeedAKey(t *testing.T) {
	for key, hash := range map[string]identifier.KeyHash{"empty": identifier.HashKey(""), "none": ""} {
		s := &server.Server{OperatorKeyHash: hash, Relayer: &relayer.Relayer{}, Metrics: http.NotFoundHandler(), Status: func() any { return nil }}
		for _, authorization := range []string{"", "Bearer ", "Bearer x", "x"} {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodGet, "/operator/status", nil)
			if authorization != "" {
				r.Header.Set("Authorization", authorization)
			}
			s.Handler().ServeHTTP(w, r)
			quicktest.Check(t, w.Code, quicktest.Equals, http.StatusUnauthorized, quicktest.Commentf("%s, %q", key, authorization))
		}
	}
	s := &server.Server{OperatorKeyHash: identifier.HashKey("x"), Relayer: &relayer.Relayer{}, Metrics: http.NotFoundHandler(), Status: func() any { return nil }}
	w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/operator/status", nil)
	r.Header.Set("Authorization", "Bearer x")
	s.Handler().ServeHTTP(w, r)
	quicktest.Check(t, w.Code, quicktest.Equals, http.StatusOK)
}

// TestPublishNeedsRules guards against a command without rules that opens the targets reserved for a team to all others.
func TestPublishNeedsRules(t *testing.T) {
	const inventory = `"BaseVersion":1,"Inventory":"[AvailabilityZone a]\nRegion = r\n[Target t]\nAddress = 1.2.3.4:5\nAvailabilityZone = a\nModel = m\n"`
	s := &server.Server{OperatorKeyHash: identifier.HashKey("x"), Relayer: &relayer.Relayer{}, Metrics: http.NotFoundHandler()}
	for _, body := range []string{"{" + inventory + "}", "{" + inventory + `,"Rules":null}`} {
		w, r := httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/operator/publish", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer x")
		s.Handler().ServeHTTP(w, r)
		quicktest.Check(t, w.Code, quicktest.Equals, http.StatusUnprocessableEntity, quicktest.Commentf(body))
		quicktest.Check(t, w.Body.String(), quicktest.Contains, "Rules", quicktest.Commentf(body))
	}
}
