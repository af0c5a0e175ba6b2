package forwarder

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/inspector"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
)

const (
	maximumEventBytes = 1 << 20
	// eventBufferBytes is the size of a stream's read buffer.
	eventBufferBytes = 4 << 10
)

// stream relays the events of one or more targets as one response: each event once, complete and in order.
type stream struct {
	requestState *requestState
	lastEvent    string
	lastID       int
}

// newStream returns a stream that starts after the last event that the client received.
func newStream(rs *requestState) *stream {
	s := &stream{requestState: rs, lastEvent: rs.call.LastEvent}
	if id, err := strconv.Atoi(rs.call.LastEvent); err == nil {
		s.lastID = id
	}
	return s
}

// relay forwards the events of a target, or of a peer if t is nil, until the target's response ends; it returns ErrOutcomeUnknown if the response breaks off.
func (s *stream) relay(ctx context.Context, response *Response, t *registrar.Target) error {
	queue := readEvents(response.Body, &s.requestState.f.ReadAhead, s.requestState.f.Memory, func() {
		if t != nil {
			s.requestState.f.Reach.Answered(t.Address)
		}
	})
	defer queue.close()
	flusher := http.NewResponseController(s.requestState.w)
	var first, last time.Time
	events := 0
	for {
		event, partial, err := queue.next()
		if err == io.EOF && !partial {
			if events == 0 && (response.Unframed || !s.goesOn()) {
				return fmt.Errorf("%w: %w: no events after event %d", ErrOutcomeUnknown, inspector.ErrEmpty, s.lastID)
			}
			s.requestState.writeHeader(response)
			s.requestState.observeAnswer(t, first, last, events)
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: reading the event after %d: %w", ErrOutcomeUnknown, s.lastID, err)
		}
		last = time.Now()
		if events++; events == 1 {
			first = last
		}
		s.requestState.markStarted()
		if !isComment(event) {
			if err := s.advance(event); err != nil {
				return err
			}
		}
		if t != nil {
			s.requestState.begin(ctx, t.Build)
		}
		s.requestState.writeHeader(response)
		if _, err := s.requestState.w.Write(event); err != nil {
			return fmt.Errorf("%w: writing to the client: %w", ErrOutcomeUnknown, err)
		}
		if err := flusher.Flush(); err != nil {
			return fmt.Errorf("%w: writing to the client: %w", ErrOutcomeUnknown, err)
		}
	}
}

// goesOn reports whether the client has received events of the stream: a target may then have none left.
func (s *stream) goesOn() bool { return s.lastID > 0 || s.requestState.call.goesOn() }

// advance moves the stream's position to an event; it fails if the event's ID is not higher than the last one. What has no ID is not
// an event of the stream: it may be the text of an error.
func (s *stream) advance(event []byte) error {
	id, ok := eventID(event)
	if !ok {
		return fmt.Errorf("%w: %w: received %.40q, which has no event ID, after event %d", ErrOutcomeUnknown, inspector.ErrContent, event, s.lastID)
	}
	if id <= s.lastID {
		return fmt.Errorf("%w: %w: received event %d after event %d", ErrOutcomeUnknown, inspector.ErrContent, id, s.lastID)
	}
	s.lastID, s.lastEvent = id, strconv.Itoa(id)
	return nil
}

// isComment reports whether an event consists only of comments and reconnection times, which are no part of the stream's content.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' && !bytes.HasPrefix(line, []byte("retry:")) {
			return false
		}
	}
	return true
}

// errEventMemory is the error of an event for which there is no memory.
var errEventMemory = fmt.Errorf("no memory for an event: %w", reserver.ErrFull)

// event is an event of a stream, and how much of the memory of responses it holds.
type event struct {
	data     []byte
	reserved int64
}

const (
	// eventAllowance is the memory that one event of each stream has for itself.
	eventAllowance = 16 << 10
	// eventOverhead is the memory that an event takes beside its bytes.
	eventOverhead = 64
)

// size returns the memory that the event takes.
func (e *event) size() int64 { return int64(len(e.data)) + eventOverhead }

// grow makes room for n more bytes.
func (e *event) grow(n int, memory *reserver.Memory) error {
	if len(e.data)+n <= cap(e.data) {
		return nil
	}
	capacity := max(2*cap(e.data), len(e.data)+n)
	needed := int64(max(0, capacity-eventAllowance))
	if !memory.Reserve(needed - e.reserved) {
		return errEventMemory
	}
	e.reserved = needed
	e.data = append(make([]byte, 0, capacity), e.data...)
	return nil
}

// readEvent reads one event up to and including its empty line. It returns io.EOF only between events, without any bytes. The caller must release what
// the event has reserved.
func readEvent(r *bufio.Reader, memory *reserver.Memory) (e event, err error) {
	lineStart := 0
	for {
		chunk, err := r.ReadSlice('\n')
		if growErr := e.grow(len(chunk), memory); growErr != nil {
			return e, growErr
		}
		e.data = append(e.data, chunk...)
		switch {
		case len(e.data) > maximumEventBytes:
			return e, fmt.Errorf("event: %w: over %d bytes", reserver.ErrTooLong, maximumEventBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case errors.Is(err, io.EOF) && len(e.data) > 0:
			return e, fmt.Errorf("%w: inside an event: %w", inspector.ErrBrokenOff, io.ErrUnexpectedEOF)
		case err != nil:
			return e, err
		case len(bytes.TrimRight(e.data[lineStart:], "\r\n")) == 0:
			return e, nil
		}
		lineStart = len(e.data)
	}
}

// eventID returns the numeric ID of an event, or false if it has none.
func eventID(event []byte) (int, bool) {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, err := strconv.Atoi(string(bytes.TrimSpace(value)))
			return id, err == nil
		}
	}
	return 0, false
}
