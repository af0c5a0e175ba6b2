package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the ID of a consumer attempt.
func newID(prefix string) string { return fmt.Sprintf("%s%012x", prefix, lastID.Add(1)) }

// channel is a consumer's channel to an instance.
type channel struct {
	net.Conn
	r *bufio.Reader
}

func open(addr string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn, bufio.NewReader(conn)}, nil
}

// budget is the consumers' time budget for a request.
const budget = 4 * time.Second

// head returns the head of a request; framing is Content-Length or Transfer-Encoding.
func head(method, uri, id, framing string) string {
	return headWithin(budget, method, uri, id, framing)
}

// headWithin returns the head of a request for which the consumer waits for the given time.
func headWithin(left time.Duration, method, uri, id, framing string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: apply.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s\r\n",
		method, uri, id, left.Milliseconds(), key, framing)
}

func length(n int) string { return fmt.Sprintf("Content-Length: %d\r\n", n) }

const chunked = "Transfer-Encoding: chunked\r\n"

// response is an answer with its whole body.
type response struct {
	status int
	header http.Header
	body   string
	close  bool
}

// receive reads the next answer.
func (c *channel) receive(method string, timeout time.Duration) (*response, error) {
	c.SetReadDeadline(time.Now().Add(timeout))
	res, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err != nil {
		return nil, err
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, err
	}
	return &response{res.StatusCode, res.Header, string(body), res.Close}, nil
}

// keepBusy sends a small request every interval, one after the other, until the returned function is called, which waits for the last one.
func (s *site) keepBusy(addr, method, uri string, interval time.Duration) (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		var c *channel
		for {
			select {
			case <-done:
				if c != nil {
					c.Close()
				}
				return
			case <-time.After(interval):
			}
			if c == nil {
				var err error
				if c, err = open(addr); err != nil {
					continue
				}
			}
			id := newID("b")
			framing := ""
			if method == http.MethodPost {
				framing = length(0)
			}
			io.WriteString(c, head(method, uri, id, framing))
			if res, err := c.receive(method, 10*time.Second); err != nil || res.close {
				c.Close()
				c = nil
			}
		}
	}()
	return func() { close(done); <-ended }
}
