package forwarder

import (
	"bufio"
	"io"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
)

const (
	// streamReadAhead is the memory of the complete events that are held for one slow client.
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
	// memory bounds the long events of all streams.
	memory *reserver.Memory

	mu      sync.Mutex
	changed *sync.Cond
	events  []event
	// current is what the event that next has returned holds of memory.
	current int64
	// held is the memory of the events; reserved is the part of it that counts in limit.
	held     int64
	reserved []int64
	// partial is set if reading failed, with err, inside an event.
	partial bool
	err     error
	closed  bool
}

// readEvents starts to read the events of a response. onEvent is called for each event as it arrives.
func readEvents(body io.Reader, limit *ReadAhead, memory *reserver.Memory, onEvent func()) *eventQueue {
	q := &eventQueue{limit: limit, memory: memory}
	q.changed = sync.NewCond(&q.mu)
	go q.fill(bufio.NewReaderSize(body, eventBufferBytes), onEvent)
	return q
}

func (q *eventQueue) fill(r *bufio.Reader, onEvent func()) {
	for {
		e, err := readEvent(r, q.memory)
		if err != nil {
			q.memory.Release(e.reserved)
			q.fail(len(e.data) > 0, err)
			return
		}
		onEvent()
		if !q.put(e) {
			q.memory.Release(e.reserved)
			return
		}
	}
}

// fail ends the queue with the error at which reading has failed.
func (q *eventQueue) fail(partial bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.partial, q.err = partial, err
	q.changed.Broadcast()
}

// put adds an event once there is room for it. One event is always taken if none is held, however long it is.
func (q *eventQueue) put(e event) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	size := e.size()
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
	q.events, q.reserved, q.held = append(q.events, e), append(q.reserved, reserved), q.held+size
	q.changed.Broadcast()
	return true
}

// wake wakes the waiting goroutines. It takes the lock so that a goroutine that holds it, and is about to wait, is woken, too.
func (q *eventQueue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.changed.Broadcast()
}

// next returns the next event, which the caller has done with at the next call, or the error at which reading has failed, with whether that was inside
// an event.
func (q *eventQueue) next() (data []byte, partial bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.memory.Release(q.current)
	q.current = 0
	for len(q.events) == 0 && q.err == nil && !q.closed {
		q.changed.Wait()
	}
	if len(q.events) == 0 {
		return nil, q.partial, q.err
	}
	e := q.events[0]
	q.current = e.reserved
	q.held -= e.size()
	q.limit.add(-q.reserved[0])
	q.events, q.reserved = q.events[1:], q.reserved[1:]
	q.changed.Broadcast()
	return e.data, false, nil
}

// close releases what is held and ends the reading once the response is closed.
func (q *eventQueue) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, n := range q.reserved {
		q.limit.add(-n)
	}
	for _, e := range q.events {
		q.memory.Release(e.reserved)
	}
	q.memory.Release(q.current)
	q.events, q.reserved, q.held, q.current, q.closed = nil, nil, 0, 0, true
	q.changed.Broadcast()
}
