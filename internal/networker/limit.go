package networker

import (
	"net"
	"sync"
	"time"
)

// roomPause is the pause between attempts to make room for a connection.
const roomPause = 20 * time.Millisecond

// LimitListener returns a listener that limits the number of connections open at once. While none is free, it calls makeRoom, which may
// close another connection, whenever a new one has arrived; nil lets new ones wait.
func LimitListener(lis net.Listener, limit int, makeRoom func()) net.Listener {
	return &limitListener{Listener: lis, slots: make(chan struct{}, limit), closed: make(chan struct{}), makeRoom: makeRoom}
}

// limitListener accepts a connection only while a slot is free.
type limitListener struct {
	net.Listener
	slots    chan struct{}
	closed   chan struct{}
	once     sync.Once
	makeRoom func()
}

// Accept waits for a connection and a free slot.
func (l *limitListener) Accept() (net.Conn, error) {
	if l.makeRoom == nil {
		if !l.waitForSlot(nil) {
			return nil, net.ErrClosed
		}
		conn, err := l.Listener.Accept()
		if err != nil {
			<-l.slots
			return nil, err
		}
		return l.withSlot(conn), nil
	}
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		select {
		case l.slots <- struct{}{}:
			return l.withSlot(conn), nil
		default:
		}
		l.makeRoom()
		timer := time.NewTimer(roomPause)
		if l.waitForSlot(timer.C) {
			timer.Stop()
			return l.withSlot(conn), nil
		}
		select {
		case <-l.closed:
			conn.Close()
			return nil, net.ErrClosed
		default:
		}
	}
}

// waitForSlot takes a slot. It reports false if the listener is closed or the time is over first.
func (l *limitListener) waitForSlot(timeout <-chan time.Time) bool {
	select {
	case l.slots <- struct{}{}:
		return true
	case <-timeout:
	case <-l.closed:
	}
	return false
}

func (l *limitListener) withSlot(conn net.Conn) net.Conn {
	return &slotConn{Conn: conn, release: func() { <-l.slots }}
}

// Close closes the listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// slotConn occupies a slot until it is closed.
type slotConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and frees its slot.
func (c *slotConn) Close() error {
	err := c.Conn.Close()
	c.once.Do(c.release)
	return err
}
