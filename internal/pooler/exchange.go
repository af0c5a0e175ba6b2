package pooler

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/inspector"
	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
)

// maximumStrayResponses is how many responses to earlier requests are skipped before the connection is closed.
const maximumStrayResponses = 2

// writeResultTimeout bounds the wait for the result of writing a request once its response has been read. It is longer
// than a scheduling delay and short compared with any deadline: a target may respond without reading a long body, and
// then the write may not end.
const writeResultTimeout = 100 * time.Millisecond

// Request is sent unchanged; Header must not contain hop-by-hop headers.
type Request struct {
	Address string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	// Body is the start of the body. Rest, if not nil, is the remainder; RestBytes is its length, or -1 if unknown.
	Body      []byte
	Rest      io.Reader
	RestBytes int64
	// MaximumIdle is how long ago a connection may have been used last; zero: a new connection.
	MaximumIdle time.Duration
	// Connections limits the connections to the address that are open at once; zero means no limit.
	Connections int
	// Matches reports whether a response belongs to this request and not to another one on the same connection; nil
	// accepts every response.
	Matches func(status int, h http.Header) bool
	// Unmarked reports whether a response does not say to which request it belongs; nil means that all do. It may then be the copy of an
	// earlier one, unless the connection is new.
	Unmarked func(h http.Header) bool
	// Refuses reports whether a response says that the target has not run the request; nil means that none does. On a connection that was
	// used before it may be the copy of an earlier one, and counts only after a check. Matches, Unmarked and Check must be set with it.
	Refuses func(status int, h http.Header) bool
	// Check returns nil if none may be sent now.
	Check func() *Check
	// Separate lets the request use a connection of its own, which is closed afterwards.
	Separate bool
	// Admit is called once a connection is available, right before the request is sent; an error stops it. It may be nil.
	Admit func() error
}

// Response is the head of a response and its body; Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if unknown.
	Length int64
	// Unframed is set if only the end of the connection ends the body.
	Unframed bool
	// Earlier is the number of responses that the connection has carried before this one. Skipped of them belonged to other requests and came
	// after this request was sent.
	Earlier, Skipped int
	// AfterRefusal is set if a refusal of the same request came before.
	AfterRefusal bool
	// Unconfirmed is why a refusal may be the copy of an earlier one; it wraps ErrUnconfirmed. The target may have run the request. It is nil
	// for all other responses.
	Unconfirmed error
	Body        io.ReadCloser
}

// conn is a connection of a Pool. It was last used at idleSince and is not reused after expiresAt.
type conn struct {
	net.Conn
	// socket is the connection as it was dialed.
	socket    net.Conn
	pool      *Pool
	addr      string
	r         *bufio.Reader
	input     *limitedInput
	once      sync.Once
	idleSince time.Time
	expiresAt time.Time
	reused    bool
	// separate is set if the connection is closed after its exchange.
	separate bool
	// responses counts the responses that were read, apart from informational ones.
	responses int
}

func newConn(p *Pool, addr string, nc net.Conn) *conn {
	reporting := networker.ReportResets(nc)
	input := &limitedInput{r: reporting, remaining: noLimit}
	return &conn{
		Conn: reporting, socket: nc, pool: p, addr: addr, r: bufio.NewReaderSize(input, readBufferBytes), input: input, expiresAt: time.Now().Add(defaultIdle),
	}
}

// noLimit is the number of remaining bytes of an input without a limit.
const noLimit = -1

// errTooLong is returned if the bytes before a response's body exceed their limit.
var errTooLong = fmt.Errorf("no response within %d bytes: %w", maximumBytesBeforeBody, reserver.ErrTooLong)

// limitedInput reads from a connection and fails once the remaining bytes are read.
type limitedInput struct {
	r         io.Reader
	remaining int
	// unread is read first. It has counted before.
	unread []byte
}

// Read reads from the connection.
func (l *limitedInput) Read(p []byte) (int, error) {
	if len(l.unread) > 0 {
		n := copy(p, l.unread)
		l.unread = l.unread[n:]
		return n, nil
	}
	if l.remaining == noLimit {
		return l.r.Read(p)
	}
	if l.remaining == 0 {
		return 0, errTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

func (c *conn) close() {
	c.once.Do(func() {
		c.Conn.Close()
		c.pool.release(c.addr)
	})
}

// Do sends a request once and returns the head of its response.
//
// When ctx ends, the connection is closed, even while the body is being read.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.connectionFor(ctx, r)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	x := &exchange{conn: c, stop: stop, written: make(chan error, 1), head: reservation{memory: p.Memory}}
	head, err := r.head()
	if err == nil && r.Admit != nil {
		err = r.Admit()
	}
	if err != nil {
		x.abort()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	go func() {
		err := r.write(c, head)
		if err != nil && r.Rest != nil && !endedByTarget(err) {
			c.close() // Otherwise the target would wait for the remainder of the body.
		}
		x.written <- err
	}()
	response, err := x.receive(r)
	if err != nil {
		x.abort()
		x.head.resize(0)
		return nil, err
	}
	return response, nil
}

// connectionFor returns the connection for a request. The idle ones stay as they are if it uses one of its own.
func (p *Pool) connectionFor(ctx context.Context, r *Request) (*conn, error) {
	if !r.Separate {
		return p.get(ctx, r.Address, r.MaximumIdle, r.Connections)
	}
	c, err := p.connect(ctx, r.Address, r.Connections)
	if err == nil {
		c.separate = true
	}
	return c, err
}

// head returns the request line and headers.
func (r *Request) head() ([]byte, error) {
	if _, err := url.ParseRequestURI(r.URI); err != nil {
		return nil, err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.URI, r.Host)
	switch {
	case r.Rest != nil && r.RestBytes < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case r.Rest != nil:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", int64(len(r.Body))+r.RestBytes)
	case len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.Body))
	}
	if err := r.Header.Write(&b); err != nil {
		return nil, err
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// write sends the request; it returns an error if Rest is shorter than RestBytes.
func (r *Request) write(w io.Writer, head []byte) error {
	if r.Rest == nil || r.RestBytes >= 0 {
		if _, err := w.Write(append(head, r.Body...)); err != nil || r.Rest == nil {
			return err
		}
		_, err := io.CopyN(w, r.Rest, r.RestBytes)
		return err
	}
	if _, err := w.Write(head); err != nil {
		return err
	}
	cw := httputil.NewChunkedWriter(w)
	if _, err := io.Copy(cw, io.MultiReader(bytes.NewReader(r.Body), r.Rest)); err != nil {
		return err
	}
	if err := cw.Close(); err != nil {
		return err
	}
	_, err := io.WriteString(w, "\r\n")
	return err
}

// exchange is one request and its response on a connection.
type exchange struct {
	conn *conn
	// stop detaches the connection from the request's context; it returns false if the context has ended already.
	stop func() bool
	// written receives the result of writing the request.
	written chan error
	// wholeRequest is set once the whole request was written.
	wholeRequest bool
	// skipped counts the responses to other requests.
	skipped int
	once    sync.Once
	// head is the memory of the head of the response, until its body is closed.
	head reservation
}

// abort closes the connection unless the exchange has ended.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.conn.close()
	})
}

// finish returns the connection to the pool, where it is kept for at most keep, if the whole request was written and no
// data is left to read; otherwise, or if keep is not positive, it closes the connection.
func (x *exchange) finish(keep time.Duration) {
	x.once.Do(func() {
		if !x.stop() || keep <= 0 || x.conn.separate || x.conn.r.Buffered() > 0 || len(x.conn.input.unread) > 0 || !x.requestWritten() {
			x.conn.close()
			return
		}
		x.conn.expiresAt = time.Now().Add(keep)
		x.conn.pool.put(x.conn)
	})
}

// requestWritten reports whether the whole request was written. The writing goroutine may report this shortly after the
// end of the response has been read.
func (x *exchange) requestWritten() bool {
	if x.wholeRequest {
		return true
	}
	select {
	case err := <-x.written:
		x.wholeRequest = err == nil
	case <-time.After(writeResultTimeout):
	}
	return x.wholeRequest
}

// readResponse reads the head of the next response that is not informational.
func (x *exchange) readResponse(r *Request) (*http.Response, error) {
	for {
		if err := x.conn.awaitHead(&x.head); err != nil {
			return nil, classify(err)
		}
		res, err := http.ReadResponse(x.conn.r, &http.Request{Method: r.Method})
		if err != nil {
			return nil, classify(err)
		}
		if err := inspector.CheckHead(res); err != nil {
			return nil, classify(err)
		}
		if res.StatusCode >= http.StatusOK {
			x.conn.responses++
			return res, nil
		}
	}
}

// receive reads the head of the response to r, skipping informational responses and a few responses to earlier requests.
func (x *exchange) receive(r *Request) (*Response, error) {
	x.conn.input.remaining = maximumBytesBeforeBody
	for {
		res, err := x.readResponse(r)
		if err != nil {
			return nil, err
		}
		if r.Matches != nil && !r.Matches(res.StatusCode, res.Header) {
			if err := x.skip(res); err != nil {
				return nil, err
			}
			continue
		}
		mayBeCopy := x.conn.reused || x.skipped > 0
		if mayBeCopy && r.Unmarked != nil && r.Unmarked(res.Header) {
			return nil, x.errStray(res)
		}
		if r.Refuses != nil && r.Refuses(res.StatusCode, res.Header) {
			// A copy of the refusal may follow, so the connection carries nothing else.
			x.conn.separate = true
			if mayBeCopy {
				return x.checkRefusal(r, res), nil
			}
		}
		return x.response(res), nil
	}
}

// skip reads the rest of a response to another request.
func (x *exchange) skip(res *http.Response) error {
	if x.skipped++; x.skipped > maximumStrayResponses || res.ContentLength < 0 {
		return x.errStray(res)
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return classify(err)
	}
	return nil
}

// errStray returns the error for a response that may belong to another request.
func (x *exchange) errStray(res *http.Response) error {
	return fmt.Errorf("%w: %w: status %d, after %d responses on its connection", ErrUnexpectedResponse, inspector.ErrOtherRequest, res.StatusCode, x.conn.responses-1)
}

// response returns a response whose body is read from the connection.
func (x *exchange) response(res *http.Response) *Response {
	x.conn.input.remaining = noLimit
	return &Response{
		Status: res.StatusCode, Header: res.Header, Length: res.ContentLength,
		Unframed: isUnframed(res), Earlier: x.conn.responses - 1, Skipped: x.skipped, Body: &responseBody{res: res, x: x},
	}
}

// isUnframed reports whether only the end of the connection ends a response.
func isUnframed(res *http.Response) bool {
	return res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// endedByTarget reports whether a write failed because the target has ended the connection. What has arrived before can still be read.
func endedByTarget(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, syscall.ECONNRESET)
}

// classify wraps a read error: in ErrBroken if the connection failed, and in ErrUnexpectedResponse if the received bytes
// are not HTTP.
func classify(err error) error {
	var netErr net.Error
	if errors.Is(err, ErrUnexpectedResponse) {
		return err
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if inspector.ReasonOf(err) == "" {
		err = fmt.Errorf("%w: %w", inspector.ErrNotHTTP, err)
	}
	return fmt.Errorf("%w: %w", ErrUnexpectedResponse, err)
}

// responseBody reads the body of a response and returns the connection to the pool at its end.
type responseBody struct {
	res     *http.Response
	x       *exchange
	release sync.Once
}

// Read returns io.EOF only after the whole body.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.res.Body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		err = inspector.CheckFields(b.res.Trailer)
	}
	if err != nil {
		b.x.abort()
		if err = classify(err); errors.Is(err, ErrBroken) {
			err = fmt.Errorf("%w: %w", inspector.ErrBrokenOff, err)
		}
		return n, err
	}
	keep := time.Duration(0)
	if !b.res.Close {
		keep = keepAlive(b.res.Header)
	}
	b.x.finish(keep)
	return n, io.EOF
}

// Close closes the connection unless the whole body was read.
func (b *responseBody) Close() error {
	b.x.abort()
	b.release.Do(func() { b.x.head.resize(0) })
	return nil
}

// keepAlive returns how long to keep the connection idle: the target's own timeout less a margin.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
