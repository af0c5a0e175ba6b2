package forwarder_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// TestFirstRequestsWaitForTheConfiguration guards against requests that are refused because they arrive in the moment between the start of
// an instance and its first configuration, and against requests that wait for it for most of their time.
func TestFirstRequestsWaitForTheConfiguration(t *testing.T) {
	for name, tc := range map[string]struct {
		readyAfter, deadline, waits time.Duration
		status                      int
	}{
		"ready at once":             {0, 3 * time.Second, 0, 200},
		"ready soon":                {300 * time.Millisecond, 3 * time.Second, 300 * time.Millisecond, 200},
		"ready late":                {5 * time.Second, 6 * time.Second, time.Second, 503},
		"a client in a hurry":       {5 * time.Second, 600 * time.Millisecond, 200 * time.Millisecond, 503},
		"a client without deadline": {5 * time.Second, 0, time.Second, 503},
	} {
		synctest.Test(t, func(t *testing.T) {
			began := time.Now()
			f := stageForwarder(&refusingBackend{attempts: map[identifier.TargetID]int{}}, &chooser.TargetStates{}, nil)
			table := f.Table()
			f.Starting = func() bool { return time.Since(began) < tc.readyAfter }
			f.Table = func() *matcher.Table {
				if f.Starting() {
					return nil
				}
				return table
			}
			w := httptest.NewRecorder()
			f.Serve(context.Background(), w, &forwarder.Call{ID: "r", Host: "h", Path: "/p/x", Key: "key", Deadline: tc.deadline})
			quicktest.Check(t, w.Code, quicktest.Equals, tc.status, quicktest.Commentf(name))
			quicktest.Check(t, time.Since(began), quicktest.Equals, tc.waits, quicktest.Commentf(name))
		})
	}
}
