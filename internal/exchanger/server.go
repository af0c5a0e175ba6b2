package exchanger

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
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
	// maximumMessageBytes is the greatest size of a request; the client has the same limit for replies.
	maximumMessageBytes = 4 << 20
	// minimumAcceptPause and maximumAcceptPause bound the pause after a failed Accept, which doubles with each failure in a row.
	minimumAcceptPause = 5 * time.Millisecond
	maximumAcceptPause = time.Second
	// minimumSessionTime is how long a session is kept before a new one replaces it. sessionPause is the pause between looks at the oldest one.
	minimumSessionTime = 250 * time.Millisecond
	sessionPause       = 20 * time.Millisecond
)

// Errors of sessions.
var (
	// ErrMessageTooLarge is returned for a request that exceeds the greatest size.
	ErrMessageTooLarge = errors.New("message too large")
	// ErrMemory is returned when the memory for requests that are not handled yet is full.
	ErrMemory = errors.New("memory limit of peers' messages reached")
)

// Handler handles a peer's request and returns the reply.
type Handler interface {
	Handle(req *messenger.Request) *messenger.Reply
}

// Refusal says what a server has refused.
type Refusal int

// Kinds of refusals.
const (
	// AcceptFailed means that a connection could not be accepted.
	AcceptFailed Refusal = iota
	// SessionReplaced means that the least recently used session was closed for a new one.
	SessionReplaced
	// MemoryFull means that a session was closed because there was no memory for what it sent.
	MemoryFull
	// MessageRefused means that a message was too large, or not readable.
	MessageRefused
)

// Server accepts yamux sessions from peers; NewRequest and Answer must be set.
type Server struct {
	// NewRequest returns an empty message to decode a request into.
	NewRequest func() proto.Message
	// Answer returns the reply to a request.
	Answer func(req proto.Message) proto.Message
	Logger *zap.Logger
	// MaximumSessions is the number of sessions that may be open at once; zero means no limit. A new one replaces the one that was used
	// least recently.
	MaximumSessions int
	// MaximumStreams is the number of requests of one session that are handled at once, and that wait; zero means the default of yamux for
	// those that wait and no limit for the others.
	MaximumStreams int
	// MaximumBytes is the memory for requests of all sessions that are not handled yet; zero means no limit.
	MaximumBytes int64
	// OnRefusal is called for each refusal; it may be nil.
	OnRefusal func(r Refusal)

	sessions sessionList
	held     atomic.Int64
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
		s.start(ctx, conn)
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

// start starts a session, in place of another one if there are too many.
func (s *Server) start(ctx context.Context, conn net.Conn) {
	held := &heldConn{Conn: conn, server: s}
	cfg := sessionConfig(s.Logger)
	if s.MaximumStreams > 0 {
		cfg.AcceptBacklog = s.MaximumStreams
	}
	session, err := yamux.Server(held, cfg)
	if err != nil {
		s.logger().Error("cannot start session of a peer", zap.Error(err))
		conn.Close()
		return
	}
	if s.sessions.add(ctx, session, s.MaximumSessions) {
		s.refused(SessionReplaced)
	}
	go s.serveSession(ctx, session, held)
}

func (s *Server) serveSession(ctx context.Context, session *yamux.Session, conn *heldConn) {
	defer conn.end()
	defer session.Close()
	defer s.sessions.remove(session)
	stop := context.AfterFunc(ctx, func() { session.Close() })
	defer stop()
	var handled chan struct{}
	if s.MaximumStreams > 0 {
		handled = make(chan struct{}, s.MaximumStreams)
	}
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		s.sessions.use(session)
		if handled != nil {
			select {
			case handled <- struct{}{}:
			case <-session.CloseChan():
				return
			}
		}
		go func() {
			s.serveStream(stream)
			conn.release(stream.StreamID())
			if handled != nil {
				<-handled
			}
		}()
	}
}

func (s *Server) serveStream(stream net.Conn) {
	defer stream.Close()
	if err := stream.SetDeadline(time.Now().Add(streamTimeout)); err != nil {
		return
	}
	req := s.NewRequest()
	if err := readMessage(bufio.NewReader(stream), req); err != nil {
		if errors.Is(err, ErrMessageTooLarge) || errors.Is(err, proto.Error) {
			s.refused(MessageRefused)
		}
		return
	}
	protodelim.MarshalTo(stream, s.Answer(req))
}

// readMessage reads a message and its length. It allocates memory only for what has arrived, whatever length was announced.
func readMessage(r *bufio.Reader, m proto.Message) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maximumMessageBytes {
		return fmt.Errorf("%w: %d bytes", ErrMessageTooLarge, size)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return err
	}
	if uint64(len(data)) < size {
		return io.ErrUnexpectedEOF
	}
	return proto.Unmarshal(data, m)
}
