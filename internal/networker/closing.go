package networker

import (
	"errors"
	"net"
	"net/http"
	"sync"
)

// ClosingListener can stop accepting connections before it is closed: an http.Server takes the end of its listener for a failure. Only
// Listener must be set.
type ClosingListener struct {
	net.Listener

	stopOnce, closeOnce sync.Once
	mu                  sync.Mutex
	closed              chan struct{}
	unused              map[net.Conn]bool
}

// whenClosed returns a channel that ends once the listener is closed.
func (l *ClosingListener) whenClosed() chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed == nil {
		l.closed = make(chan struct{})
	}
	return l.closed
}

// Accept returns the next connection. Once the listener accepts none any more, it waits until the listener is closed.
func (l *ClosingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-l.whenClosed()
	}
	return conn, err
}

// StopAccepting lets new connections be refused.
func (l *ClosingListener) StopAccepting() error {
	var err error
	l.stopOnce.Do(func() { err = l.Listener.Close() })
	return err
}

// Close closes the listener.
func (l *ClosingListener) Close() error {
	err := l.StopAccepting()
	l.closeOnce.Do(func() { close(l.whenClosed()) })
	return err
}

// ConnState follows which connections have brought no request yet; it is meant for http.Server.ConnState.
func (l *ClosingListener) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state != http.StateNew {
		delete(l.unused, conn)
		return
	}
	if l.unused == nil {
		l.unused = map[net.Conn]bool{}
	}
	l.unused[conn] = true
}

// CloseUnused closes the connections that have brought no request.
func (l *ClosingListener) CloseUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.unused {
		conn.Close()
	}
}
