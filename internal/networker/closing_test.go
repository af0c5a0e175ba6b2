package networker_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/networker"
)

// heldListener holds back the goroutines that have read from its connections, or written to them, as a busy scheduler does.
type heldListener struct {
	net.Listener
	holdReads, holdWrites atomic.Bool
	reads                 chan struct{}
	released              chan struct{}
	received              atomic.Int64
}

func (l *heldListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &heldConn{conn, l}, err
}

type heldConn struct {
	net.Conn
	lis *heldListener
}

func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.lis.received.Add(int64(n))
	if n > 0 && c.lis.holdReads.Load() {
		c.lis.reads <- struct{}{}
		<-c.lis.released
	}
	return n, err
}

func (c *heldConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if c.lis.holdWrites.Load() {
		<-c.lis.released
	}
	return n, err
}

// send writes s to a connection and waits until the server has read it.
func (l *heldListener) send(t *testing.T, conn net.Conn, s string) {
	want := l.received.Load() + int64(len(s))
	fmt.Fprint(conn, s)
	for range 500 {
		if l.received.Load() >= want {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("the server has not read %q", s)
}

// serveClosing starts a server on a ClosingListener. A request with the header Hold sets holdReads and holdWrites.
func serveClosing(t *testing.T) (*networker.ClosingListener, *heldListener) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	held := &heldListener{Listener: lis, reads: make(chan struct{}, 1), released: make(chan struct{})}
	timeouts := func() (time.Duration, time.Duration) { return time.Second, 30 * time.Second }
	closing := &networker.ClosingListener{Listener: networker.TimeoutListener(held, timeouts)}
	srv := &http.Server{
		ReadHeaderTimeout: networker.HeaderTimeoutSentinel, IdleTimeout: networker.IdleTimeoutSentinel, ConnState: closing.ConnState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Hold") != "" {
				held.holdReads.Store(true)
				held.holdWrites.Store(true)
			}
			io.Copy(w, r.Body)
		}),
	}
	go srv.Serve(closing)
	t.Cleanup(func() { srv.Close() })
	return closing, held
}

// TestRequestThatHasBeenReadIsAnswered guards against LOST: at the beginning of a planned stop the server closed a connection on which it had read
// a request, but did not know it yet; the request ran, and its client got no answer.
func TestRequestThatHasBeenReadIsAnswered(t *testing.T) {
	closing, held := serveClosing(t)
	conn, idle := dial(t, closing.Addr().String()), dial(t, closing.Addr().String())
	exchange(t, conn)
	exchange(t, idle)
	held.holdReads.Store(true)
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
	<-held.reads
	held.holdReads.Store(false)
	closing.CloseIdle()
	quicktest.Check(t, closedAfter(t, idle) < time.Second, quicktest.IsTrue, quicktest.Commentf("the idle connection is closed"))
	close(held.released)
	checkResponse(t, conn)
	quicktest.Check(t, closedAfter(t, conn) < time.Second, quicktest.IsTrue, quicktest.Commentf("the connection is closed after the response"))
}

// TestRequestReadAheadIsAnswered guards against LOST: at a planned stop a connection was closed as idle though the server had read the first byte of
// the next request while it finished the response before.
func TestRequestReadAheadIsAnswered(t *testing.T) {
	for name, idleFirst := range map[string]bool{"closing before the connection is idle": false, "closing once the connection is idle": true} {
		t.Run(name, func(t *testing.T) {
			closing, held := serveClosing(t)
			conn := dial(t, closing.Addr().String())
			fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: h\r\nHold: 1\r\nContent-Length: 2\r\n\r\nok")
			checkResponse(t, conn)
			fmt.Fprint(conn, "P")
			<-held.reads
			held.holdReads.Store(false)
			held.holdWrites.Store(false)
			if idleFirst {
				close(held.released)
				time.Sleep(50 * time.Millisecond)
				closing.CloseIdle()
			} else {
				closing.CloseIdle()
				close(held.released)
				time.Sleep(50 * time.Millisecond)
			}
			fmt.Fprint(conn, "OST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
			checkResponse(t, conn)
			quicktest.Check(t, closedAfter(t, conn) < time.Second, quicktest.IsTrue)
		})
	}
}

func checkResponse(t *testing.T, conn net.Conn) {
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	body, err := io.ReadAll(res.Body)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, string(body), quicktest.Equals, "ok")
}

// TestSlowRequestOutlastsTheClosing guards against a request that began to arrive when the idle connections were closed, and whose rest was no longer
// read, and against connections that are opened later and stay.
func TestSlowRequestOutlastsTheClosing(t *testing.T) {
	closing, held := serveClosing(t)
	conn := dial(t, closing.Addr().String())
	exchange(t, conn)
	held.send(t, conn, "POST / HTTP/1.1\r\nHost: h\r\n")
	closing.CloseIdle()
	time.Sleep(50 * time.Millisecond)
	held.send(t, conn, "Content-Length: 2\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	fmt.Fprint(conn, "ok")
	checkResponse(t, conn)
	quicktest.Check(t, closedAfter(t, conn) < time.Second, quicktest.IsTrue)
	// The server accepts connections in their order, so that it knows the unused one once the later one is served.
	unused, later := dial(t, closing.Addr().String()), dial(t, closing.Addr().String())
	exchange(t, later)
	quicktest.Check(t, closedAfter(t, later) < time.Second, quicktest.IsTrue)
	closing.CloseUnused()
	quicktest.Check(t, closedAfter(t, unused) < time.Second, quicktest.IsTrue)
}
