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
	"time"
)

// strayAnswers is how many answers to earlier requests are skipped on a connection before it is given up.
const strayAnswers = 2

// writerWait is how long the end of an answer waits for the writer of its request: longer than a goroutine waits for a
// processor, and short against any deadline, because a target may answer before it reads a long body.
const writerWait = 100 * time.Millisecond

// Request is sent as it stands; Header must hold no header that concerns one connection only.
type Request struct {
	Address string
	Method  string
	URI     string
	Host    string
	Header  http.Header
	// Body is the start of the body, and Rest what follows, if it is not nil, of RestBytes or -1 for a length that is not known.
	Body      []byte
	Rest      io.Reader
	RestBytes int64
	// Freshness is how long ago a connection may have been used last; zero: a new connection.
	Freshness time.Duration
	// Connections is how many connections to the address may be open at once; zero: any number.
	Connections int
	// Matches tells an answer to this request from one to another request on the same connection.
	Matches func(status int, h http.Header) bool
}

// Response is the head of an answer and its body; Body must be closed.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body; -1: not known.
	Length int64
	Body   io.ReadCloser
}

type conn struct {
	net.Conn
	pool   *Pool
	addr   string
	r      *bufio.Reader
	once   sync.Once
	since  time.Time
	until  time.Time
	reused bool
}

func newConn(p *Pool, addr string, nc net.Conn) *conn {
	return &conn{Conn: nc, pool: p, addr: addr, r: bufio.NewReaderSize(nc, readBufferBytes), until: time.Now().Add(defaultIdle)}
}

func (c *conn) close() {
	c.once.Do(func() {
		c.Conn.Close()
		c.pool.release(c.addr)
	})
}

// Do sends a request once and returns the head of its answer.
//
// The connection is closed when ctx ends, also while the body is being read.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.get(ctx, r.Address, r.Freshness, r.Connections)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, c.close)
	x := &exchange{conn: c, stop: stop, sent: make(chan error, 1)}
	head, err := r.head()
	if err != nil {
		x.abort()
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	go func() {
		err := r.write(c, head)
		if err != nil && r.Rest != nil {
			c.close() // The target must not wait for a body that ends here.
		}
		x.sent <- err
	}()
	answer, err := x.receive(r)
	if err != nil {
		x.abort()
		return nil, err
	}
	return answer, nil
}

// head is the request line and headers.
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

// write sends the request; a rest that ends too soon gives an error.
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

// exchange is one request and its answer on a connection.
type exchange struct {
	conn *conn
	stop func() bool
	sent chan error
	once sync.Once
}

// abort closes the connection.
func (x *exchange) abort() {
	x.once.Do(func() {
		x.stop()
		x.conn.close()
	})
}

// finish keeps the connection if the whole request went out and nothing is left to read.
func (x *exchange) finish(keep time.Duration) {
	x.once.Do(func() {
		if !x.stop() || keep <= 0 || x.conn.r.Buffered() > 0 || !x.written() {
			x.conn.close()
			return
		}
		x.conn.until = time.Now().Add(keep)
		x.conn.pool.put(x.conn)
	})
}

// written tells whether the whole request went out; its writer may report that a little after the answer's end was read.
func (x *exchange) written() bool {
	select {
	case err := <-x.sent:
		return err == nil
	case <-time.After(writerWait):
		return false
	}
}

func (x *exchange) receive(r *Request) (*Response, error) {
	req := &http.Request{Method: r.Method}
	for stray := 0; ; {
		res, err := http.ReadResponse(x.conn.r, req)
		if err != nil {
			return nil, classify(err)
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 && res.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if r.Matches != nil && !r.Matches(res.StatusCode, res.Header) {
			if stray++; stray > strayAnswers || res.ContentLength < 0 {
				return nil, fmt.Errorf("%w: status %d", ErrUnexpectedResponse, res.StatusCode)
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				return nil, classify(err)
			}
			continue
		}
		return &Response{Status: res.StatusCode, Header: res.Header, Length: res.ContentLength, Body: &body{res: res, x: x}}, nil
	}
}

// classify tells bytes that are no HTTP from a connection that broke.
func classify(err error) error {
	var netErr net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &netErr) || errors.Is(err, net.ErrClosed) {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return fmt.Errorf("%w: %w", ErrUnexpectedResponse, err)
}

// body reads an answer's body and gives the connection back at its end.
type body struct {
	res *http.Response
	x   *exchange
}

// Read returns io.EOF only after the whole body.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.res.Body.Read(p)
	switch {
	case err == io.EOF:
		keep := time.Duration(0)
		if !b.res.Close {
			keep = keepAlive(b.res.Header)
		}
		b.x.finish(keep)
	case err != nil:
		b.x.abort()
		err = classify(err)
	}
	return n, err
}

// Close closes the connection unless the whole body was read.
func (b *body) Close() error {
	b.x.abort()
	return nil
}

// keepAlive is how long the target keeps the connection, less a margin.
func keepAlive(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return time.Duration(n)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
