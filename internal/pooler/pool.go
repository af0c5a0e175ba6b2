package pooler

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Errors of an exchange.
var (
	// ErrNotSent is returned when not a byte of the request left this process.
	ErrNotSent = errors.New("request not sent")
	// ErrBroken is returned when the connection failed; the target may have run the request.
	ErrBroken = errors.New("connection broken")
	// ErrUnexpectedResponse is returned when another request's answer, or no HTTP, came back; the target may have run the request.
	ErrUnexpectedResponse = errors.New("answer does not belong to the request")
	// ErrConnectionLimit is returned when all connections to the target that this instance may open are in use.
	ErrConnectionLimit = errors.New("no connection free")
)

const (
	// dialTimeout bounds the set-up of a connection, which takes some milliseconds where the target lives; a lost first
	// packet is sent again only after a second, so nothing comes of a longer wait.
	dialTimeout = 200 * time.Millisecond
	// defaultIdle is how long a connection is kept if the target names no time.
	defaultIdle = 4 * time.Second
	// idleMargin is how much sooner than the target a connection is closed here.
	idleMargin = 500 * time.Millisecond
	// sweepPause is how often idle connections are checked.
	sweepPause = time.Second
	// readBufferBytes is the buffer of each connection.
	readBufferBytes = 8 << 10
)

// Pool keeps connections by address; the zero value dials TCP and is ready.
type Pool struct {
	// Dial opens a connection; nil stands for TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)

	mu   sync.Mutex
	idle map[string][]*conn
	open map[string]int
}

// get returns an idle connection that was used no longer than freshness ago, or opens one.
//
// No more than limit connections to the address are open at once, if limit is more than zero.
func (p *Pool) get(ctx context.Context, addr string, freshness time.Duration, limit int) (*conn, error) {
	for {
		c := p.takeIdle(addr)
		if c == nil {
			break
		}
		if c.reused = true; time.Since(c.since) <= freshness && time.Now().Before(c.until) && c.quiet() {
			return c, nil
		}
		c.close()
	}
	if !p.reserve(addr, limit) {
		return nil, fmt.Errorf("%w: %w: %s", ErrNotSent, ErrConnectionLimit, addr)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dial := p.Dial
	if dial == nil {
		dial = dialTCP
	}
	nc, err := dial(ctx, addr)
	if err != nil {
		p.release(addr)
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	return newConn(p, addr, nc), nil
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	// Probes of a second find a silent peer on an idle connection.
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 3}}
	return d.DialContext(ctx, "tcp", addr)
}

func (p *Pool) takeIdle(addr string) *conn {
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

func (p *Pool) release(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open[addr]--; p.open[addr] <= 0 {
		delete(p.open, addr)
	}
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	c.since = time.Now()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// Sweep closes idle connections that have ended or are past their time, until ctx ends.
func (p *Pool) Sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepPause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, c := range p.expired() {
			c.close()
		}
	}
}

func (p *Pool) expired() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []*conn
	for addr, list := range p.idle {
		var kept []*conn
		for _, c := range list {
			if time.Now().Before(c.until) && c.quiet() {
				kept = append(kept, c)
			} else {
				out = append(out, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = kept
	}
	return out
}

// quiet tells that an idle connection is open and that nothing was sent on it unasked.
func (c *conn) quiet() bool {
	sc, ok := c.Conn.(syscall.Conn)
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
