package pooler

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/inspector"
)

// ErrUnconfirmed is the reason for which a refusal on a connection that was used before does not count: nothing shows that it is not the copy of an
// earlier one.
var ErrUnconfirmed = errors.New("refusal not confirmed")

const (
	// keptRefusalBytes is how much of the body of a refusal is kept.
	keptRefusalBytes = 1 << 10
	// closeTimeout bounds the wait for the end of a connection once the answer to a check on it has been read.
	closeTimeout = 200 * time.Millisecond
)

// Check is a call without effects.
type Check struct {
	URI    string
	Header http.Header
	// Answers reports whether a response may be the answer to a check.
	Answers func(status int, h http.Header) bool
	// OnAnswer is called with the answer to the check; it may be nil.
	OnAnswer func(status int, h http.Header)
}

// checkRefusal tells a refusal from the copy of an earlier one that comes before the answer. A target answers the requests on a connection in their
// order. So it sends a check that asks for the end of the connection, and returns the refusal if the answer to the check and the end come next. If the
// answer to the request does, it returns that.
//
// Only closing the connection for writing would not do: a target may drop what it runs when it sees that.
func (x *exchange) checkRefusal(r *Request, res *http.Response) *Response {
	refusal, err := x.buffer(r, res)
	if err == nil {
		var answer *Response
		if answer, err = x.awaitCheck(r); answer != nil {
			answer.AfterRefusal = true
			return answer
		}
	}
	if err != nil {
		refusal.Unconfirmed = fmt.Errorf("%w: status %d: %w", ErrUnconfirmed, res.StatusCode, err)
	}
	x.abort()
	x.head.resize(0)
	return refusal
}

// awaitCheck sends a check and returns nil if its answer is all that comes, or the answer to the request.
func (x *exchange) awaitCheck(r *Request) (*Response, error) {
	if !x.requestWritten() {
		return nil, fmt.Errorf("%w: before the whole request was sent", ErrUnexpectedResponse)
	}
	check := r.Check()
	if check == nil {
		return nil, fmt.Errorf("%w: no check may be sent", ErrUnexpectedResponse)
	}
	if _, err := x.conn.Write(check.encode(r)); err != nil {
		return nil, classify(err)
	}
	for {
		res, err := x.readResponse(r)
		if err != nil {
			return nil, err
		}
		status, h := res.StatusCode, res.Header
		unmarked, refuses := r.Unmarked(h), r.Refuses(status, h)
		switch {
		case check.Answers(status, h):
			if check.OnAnswer != nil {
				check.OnAnswer(status, h)
			}
			return nil, x.awaitEnd(res)
		case !unmarked && !refuses && r.Matches(status, h):
			return x.response(res), nil
		case unmarked || !refuses:
			return nil, x.errStray(res)
		}
		// Another copy, or the refusal itself.
		if err := x.skip(res); err != nil {
			return nil, err
		}
	}
}

// awaitEnd returns nil if the connection ends after the answer to a check.
func (x *exchange) awaitEnd(res *http.Response) error {
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return classify(err)
	}
	if err := x.conn.SetReadDeadline(time.Now().Add(closeTimeout)); err != nil {
		return classify(err)
	}
	switch err := x.conn.awaitHead(&x.head); {
	case err == nil:
		return x.errStray(res)
	case errors.Is(err, io.EOF) && !errors.Is(err, inspector.ErrBrokenOff):
		return nil
	default:
		return classify(err)
	}
}

// buffer returns a refusal with the start of its body, all of which it reads. One that only the end of the connection ends is not read: it may hold the
// answer that follows a copy.
func (x *exchange) buffer(r *Request, res *http.Response) (*Response, error) {
	refusal := x.response(res)
	x.conn.input.remaining = maximumBytesBeforeBody
	refusal.Unframed, refusal.Length, refusal.Body = false, 0, http.NoBody
	if r.Method != http.MethodHead && isUnframed(res) {
		return refusal, x.errStray(res)
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, keptRefusalBytes))
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
	}
	if err != nil {
		return refusal, classify(err)
	}
	refusal.Length, refusal.Body = int64(len(body)), io.NopCloser(bytes.NewReader(body))
	return refusal, nil
}

// encode returns the check as it is sent on the connection of a request. It has the same method if responses to that have no body.
func (c *Check) encode(r *Request) []byte {
	method := http.MethodGet
	if r.Method == http.MethodHead {
		method = http.MethodHead
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n", method, c.URI, r.Address)
	c.Header.Write(&b) // A bytes.Buffer returns no errors.
	b.WriteString("\r\n")
	return b.Bytes()
}
