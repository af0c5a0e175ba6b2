package forwarder

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

const (
	// eventBytes bounds one event.
	eventBytes = 1 << 20
	// eventBuffer is the read buffer of a stream.
	eventBuffer = 4 << 10
)

// stream relays the events of one or more targets as one answer: each event once, in order, only whole ones.
type stream struct {
	job       *job
	lastEvent string
	last      int
}

// newStream starts after the last event that the client has.
func newStream(j *job) *stream {
	s := &stream{job: j, lastEvent: j.call.LastEvent}
	if id, err := strconv.Atoi(j.call.LastEvent); err == nil {
		s.last = id
	}
	return s
}

// relay passes events on until the target's answer ends; a broken answer gives ErrOpen.
func (s *stream) relay(reply *Response) error {
	r := bufio.NewReaderSize(reply.Body, eventBuffer)
	flusher := http.NewResponseController(s.job.w)
	for {
		event, err := readEvent(r)
		if errors.Is(err, io.EOF) && len(event) == 0 {
			s.job.head(reply)
			return nil
		}
		if err != nil {
			return fmt.Errorf("%w: event after %d: %w", ErrOutcomeUnknown, s.last, err)
		}
		s.job.begin()
		if err := s.accept(event); err != nil {
			return err
		}
		s.job.head(reply)
		if _, err := s.job.w.Write(event); err != nil {
			return fmt.Errorf("%w: client: %w", ErrOutcomeUnknown, err)
		}
		if err := flusher.Flush(); err != nil {
			return fmt.Errorf("%w: client: %w", ErrOutcomeUnknown, err)
		}
	}
}

// accept checks that an event follows the one before.
func (s *stream) accept(event []byte) error {
	id, ok := eventID(event)
	if !ok {
		return nil
	}
	if id <= s.last {
		return fmt.Errorf("%w: event %d after %d", ErrOutcomeUnknown, id, s.last)
	}
	s.last, s.lastEvent = id, strconv.Itoa(id)
	return nil
}

// readEvent reads up to the empty line that ends an event; io.EOF comes without any bytes only between events.
func readEvent(r *bufio.Reader) ([]byte, error) {
	var event []byte
	for {
		line, err := r.ReadBytes('\n')
		event = append(event, line...)
		switch {
		case errors.Is(err, io.EOF) && len(event) > 0:
			return event, io.ErrUnexpectedEOF
		case err != nil:
			return event, err
		case len(bytes.TrimRight(line, "\r\n")) == 0:
			return event, nil
		case len(event) > eventBytes:
			return event, fmt.Errorf("event of more than %d bytes", eventBytes)
		}
	}
}

// eventID finds the id line of an event.
func eventID(event []byte) (int, bool) {
	for _, line := range strings.Split(string(event), "\n") {
		if value, ok := strings.CutPrefix(line, "id:"); ok {
			id, err := strconv.Atoi(strings.TrimSpace(value))
			return id, err == nil
		}
	}
	return 0, false
}
