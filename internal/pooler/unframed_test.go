package pooler_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/pooler"
)

// TestResponseEndsWithItsConnection has responses with neither a length nor chunks: a connection that is closed ends them, one
// that is reset breaks them off. Neither connection is used again.
func TestResponseEndsWithItsConnection(t *testing.T) {
	for name, reset := range map[string]bool{"closed": false, "reset": true} {
		tg := listen(t, func(conn net.Conn, _ *http.Request, _ int) {
			conn.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: id\r\n\r\nhalf "))
			time.Sleep(20 * time.Millisecond)
			if reset {
				conn.(*net.TCPConn).SetLinger(0)
			} else {
				conn.Write([]byte("and half"))
			}
			conn.Close()
		})
		p := &pooler.Pool{}
		for range 2 {
			response, err := p.Do(context.Background(), &pooler.Request{Address: tg.addr, Method: http.MethodGet, URI: "/x", Host: "h", MaximumIdle: time.Minute})
			quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf(name))
			quicktest.Check(t, response.Length, quicktest.Equals, int64(-1), quicktest.Commentf(name))
			body, err := io.ReadAll(response.Body)
			if reset {
				quicktest.Check(t, err, quicktest.ErrorIs, pooler.ErrBroken, quicktest.Commentf(name))
			} else {
				quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf(name))
				quicktest.Check(t, string(body), quicktest.Equals, "half and half", quicktest.Commentf(name))
			}
			response.Body.Close()
		}
		quicktest.Check(t, tg.conns.Load(), quicktest.Equals, int64(2), quicktest.Commentf(name))
	}
}
