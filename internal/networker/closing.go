package networker

import (
	"errors"
	"net"
	"net/http"
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
	if c, ok := conn.(*closingConn); ok {
		c.setState(state)
	}
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
}

// closingConn is a connection of a ClosingListener.
type closingConn struct {
	net.Conn
	lis *ClosingListener

	mu sync.Mutex
	// used is set once the connection has brought a request, and idle while the server waits for the next one.
	used, idle bool
	// begun is set once something has been read since the last write. The server reads ahead while it finishes a response, so that it can
	// hold a part of the next request when the connection becomes idle.
	begun bool
	// closing is set once the connection is to be closed as soon as it is idle.
	closing bool
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
	// An error means that the connection is closed.
	_ = c.applyDeadline()
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
	c.begun = false
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetReadDeadline sets the server's deadline.
func (c *closingConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
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
