package networker

import (
	"errors"
	"net"
	"net/http"
	"sync"
)

// ClosingListener can stop accepting connections before it is closed: an http.Server takes the end of its listener for a failure.
type ClosingListener struct {
	net.Listener
	stopOnce, closeOnce sync.Once
	closed              chan struct{}
	mu                  sync.Mutex
	unused              map[net.Conn]bool
}

// NewClosingListener returns a listener that accepts the connections of lis.
func NewClosingListener(lis net.Listener) *ClosingListener {
	return &ClosingListener{Listener: lis, closed: make(chan struct{}), unused: map[net.Conn]bool{}}
}

// Accept returns the next connection. Once the listener accepts none any more, it waits until the listener is closed.
func (l *ClosingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		<-l.closed
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
	l.closeOnce.Do(func() { close(l.closed) })
	return err
}

// ConnState follows which connections have brought no request yet; it is meant for http.Server.ConnState.
func (l *ClosingListener) ConnState(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if state == http.StateNew {
		l.unused[conn] = true
		return
	}
	delete(l.unused, conn)
}

// CloseUnused closes the connections that have brought no request.
func (l *ClosingListener) CloseUnused() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.unused {
		conn.Close()
	}
}
