package relayer_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/refuser"
)

// send writes raw bytes to a relayer's server, closes its write side if closeWrite is set, and returns the response.
func send(t *testing.T, raw string, closeWrite bool) *http.Response {
	r := newRelayer()
	r.Limits.BodyTimeout = 200 * time.Millisecond
	srv := httptest.NewServer(http.HandlerFunc(r.Chat))
	t.Cleanup(srv.Close)
	conn, err := net.Dial("tcp", srv.Listener.Addr().String())
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { conn.Close() })
	fmt.Fprint(conn, raw)
	if closeWrite {
		conn.(*net.TCPConn).CloseWrite()
	}
	conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	return resp
}

func TestUnreadableBodies(t *testing.T) {
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer secret\r\nContent-Length: %d\r\n\r\n"
	for name, tc := range map[string]struct {
		raw        string
		closeWrite bool
		status     int
	}{
		"too slow":  {fmt.Sprintf(head, 100) + "{", false, http.StatusRequestTimeout},
		"cut short": {fmt.Sprintf(head, 100) + "{", true, http.StatusBadRequest},
		"too large": {fmt.Sprintf(head, 2<<20), false, http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			resp := send(t, tc.raw, tc.closeWrite)
			quicktest.Check(t, resp.StatusCode, quicktest.Equals, tc.status)
			quicktest.Check(t, resp.Header.Get(refuser.RunHeader), quicktest.Equals, string(refuser.NotRun))
		})
	}
}

// TestKeyWithdrawnDuringBody guards against serving a request whose key is withdrawn while its body is being read.
func TestKeyWithdrawnDuringBody(t *testing.T) {
	r := newRelayer()
	granted := r.View()
	var withdrawn atomic.Bool
	r.View = func() *configurator.View {
		if withdrawn.Load() {
			return configurator.NewView(&recorder.ConfigState{Inventory: granted.State.Inventory})
		}
		return granted
	}
	body, write := io.Pipe()
	req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", body)
	req.Header.Set("Authorization", "Bearer secret")
	go func() {
		fmt.Fprint(write, `{"model":"m",`)
		withdrawn.Store(true)
		fmt.Fprint(write, `"messages":[{"role":"user","content":"x"}]}`)
		write.Close()
	}()
	w := httptest.NewRecorder()
	r.Chat(w, req)
	quicktest.Check(t, w.Code, quicktest.Equals, http.StatusUnauthorized)
}
