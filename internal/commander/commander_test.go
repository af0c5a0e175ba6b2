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
	code, _, stderr = runAll(t, args...)
	return code, stderr
}

func runAll(t *testing.T, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = commander.Run(args, &commander.Environment{Stdout: &out, Stderr: &errs, Stop: t.Context()})
	return code, out.String(), errs.String()
}

func write(t *testing.T, name, text string) string {
	file := filepath.Join(t.TempDir(), name)
	quicktest.Assert(t, os.WriteFile(file, []byte(text), 0o600), quicktest.IsNil)
	return file
}

// TestCommandsWithoutSite runs the commands that need no running entry instance.
func TestCommandsWithoutSite(t *testing.T) {
	settings := "[Instance]\nID = front-1\nAvailabilityZone = z\nListen = 10.0.0.1:80\nReadyListen = 10.0.0.1:81\nDirectoryListen = 10.0.0.1:82\n" +
		"MetricsListen = 10.0.0.1:83\nPeerListen = 10.0.0.1:84\n[Store]\nAddress = 10.0.0.9:90\n"
	good, bad := write(t, "good.ini", settings), write(t, "bad.ini", "[Instance]\nListen = nowhere\n[Routing]\nPolicy = Best\n")
	logs := write(t, "a.log", `{"Time":"2026-07-01T10:00:04Z","Message":"request served","Instance":"front-1","RequestID":"r2","After":0.02,"Status":200}`+"\n{broken\n")
	gap := write(t, "gap.log", `{"Time":"2026-07-01T10:00:04Z","Message":"log lines dropped","Instance":"front-1","Lines":7,"Bytes":900}`+"\n")
	for name, tc := range map[string]struct {
		args           []string
		code           int
		stdout, stderr string
	}{
		"version":            {[]string{"version"}, commander.ExitDone, "coltsfootscale ", ""},
		"trace":              {[]string{"trace", "--Logs", logs, "r2"}, commander.ExitDone, "request r2 at front-1: served after 20ms", "a.log:2: "},
		"trace, unknown":     {[]string{"trace", "--Logs", logs, "r3"}, commander.ExitRefused, "", "no line names the request: r3"},
		"trace, dropped":     {[]string{"trace", "--Logs", gap, "r3"}, commander.ExitRefused, "", "no line names the request: r3; 7 lines were dropped because nobody read the log"},
		"trace, no file":     {[]string{"trace", "--Logs", "nowhere.log", "r2"}, commander.ExitUsage, "", "nowhere.log"},
		"check":              {[]string{"check", "--EntrySettings", good}, commander.ExitDone, "", ""},
		"check, all faults":  {[]string{"check", "--EntrySettings", bad}, commander.ExitRefused, "Policy", "9 faults"},
		"dry run":            {[]string{"entry", "--DryRun", "--Settings", good}, commander.ExitDone, `"LinkMegabits": 1000`, ""},
		"entry, bad":         {[]string{"entry", "--Settings", bad}, commander.ExitUsage, "", "PeerListen"},
		"hash, empty key":    {[]string{"hash", "--KeyFile", write(t, "empty.key", " \n")}, commander.ExitUsage, "", "is empty"},
		"entry, no settings": {[]string{"entry", "--Settings", "nowhere.ini"}, commander.ExitUsage, "", "nowhere.ini"},
	} {
		code, stdout, stderr := runAll(t, tc.args...)
		quicktest.Check(t, code, quicktest.Equals, tc.code, quicktest.Commentf("%s: %s", name, stderr))
		quicktest.Check(t, stdout, quicktest.Contains, tc.stdout, quicktest.Commentf(name))
		quicktest.Check(t, stderr, quicktest.Contains, tc.stderr, quicktest.Commentf(name))
	}
}

// TestChangesGoToOneEntry checks that a change is not sent to a second entry after the first one aborted the
// connection, since it may have executed the change. A query, or a change that could not be sent, goes to the second entry.
func TestChangesGoToOneEntry(t *testing.T) {
	key := filepath.Join(t.TempDir(), "operator.key")
	quicktest.Assert(t, os.WriteFile(key, []byte("k"), 0o600), quicktest.IsNil)
	aborting := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer aborting.Close()
	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
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
		"change, connection aborted": {[]string{"key", "withdraw", "--ID", "x"}, aborting.URL, commander.ExitUnreachable, 0},
		"change, entry unreachable":  {[]string{"key", "withdraw", "--ID", "x"}, unreachable.URL, commander.ExitDone, 1},
		"query, connection aborted":  {[]string{"usage"}, aborting.URL, commander.ExitDone, 1},
		"invalid entry URL":          {[]string{"usage"}, "nowhere", commander.ExitUsage, 0},
	} {
		reached.Store(0)
		code, stderr := run(t, append(tc.command, "--Entry", tc.first, "--Entry", second.URL, "--OperatorKeyFile", key)...)
		quicktest.Check(t, code, quicktest.Equals, tc.code, quicktest.Commentf("%s: %s", name, stderr))
		quicktest.Check(t, reached.Load(), quicktest.Equals, tc.reached, quicktest.Commentf(name))
	}
}
