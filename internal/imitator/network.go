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

// errReset is returned by Dial if the listener closes, or the dial times out, before the connection is accepted.
var errReset = errors.New("connection reset")

// Network is a stand-in for the network between hosts, within one process; the zero value is ready.
//
// ResetOnPause selects the listeners whose connections Pause resets instead of holding back their bytes: the
// multiplexer holds a mutex while it writes, and virtual time does not advance while a goroutine waits for that mutex.
type Network struct {
	ResetOnPause func(addr string) bool

	mu         sync.Mutex
	listeners  map[string]*memoryListener
	conns      map[*memoryConn]bool
	partitions map[[2]string]bool
	paused     map[string]chan struct{}
}

// Host is one host's view of the network.
type Host struct {
	network *Network
	name    string
}

// Host returns the named host's view of the network.
func (n *Network) Host(name string) *Host { return &Host{network: n, name: name} }

// Partition resets all connections between two hosts and blocks new ones until Heal.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions == nil {
		n.partitions = map[[2]string]bool{}
	}
	n.partitions[hostPair(a, b)] = true
	n.resetConns(func(c *memoryConn) bool { return hostPair(c.local, c.remote) == hostPair(a, b) })
}

// Heal ends the partition between two hosts.
func (n *Network) Heal(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitions, hostPair(a, b))
}

// Kill resets all connections of a host and closes its listeners.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.listeners {
		if l.host == name {
			l.closeOnce()
		}
	}
	n.resetConns(func(c *memoryConn) bool { return c.local == name || c.remote == name })
}

// Pause holds back all bytes that a host sends or reads until Resume; connections to listeners that ResetOnPause selects
// are reset instead.
func (n *Network) Pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused == nil {
		n.paused = map[string]chan struct{}{}
	}
	if n.paused[name] == nil {
		n.paused[name] = make(chan struct{})
	}
	n.resetConns(func(c *memoryConn) bool { return c.resetOnPause && (c.local == name || c.remote == name) })
}

// Resume ends a pause.
func (n *Network) Resume(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if resumed := n.paused[name]; resumed != nil {
		close(resumed)
		delete(n.paused, name)
	}
}

func (n *Network) resetConns(matches func(*memoryConn) bool) {
	for c := range n.conns {
		if matches(c) {
			c.reset()
			delete(n.conns, c)
		}
	}
}

// resumed returns the channel that Resume closes, or nil if the host is not paused.
func (n *Network) resumed(name string) chan struct{} {
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

// Dial connects to an address; if a partition or a pause blocks new connections to it, Dial fails after dialTimeout.
func (h *Host) Dial(ctx context.Context, addr string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	l, blocked := h.find(addr)
	if blocked {
		<-ctx.Done()
		return nil, dialError(addr, ctx.Err())
	}
	if l == nil || l.isClosed() {
		return nil, dialError(addr, errors.New("connection refused"))
	}
	clientConn, serverConn := h.connect(l)
	select {
	case l.accepted <- serverConn:
		return clientConn, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	clientConn.Close()
	serverConn.Close()
	return nil, dialError(addr, errReset)
}

// find returns the listener at an address and whether a partition or a pause blocks connections to it.
func (h *Host) find(addr string) (*memoryListener, bool) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[addr]
	if l == nil {
		return nil, false
	}
	blockedByPause := n.resetsOnPause(addr) && (n.paused[h.name] != nil || n.paused[l.host] != nil)
	return l, blockedByPause || n.partitions[hostPair(h.name, l.host)]
}

func (n *Network) resetsOnPause(addr string) bool {
	return n.ResetOnPause != nil && n.ResetOnPause(addr)
}

func (h *Host) connect(l *memoryListener) (clientConn, serverConn *memoryConn) {
	a, b := net.Pipe()
	broken := make(chan struct{})
	var once sync.Once
	reset := func() { once.Do(func() { close(broken); a.Close(); b.Close() }) }
	resetOnPause := h.network.resetsOnPause(l.addr)
	clientConn = &memoryConn{Conn: a, network: h.network, local: h.name, remote: l.host, broken: broken, reset: reset, resetOnPause: resetOnPause}
	serverConn = &memoryConn{Conn: b, network: h.network, local: l.host, remote: h.name, broken: broken, reset: reset, resetOnPause: resetOnPause}
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if h.network.conns == nil {
		h.network.conns = map[*memoryConn]bool{}
	}
	h.network.conns[clientConn] = true
	h.network.conns[serverConn] = true
	return clientConn, serverConn
}

func dialError(addr string, err error) error {
	return &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddr(addr), Err: err}
}

func hostPair(a, b string) [2]string {
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
	l.closeOnce()
	return nil
}

func (l *memoryListener) closeOnce() { l.once.Do(func() { close(l.closed) }) }

func (l *memoryListener) isClosed() bool {
	select {
	case <-l.closed:
		return true
	default:
		return false
	}
}

func (l *memoryListener) Addr() net.Addr { return memoryAddr(l.addr) }

// memoryConn is one end of a connection; its reads and writes block while its host is paused.
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
	c.waitWhilePaused()
	return n, err
}

func (c *memoryConn) Write(b []byte) (int, error) {
	c.waitWhilePaused()
	return c.Conn.Write(b)
}

func (c *memoryConn) waitWhilePaused() {
	resumed := c.network.resumed(c.local)
	if resumed == nil {
		return
	}
	select {
	case <-resumed:
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
