package relayer_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/journaler"
	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
	"github.com/coltsfootscale/coltsfootscale/internal/relayer"
)

// journal is an in-memory journal that applies each record immediately.
type journal struct {
	fold journaler.Fold
	next int
}

func (j *journal) Ready() bool                             { return true }
func (j *journal) Entry(key string) *recorder.JournalEntry { return j.fold.Entry(key) }
func (j *journal) NewRecord() *recorder.Record {
	j.next++
	return &recorder.Record{ID: strings.Repeat("r", j.next), Writer: "w"}
}

func (j *journal) Commit(_ context.Context, r *recorder.Record) error {
	j.fold.Apply(j.fold.Next(), r)
	return nil
}

// newServiceRelayer returns a relayer that routes /run to a service at an address.
func newServiceRelayer(address string) *relayer.Relayer {
	r := newRelayer()
	state := r.View().State
	state.Inventory.Targets = []*recorder.Target{{ID: "s", Kind: recorder.TargetKind_Service, Service: "s", Address: address}}
	state.Rules.Routes = []*recorder.Route{{Path: "/run", Service: "s"}}
	view := configurator.NewView(state)
	r.View = func() *configurator.View { return view }
	r.Tracker.SetTargets(state.Inventory.Targets)
	r.HTTP = networker.Client(networker.TCP{}, true)
	r.NoKeepAliveHTTP = networker.Client(networker.TCP{}, false)
	r.Journal = &journal{}
	return r
}

// TestRunHeaderMatchesExecution checks that an error is reported as NotRun only if the service did not execute the
// call, and that no call is executed twice. One service executes the call and breaks the connection, another one
// refuses connections.
func TestRunHeaderMatchesExecution(t *testing.T) {
	var executions atomic.Int64
	broken := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		executions.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer broken.Close()
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for name, tc := range map[string]struct {
		address        string
		body           string
		run            refuser.Run
		wantExecutions int64
	}{
		"executed, connection broken":               {broken.Listener.Addr().String(), "x", refuser.Unknown, 1},
		"executed, connection broken, without body": {broken.Listener.Addr().String(), "", refuser.Unknown, 1},
		"no connection":                             {closed.Listener.Addr().String(), "x", refuser.NotRun, 0},
	} {
		for _, key := range []string{"", "k"} {
			executions.Store(0)
			r := newServiceRelayer(tc.address)
			req := httptest.NewRequest(http.MethodPost, "/run", strings.NewReader(tc.body))
			req.Header.Set("Authorization", "Bearer secret")
			if key != "" {
				req.Header.Set("Idempotency-Key", key)
			}
			w := httptest.NewRecorder()
			r.Service(w, req)
			c := quicktest.Commentf("%s, key %q: %s", name, key, w.Body)
			quicktest.Check(t, refuser.Run(w.Header().Get(refuser.RunHeader)), quicktest.Equals, tc.run, c)
			quicktest.Check(t, executions.Load(), quicktest.Equals, tc.wantExecutions, c)
		}
	}
}

// TestReusedConnectionResendsRequest shows why calls that must not run twice use new connections: the transport resends
// a request with an idempotency key and without a body when a reused connection breaks.
func TestReusedConnectionResendsRequest(t *testing.T) {
	for _, tc := range []struct {
		reuse          bool
		wantExecutions int64
	}{{true, 2}, {false, 1}} {
		var executions atomic.Int64
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Method == http.MethodGet {
				return
			}
			executions.Add(1)
			panic(http.ErrAbortHandler)
		}))
		client := networker.Client(networker.TCP{}, tc.reuse)
		resp, err := client.Get(srv.URL)
		quicktest.Assert(t, err, quicktest.IsNil)
		resp.Body.Close()
		req, err := http.NewRequest(http.MethodPost, srv.URL, nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		req.Header.Set("Idempotency-Key", "k")
		_, err = client.Do(req)
		quicktest.Check(t, err, quicktest.IsNotNil)
		quicktest.Check(t, executions.Load(), quicktest.Equals, tc.wantExecutions, quicktest.Commentf("reuse %t", tc.reuse))
		srv.Close()
	}
}
