package pooler_test

import (
	"bytes"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/pooler"
)

// TestBytesWithoutEndAreCutOff guards against a target that sends bytes until the caller closes, where the head of a response
// is due: they must neither fill the memory nor hold the request until its deadline.
func TestBytesWithoutEndAreCutOff(t *testing.T) {
	const (
		blockBytes   = 64 << 10
		maximumBytes = 4 << 20 // What is accepted, and what the buffers of both sockets may hold besides.
		maximumTime  = time.Second
	)
	for name, tc := range map[string]struct{ start, repeated string }{
		"header line":                 {"HTTP/1.1 200 OK\r\nX-Id: ", "a"},
		"headers":                     {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n"},
		"status line":                 {"HTTP/1.1 200 ", "OK"},
		"informational responses":     {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"response to another request": {"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 100000000000\r\n\r\n", "x"},
	} {
		var sent atomic.Int64
		tg := listen(t, func(conn net.Conn, _ *http.Request, _ int) {
			conn.Write([]byte(tc.start))
			block := bytes.Repeat([]byte(tc.repeated), blockBytes/len(tc.repeated))
			for {
				n, err := conn.Write(block)
				if sent.Add(int64(n)); err != nil {
					return
				}
				time.Sleep(time.Millisecond) // Bounds the memory if the bytes are not cut off.
			}
		})
		started := time.Now()
		_, err := send(&pooler.Pool{}, tg, "id", 0)
		quicktest.Check(t, err, quicktest.ErrorIs, pooler.ErrUnexpectedResponse, quicktest.Commentf(name))
		quicktest.Check(t, time.Since(started) < maximumTime, quicktest.IsTrue, quicktest.Commentf("%s: %v", name, time.Since(started)))
		quicktest.Check(t, sent.Load() < maximumBytes, quicktest.IsTrue, quicktest.Commentf("%s: %d bytes", name, sent.Load()))
	}
}
