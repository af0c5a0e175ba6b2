package pooler_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/pooler"
)

// countingConn counts the bytes that are read.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// TestBytesWithoutEndAreCutOff guards against a target that sends bytes until the caller closes, where the head of a response
// is due: they must neither fill the memory nor hold the request until its deadline.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const (
		blockBytes   = 64 << 10
		maximumBytes = 1<<20 + 64<<10 // What is accepted, and some buffers. What the sockets hold besides depends on the machine.
		maximumTime  = time.Second
	)
	for name, tc := range map[string]struct{ start, repeated string }{
		"header line":                 {"HTTP/1.1 200 OK\r\nX-Id: ", "a"},
		"headers":                     {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"status line":                 {"HTTP/1.1 200 ", "OK"},
		"informational responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"response to another request": {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 100000000000\r\n\r\n", "x"},
	} {
		ended := make(chan struct{})
		tg := listen(t, func(conn net.Conn, _ *http.Request, _ int) {
			conn.Write([]byte(tc.start))
			block := bytes.Repeat([]byte(tc.repeated), blockBytes/len(tc.repeated))
			for {
				if _, err := conn.Write(block); err != nil {
					close(ended)
					return
				}
				time.Sleep(time.Millisecond) // Bounds the memory if the bytes are not cut off.
			}
		})
		var read atomic.Int64
		p := &pooler.Pool{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", addr)
			return countingConn{conn, &read}, err
		}}
		started := time.Now()
		_, err := send(p, tg, "id", 0)
		quicktest.Check(t, err, quicktest.ErrorIs, pooler.ErrUnexpectedResponse, quicktest.Commentf(name))
		quicktest.Check(t, time.Since(started) < maximumTime, quicktest.IsTrue, quicktest.Commentf("%s: %v", name, time.Since(started)))
		quicktest.Check(t, read.Load() < maximumBytes, quicktest.IsTrue, quicktest.Commentf("%s: %d bytes", name, read.Load()))
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Errorf("%s: the target can still write", name)
		}
	}
}
