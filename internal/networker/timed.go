package networker

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// Sentinel timeouts for an http.Server. The server reads its timeout fields without a lock, so they must not change
// while it serves. A connection of TimeoutListener recognizes the deadlines that the server derives from these values and
// replaces them by the timeouts in force.
const (
	// HeaderTimeoutSentinel is the value for ReadHeaderTimeout.
	HeaderTimeoutSentinel = 24 * time.Hour
	// IdleTimeoutSentinel is the value for IdleTimeout.
	IdleTimeoutSentinel = 72 * time.Hour
)

// Timeouts returns the timeouts in force: for reading the headers of a request, and for an idle connection.
type Timeouts func() (header, idle time.Duration)

// TimeoutListener returns a listener for an http.Server whose timeouts may change while it serves. The server's
// ReadHeaderTimeout must be HeaderTimeoutSentinel and its IdleTimeout IdleTimeoutSentinel. A write for which the handler has set no deadline
// fails if the client reads nothing for the idle timeout.
func TimeoutListener(lis net.Listener, timeouts Timeouts) net.Listener {
	return &timeoutListener{lis, timeouts}
}

type timeoutListener struct {
	net.Listener
	timeouts Timeouts
}

// Accept returns the next connection.
func (l *timeoutListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &timeoutConn{Conn: conn, timeouts: l.timeouts}
	c.noBytesRead.Store(true)
	return c, nil
}

// timeoutConn replaces the sentinel timeouts. A connection that has not received a byte counts as idle.
type timeoutConn struct {
	net.Conn
	timeouts    Timeouts
	noBytesRead atomic.Bool
	// writeDeadline is set while the handler's write deadline is in force.
	writeDeadline atomic.Bool
}

// Write writes to the connection.
func (c *timeoutConn) Write(p []byte) (int, error) {
	if !c.writeDeadline.Load() {
		_, idle := c.timeouts()
		if err := c.Conn.SetWriteDeadline(time.Now().Add(idle)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(p)
}

// SetWriteDeadline sets the deadline of the handler; zero removes it.
func (c *timeoutConn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.Store(!t.IsZero())
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline sets both deadlines.
func (c *timeoutConn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// Read starts the header timeout at the first byte of a new connection.
func (c *timeoutConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.noBytesRead.CompareAndSwap(true, false) {
		header, _ := c.timeouts()
		if err := c.Conn.SetReadDeadline(time.Now().Add(header)); err != nil {
			return n, err
		}
	}
	return n, err
}

// SetReadDeadline sets a deadline; one that was derived from a sentinel is replaced by one from the timeout in force.
func (c *timeoutConn) SetReadDeadline(t time.Time) error {
	header, idle := c.timeouts()
	switch remaining := time.Until(t); {
	case remaining > (HeaderTimeoutSentinel+IdleTimeoutSentinel)/2:
		t = time.Now().Add(idle)
	case remaining > HeaderTimeoutSentinel/2 && c.noBytesRead.Load():
		t = time.Now().Add(max(header, idle))
	case remaining > HeaderTimeoutSentinel/2:
		t = time.Now().Add(header)
	}
	return c.Conn.SetReadDeadline(t)
}
