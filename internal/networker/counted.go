package networker

import (
	"net"
	"sync"
	"sync/atomic"
)

// ConnectionCount counts the connections of a listener; the zero value is ready to use.
type ConnectionCount struct {
	accepted, open atomic.Int64
}

// Accepted returns how many connections were accepted so far.
func (c *ConnectionCount) Accepted() int64 { return c.accepted.Load() }

// Open returns how many of them are open.
func (c *ConnectionCount) Open() int64 { return c.open.Load() }

// CountListener returns a listener that counts its connections in c.
func CountListener(lis net.Listener, c *ConnectionCount) net.Listener {
	return &countListener{lis, c}
}

type countListener struct {
	net.Listener
	count *ConnectionCount
}

// Accept returns the next connection.
func (l *countListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.count.accepted.Add(1)
	l.count.open.Add(1)
	return &countedConn{Conn: conn, count: l.count}, nil
}

// countedConn counts as open until it is closed.
type countedConn struct {
	net.Conn
	once  sync.Once
	count *ConnectionCount
}

// Close closes the connection.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.count.open.Add(-1) })
	return c.Conn.Close()
}
