package runner_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
)

func TestWholePath(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		c := quicktest.New(t)
		s.startEntries("entry-a", "entry-b", "entry-c")
		status, body := s.grant("entry-b", "k1", "tabline", "secret")
		c.Assert(status, quicktest.Equals, http.StatusOK, quicktest.Commentf(body))

		for _, name := range []string{"entry-a", "entry-b", "entry-c"} {
			for _, stream := range []bool{true, false} {
				req := prompt("tab of table 7 at "+name, 20, stream)
				status, text, complete := s.chat(name, "secret", req)
				c.Assert(status, quicktest.Equals, http.StatusOK, quicktest.Commentf(text))
				c.Check(complete, quicktest.IsTrue)
				c.Check(text, quicktest.Equals, expectedText(req))
			}
		}

		status, body = s.withdraw("entry-c", "k1")
		c.Assert(status, quicktest.Equals, http.StatusOK, quicktest.Commentf(body))
		for _, name := range []string{"entry-a", "entry-b", "entry-c"} {
			status, text, _ := s.chat(name, "secret", prompt("again", 1, true))
			c.Check(status, quicktest.Equals, http.StatusUnauthorized)
			c.Check(text, quicktest.Contains, `"Run":"NotRun"`)
		}
		time.Sleep(25 * time.Second)
		sum, windows := s.reportedUsage()
		c.Check(windows >= 2, quicktest.IsTrue)
		c.Check(sum["tabline"].Requests, quicktest.Equals, int64(6))
		c.Check(sum["tabline"].OutputTokens, quicktest.Equals, int64(120))
	})
}

func TestRefusals(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		s.startEntries("entry-a")
		s.grant("entry-a", "k1", "tabline", "secret")
		for name, tc := range map[string]struct {
			method, path, key string
			body              any
			status            int
			code              refuser.Code
		}{
			"no key":          {http.MethodPost, "/v1/chat/completions", "", prompt("x", 1, true), http.StatusUnauthorized, refuser.CodeUnauthorized},
			"wrong key":       {http.MethodPost, "/v1/chat/completions", "other", prompt("x", 1, true), http.StatusUnauthorized, refuser.CodeUnauthorized},
			"not JSON":        {http.MethodPost, "/v1/chat/completions", "secret", []byte("{"), http.StatusBadRequest, refuser.CodeMalformed},
			"no messages":     {http.MethodPost, "/v1/chat/completions", "secret", []byte(`{"model":"menu-7b"}`), http.StatusBadRequest, refuser.CodeMalformed},
			"negative limit":  {http.MethodPost, "/v1/chat/completions", "secret", prompt("x", -1, true), http.StatusBadRequest, refuser.CodeMalformed},
			"unknown model":   {http.MethodPost, "/v1/chat/completions", "secret", []byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`), http.StatusNotFound, refuser.CodeUnknownModel},
			"too large":       {http.MethodPost, "/v1/chat/completions", "secret", []byte(strings.Repeat("x", 9<<20)), http.StatusRequestEntityTooLarge, refuser.CodeTooLarge},
			"unknown route":   {http.MethodPost, "/nowhere", "secret", nil, http.StatusNotFound, refuser.CodeUnknownRoute},
			"other team":      {http.MethodPost, "/private", "secret", nil, http.StatusForbidden, refuser.CodeForbidden},
			"not an operator": {http.MethodGet, "/operator/status", "secret", nil, http.StatusUnauthorized, refuser.CodeUnauthorized},
			"open route":      {http.MethodGet, "/status", "", nil, http.StatusOK, ""},
		} {
			status, header, body := s.roundTrip("entry-a", tc.method, tc.path, tc.key, nil, tc.body)
			quicktest.Check(t, status, quicktest.Equals, tc.status, quicktest.Commentf("%s: %s", name, body))
			if tc.code != "" {
				quicktest.Check(t, body, quicktest.Contains, `"code":"`+string(tc.code)+`"`, quicktest.Commentf(name))
				quicktest.Check(t, header.Get(refuser.RunHeader), quicktest.Equals, string(refuser.NotRun), quicktest.Commentf(name))
			}
		}
	})
}

func TestInvalidPublishChangesNothing(t *testing.T) {
	inBubble(t, func(t *testing.T, s *site) {
		c := quicktest.New(t)
		s.startEntries("entry-a")
		status, body := s.callOperator("entry-a", http.MethodPost, "/publish", map[string]any{"BaseVersion": 1, "Inventory": inventoryText + "[Target x]\nKind = Boat\n", "Rules": rulesText})
		c.Check(status, quicktest.Equals, http.StatusUnprocessableEntity)
		c.Check(body, quicktest.Contains, "[Target x] Kind")
		_, inventory := s.callOperator("entry-a", http.MethodGet, "/inventory", nil)
		c.Check(inventory, quicktest.Contains, `"Version":1`)
	})
}
