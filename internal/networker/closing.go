package networker

import (
	"container/list"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// ClosingListener can end its connections one step after the other while an http.Server uses it: new connections, those that wait for a further
// request, and those that have brought none. The server takes the end of its listener for a failure, and closes connections on which it has
// read a request but does not know it yet. Only Listener must be set; the server's ConnState must be that of the listener.
type ClosingListener struct {
	net.Listener

	stopOnce, closeOnce sync.Once

	mu          sync.Mutex
	closed      chan struct{}
	closingIdle bool
	conns       map[*closingConn]struct{}
	// fresh, idle and bodies hold the connections that wait for their first request, for a further one and for the body of one, in the order
	// in which they began to.
	fresh, idle, bodies list.List
	ended               int64
}

// whenClosed returns a channel that ends once the listener is closed.
func (l *ClosingListener) whenClosed() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed == nil {
		l.closed = make(chan struct{})
	}
	return l.closed
}

// Accept returns the next connection. Once the listener accepts none any more, it waits until the listener is closed.
func (l *ClosingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-l.whenClosed()
	}
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &closingConn{Conn: conn, lis: l, closing: l.closingIdle}
	if l.conns == nil {
		l.conns = map[*closingConn]struct{}{}
	}
	l.conns[c] = struct{}{}
	l.beginWait(c, &l.fresh)
	return c, nil
}

// StopAccepting lets new connections be refused.
func (l *ClosingListener) StopAccepting() error {
	var err error
	l.stopOnce.Do(func() { err = l.Listener.Close() })
	return err
}

// Close closes the listener.
func (l *ClosingListener) Close() error {
	err := l.StopAccepting()
	l.closeOnce.Do(func() { close(l.whenClosed()) })
	return err
}

// ConnState follows the connections; it is meant for http.Server.ConnState.
func (l *ClosingListener) ConnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*closingConn)
	if !ok {
		return
	}
	c.setState(state)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew: // It waits since it was accepted.
	case http.StateIdle:
		l.endWait(c)
		l.beginWait(c, &l.idle)
	default:
		l.endWait(c)
	}
}

// beginWait notes that a connection waits for its client. The caller must hold mu.
func (l *ClosingListener) beginWait(c *closingConn, order *list.List) {
	c.waitsIn, c.waitsSince = order, time.Now()
	c.place = order.PushBack(c)
}

// endWait notes that a connection does not wait for its client any more. The caller must hold mu.
func (l *ClosingListener) endWait(c *closingConn) {
	if c.waitsIn != nil {
		c.waitsIn.Remove(c.place)
		c.waitsIn, c.place = nil, nil
	}
}

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// ConnContext adds a connection to the contexts of its requests; it is meant for http.Server.ConnContext.
func (l *ClosingListener) ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// AwaitBody notes that the handler of a request waits for its body, until it calls done. The handler must set its read deadline again then, if
// it reads on.
func AwaitBody(ctx context.Context) (done func()) {
	c, ok := ctx.Value(connKey{}).(*closingConn)
	if !ok {
		return func() {}
	}
	c.lis.mu.Lock()
	defer c.lis.mu.Unlock()
	c.lis.beginWait(c, &c.lis.bodies)
	return func() {
		c.lis.mu.Lock()
		defer c.lis.mu.Unlock()
		c.lis.endWait(c)
	}
}

// MakeRoom ends the connection that has waited longest for its first request or, if none has waited for minimumWait, for a further one, or
// else for a body. The server closes it unless what it waits for arrives at the same time.
func (l *ClosingListener) MakeRoom() {
	l.mu.Lock()
	c := l.longestWaiting()
	if c != nil {
		l.endWait(c)
		l.ended++
	}
	l.mu.Unlock()
	if c != nil {
		c.endWait()
	}
}

// longestWaiting returns the connection that MakeRoom ends, or nil if none has waited for minimumWait. The caller must hold mu.
func (l *ClosingListener) longestWaiting() *closingConn {
	for _, waits := range []struct {
		order   *list.List
		minimum time.Duration
	}{{&l.fresh, minimumWait}, {&l.idle, minimumIdleWait}, {&l.bodies, minimumBodyWait}} {
		first := waits.order.Front()
		if first == nil {
			continue
		}
		if c := first.Value.(*closingConn); time.Since(c.waitsSince) >= waits.minimum {
			return c
		}
	}
	return nil
}

// Ended returns the number of connections that MakeRoom has ended.
func (l *ClosingListener) Ended() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}

// CloseIdle closes the connections that wait for a further request, and from now on each that begins to. One of which a part of the next
// request has been read stays open for its response.
func (l *ClosingListener) CloseIdle() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closingIdle = true
	for c := range l.conns {
		c.closeIdle()
	}
}

// CloseUnused closes the connections that have brought no request.
func (l *ClosingListener) CloseUnused() {
	for _, c := range l.unused() {
		c.Close()
	}
}

func (l *ClosingListener) unused() (list []*closingConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if !c.isUsed() {
			list = append(list, c)
		}
	}
	return list
}

func (l *ClosingListener) remove(c *closingConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.endWait(c)
}

const (
	// minimumWait is how long a connection may wait for its first request before MakeRoom ends it. On a busy machine a request may wait as long
	// until the server reads it.
	minimumWait = 250 * time.Millisecond
	// minimumIdleWait is the same for a further request. Clients and peers that sent a request just before are likely to send another one.
	minimumIdleWait = time.Second
	// minimumBodyWait is the same for the body of a request.
	minimumBodyWait = 3 * time.Second
)

// closingConn is a connection of a ClosingListener.
type closingConn struct {
	net.Conn
	lis *ClosingListener

	// waitsIn is the list of the listener in which the connection is, at place, or nil. The listener's mu guards them.
	waitsIn    *list.List
	place      *list.Element
	waitsSince time.Time

	mu sync.Mutex
	// used is set once the connection has brought a request, and idle while the server waits for the next one.
	used, idle bool
	// begun is set once something has been read since the last write. The server reads ahead while it finishes a response, so that it can
	// hold a part of the next request when the connection becomes idle.
	begun bool
	// closing is set once the connection is to be closed as soon as it is idle.
	closing bool
	// expired is set while the connection has the deadline expired because of MakeRoom.
	expired bool
	// cut is set once MakeRoom has ended a read. The server would answer the part of a request that it has read, as if it were all.
	cut bool
	// deadline is the read deadline that the server has set.
	deadline time.Time
}

// expired is a deadline that ends a read in progress without a byte.
var expired = time.Unix(1, 0)

func (c *closingConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = c.used || state != http.StateNew
	c.idle = state == http.StateIdle
	if state == http.StateActive {
		c.restoreDeadline()
	}
	// An error means that the connection is closed.
	_ = c.applyDeadline()
}

// restoreDeadline sets the server's deadline again if MakeRoom has replaced it. The caller must hold mu.
func (c *closingConn) restoreDeadline() {
	if c.expired {
		c.expired = false
		// An error means that the connection is closed.
		_ = c.Conn.SetReadDeadline(c.deadline)
	}
}

// endWait ends the wait for a request, or a part of one. One that the server has read whole by now is served.
func (c *closingConn) endWait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expired = true
	// An error means that the connection is closed.
	_ = c.Conn.SetReadDeadline(expired)
}

func (c *closingConn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closing = true
	if c.idle {
		_ = c.applyDeadline()
	}
}

func (c *closingConn) isUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

// applyDeadline ends the wait for a request if the connection is to be closed; the server then closes it. The caller must hold mu.
func (c *closingConn) applyDeadline() error {
	if !c.closing {
		return nil
	}
	if c.idle && !c.begun {
		return c.Conn.SetReadDeadline(expired)
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// Read reads from the connection. Its deadline is the server's again once a part of a request has been read.
func (c *closingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = c.cut || c.expired && errors.Is(err, os.ErrDeadlineExceeded)
	if n == 0 || c.begun {
		return n, err
	}
	c.begun = true
	if c.idle {
		err = errors.Join(err, c.applyDeadline())
	}
	return n, err
}

// Write writes to the connection. A client sends its next request once it has the response, so what is read from then on belongs to that request.
func (c *closingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	cut := c.cut
	c.begun = false
	c.mu.Unlock()
	if cut {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

// SetReadDeadline sets the server's deadline.
func (c *closingConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline, c.expired = t, false
	if c.closing {
		return c.applyDeadline()
	}
	return c.Conn.SetReadDeadline(t)
}

// Close closes the connection.
func (c *closingConn) Close() error {
	c.lis.remove(c)
	return c.Conn.Close()
}
