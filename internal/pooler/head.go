package pooler

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"

	"github.com/coltsfootscale/coltsfootscale/internal/inspector"
	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
)

// headShare is the part of the shared memory that one head may use. One without end must not keep the memory from others.
const headShare = 8

// ErrHeadMemory is returned if there is no memory for the head of a response; it wraps ErrUnexpectedResponse.
var ErrHeadMemory = fmt.Errorf("%w: no memory for its head: %w", ErrUnexpectedResponse, reserver.ErrFull)

// reservation is the shared memory that the head of one response holds; its zero value holds none.
type reservation struct {
	memory *reserver.Memory
	held   int64
}

// resize changes the reservation to n bytes. It returns false if there is no room for them.
func (r *reservation) resize(n int64) bool {
	if r.memory == nil || n == r.held {
		return true
	}
	if n > r.memory.Maximum()/headShare || !r.memory.Reserve(n-r.held) {
		return false
	}
	r.held = n
	return true
}

// awaitHead reads a whole head, for which it reserves memory as the lines arrive, and makes the connection's reader return it once more.
func (c *conn) awaitHead(r *reservation) error {
	var head []byte
	for lines, lineStart := int64(0), 0; ; {
		part, err := c.r.ReadSlice('\n')
		head = append(head, part...)
		if !r.resize(networker.HeadCost(int64(len(head)), lines+1)) {
			return ErrHeadMemory
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil && len(head) > 0 && !errors.Is(err, errTooLong):
			return fmt.Errorf("%w: in its head: %w", inspector.ErrBrokenOff, err)
		case err != nil:
			return err
		}
		if line := bytes.TrimRight(head[lineStart:], "\r\n"); len(line) == 0 {
			c.unread(head)
			return nil
		}
		lines++
		lineStart = len(head)
	}
}

// unread makes the connection's reader return p once more, before what it has read ahead.
func (c *conn) unread(p []byte) {
	ahead, _ := c.r.Peek(c.r.Buffered()) // It has as many.
	c.input.unread = append(p, ahead...)
	c.r.Reset(c.input)
}
