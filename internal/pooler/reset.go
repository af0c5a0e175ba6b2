package pooler

import (
	"errors"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// writeResults holds the result of the writes to a connection; the zero value is ready to use.
type writeResults struct {
	mu      sync.Mutex
	changed sync.Cond
	active  bool
	err     error
}

func (w *writeResults) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active = true
}

func (w *writeResults) end(err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active = false
	if w.err == nil {
		w.err = err
	}
	if w.changed.L != nil {
		w.changed.Broadcast()
	}
}

// wait returns the first error of a write, after the end of the one in progress.
func (w *writeResults) wait() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changed.L = &w.mu
	for w.active {
		w.changed.Wait()
	}
	return w.err
}

// resetError returns the error of a connection that was reset, after its end was read. The kernel reports a reset once: if a write gets it, a
// read returns the end of the stream, as if the target had closed the connection in order.
func (c *conn) resetError() error {
	if c.closedByTarget() {
		return nil
	}
	err := c.writes.wait()
	if errors.Is(err, syscall.EPIPE) {
		return nil // The end of the stream came before the reset.
	}
	return err
}

// endedByTarget reports whether a write failed because the target has ended the connection. What has arrived before can still be read.
func endedByTarget(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// closedByTarget reports whether the target has ended its direction of the connection, which is still open otherwise. A write may then wait for
// long.
func (c *conn) closedByTarget() bool {
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
