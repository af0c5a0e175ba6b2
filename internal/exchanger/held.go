package exchanger

import (
	"container/list"
	"context"
	"encoding/binary"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
)

// Frames of yamux begin with a header: version, type, flags, stream and length. Only frames of the type data have content of that length.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameStreamOffset = 4
	frameLengthOffset = 8
	frameTypeData     = 0
)

// heldConn counts the content of the frames that a session announces until their stream is handled. yamux allocates memory for the whole
// content of a frame once it has the header.
type heldConn struct {
	net.Conn
	server *Server

	// Read alone uses these: the header that is being read, and how much of the content before it is left.
	header  []byte
	content uint32

	mu sync.Mutex
	// streams holds the bytes of each stream.
	streams map[uint32]int64
}

// Read reads from the connection. It fails when the memory of the server is full, which ends the session.
func (c *heldConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for data := p[:n]; len(data) > 0; {
		if c.content > 0 {
			skipped := min(uint32(len(data)), c.content)
			data, c.content = data[skipped:], c.content-skipped
			continue
		}
		part := data[:min(len(data), frameHeaderBytes-len(c.header))]
		c.header, data = append(c.header, part...), data[len(part):]
		if len(c.header) < frameHeaderBytes {
			break
		}
		length := uint32(0)
		if c.header[frameTypeOffset] == frameTypeData {
			length = binary.BigEndian.Uint32(c.header[frameLengthOffset:])
		}
		stream := binary.BigEndian.Uint32(c.header[frameStreamOffset:])
		c.header, c.content = c.header[:0], length
		if !c.add(stream, int64(length)) {
			c.server.refused(MemoryFull)
			return 0, ErrMemory
		}
	}
	return n, err
}

func (c *heldConn) add(stream uint32, n int64) bool {
	if n == 0 {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	used := c.server.held.Add(n)
	// A session that is alone may send one message of any size that is allowed.
	if c.server.MaximumBytes > 0 && used > max(c.server.MaximumBytes, 2*maximumMessageBytes) {
		c.server.held.Add(-n)
		c.releaseAll()
		return false
	}
	if c.streams == nil {
		c.streams = map[uint32]int64{}
	}
	c.streams[stream] += n
	return true
}

// release counts the bytes of a stream as handled.
func (c *heldConn) release(stream uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.server.held.Add(-c.streams[stream])
	delete(c.streams, stream)
}

// end counts all bytes as handled, because the session has ended.
func (c *heldConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.releaseAll()
}

// releaseAll counts all bytes as handled. The caller must hold mu.
func (c *heldConn) releaseAll() {
	for _, n := range c.streams {
		c.server.held.Add(-n)
	}
	c.streams = nil
}

// sessionList holds the sessions in the order of their last use, those that have brought no request apart; the zero value is ready to use.
type sessionList struct {
	mu          sync.Mutex
	fresh, used list.List
	places      map[*yamux.Session]sessionPlace
}

type sessionPlace struct {
	order   *list.List
	element *list.Element
	since   time.Time
}

// add adds a session. If there are as many as the limit, it closes the oldest one that has brought no request, or else the one that was used
// least recently, and reports that it did. It waits until that one is as old as minimumSessionTime.
func (l *sessionList) add(ctx context.Context, s *yamux.Session, limit int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	replaced := false
	for limit > 0 && len(l.places) >= limit {
		order := &l.fresh
		if order.Len() == 0 {
			order = &l.used
		}
		oldest := order.Front().Value.(*yamux.Session)
		wait := minimumSessionTime - time.Since(l.places[oldest].since)
		if wait <= 0 {
			l.take(oldest)
			replaced = true
		}
		l.mu.Unlock()
		if wait <= 0 {
			oldest.Close()
		}
		err := sleeper.Sleep(ctx, min(max(0, wait), sessionPause))
		l.mu.Lock()
		if err != nil {
			break // The server ends.
		}
	}
	l.put(s, &l.fresh)
	return replaced
}

// put puts a session at the end of a list. The caller must hold mu.
func (l *sessionList) put(s *yamux.Session, order *list.List) {
	if l.places == nil {
		l.places = map[*yamux.Session]sessionPlace{}
	}
	l.places[s] = sessionPlace{order, order.PushBack(s), time.Now()}
}

// take takes a session out of its list. The caller must hold mu.
func (l *sessionList) take(s *yamux.Session) bool {
	place, ok := l.places[s]
	if ok {
		place.order.Remove(place.element)
		delete(l.places, s)
	}
	return ok
}

// use notes that a session has brought a request now.
func (l *sessionList) use(s *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.take(s) {
		l.put(s, &l.used)
	}
}

func (l *sessionList) remove(s *yamux.Session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.take(s)
}
