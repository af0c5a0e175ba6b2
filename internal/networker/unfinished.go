package networker

import (
	"context"
	"net"
)

// defaultLinger lets the kernel send what is left when a connection is closed, and then the end of the stream.
const defaultLinger = -1

// ResetUntil lets the connection of a request end with a reset, also if the process ends, until finish is called. It is meant for clients that take
// the end of the connection for the end of the answer. ctx is the context of a request of a ClosingListener.
func ResetUntil(ctx context.Context) (finish func(), err error) {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	tcp := tcpConn(conn)
	if tcp == nil {
		return func() {}, nil
	}
	if err := tcp.SetLinger(0); err != nil {
		return func() {}, err
	}
	return func() {
		// An error means that the connection is closed.
		_ = tcp.SetLinger(defaultLinger)
	}, nil
}

// tcpConn returns the TCP connection under the connections of this package, or nil if there is none.
func tcpConn(conn net.Conn) *net.TCPConn {
	for {
		switch c := conn.(type) {
		case *net.TCPConn:
			return c
		case *closingConn:
			conn = c.Conn
		case *headConn:
			conn = c.Conn
		case *timeoutConn:
			conn = c.Conn
		case *slotConn:
			conn = c.Conn
		case *countedConn:
			conn = c.Conn
		default:
			return nil
		}
	}
}
