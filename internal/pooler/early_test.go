package pooler_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/pooler"
)

// TestEarlyResponsesAreWhole has targets that answer an upload before they have read it, and end their direction in order: at once, late, and
// followed by a reset.
func TestEarlyResponsesAreWhole(t *testing.T) {
	body := strings.Repeat("whole", 4<<10)
	ends := map[string]func(conn *net.TCPConn){
		"reads on": func(conn *net.TCPConn) {
			conn.CloseWrite()
			io.Copy(io.Discard, conn)
		},
		"reads nothing for a while": func(conn *net.TCPConn) {
			conn.CloseWrite()
			time.Sleep(300 * time.Millisecond)
			io.Copy(io.Discard, conn)
		},
		"ends in order, then resets": func(conn *net.TCPConn) {
			conn.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			conn.SetLinger(0)
		},
	}
	for name, end := range ends {
		for _, head := range []string{
			"HTTP/1.1 200 OK\r\n", "HTTP/1.0 200 OK\r\n", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body)),
		} {
			for _, restBytes := range []int64{uploadBytes, -1} {
				addr := earlyTarget(t, head+"\r\n"+body, end)
				p := &pooler.Pool{}
				for range 3 {
					response, err := p.Do(context.Background(), upload(addr, bytes.NewReader(make([]byte, uploadBytes)), restBytes))
					quicktest.Assert(t, err, quicktest.IsNil)
					// A slow client: the write of the upload may fail before the whole response is read.
					time.Sleep(50 * time.Millisecond)
					got, err := io.ReadAll(response.Body)
					response.Body.Close()
					comment := quicktest.Commentf("%s, %q, length %d", name, head, restBytes)
					quicktest.Check(t, err, quicktest.IsNil, comment)
					quicktest.Check(t, string(got) == body, quicktest.IsTrue, comment)
				}
			}
		}
	}
}
