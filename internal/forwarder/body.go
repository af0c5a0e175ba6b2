package forwarder

import (
	"errors"
	"io"
	"sync/atomic"

	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
)

// Errors of request bodies.
var (
	// ErrBodyMemory is returned when the buffers for request bodies are full.
	ErrBodyMemory = errors.New("memory limit of request body buffers reached")
	// ErrBodyTaken is returned when an attempt reads the rest of a body after another attempt has begun to read it.
	ErrBodyTaken = errors.New("rest of the request body belongs to another attempt")
)

const (
	// bufferedBodyBytes is the most that is buffered of one body for retries and for a second target. It is large enough
	// for the prompts in the users' specifications, which have 17,000 tokens of a few bytes each.
	bufferedBodyBytes = 512 << 10
	// bufferedResponseBytes is the most that is buffered of a plain response or an error response, so that a broken one
	// can be retried before the client has received any of it. All together are bounded by Forwarder.Memory.
	bufferedResponseBytes = 256 << 10
)

// Body is a request body: a buffered start, which can be sent repeatedly, and the rest, which one attempt can read.
type Body struct {
	Buffered []byte
	// Rest is nil if the whole body is buffered.
	Rest *Rest
	// RestBytes is the length of Rest, or -1 if unknown.
	RestBytes int64
}

// Whole reports whether the whole body is buffered.
func (b *Body) Whole() bool { return b.Rest == nil }

// AttemptRest returns the rest of the body for one attempt, or nil if the whole body is buffered.
func (b *Body) AttemptRest() io.Reader {
	if b.Rest == nil {
		return nil
	}
	return &attemptRest{rest: b.Rest}
}

// Rest is the part of a body that is not buffered. It belongs to the first attempt that reads it: an attempt may outlast its response, and
// what it reads is missing for the next one, which must not take what is left for all of it.
type Rest struct {
	r     io.Reader
	owner atomic.Pointer[attemptRest]
}

// NewRest returns the rest of a body that is read from r.
func NewRest(r io.Reader) *Rest { return &Rest{r: r} }

// attemptRest reads a rest for one attempt.
type attemptRest struct {
	rest *Rest
}

// Read returns ErrBodyTaken if another attempt has begun to read.
func (a *attemptRest) Read(p []byte) (int, error) {
	if !a.rest.owner.CompareAndSwap(nil, a) && a.rest.owner.Load() != a {
		return 0, ErrBodyTaken
	}
	return a.rest.r.Read(p)
}

// BodyBuffers bounds the memory of all buffered bodies; the zero value is ready to use.
type BodyBuffers struct {
	reserver.Memory
}

// Read buffers the start of a body; length is -1 if unknown. The caller must call release at the end of the request.
func (b *BodyBuffers) Read(r io.Reader, length int64) (body Body, release func(), err error) {
	size := int64(bufferedBodyBytes)
	if length >= 0 {
		size = min(size, length)
	}
	start, reserved, err := b.ReadStart(r, size)
	if err != nil && err != io.EOF {
		b.Release(reserved)
		if errors.Is(err, reserver.ErrFull) {
			err = ErrBodyMemory
		}
		return Body{}, nil, err
	}
	release = func() { b.Release(reserved) }
	body.Buffered = start
	switch {
	case length > size:
		body.Rest, body.RestBytes = NewRest(r), length-size
	case length < 0 && int64(len(start)) == size:
		body.Rest, body.RestBytes = NewRest(r), -1
	}
	return body, release, nil
}
