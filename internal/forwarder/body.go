package forwarder

import (
	"errors"
	"io"
	"sync"
)

// ErrBodyMemory is returned when the bodies that are held take up all the memory that they may.
var ErrBodyMemory = errors.New("no memory for another body")

const (
	// heldBodyBytes is the most that is held of one body, so that it can be sent again or to a second target: prompts of
	// the users' sheets have 17,000 tokens, of some bytes each.
	heldBodyBytes = 512 << 10
	// heldBodiesBytes is the most that is held of all bodies where nothing else is set.
	heldBodiesBytes = 32 << 20
	// heldAnswerBytes is the most that is held of a plain target's answer, so that another target can mend a broken one.
	heldAnswerBytes = 256 << 10
)

// Body is a request's body: its start, which is held and can be sent again, and the rest, which can be read once.
type Body struct {
	Buffered []byte
	// Rest is nil if the start is all.
	Rest io.Reader
	// RestBytes is the length of the rest; -1: not known.
	RestBytes int64
}

// Whole tells that all of the body is held.
func (b *Body) Whole() bool { return b.Rest == nil }

// BodyBuffers bounds the memory of the bodies that are held at once; the zero value is ready.
type BodyBuffers struct {
	// MaximumBytes is the most bytes that are held; zero: 32 MiB.
	MaximumBytes int64

	mu   sync.Mutex
	used int64
}

// Read reads the start of a body of some length, or of -1 for one that is not known; release must be called at the end
// of the request.
func (b *BodyBuffers) Read(r io.Reader, length int64) (body Body, release func(), err error) {
	size := int64(heldBodyBytes)
	if length >= 0 {
		size = min(size, length)
	}
	if !b.take(size) {
		return Body{}, nil, ErrBodyMemory
	}
	start, err := io.ReadAll(io.LimitReader(r, size))
	if err != nil {
		b.take(-size)
		return Body{}, nil, err
	}
	// A body without a length is most likely shorter than what was kept free for it.
	held := int64(len(start))
	b.take(held - size)
	release = func() { b.take(-held) }
	body.Buffered = start
	switch {
	case length > size:
		body.Rest, body.RestBytes = r, length-size
	case length < 0 && int64(len(start)) == size:
		body.Rest, body.RestBytes = r, -1
	}
	return body, release, nil
}

// take adds to the memory in use unless that would be more than allowed.
func (b *BodyBuffers) take(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	most := b.MaximumBytes
	if most <= 0 {
		most = heldBodiesBytes
	}
	if size > 0 && b.used+size > most {
		return false
	}
	b.used += size
	return true
}
