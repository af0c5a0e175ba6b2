package reserver

import (
	"errors"
	"io"
	"slices"
	"sync"
)

// Errors of reads.
var (
	// ErrFull is returned when the shared memory is full.
	ErrFull = errors.New("shared memory is full")
	// ErrTooLong is returned for a body that is longer than allowed.
	ErrTooLong = errors.New("body too long")
)

const (
	// defaultMaximumBytes is the default of Memory.MaximumBytes.
	defaultMaximumBytes = 32 << 20
	// Allowance is the memory that each reader has for itself. Ordinary bodies fit into it and are read while others fill the shared memory.
	Allowance = 8 << 10
	// growth is the factor by which the memory of a longer body grows whenever it is full.
	growth = 2
)

// Memory is memory in bytes that many holders share; the zero value is ready to use, and nil has no limit.
type Memory struct {
	// MaximumBytes is the limit; zero means 32 MiB.
	MaximumBytes int64

	mu   sync.Mutex
	used int64
}

// Maximum returns the limit in force.
func (m *Memory) Maximum() int64 {
	if m.MaximumBytes <= 0 {
		return defaultMaximumBytes
	}
	return m.MaximumBytes
}

// Used returns the bytes that are reserved.
func (m *Memory) Used() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// Reserve reserves n bytes, and returns false if there is no room for them. A negative number releases bytes.
func (m *Memory) Reserve(n int64) bool {
	if m == nil {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > 0 && m.used+n > m.Maximum() {
		return false
	}
	m.used += n
	return true
}

// Release releases n bytes.
func (m *Memory) Release(n int64) { m.Reserve(-n) }

// ReadStart reads up to size bytes of r and returns them with the number of bytes that the caller must release. The error is nil if there may be more,
// io.EOF if that was all, and ErrFull if there is no room for more. Memory is reserved as the bytes arrive: who announces a long body and sends it
// slowly, or not at all, must not keep the memory from others.
func (m *Memory) ReadStart(r io.Reader, size int64) (start []byte, reserved int64, err error) {
	for step := int64(Allowance); int64(len(start)) < size; step *= growth {
		capacity := min(size, step)
		needed := max(0, capacity-Allowance)
		if !m.Reserve(needed - reserved) {
			return start, reserved, ErrFull
		}
		reserved = needed
		start = slices.Grow(start, int(capacity)-len(start))
		for int64(len(start)) < capacity {
			n, err := r.Read(start[len(start):capacity])
			start = start[:len(start)+n]
			if err != nil {
				return start, reserved, err
			}
		}
	}
	return start, reserved, nil
}

// ReadAll reads a whole body of up to size bytes, for a caller that does not keep it. The error is ErrTooLong if the body is longer.
func (m *Memory) ReadAll(r io.Reader, size int64) ([]byte, error) {
	body, reserved, err := m.ReadStart(r, size+1)
	defer m.Release(reserved)
	switch err {
	case io.EOF:
		return body, nil
	case nil:
		return nil, ErrTooLong
	}
	return nil, err
}
