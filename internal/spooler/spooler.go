package spooler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
)

// defaultMaximumBytes bounds the lines that wait if no other bound is set.
const defaultMaximumBytes = 1 << 20

// ErrNotWritten is returned if lines still wait, or cannot be written.
var ErrNotWritten = errors.New("lines not written")

// Loss counts lines that were not written to the output.
type Loss struct {
	Lines, Bytes int64
}

func (l *Loss) add(lines, bytes int) {
	l.Lines += int64(lines)
	l.Bytes += int64(bytes)
}

// Spooler passes lines on to an output in their order. While the output does not keep up, it holds lines up to a bound and drops the ones
// that come after them. Output must be set before the first call.
type Spooler struct {
	Output io.Writer
	// MaximumBytes bounds the lines that wait, those that are being written included; zero means 1 MiB.
	MaximumBytes int
	// Gap returns a line to write in the place of lines that were dropped; nil writes none.
	Gap func(Loss) []byte

	mu      sync.Mutex
	waiting []byte
	// spare is a buffer for the lines that will wait next.
	spare []byte
	// writing is the number of bytes that are being written.
	writing int
	// gap counts the lines that were dropped after those that wait, and total all that were dropped or could not be written.
	gap, total Loss
	// done is closed once no line waits; nil means that none does.
	done chan struct{}
}

// Write accepts a line and never waits for the output.
func (s *Spooler) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Until the gap has been written, a line that would fit is dropped too: it would stand before the gap.
	if s.gap.Lines > 0 || s.writing+len(s.waiting)+len(line) > s.maximumBytes() {
		s.gap.add(1, len(line))
		s.total.add(1, len(line))
		return len(line), nil
	}
	s.waiting = append(s.waiting, line...)
	if s.done == nil {
		s.done = make(chan struct{})
		go s.run()
	}
	return len(line), nil
}

func (s *Spooler) maximumBytes() int {
	if s.MaximumBytes <= 0 {
		return defaultMaximumBytes
	}
	return s.MaximumBytes
}

// run writes the lines that wait until there are none.
func (s *Spooler) run() {
	for {
		batch := s.take()
		if batch == nil {
			return
		}
		if n, err := s.Output.Write(batch); err != nil {
			s.fail(batch[n:])
		}
	}
}

// take returns the lines that wait, with a line for the gap after them, or nil if there are none.
func (s *Spooler) take() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.gap.Lines > 0 && s.Gap != nil {
		s.waiting = append(s.waiting, s.Gap(s.gap)...)
	}
	s.gap = Loss{}
	if len(s.waiting) == 0 {
		s.writing = 0
		close(s.done)
		s.done = nil
		return nil
	}
	batch := s.waiting
	s.waiting, s.spare, s.writing = s.spare[:0], batch, len(batch)
	return batch
}

// fail counts lines that could not be written.
func (s *Spooler) fail(rest []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	lines := 0
	for _, b := range rest {
		if b == '\n' {
			lines++
		}
	}
	s.total.add(lines, len(rest))
}

// Lost returns what was dropped or could not be written so far.
func (s *Spooler) Lost() Loss {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}

// Waiting returns the number of bytes that are not written yet.
func (s *Spooler) Waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writing + len(s.waiting)
}

// Flush waits until all lines are written, or returns ErrNotWritten at the end of ctx.
func (s *Spooler) Flush(ctx context.Context) error {
	s.mu.Lock()
	done := s.done
	s.mu.Unlock()
	if done == nil {
		return nil
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("%w: %d bytes: %w", ErrNotWritten, s.Waiting(), context.Cause(ctx))
	}
}

// Sync does nothing, because lines are on their way at once; it makes a Spooler the output of a zap logger.
func (s *Spooler) Sync() error { return nil }
