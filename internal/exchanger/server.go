package exchanger

import (
	"bufio"
	"context"
	"errors"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"go.uber.org/zap"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
)

const (
	// streamTimeout bounds reading a request and writing its reply, including the time to handle it.
	streamTimeout = 5 * time.Second
	// minimumAcceptPause and maximumAcceptPause bound the pause after a failed Accept, which doubles with each failure in a row.
	minimumAcceptPause = 5 * time.Millisecond
	maximumAcceptPause = time.Second
)

// Handler handles a peer's request and returns the reply.
type Handler interface {
	Handle(req *messenger.Request) *messenger.Reply
}

// Refusal says what a server has refused.
type Refusal int

// AcceptFailed means that a connection could not be accepted.
const AcceptFailed Refusal = iota

// Server accepts yamux sessions from peers; NewRequest and Answer must be set.
type Server struct {
	// NewRequest returns an empty message to decode a request into.
	NewRequest func() proto.Message
	// Answer returns the reply to a request.
	Answer func(req proto.Message) proto.Message
	Logger *zap.Logger
	// OnRefusal is called for each refusal; it may be nil.
	OnRefusal func(r Refusal)
}

// ForHandler returns a server of messenger requests, which h handles.
func ForHandler(h Handler, logger *zap.Logger) *Server {
	return &Server{
		NewRequest: func() proto.Message { return &messenger.Request{} },
		Answer:     func(req proto.Message) proto.Message { return h.Handle(req.(*messenger.Request)) },
		Logger:     logger,
	}
}

// Serve accepts sessions until ctx ends or the listener is closed.
func (s *Server) Serve(ctx context.Context, lis net.Listener) {
	stop := context.AfterFunc(ctx, func() { lis.Close() })
	defer stop()
	pause := minimumAcceptPause
	for {
		conn, err := lis.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			s.refused(AcceptFailed)
			s.logger().Warn("cannot accept connection of a peer", zap.Error(err))
			select {
			case <-ctx.Done():
			case <-time.After(pause):
			}
			pause = min(2*pause, maximumAcceptPause)
			continue
		}
		pause = minimumAcceptPause
		go s.serveConn(ctx, conn)
	}
}

func (s *Server) logger() *zap.Logger {
	if s.Logger == nil {
		return zap.NewNop()
	}
	return s.Logger
}

func (s *Server) refused(r Refusal) {
	if s.OnRefusal != nil {
		s.OnRefusal(r)
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	session, err := yamux.Server(conn, sessionConfig(s.Logger))
	if err != nil {
		conn.Close()
		return
	}
	defer session.Close()
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		go s.serveStream(stream)
	}
}

func (s *Server) serveStream(stream net.Conn) {
	defer stream.Close()
	if err := stream.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		return
	}
	req := s.NewRequest()
	if err := protodelim.UnmarshalFrom(bufio.NewReader(stream), req); err != nil {
		return
	}
	protodelim.MarshalTo(stream, s.Answer(req))
}
