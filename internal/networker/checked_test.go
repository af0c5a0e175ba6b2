package networker_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/networker"
)

// scriptedConn is a connection whose other side answers at once. Its second write gets a reset, and then the stream ends.
type scriptedConn struct {
	net.Conn
	response io.Reader
	writes   atomic.Int64
	reset    chan struct{}
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	n, err := c.response.Read(p)
	if err != nil {
		<-c.reset
	}
	return n, err
}

func (c *scriptedConn) Write(p []byte) (int, error) {
	if c.writes.Add(1) != 2 {
		return len(p), nil
	}
	close(c.reset)
	// The error arrives after the end of the stream.
	time.Sleep(50 * time.Millisecond)
	return 0, &net.OpError{Op: "write", Net: "tcp", Err: os.NewSyscallError("write", syscall.ECONNRESET)}
}

func (c *scriptedConn) Close() error { return nil }

// networkFunc is a network that only dials.
type networkFunc func(ctx context.Context, addr string) (net.Conn, error)

func (networkFunc) Listen(string) (net.Listener, error) { return nil, net.ErrClosed }

func (f networkFunc) Dial(ctx context.Context, addr string) (net.Conn, error) { return f(ctx, addr) }

// TestClientReportsResets guards against a part of a response without a length that counts as all of it: a write of the request got the reset.
func TestClientReportsResets(t *testing.T) {
	conn := &scriptedConn{response: strings.NewReader("HTTP/1.1 200 OK\r\n\r\nhalf"), reset: make(chan struct{})}
	client := networker.Client(networkFunc(func(context.Context, string) (net.Conn, error) { return conn, nil }), false)
	res, err := client.Post("http://a:1/x", "", bytes.NewReader(make([]byte, 1<<20)))
	if err != nil {
		return // The client may notice the reset before the response.
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	quicktest.Check(t, err, quicktest.ErrorIs, syscall.ECONNRESET, quicktest.Commentf("%q", body))
}

// TestClientChecksResponses guards against responses with an invalid status or field name, which net/http accepts.
func TestClientChecksResponses(t *testing.T) {
	for text, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody":                                                        true,
		"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody":                   true,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Fine: 1\r\n\r\n":                true,
		"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody":                                                        false,
		"HTTP/1.1 +20 OK\r\nContent-Length: 4\r\n\r\nbody":                                                        false,
		"HTTP/1.1 101 OK\r\nContent-Length: 4\r\n\r\nbody":                                                        false,
		"HTTP/1.1 777 OK\r\nContent-Length: 4\r\n\r\nbody":                                                        false,
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbodyMORE":                                                   false,
		"HTTP/1.1 103 Hints\r\nX-Bad : 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody":                 false,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX Bad: 1\r\n\r\n":                 false,
		"HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("a", 1<<20) + "\r\nContent-Length: 4\r\n\r\nbody":          false,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Many: a\r\n", 100_000) + "Content-Length: 4\r\n\r\nbody":        false,
		"HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Long: "+strings.Repeat("a", 2000)+"\r\n", 30) + "\r\n" + "body": true,
	} {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		quicktest.Assert(t, err, quicktest.IsNil)
		go func() {
			conn, err := lis.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				io.WriteString(conn, text)
			}
		}()
		res, err := networker.Client(networker.TCP{}, false).Get("http://" + lis.Addr().String() + "/")
		if err == nil {
			_, err = io.ReadAll(res.Body)
			res.Body.Close()
		}
		quicktest.Check(t, err == nil, quicktest.Equals, valid, quicktest.Commentf("%.120q: %v", text, err))
		lis.Close()
	}
}
