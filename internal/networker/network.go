package networker

import (
	"context"
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/inspector"
)

const (
	dialTimeout            = time.Second
	idleTimeout            = 30 * time.Second
	maximumIdlePerHost     = 256
	maximumIdleConnections = 4096
)

// Network opens listeners and connections.
type Network interface {
	Listen(addr string) (net.Listener, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// ListenWithBuffer opens a TCP listener whose connections hold at most some number of received bytes, or about twice as many, that have not
// been read. The receive buffers of the kernel count as the process's memory on some machines.
func ListenWithBuffer(addr string, receiveBytes int) (net.Listener, error) {
	cfg := net.ListenConfig{Control: ReceiveBuffer(receiveBytes)}
	return cfg.Listen(context.Background(), "tcp", addr)
}

// ReceiveBuffer returns a function for net.ListenConfig.Control and net.Dialer.Control that sets the receive buffer of a socket to some bytes. The kernel
// lets it hold about twice as many.
func ReceiveBuffer(bytes int) func(network, addr string, conn syscall.RawConn) error {
	return func(_, _ string, conn syscall.RawConn) error {
		var failed error
		err := conn.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes)
		})
		return errors.Join(err, failed)
	}
}

// TCP is the Network of the host.
type TCP struct{}

// Listen opens a TCP listener.
func (TCP) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial opens a TCP connection.
func (TCP) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// maximumHeadBytes limits the head of a response to a client of this package.
const maximumHeadBytes = 256 << 10

// CheckedTransport completes t, whose DialContext must be set, so that it fails requests whose responses are reset or not in order.
func CheckedTransport(t *http.Transport) http.RoundTripper {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return ReportResets(conn), nil
	}
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = maximumHeadBytes
	}
	return &inspector.Transport{RoundTripper: t}
}

// Client returns an HTTP client that connects through n and follows no redirects. Without reuse, each request uses a
// new connection, because http.Transport may resend a request that failed on a reused one.
func Client(n Network, reuse bool) *http.Client {
	return &http.Client{
		Transport: CheckedTransport(&http.Transport{
			DialContext: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return n.Dial(ctx, addr)
			},
			DisableKeepAlives:   !reuse,
			DisableCompression:  true,
			MaxIdleConns:        maximumIdleConnections,
			MaxIdleConnsPerHost: maximumIdlePerHost,
			IdleConnTimeout:     idleTimeout,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
