package exchanger_test

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/coltsfootscale/coltsfootscale/internal/exchanger"
)

// failingListener fails to accept a number of times.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, errors.New("too many open files")
	}
	return l.Listener.Accept()
}

// serve starts a server that echoes messages.
func serve(t *testing.T, s *exchanger.Server, failures int64) (addr string) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	s.NewRequest = func() proto.Message { return &wrapperspb.BytesValue{} }
	if s.Answer == nil {
		s.Answer = func(req proto.Message) proto.Message { return req }
	}
	failing := &failingListener{Listener: lis}
	failing.failures.Store(failures)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Serve(ctx, failing)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return lis.Addr().String()
}

func newClient(t *testing.T) *exchanger.Client {
	c := &exchanger.Client{Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
	}}
	t.Cleanup(c.Close)
	return c
}

func echoes(c *exchanger.Client, addr string, bytes int) error {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	reply := &wrapperspb.BytesValue{}
	err := c.Exchange(ctx, addr, wrapperspb.Bytes(make([]byte, bytes)), reply)
	if err == nil && len(reply.Value) != bytes {
		return errors.New("another message")
	}
	return err
}

// TestServeGoesOnAfterAcceptFails guards against an instance that takes no connections of peers any more after one could not be accepted.
func TestServeGoesOnAfterAcceptFails(t *testing.T) {
	var refused atomic.Int64
	addr := serve(t, &exchanger.Server{OnRefusal: func(r exchanger.Refusal) {
		if r == exchanger.AcceptFailed {
			refused.Add(1)
		}
	}}, 3)
	quicktest.Check(t, echoes(newClient(t), addr, 10), quicktest.IsNil)
	quicktest.Check(t, refused.Load(), quicktest.Equals, int64(3))
}

// TestSessionsAreLimited guards against connections of peers without a limit. Silent ones give way to those that bring messages.
func TestSessionsAreLimited(t *testing.T) {
	var replaced atomic.Int64
	addr := serve(t, &exchanger.Server{MaximumSessions: 2, OnRefusal: func(exchanger.Refusal) { replaced.Add(1) }}, 0)
	used := newClient(t)
	quicktest.Assert(t, echoes(used, addr, 10), quicktest.IsNil)
	for range 20 {
		conn, err := net.Dial("tcp", addr)
		quicktest.Assert(t, err, quicktest.IsNil)
		defer conn.Close()
		quicktest.Assert(t, echoes(used, addr, 10), quicktest.IsNil)
	}
	for range 1000 {
		if replaced.Load() >= 19 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d of 19 silent sessions replaced", replaced.Load())
}

// TestMessagesShareMemory guards against messages that are held without a limit while earlier ones are handled. Messages that come one after
// the other are not limited together.
func TestMessagesShareMemory(t *testing.T) {
	hold, held := make(chan struct{}), make(chan struct{}, 100)
	var blocking atomic.Bool
	var refused atomic.Int64
	s := &exchanger.Server{MaximumBytes: 1, MaximumStreams: 16, OnRefusal: func(r exchanger.Refusal) {
		if r == exchanger.MemoryFull {
			refused.Add(1)
		}
	}}
	s.Answer = func(req proto.Message) proto.Message {
		if blocking.Load() {
			held <- struct{}{}
			<-hold
		}
		return req
	}
	addr := serve(t, s, 0)
	sound := newClient(t)
	for range 10 {
		quicktest.Assert(t, echoes(sound, addr, 3<<20), quicktest.IsNil)
	}
	quicktest.Check(t, refused.Load(), quicktest.Equals, int64(0))
	blocking.Store(true)
	results := make(chan error, 4)
	for range 4 {
		go func() { results <- echoes(newClient(t), addr, 3<<20) }()
	}
	<-held
	<-held
	quicktest.Check(t, <-results, quicktest.ErrorIs, exchanger.ErrUnreachable)
	quicktest.Check(t, <-results, quicktest.ErrorIs, exchanger.ErrUnreachable)
	quicktest.Check(t, refused.Load(), quicktest.Equals, int64(2))
	blocking.Store(false)
	close(hold)
	quicktest.Check(t, <-results, quicktest.IsNil)
	quicktest.Check(t, <-results, quicktest.IsNil)
	quicktest.Check(t, echoes(sound, addr, 3<<20), quicktest.IsNil)
}
