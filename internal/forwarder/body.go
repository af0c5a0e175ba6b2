package forwarder

import (
	"errors"
	"io"
	"sync"
)

// ErrBodyMemory is returned when the buffers for request bodies are full.
var ErrBodyMemory = errors.New("memory limit of request body buffers reached")

const (
	// bufferedBodyBytes is the most that is buffered of one body for retries and for a second target. It is large enough
	// for the prompts in the users' specifications, which have 17,000 tokens of a few bytes each.
	bufferedBodyBytes = 512 << 10
	// defaultMaximumBytes is the default of BodyBuffers.MaximumBytes.
	defaultMaximumBytes = 32 << 20
	// bufferedResponseBytes is the most that is buffered of a plain response or an error response, so that a broken one
	// can be retried before the client has received any of it.
	bufferedResponseBytes = 256 << 10
)

// Body is a request body: a buffered start, which can be sent repeatedly, and the rest, which can be read once.
type Body struct {
	Buffered []byte
	// Rest is nil if the whole body is buffered.
	Rest io.Reader
	// RestBytes is the length of Rest, or -1 if unknown.
	RestBytes int64
}

// Whole reports whether the whole body is buffered.
func (b *Body) Whole() bool { return b.Rest == nil }

// BodyBuffers bounds the memory of all buffered bodies; the zero value is ready to use.
type BodyBuffers struct {
	// MaximumBytes is the limit; zero means 32 MiB.
	MaximumBytes int64

	mu   sync.Mutex
	used int64
}

// Read buffers the start of a body; length is -1 if unknown. The caller must call release at the end of the request.
func (b *BodyBuffers) Read(r io.Reader, length int64) (body Body, release func(), err error) {
	size := int64(bufferedBodyBytes)
	if length >= 0 {
		size = min(size, length)
	}
	if !b.reserve(size) {
		return Body{}, nil, ErrBodyMemory
	}
	start, err := io.ReadAll(io.LimitReader(r, size))
	if err != nil {
		b.reserve(-size)
		return Body{}, nil, err
	}
	// A body of unknown length is usually shorter than the memory reserved for it.
	buffered := int64(len(start))
	b.reserve(buffered - size)
	release = func() { b.reserve(-buffered) }
	body.Buffered = start
	switch {
	case length > size:
		body.Rest, body.RestBytes = r, length-size
	case length < 0 && int64(len(start)) == size:
		body.Rest, body.RestBytes = r, -1
	}
	return body, release, nil
}

// reserve adds size to the memory in use, unless that would exceed the limit; a negative size releases memory.
func (b *BodyBuffers) reserve(size int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	maximum := b.MaximumBytes
	if maximum <= 0 {
		maximum = defaultMaximumBytes
	}
	if size > 0 && b.used+size > maximum {
		return false
	}
	b.used += size
	return true
}
