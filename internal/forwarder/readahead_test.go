package forwarder_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// longAnswer is a response of many events, which counts what was read of it.
type longAnswer struct {
	events int
	next   int
	buffer []byte
	read   atomic.Int64
	closed chan struct{}
	once   sync.Once
}

const eventBytes = 1 << 10

func longEvent(n int) string {
	head := fmt.Sprintf("id: %d\ndata: ", n)
	return head + strings.Repeat("x", eventBytes-len(head)-2) + "\n\n"
}

func (a *longAnswer) Read(p []byte) (int, error) {
	select {
	case <-a.closed:
		return 0, errors.New("closed")
	default:
	}
	if len(a.buffer) == 0 {
		if a.next == a.events {
			return 0, io.EOF
		}
		a.next++
		a.buffer = []byte(longEvent(a.next))
	}
	n := copy(p, a.buffer)
	a.buffer = a.buffer[n:]
	a.read.Add(int64(n))
	return n, nil
}

func (a *longAnswer) Close() error {
	a.once.Do(func() { close(a.closed) })
	return nil
}

// slowClient takes nothing until it is released, and fails once it has left.
type slowClient struct {
	*httptest.ResponseRecorder
	release, left chan struct{}
}

func (c *slowClient) Write(p []byte) (int, error) {
	select {
	case <-c.left:
		return 0, errors.New("connection closed")
	case <-c.release:
		return c.ResponseRecorder.Write(p)
	}
}

// TestSlowClients guards against targets that cut off an answer because it stays unread, against instances that run out of memory for
// slow clients, and against events that are lost, torn or out of order on the way.
func TestSlowClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const streams, limit = 4, 150 << 10
		var answers []*longAnswer
		e := &engines{}
		e.body = func() io.ReadCloser {
			answers = append(answers, &longAnswer{events: 200, closed: make(chan struct{})})
			return answers[len(answers)-1]
		}
		f := newForwarder(e, 9)
		f.ReadAhead.MaximumBytes = limit
		release := make(chan struct{})
		var clients []*slowClient
		var done sync.WaitGroup
		for i := range streams {
			c := &slowClient{httptest.NewRecorder(), release, make(chan struct{})}
			clients = append(clients, c)
			done.Go(func() { f.Serve(t.Context(), c, stream(fmt.Sprint(i))) })
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		total := int64(0)
		for _, a := range answers {
			read := a.read.Load()
			total += read
			// Beyond the read-ahead there are the event that the client gets, the one that waits for room, and the read buffer.
			quicktest.Check(t, read <= 64<<10+2*eventBytes+4<<10, quicktest.IsTrue, quicktest.Commentf("%d bytes", read))
		}
		t.Logf("%d bytes read, %d held", total, f.ReadAhead.Used())
		quicktest.Check(t, f.ReadAhead.Used() <= limit, quicktest.IsTrue)
		quicktest.Check(t, total <= limit+streams*(3*eventBytes+4<<10), quicktest.IsTrue, quicktest.Commentf("%d bytes", total))
		quicktest.Check(t, total >= 100<<10, quicktest.IsTrue, quicktest.Commentf("nothing was read ahead"))
		close(release)
		done.Wait()
		var want strings.Builder
		for n := range 200 {
			want.WriteString(longEvent(n + 1))
		}
		for _, c := range clients {
			quicktest.Check(t, c.Body.String() == want.String(), quicktest.IsTrue)
		}
		quicktest.Check(t, f.ReadAhead.Used(), quicktest.Equals, int64(0))
	})
}

// TestLeavingClientEndsTheAnswer guards against targets that go on working, and memory that stays held, after a slow client has left.
func TestLeavingClientEndsTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := &longAnswer{events: 1_000_000, closed: make(chan struct{})}
		e := &engines{body: func() io.ReadCloser { return a }}
		f := newForwarder(e, 9)
		ctx, cancel := context.WithCancel(t.Context())
		c := &slowClient{httptest.NewRecorder(), make(chan struct{}), make(chan struct{})}
		done := make(chan struct{})
		go func() {
			defer close(done)
			defer func() {
				if r := recover(); r != nil && r != http.ErrAbortHandler {
					panic(r)
				}
			}()
			f.Serve(ctx, c, stream("x"))
		}()
		time.Sleep(time.Second)
		left := time.Now()
		cancel()
		close(c.left)
		<-a.closed
		<-done
		quicktest.Check(t, time.Since(left), quicktest.Equals, time.Duration(0))
		synctest.Wait()
		quicktest.Check(t, f.ReadAhead.Used(), quicktest.Equals, int64(0))
		quicktest.Check(t, f.TargetStates.Local(), quicktest.HasLen, 0)
	})
}
