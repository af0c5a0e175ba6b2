package forwarder_test

import (
	"io"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
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
