package pooler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
)

// Errors of an exchange.
var (
	// ErrNotSent is returned when no byte of the request was sent.
	ErrNotSent = errors.New("request not sent")
	// ErrBroken is returned when the connection failed; the target may have run the request.
	ErrBroken = errors.New("connection broken")
	// ErrUnexpectedResponse is returned when the target sent the response to another request, or data that is not HTTP;
	// the target may have run the request.
	ErrUnexpectedResponse = errors.New("response does not match the request")
	// ErrConnectionLimit is returned when this instance has reached its limit of open connections to the target.
	ErrConnectionLimit = errors.New("connection limit reached")
)

const (
	// dialTimeout bounds connection setup, which takes a few milliseconds if the target is up. A lost SYN is
	// retransmitted only after a second, so a slightly longer timeout would not help.
	dialTimeout = 200 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the target sends no Keep-Alive timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the target's own timeout an idle connection is closed.
	idleMargin = 500 * time.Millisecond
	// sweepInterval is how often idle connections are checked.
	sweepInterval = time.Second
	// readBufferBytes is the size of the read buffer of each connection.
	readBufferBytes = 8 << 10
	// maximumBytesBeforeBody limits what is read for a request before the body of its response: heads, informational
	// responses and responses to earlier requests.
	maximumBytesBeforeBody = 1 << 20
)

// Pool keeps idle connections by address; the zero value is ready to use and dials TCP.
type Pool struct {
	// Dial opens a connection; nil means TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
	// ReceiveBytes is the size of the receive buffer of each TCP connection; zero leaves it to the kernel, which lets it grow with what a target sends.
	ReceiveBytes int
	// Memory bounds what the heads of all responses use; nil does not.
	Memory *reserver.Memory

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
}

// get returns a connection that has been idle for at most maximumIdle, or opens a new one. It closes the idle
// connections that it finds unusable.
//
// If limit is positive, at most limit connections to the address are open at once.
func (p *Pool) get(ctx context.Context, addr string, maximumIdle time.Duration, limit int) (*conn, error) {
	for {
		c := p.popIdle(addr)
		if c == nil {
			break
		}
		if c.reused = true; time.Since(c.idleSince) <= maximumIdle && time.Now().Before(c.expiresAt) && c.healthy() {
			return c, nil
		}
		c.close()
	}
	return p.connect(ctx, addr, limit)
}

// connect opens a new connection, within the limit.
func (p *Pool) connect(ctx context.Context, addr string, limit int) (*conn, error) {
	if !p.reserve(addr, limit) {
		return nil, fmt.Errorf("%w: %w: %s", ErrNotSent, ErrConnectionLimit, addr)
	}
	nc, err := p.dial(ctx, addr)
	if err != nil {
		p.release(addr)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(p, addr, nc), nil
}

// dial opens a connection within dialTimeout.
func (p *Pool) dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	if p.Dial != nil {
		return p.Dial(ctx, addr)
	}
	return p.dialTCP(ctx, addr)
}

// Reachable reports whether addr accepts connections. The connection that it opens is closed again.
func (p *Pool) Reachable(ctx context.Context, addr string) bool {
	nc, err := p.dial(ctx, addr)
	if err != nil {
		return false
	}
	nc.Close()
	return true
}

// Probe is Reachable within a limit of open connections to addr, where zero means no limit. It tries nothing if the limit is
// reached.
func (p *Pool) Probe(ctx context.Context, addr string, limit int) (reached, tried bool) {
	if !p.reserve(addr, limit) {
		return false, false
	}
	defer p.release(addr)
	return p.Reachable(ctx, addr), true
}

func (p *Pool) dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	// Keep-alive probes every second detect a peer that went silent while the connection was idle.
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}}
	if p.ReceiveBytes > 0 {
		d.Control = networker.ReceiveBuffer(p.ReceiveBytes)
	}
	return d.DialContext(ctx, "tcp", addr)
}

// popIdle removes and returns the most recently used idle connection, or nil.
func (p *Pool) popIdle(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[addr]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[addr] = list[:len(list)-1]
	return c
}

// reserve counts a connection to addr as open, unless the limit is reached.
func (p *Pool) reserve(addr string, limit int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open == nil {
		p.open = map[string]int{}
	}
	if limit > 0 && p.open[addr] >= limit {
		return false
	}
	p.open[addr]++
	return true
}

// release undoes reserve.
func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[addr]--; p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

// put adds a connection to the idle connections.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	c.idleSince = time.Now()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Sweep periodically closes idle connections that have expired or that the target has closed, until ctx ends.
func (p *Pool) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range p.removeExpired() {
			c.close()
		}
	}
}

// removeExpired removes the expired and the unhealthy connections from the idle ones and returns them.
func (p *Pool) removeExpired() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var expired []*conn
	for addr, list := range p.idle {
		var usable []*conn
		for _, c := range list {
			if time.Now().Before(c.expiresAt) && c.healthy() {
				usable = append(usable, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(usable) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = usable
	}
	return expired
}

// healthy reports whether an idle connection is open and has received no unsolicited data. A connection that is not a
// socket is assumed to be open.
func (c *conn) healthy() bool {
	sc, ok := c.socket.(syscall.Conn)
	if !ok || c.r.Buffered() > 0 {
		return c.r.Buffered() == 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && alive
}
