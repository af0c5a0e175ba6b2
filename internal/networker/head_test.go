package networker_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/networker"
)

const headLimit = 8 << 10

// limitedServer is an HTTP server whose heads and connections are limited.
type limitedServer struct {
	addr             string
	closing          *networker.ClosingListener
	memory           networker.HeadMemory
	tooLarge, noRoom atomic.Int64
}

// serveLimited starts a server that answers with the body of the request.
func serveLimited(t *testing.T, connections int, memory int64) *limitedServer {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	s := &limitedServer{addr: lis.Addr().String(), closing: &networker.ClosingListener{}}
	s.memory.MaximumBytes = memory
	limited := networker.LimitListener(lis, connections, s.closing.MakeRoom)
	timeouts := func() (time.Duration, time.Duration) { return 10 * time.Second, 20 * time.Second }
	s.closing.Listener = networker.HeadListener(networker.TimeoutListener(limited, timeouts), &networker.HeadLimits{
		Bytes: func() int { return headLimit }, Memory: &s.memory,
		OnRefusal: func(err error) {
			if errors.Is(err, networker.ErrHeadTooLarge) {
				s.tooLarge.Add(1)
				return
			}
			s.noRoom.Add(1)
		},
	})
	srv := &http.Server{
		ReadHeaderTimeout: networker.HeaderTimeoutSentinel, IdleTimeout: networker.IdleTimeoutSentinel, MaxHeaderBytes: 1 << 30,
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

// paddedHead returns a head of n bytes that ends with the given lines; each line of the padding is one unit.
func paddedHead(n int, unit, last string) string {
	first := "POST / HTTP/1.1\r\nHost: h\r\n"
	var b strings.Builder
	b.WriteString(first)
	for i := 0; b.Len()+len(last)+2*len(unit)+8 < n; i++ {
		fmt.Fprintf(&b, unit, i)
	}
	b.WriteString("P:" + strings.Repeat("p", n-b.Len()-len(last)-len("P:\r\n")) + "\r\n" + last)
	return b.String()
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

// TestHeadsInsideTheLimitAreServed guards against heads that are refused though the client sent no more than the limit, on new and on kept
// connections, and against heads beyond it that are read on.
func TestHeadsInsideTheLimitAreServed(t *testing.T) {
	s := serveLimited(t, 10, 0)
	for _, unit := range []string{"X-%04d: v\r\n", "X-%04d:v\r\n", "X-%04d:v\n", "%x:\n"} {
		conn := dial(t, s.addr)
		r := bufio.NewReader(conn)
		for range 3 {
			fmt.Fprint(conn, paddedHead(headLimit, unit, "Content-Length: 5000\r\n\r\n"), strings.Repeat("b\n", 2500))
			quicktest.Check(t, statusOf(conn, r), quicktest.Equals, http.StatusOK, quicktest.Commentf("%q", unit))
		}
		fmt.Fprint(conn, paddedHead(headLimit+8<<10, unit, "\r\n"))
		quicktest.Check(t, statusOf(conn, r), quicktest.Equals, http.StatusRequestHeaderFieldsTooLarge, quicktest.Commentf("%q", unit))
	}
	quicktest.Check(t, s.tooLarge.Load(), quicktest.Equals, int64(4))
	quicktest.Check(t, s.noRoom.Load(), quicktest.Equals, int64(0))
	eventually(t, func() bool { return s.memory.Used() == 0 })
}

// TestHeadsShareMemory guards against heads inside the limit that together exceed the memory. Ordinary heads are served meanwhile.
func TestHeadsShareMemory(t *testing.T) {
	s := serveLimited(t, 10, 1<<20)
	const lines = "%x:\n"
	first := dial(t, s.addr)
	head := paddedHead(headLimit, lines, "\r\n")
	fmt.Fprint(first, head[:len(head)-2])
	eventually(t, func() bool { return s.memory.Used() > 700<<10 })
	second := dial(t, s.addr)
	fmt.Fprint(second, head)
	quicktest.Check(t, statusOf(second, bufio.NewReader(second)), quicktest.Equals, http.StatusServiceUnavailable)
	quicktest.Check(t, s.noRoom.Load(), quicktest.Equals, int64(1))
	exchange(t, dial(t, s.addr))
	fmt.Fprint(first, head[len(head)-2:])
	quicktest.Check(t, statusOf(first, bufio.NewReader(first)), quicktest.Equals, http.StatusOK)
	eventually(t, func() bool { return s.memory.Used() == 0 })
	third := dial(t, s.addr)
	fmt.Fprint(third, head)
	quicktest.Check(t, statusOf(third, bufio.NewReader(third)), quicktest.Equals, http.StatusOK)
}

// TestSilentConnectionsMakeRoom guards against clients that keep all connections without a request, or without its body, so that others wait.
// A request in progress is not ended.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	s := serveLimited(t, 3, 0)
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

// eventually waits until f returns true.
func eventually(t *testing.T, f func() bool) {
	for range 1000 {
		if f() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("not in ten seconds")
}
