package commander_test

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/commander"
)

func run(t *testing.T, args ...string) (code int, stderr string) {
	var out, errs bytes.Buffer
	code = commander.Run(args, &commander.Environment{Stdout: &out, Stderr: &errs, Stop: t.Context()})
	return code, errs.String()
}

// TestChangesGoToOneEntry lets the first entry take a command and cut the connection, or be gone.
func TestChangesGoToOneEntry(t *testing.T) {
	key := filepath.Join(t.TempDir(), "operator.key")
	quicktest.Assert(t, os.WriteFile(key, []byte("k"), 0o600), quicktest.IsNil)
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	gone := httptest.NewServer(http.NotFoundHandler())
	gone.Close()
	var reached atomic.Int64
	second := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reached.Add(1)
		fmt.Fprint(w, "{}")
	}))
	defer second.Close()
	for name, tc := range map[string]struct {
		command []string
		first   string
		code    int
		reached int64
	}{
		"change, cut":   {[]string{"key", "withdraw", "--ID", "x"}, cut.URL, commander.ExitUnreachable, 0},
		"change, gone":  {[]string{"key", "withdraw", "--ID", "x"}, gone.URL, commander.ExitDone, 1},
		"query, cut":    {[]string{"usage"}, cut.URL, commander.ExitDone, 1},
		"no such entry": {[]string{"usage"}, "nowhere", commander.ExitUsage, 0},
	} {
		reached.Store(0)
		code, stderr := run(t, append(tc.command, "--Entry", tc.first, "--Entry", second.URL, "--OperatorKeyFile", key)...)
		quicktest.Check(t, code, quicktest.Equals, tc.code, quicktest.Commentf("%s: %s", name, stderr))
		quicktest.Check(t, reached.Load(), quicktest.Equals, tc.reached, quicktest.Commentf(name))
	}
}
