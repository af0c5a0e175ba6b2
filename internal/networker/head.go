package networker

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Errors of request heads.
var (
	// ErrHeadTooLarge is returned when a head exceeds the limit for one head.
	ErrHeadTooLarge = errors.New("request head too large")
	// ErrHeadMemory is returned when the memory for the heads of all connections is full.
	ErrHeadMemory = errors.New("memory limit of request heads reached")
)

const (
	// readBufferBytes is the size of the server's read buffer. With a head, the server may read as many bytes of what follows it.
	readBufferBytes = 4 << 10
	// headByteCost and headLineCost estimate the memory of a head, with the copies of its header that serving it takes: a header of many
	// short lines takes far more memory than its bytes.
	headByteCost = 3
	headLineCost = 512
	// headAllowance is the memory that each connection may use beside the shared memory. It fits the heads of most clients, which are
	// therefore served while others fill the shared memory.
	headAllowance = 8 << 10
	// refusalTime and refusalBytes limit what is read after a refusal. A connection that is closed with unread bytes is reset, and the
	// client may lose the response.
	refusalTime  = 500 * time.Millisecond
	refusalBytes = 256 << 10
	// memoryRetryAfter is the value of Retry-After in seconds if the memory for heads is full.
	memoryRetryAfter = "0.2"
	// defaultHeadMemory is the default of HeadMemory.MaximumBytes.
	defaultHeadMemory = 32 << 20
)

// HeadMemory bounds the memory of the heads of all connections; the zero value is ready to use.
type HeadMemory struct {
	// MaximumBytes is the limit; zero means 32 MiB. A head that needs more is admitted while there is no other.
	MaximumBytes int64

	mu   sync.Mutex
	used int64
}

// Used returns the memory in use.
func (m *HeadMemory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// reserve adds n bytes to the memory of a head that holds some already, and reports whether there is room for them.
func (m *HeadMemory) reserve(n, held int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	maximum := m.MaximumBytes
	if maximum <= 0 {
		maximum = defaultHeadMemory
	}
	if m.used > held && m.used+n > maximum {
		return false
	}
	m.used += n
	return true
}

func (m *HeadMemory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
}

// HeadLimits limits the heads of requests; all fields must be set.
type HeadLimits struct {
	// Bytes returns the limit in force for one head.
	Bytes  func() int
	Memory *HeadMemory
	// OnRefusal is called with ErrHeadTooLarge or ErrHeadMemory for each head that is refused.
	OnRefusal func(err error)
}

// HeadListener returns a listener for an http.Server whose heads are limited while they are read. A head over its limit is answered with
// status 431, and one for which there is no memory with 503; their connections are closed. The server's ReadHeaderTimeout must be
// HeaderTimeoutSentinel and its IdleTimeout IdleTimeoutSentinel: their deadlines show when it begins to read a head.
func HeadListener(lis net.Listener, limits *HeadLimits) net.Listener {
	return &headListener{lis, limits}
}

type headListener struct {
	net.Listener
	limits *HeadLimits
}

// Accept returns the next connection.
func (l *headListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &headConn{Conn: conn, limits: l.limits, reading: true}, nil
}

// headConn counts the bytes and lines of each head.
type headConn struct {
	net.Conn
	limits *HeadLimits

	mu sync.Mutex
	// reading is set while the server reads a head. What it had read before, at the end of the last body, does not count.
	reading      bool
	bytes, lines int64
	// reserved is the shared memory that the last head holds until the next one begins.
	reserved int64
}

// Read reads from the connection and refuses a head that exceeds a limit.
func (c *headConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if refusal := c.count(p[:n]); refusal != nil {
		c.limits.OnRefusal(refusal)
		c.refuse(refusal)
		// The server closes the connection after an error of this type and sends no response of its own.
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: refusal}
	}
	return n, err
}

// HeadCost estimates the memory in bytes that a head of some bytes and lines takes beyond what each connection has for itself.
func HeadCost(bytes, lines int64) int64 {
	return max(0, bytes*headByteCost+lines*headLineCost-headAllowance)
}

func (c *headConn) count(p []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reading {
		return nil
	}
	c.bytes += int64(len(p))
	c.lines += int64(bytes.Count(p, []byte{'\n'}))
	if c.bytes > int64(c.limits.Bytes())+readBufferBytes {
		return ErrHeadTooLarge
	}
	needed := HeadCost(c.bytes, c.lines)
	if needed <= c.reserved {
		return nil
	}
	if !c.limits.Memory.reserve(needed-c.reserved, c.reserved) {
		return ErrHeadMemory
	}
	c.reserved = needed
	return nil
}

// refuse writes a response and reads on for a moment, so that the client can receive it.
func (c *headConn) refuse(refusal error) {
	status, extra := http.StatusRequestHeaderFieldsTooLarge, ""
	if errors.Is(refusal, ErrHeadMemory) {
		status, extra = http.StatusServiceUnavailable, "Retry-After: "+memoryRetryAfter+"\r\n"
	}
	deadline := time.Now().Add(refusalTime)
	if c.Conn.SetDeadline(deadline) != nil {
		return // The connection is closed.
	}
	if _, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), extra); err != nil {
		return
	}
	// Any error ends the wait for the client.
	_, _ = io.Copy(io.Discard, io.LimitReader(c.Conn, refusalBytes))
}

// SetReadDeadline sets a deadline. The server derives it from a sentinel when it waits for a head, and removes it once it has read one.
func (c *headConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	switch {
	case t.IsZero():
		c.reading = false
	case !c.reading && time.Until(t) > HeaderTimeoutSentinel/2:
		c.reading, c.bytes, c.lines = true, 0, 0
		c.releaseLocked()
	}
	c.mu.Unlock()
	return c.Conn.SetReadDeadline(t)
}

func (c *headConn) releaseLocked() {
	if c.reserved > 0 {
		c.limits.Memory.release(c.reserved)
		c.reserved = 0
	}
}

// Close closes the connection and releases the memory of its head.
func (c *headConn) Close() error {
	c.mu.Lock()
	c.releaseLocked()
	c.mu.Unlock()
	return c.Conn.Close()
}
