package networker

import (
	"net"
	"sync/atomic"
	"time"
)

// Time limits that net/http must be given so that a timed connection knows which one is meant; net/http reads its own
// fields without a lock, so they cannot change while it serves.
const (
	// HeaderTimeoutSentinel stands for the time limit of a request's headers.
	HeaderTimeoutSentinel = 24 * time.Hour
	// IdleTimeoutSentinel stands for the time limit of an idle connection.
	IdleTimeoutSentinel = 72 * time.Hour
)

// Timeouts returns how long a client may take for the headers of a request, and how long its connection may be idle.
type Timeouts func() (header, idle time.Duration)

// TimeoutListener makes the time limits of an http.Server those that limits returns at the time: its ReadHeaderTimeout must
// be HeaderTimeoutSentinel and its IdleTimeout IdleTimeoutSentinel.
func TimeoutListener(lis net.Listener, limits Timeouts) net.Listener {
	return &timedListener{lis, limits}
}

type timedListener struct {
	net.Listener
	limits Timeouts
}

// Accept returns the next connection.
func (l *timedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &timedConn{Conn: conn, limits: l.limits}
	c.silent.Store(true)
	return c, nil
}

// timedConn translates the marks; a connection on which nothing came yet is idle.
type timedConn struct {
	net.Conn
	limits Timeouts
	silent atomic.Bool
}

// Read starts the time limit of the headers with the first byte on a new connection.
func (c *timedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.silent.CompareAndSwap(true, false) {
		header, _ := c.limits()
		if err := c.Conn.SetReadDeadline(time.Now().Add(header)); err != nil {
			return n, err
		}
	}
	return n, err
}

// SetReadDeadline sets a deadline, or the time limit that a mark stands for.
func (c *timedConn) SetReadDeadline(t time.Time) error {
	header, idle := c.limits()
	switch left := time.Until(t); {
	case left > (HeaderTimeoutSentinel+IdleTimeoutSentinel)/2:
		t = time.Now().Add(idle)
	case left > HeaderTimeoutSentinel/2 && c.silent.Load():
		t = time.Now().Add(max(header, idle))
	case left > HeaderTimeoutSentinel/2:
		t = time.Now().Add(header)
	}
	return c.Conn.SetReadDeadline(t)
}
