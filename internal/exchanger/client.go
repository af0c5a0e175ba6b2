package exchanger

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
)

// ErrUnreachable is returned when a peer cannot be reached or sends no reply in time.
var ErrUnreachable = errors.New("peer unreachable")

// defaultCallTimeout bounds sending a request and reading its reply if the context has no deadline; it does not cover
// opening the session.
const defaultCallTimeout = time.Second

// Client sends requests to peers and keeps one yamux session to each; Dial must be set.
type Client struct {
	Dial   func(ctx context.Context, addr string) (net.Conn, error)
	Logger *zap.Logger

	mu       sync.Mutex
	sessions map[string]*yamux.Session
}

// Call sends a request to the peer at addr and returns its reply; errors wrap ErrUnreachable.
func (c *Client) Call(ctx context.Context, addr string, req *messenger.Request) (*messenger.Reply, error) {
	reply := &messenger.Reply{}
	if err := c.Exchange(ctx, addr, req, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// Exchange sends req to the peer at addr and decodes the peer's reply into reply; errors wrap ErrUnreachable.
func (c *Client) Exchange(ctx context.Context, addr string, req, reply proto.Message) error {
	session, err := c.session(ctx, addr)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, addr, err)
	}
	if err := exchange(ctx, session, req, reply); err != nil {
		c.drop(addr, session)
		return fmt.Errorf("%w: %s: %w", ErrUnreachable, addr, err)
	}
	return nil
}

// Close closes all sessions.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.sessions {
		s.Close()
	}
	c.sessions = nil
}

// session returns the open session to addr, or opens one. If several goroutines open one at the same time, the first to
// be stored is kept.
func (c *Client) session(ctx context.Context, addr string) (*yamux.Session, error) {
	c.mu.Lock()
	s := c.sessions[addr]
	c.mu.Unlock()
	if s != nil && !s.IsClosed() {
		return s, nil
	}
	conn, err := c.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	s, err = yamux.Client(conn, sessionConfig(c.Logger))
	if err != nil {
		conn.Close()
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if existing := c.sessions[addr]; existing != nil && !existing.IsClosed() {
		s.Close()
		return existing, nil
	}
	if c.sessions == nil {
		c.sessions = map[string]*yamux.Session{}
	}
	c.sessions[addr] = s
	return s, nil
}

// drop closes a session after a failed exchange, so that the next call opens a new one.
func (c *Client) drop(addr string, s *yamux.Session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sessions[addr] == s {
		delete(c.sessions, addr)
	}
	s.Close()
}

// exchange sends req on a stream of its own and reads the reply.
func exchange(ctx context.Context, session *yamux.Session, req, reply proto.Message) error {
	stream, err := session.OpenStream()
	if err != nil {
		return err
	}
	defer stream.Close()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(defaultCallTimeout)
	}
	if err := stream.SetDeadline(deadline); err != nil {
		return err
	}
	if _, err := protodelim.MarshalTo(stream, req); err != nil {
		return err
	}
	return protodelim.UnmarshalFrom(bufio.NewReader(stream), reply)
}

func sessionConfig(logger *zap.Logger) *yamux.Config {
	if logger == nil {
		logger = zap.NewNop()
	}
	cfg := yamux.DefaultConfig()
	cfg.LogOutput = nil
	cfg.Logger = zap.NewStdLog(logger)
	return cfg
}
