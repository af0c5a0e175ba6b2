package forwarder

import (
	"bufio"
	"io"
	"sync"
	"time"
)

const (
	// streamReadAhead is how many bytes of complete events are held for one slow client.
	streamReadAhead = 64 << 10
	// defaultReadAhead is the default of ReadAhead.MaximumBytes.
	defaultReadAhead = 32 << 20
	// readAheadPoll is the time between attempts to get memory that other streams hold.
	readAheadPoll = 20 * time.Millisecond
)

// ReadAhead bounds the bytes that all streams hold for slow clients; the zero value is ready to use.
type ReadAhead struct {
	// MaximumBytes is the limit; zero means 32 MiB.
	MaximumBytes int64

	mu   sync.Mutex
	used int64
}

// Used returns the bytes that are held now.
func (a *ReadAhead) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// add adds to the bytes in use, unless that would exceed the limit; negative numbers release.
func (a *ReadAhead) add(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	maximum := a.MaximumBytes
	if maximum <= 0 {
		maximum = defaultReadAhead
	}
	if n > 0 && a.used+n > maximum {
		return false
	}
	a.used += n
	return true
}

// eventQueue reads the events of one response ahead of its client. An event is handed over directly if the client waits for it;
// others are held, up to streamReadAhead and within the limit of all streams. Beyond that the client sets the pace: nothing more is
// read from the target.
type eventQueue struct {
	limit *ReadAhead

	mu      sync.Mutex
	changed *sync.Cond
	events  [][]byte
	// held is the size of the events; reserved is the part of it that counts in limit.
	held     int64
	reserved []int64
	// partial is the start of an event at which reading failed, with the error.
	partial []byte
	err     error
	closed  bool
}

// readEvents starts to read the events of a response. onEvent is called for each event as it arrives.
func readEvents(body io.Reader, limit *ReadAhead, onEvent func()) *eventQueue {
	q := &eventQueue{limit: limit}
	q.changed = sync.NewCond(&q.mu)
	go q.fill(bufio.NewReaderSize(body, eventBufferBytes), onEvent)
	return q
}

func (q *eventQueue) fill(r *bufio.Reader, onEvent func()) {
	for {
		event, err := readEvent(r)
		if err == nil {
			onEvent()
		}
		if !q.put(event, err) || err != nil {
			return
		}
	}
}

// put adds an event once there is room for it. One event is always taken if none is held, however long it is.
func (q *eventQueue) put(event []byte, err error) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.partial, q.err = event, err
		q.changed.Broadcast()
		return false
	}
	size := int64(len(event))
	for !q.closed && len(q.events) > 0 {
		if q.held+size > streamReadAhead {
			q.changed.Wait()
			continue
		}
		if q.limit.add(size) {
			break
		}
		// Other streams release memory without notice to this one.
		timer := time.AfterFunc(readAheadPoll, q.wake)
		q.changed.Wait()
		timer.Stop()
	}
	if q.closed {
		return false
	}
	reserved := size
	if len(q.events) == 0 {
		reserved = 0
	}
	q.events, q.reserved, q.held = append(q.events, event), append(q.reserved, reserved), q.held+size
	q.changed.Broadcast()
	return true
}

// wake wakes the waiting goroutines. It takes the lock so that a goroutine that holds it, and is about to wait, is woken, too.
func (q *eventQueue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.changed.Broadcast()
}

// next returns the next event, or what readEvent returned at the end.
func (q *eventQueue) next() ([]byte, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.events) == 0 && q.err == nil && !q.closed {
		q.changed.Wait()
	}
	if len(q.events) == 0 {
		return q.partial, q.err
	}
	event := q.events[0]
	q.held -= int64(len(event))
	q.limit.add(-q.reserved[0])
	q.events, q.reserved = q.events[1:], q.reserved[1:]
	q.changed.Broadcast()
	return event, nil
}

// close releases what is held and ends the reading once the response is closed.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, n := range q.reserved {
		q.limit.add(-n)
	}
	q.events, q.reserved, q.held, q.closed = nil, nil, 0, true
	q.changed.Broadcast()
}
