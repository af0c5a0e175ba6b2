package networker_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/networker"
)

// limitedServer is an HTTP server whose connections are limited.
type limitedServer struct {
	addr    string
	closing *networker.ClosingListener
}

// serveLimited starts a server that answers with the body of the request.
func serveLimited(t *testing.T, connections int) *limitedServer {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	s := &limitedServer{addr: lis.Addr().String(), closing: &networker.ClosingListener{}}
	limited := networker.LimitListener(lis, connections, s.closing.MakeRoom)
	timeouts := func() (time.Duration, time.Duration) { return 10 * time.Second, 20 * time.Second }
	s.closing.Listener = networker.TimeoutListener(limited, timeouts)
	srv := &http.Server{
		ReadHeaderTimeout: networker.HeaderTimeoutSentinel, IdleTimeout: networker.IdleTimeoutSentinel,
		ConnState: s.closing.ConnState, ConnContext: s.closing.ConnContext,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			done := networker.AwaitBody(r.Context())
			body, err := io.ReadAll(r.Body)
			done()
			if err != nil {
				panic(http.ErrAbortHandler)
			}
			_, _ = w.Write(body)
		}),
	}
	go srv.Serve(s.closing)
	t.Cleanup(func() { srv.Close() })
	return s
}

// statusOf reads a response and returns its status, or zero if the connection ended.
func statusOf(conn net.Conn, r *bufio.Reader) int {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// TestSilentConnectionsMakeRoom guards against clients that keep all connections without a request, or without its body, so that others wait.
// A request in progress is not ended.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := serveLimited(t, 3)
	silent, partial, idle := dial(t, s.addr), dial(t, s.addr), dial(t, s.addr)
	fmt.Fprint(partial, "POST / HT")
	exchange(t, idle)
	uploads := make([]net.Conn, 0, 3)
	for range 3 {
		conn := dial(t, s.addr)
		fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\no")
		uploads = append(uploads, conn)
	}
	for _, conn := range []net.Conn{silent, partial, idle} {
		quicktest.Check(t, statusOf(conn, bufio.NewReader(conn)), quicktest.Equals, 0)
	}
	// One upload gives way once it has waited for longer; the others go on.
	exchange(t, dial(t, s.addr))
	statuses := map[int]int{}
	for _, conn := range uploads {
		fmt.Fprint(conn, "k")
		statuses[statusOf(conn, bufio.NewReader(conn))]++
	}
	quicktest.Check(t, statuses, quicktest.DeepEquals, map[int]int{0: 1, http.StatusOK: 2})
	quicktest.Check(t, s.closing.Ended() >= 4, quicktest.IsTrue)
}
