package forwarder_test

import (
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
)

// TestRestBelongsToOneAttempt guards against UNASKED: what one attempt has read of a long body is missing for the next one, which sent what was
// left as if it were all of it.
func TestRestBelongsToOneAttempt(t *testing.T) {
	body := forwarder.Body{Buffered: []byte("start"), Rest: forwarder.NewRest(strings.NewReader("rest")), RestBytes: -1}
	copied := body // A call that is passed on is a copy.
	unsent, first, second := body.AttemptRest(), copied.AttemptRest(), body.AttemptRest()
	got := make([]byte, 2)
	n, err := first.Read(got)
	quicktest.Assert(t, err, quicktest.IsNil)
	for name, rest := range map[string]io.Reader{"an attempt that read nothing": unsent, "the next attempt": second} {
		_, err := rest.Read(make([]byte, 2))
		quicktest.Check(t, err, quicktest.ErrorIs, forwarder.ErrBodyTaken, quicktest.Commentf(name))
	}
	more, err := io.ReadAll(first)
	quicktest.Check(t, err, quicktest.IsNil)
	quicktest.Check(t, string(got[:n])+string(more), quicktest.Equals, "rest")
	whole := forwarder.Body{Buffered: []byte("all")}
	quicktest.Check(t, whole.AttemptRest(), quicktest.IsNil)
}

// TestAnnouncedBodiesHoldNoMemory guards against clients that announce long bodies and send little of them, for which the memory was full.
func TestAnnouncedBodiesHoldNoMemory(t *testing.T) {
	const long = 256 << 10
	b := &forwarder.BodyBuffers{Memory: reserver.Memory{MaximumBytes: 2 * long}}
	var pipes []*io.PipeWriter
	var group sync.WaitGroup
	defer func() {
		for _, pw := range pipes {
			pw.CloseWithError(io.ErrClosedPipe)
		}
		group.Wait()
	}()
	for i := range 20 {
		pr, pw := io.Pipe()
		pipes = append(pipes, pw)
		length := []int64{long, -1}[i%2]
		group.Go(func() {
			_, _, err := b.Read(pr, length)
			pr.CloseWithError(err)
			quicktest.Check(t, err, quicktest.ErrorIs, io.ErrClosedPipe)
		})
		_, err := io.WriteString(pw, "a")
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	body, release, err := b.Read(strings.NewReader(strings.Repeat("b", long)), long)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, len(body.Buffered), quicktest.Equals, long)
	// The other half of the memory, and a small body once it is full.
	_, releaseOther, err := b.Read(strings.NewReader(strings.Repeat("b", long)), long)
	quicktest.Assert(t, err, quicktest.IsNil)
	_, _, err = b.Read(strings.NewReader(strings.Repeat("b", long)), long)
	quicktest.Check(t, err, quicktest.ErrorIs, forwarder.ErrBodyMemory)
	small, _, err := b.Read(strings.NewReader("small"), 5)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, string(small.Buffered), quicktest.Equals, "small")
	release()
	releaseOther()
}

// TestBodiesThatBreakOffAreNotWhole guards against UNASKED: the start of a body whose connection breaks must not run as all of it.
func TestBodiesThatBreakOffAreNotWhole(t *testing.T) {
	for _, size := range []int{0, 5, 8 << 10, 9000, 100_000} {
		broken := io.MultiReader(strings.NewReader(strings.Repeat("b", size)), iotest.ErrReader(io.ErrUnexpectedEOF))
		_, _, err := (&forwarder.BodyBuffers{}).Read(broken, -1)
		quicktest.Check(t, err, quicktest.ErrorIs, io.ErrUnexpectedEOF, quicktest.Commentf("%d bytes", size))
	}
}
