package chatter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// ErrTooLong is returned for a server-sent event that exceeds the size limit.
var ErrTooLong = errors.New("event too long")

const maximumEventBytes = 1 << 20

// Event is a server-sent event. Number is its ID, zero if it has none, and Raw holds all its bytes, with the final blank
// line.
type Event struct {
	Number int64
	Data   []byte
	Raw    []byte
}

// Done reports whether the event ends the stream.
func (e Event) Done() bool { return bytes.Equal(e.Data, []byte("[DONE]")) }

// EventReader reads server-sent events from a stream.
type EventReader struct {
	r   *bufio.Reader
	raw []byte
}

// NewEventReader returns an EventReader that reads from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{r: bufio.NewReader(r)}
}

// Next returns the next event, whose data is valid until the next call. It returns io.EOF at the end of the stream, and
// io.ErrUnexpectedEOF if the stream ends within an event.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	for {
		lineStart := len(e.raw)
		for {
			chunk, err := e.r.ReadSlice('\n')
			e.raw = append(e.raw, chunk...)
			if len(e.raw) > maximumEventBytes {
				return Event{}, ErrTooLong
			}
			if errors.Is(err, bufio.ErrBufferFull) {
				continue
			}
			if errors.Is(err, io.EOF) && len(e.raw) > 0 {
				return Event{}, io.ErrUnexpectedEOF
			}
			if err != nil {
				return Event{}, err
			}
			break
		}
		line := bytes.TrimRight(e.raw[lineStart:], "\r\n")
		if len(line) > 0 {
			continue
		}
		if lineStart == 0 {
			e.raw = e.raw[:0]
			continue
		}
		return parseEvent(e.raw)
	}
}

func parseEvent(raw []byte) (Event, error) {
	event := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		line = bytes.TrimRight(line, "\r\n")
		if v, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			n, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64)
			if err != nil {
				return event, fmt.Errorf("event id: %w", err)
			}
			event.Number = n
		}
		if v, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			event.Data = bytes.TrimSpace(v)
		}
	}
	return event, nil
}
