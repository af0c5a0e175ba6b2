package networker

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// ReportResets returns a connection whose reads report a reset also if a write got it. The kernel reports a reset once: if a write gets it, a read
// returns the end of the stream, as if the other side had closed the connection in order.
func ReportResets(conn net.Conn) net.Conn {
	return &resetConn{Conn: conn}
}

// resetConn holds the result of its writes.
type resetConn struct {
	net.Conn

	mu       sync.Mutex
	changed  sync.Cond
	writing  bool
	writeErr error
}

// Write writes to the connection.
func (c *resetConn) Write(p []byte) (int, error) {
	c.begin()
	n, err := c.Conn.Write(p)
	c.end(err)
	return n, err
}

func (c *resetConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = true
}

func (c *resetConn) end(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = false
	if c.writeErr == nil {
		c.writeErr = err
	}
	if c.changed.L != nil {
		c.changed.Broadcast()
	}
}

// Read returns io.EOF only if the other side has ended the stream.
func (c *resetConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !c.closedByPeer() {
		if writeErr := c.waitForWrite(); writeErr != nil && !errors.Is(writeErr, syscall.EPIPE) {
			return n, writeErr
		}
		// After EPIPE the stream ended before the reset.
	}
	return n, err
}

// waitForWrite returns the first error of a write, after the end of the one in progress.
func (c *resetConn) waitForWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.L = &c.mu
	for c.writing {
		c.changed.Wait()
	}
	return c.writeErr
}

// closedByPeer reports whether the other side has ended its direction of the connection, which is still open otherwise. A write may then wait for
// long.
func (c *resetConn) closedByPeer() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = infoErr == nil && info.State == unix.BPF_TCP_CLOSE_WAIT
	})
	return err == nil && ended
}
