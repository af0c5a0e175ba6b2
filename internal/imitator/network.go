package imitator

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"
)

const dialTimeout = time.Second

// errReset is what a connection returns whose host was cut off or killed.
var errReset = errors.New("connection reset")

// Network is a stand-in for the network between hosts in one process; the zero value is ready.
//
// ResetOnPause names listeners whose connections a pause resets instead of holding their bytes back: the
// multiplexer keeps a mutex while it writes, and virtual time does not pass while one waits for it.
type Network struct {
	ResetOnPause func(addr string) bool

	mu         sync.Mutex
	listeners  map[string]*memoryListener
	conns      map[*memoryConn]bool
	partitions map[[2]string]bool
	paused     map[string]chan struct{}
}

// Host is the network as one host sees it.
type Host struct {
	network *Network
	name    string
}

// Host returns the network as the named host sees it.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Partition drops all connections between two hosts and allows no new ones until Heal.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions == nil {
		n.partitions = map[[2]string]bool{}
	}
	n.partitions[pairOf(a, b)] = true
	n.drop(func(c *memoryConn) bool { return pairOf(c.local, c.remote) == pairOf(a, b) })
}

// Heal ends a cut.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitions, pairOf(a, b))
}

// Kill drops all connections and listeners of a host.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		if l.host == name {
			l.shut()
		}
	}
	n.drop(func(c *memoryConn) bool { return c.local == name || c.remote == name })
}

// Pause holds back all bytes that a host sends or reads until Resume.
func (n *Network) Pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		n.paused = map[string]chan struct{}{}
	}
	if n.paused[name] == nil {
		n.paused[name] = make(chan struct{})
	}
	n.drop(func(c *memoryConn) bool { return c.resetOnPause && (c.local == name || c.remote == name) })
}

// Resume ends a pause.
func (n *Network) Resume(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if gate := n.paused[name]; gate != nil {
		close(gate)
		delete(n.paused, name)
	}
}

func (n *Network) drop(matches func(*memoryConn) bool) {
	for c := range n.conns {
		if matches(c) {
			c.reset()
			delete(n.conns, c)
		}
	}
}

func (n *Network) gate(name string) chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused[name]
}

// Listen opens a listener at an address.
func (h *Host) Listen(addr string) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners == nil {
		n.listeners = map[string]*memoryListener{}
	}
	if l := n.listeners[addr]; l != nil && !l.isClosed() {
		return nil, fmt.Errorf("listen %s: %w", addr, os.ErrExist)
	}
	l := &memoryListener{host: h.name, addr: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

// Dial connects to an address; a cut makes it wait for the dial timeout.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, cut := h.find(addr)
	if cut {
		<-ctx.Done()
		return nil, dialError(addr, ctx.Err())
	}
	if l == nil || l.isClosed() {
		return nil, dialError(addr, errors.New("connection refused"))
	}
	near, far := h.connect(l)
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	near.Close()
	far.Close()
	return nil, dialError(addr, errReset)
}

func (h *Host) find(addr string) (*memoryListener, bool) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[addr]
	if l == nil {
		return nil, false
	}
	stuck := n.resetsOnPause(addr) && (n.paused[h.name] != nil || n.paused[l.host] != nil)
	return l, stuck || n.partitions[pairOf(h.name, l.host)]
}

func (n *Network) resetsOnPause(addr string) bool {
	return n.ResetOnPause != nil && n.ResetOnPause(addr)
}

func (h *Host) connect(l *memoryListener) (near, far *memoryConn) {
	a, b := net.Pipe()
	broken := make(chan struct{})
	var once sync.Once
	reset := func() { once.Do(func() { close(broken); a.Close(); b.Close() }) }
	resetOnPause := h.network.resetsOnPause(l.addr)
	near = &memoryConn{Conn: a, network: h.network, local: h.name, remote: l.host, broken: broken, reset: reset, resetOnPause: resetOnPause}
	far = &memoryConn{Conn: b, network: h.network, local: l.host, remote: h.name, broken: broken, reset: reset, resetOnPause: resetOnPause}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.conns == nil {
		h.network.conns = map[*memoryConn]bool{}
	}
	h.network.conns[near] = true
	h.network.conns[far] = true
	return near, far
}

func dialError(addr string, err error) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddr(addr), Err: err}
}

func pairOf(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

type memoryAddr string

func (memoryAddr) Network() string  { return "memory" }
func (a memoryAddr) String() string { return string(a) }

type memoryListener struct {
	host     string
	addr     string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.shut()
	return nil
}

func (l *memoryListener) shut() { l.once.Do(func() { close(l.closed) }) }

func (l *memoryListener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.addr) }

// memoryConn is one end of a connection; its bytes wait while its host is paused.
type memoryConn struct {
	net.Conn
	network *Network
	local   string
	remote  string
	broken  chan struct{}
	reset   func()

	resetOnPause bool
}

func (c *memoryConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.wait()
	return n, err
}

func (c *memoryConn) Write(b []byte) (int, error) {
	c.wait()
	return c.Conn.Write(b)
}

func (c *memoryConn) wait() {
	gate := c.network.gate(c.local)
	if gate == nil {
		return
	}
	select {
	case <-gate:
	case <-c.broken:
	}
}

func (c *memoryConn) Close() error {
	c.network.mu.Lock()
	delete(c.network.conns, c)
	c.network.mu.Unlock()
	return c.Conn.Close()
}

func (c *memoryConn) LocalAddr() net.Addr  { return memoryAddr(c.local) }
func (c *memoryConn) RemoteAddr() net.Addr { return memoryAddr(c.remote) }
