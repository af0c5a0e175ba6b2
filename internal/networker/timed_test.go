package networker_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/networker"
)

// serveWithTimeouts starts a server with timeouts, in milliseconds, that the test may change.
func serveWithTimeouts(t *testing.T) (addr string, header, idle *atomic.Int64) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	header, idle = &atomic.Int64{}, &atomic.Int64{}
	header.Store(100)
	idle.Store(400)
	timeouts := func() (time.Duration, time.Duration) {
		return time.Duration(header.Load()) * time.Millisecond, time.Duration(idle.Load()) * time.Millisecond
	}
	srv := &http.Server{
		ReadHeaderTimeout: networker.HeaderTimeoutSentinel, IdleTimeout: networker.IdleTimeoutSentinel,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { io.Copy(w, r.Body) }),
	}
	go srv.Serve(networker.TimeoutListener(lis, timeouts))
	t.Cleanup(func() { srv.Close() })
	return lis.Addr().String(), header, idle
}

// closedAfter returns how long the server keeps a connection open.
func closedAfter(t *testing.T, conn net.Conn) time.Duration {
	start := time.Now()
	quicktest.Assert(t, conn.SetReadDeadline(start.Add(3*time.Second)), quicktest.IsNil)
	_, err := io.Copy(io.Discard, conn)
	quicktest.Assert(t, err, quicktest.IsNil)
	return time.Since(start)
}

func dial(t *testing.T, addr string) net.Conn {
	conn, err := net.Dial("tcp", addr)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { conn.Close() })
	return conn
}

func exchange(t *testing.T, conn net.Conn) {
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	body, err := io.ReadAll(res.Body)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, string(body), quicktest.Equals, "ok")
}

// TestTimeouts checks that clients cannot exceed the header and idle timeouts, also after a change of the timeouts.
func TestTimeouts(t *testing.T) {
	addr, header, idle := serveWithTimeouts(t)
	after := closedAfter(t, dial(t, addr))
	quicktest.Check(t, after >= 350*time.Millisecond && after < 2*time.Second, quicktest.IsTrue, quicktest.Commentf("no bytes sent: %v", after))
	conn := dial(t, addr)
	fmt.Fprint(conn, "POST / HTTP")
	after = closedAfter(t, conn)
	quicktest.Check(t, after >= 80*time.Millisecond && after < 350*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("incomplete header: %v", after))
	conn = dial(t, addr)
	exchange(t, conn)
	time.Sleep(300 * time.Millisecond) // Longer than the header timeout.
	exchange(t, conn)
	after = closedAfter(t, conn)
	quicktest.Check(t, after >= 350*time.Millisecond && after < 2*time.Second, quicktest.IsTrue, quicktest.Commentf("idle: %v", after))
	// A change of the timeouts also applies to open connections.
	conn = dial(t, addr)
	exchange(t, conn)
	exchange(t, conn)
	idle.Store(50)
	header.Store(50)
	exchange(t, conn)
	after = closedAfter(t, conn)
	quicktest.Check(t, after < 350*time.Millisecond, quicktest.IsTrue, quicktest.Commentf("after a change: %v", after))
}

// TestAnswersThatAreNotReadEnd guards against clients that keep a connection, and what is held for them, by not reading an answer.
func TestAnswersThatAreNotReadEnd(t *testing.T) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	ended := make(chan error, 1)
	srv := &http.Server{
		ReadHeaderTimeout: networker.HeaderTimeoutSentinel, IdleTimeout: networker.IdleTimeoutSentinel,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			for {
				if _, err := w.Write(make([]byte, 1<<20)); err != nil {
					ended <- err
					return
				}
			}
		}),
	}
	go srv.Serve(networker.TimeoutListener(lis, func() (time.Duration, time.Duration) { return time.Second, 100 * time.Millisecond }))
	defer srv.Close()
	fmt.Fprint(dial(t, lis.Addr().String()), "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	select {
	case err := <-ended:
		quicktest.Check(t, err, quicktest.ErrorIs, os.ErrDeadlineExceeded)
	case <-time.After(10 * time.Second):
		t.Fatal("the answer is still being written")
	}
}
