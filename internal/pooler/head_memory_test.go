package pooler_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/pooler"
	"github.com/coltsfootscale/coltsfootscale/internal/reserver"
)

// TestHeadsShareMemory guards against a target that fills the memory of its caller with heads of many short lines, each inside the limit of one.
func TestHeadsShareMemory(t *testing.T) {
	const maximum = 1 << 20
	memory := &reserver.Memory{MaximumBytes: maximum}
	p := &pooler.Pool{Memory: memory}
	get := func(before, head string) (*pooler.Response, error) {
		tg := listen(t, func(conn net.Conn, _ *http.Request, _ int) {
			io.WriteString(conn, before+"HTTP/1.1 200 OK\r\n"+head+"Content-Length: 4\r\n\r\nbody")
		})
		return p.Do(context.Background(), &pooler.Request{Address: tg.addr, Method: http.MethodGet, URI: "/x", Host: "h"})
	}
	read := func(response *pooler.Response) {
		body, err := io.ReadAll(response.Body)
		quicktest.Check(t, err, quicktest.IsNil)
		quicktest.Check(t, string(body), quicktest.Equals, "body")
		quicktest.Check(t, response.Body.Close(), quicktest.IsNil)
	}
	lines := func(n int) string {
		var b strings.Builder
		for i := range n {
			fmt.Fprintf(&b, "X-%d: a\r\n", i)
		}
		return b.String()
	}
	// One head has its part only, also behind an informational response.
	for _, status := range []string{"", "HTTP/1.1 103 Hints\r\n\r\n"} {
		_, err := get(status, lines(2000))
		quicktest.Check(t, err, quicktest.ErrorIs, pooler.ErrHeadMemory)
	}
	quicktest.Check(t, memory.Used(), quicktest.Equals, int64(0))
	// Heads of 200 lines, until the memory is full.
	var held []*pooler.Response
	for {
		response, err := get("", lines(200))
		if err != nil {
			quicktest.Check(t, err, quicktest.ErrorIs, pooler.ErrHeadMemory)
			quicktest.Check(t, err, quicktest.ErrorIs, pooler.ErrUnexpectedResponse)
			break
		}
		held = append(held, response)
		quicktest.Assert(t, memory.Used() <= maximum, quicktest.IsTrue)
	}
	quicktest.Check(t, len(held) >= 8, quicktest.IsTrue, quicktest.Commentf("%d heads", len(held)))
	// An ordinary head needs none of it.
	response, err := get("", lines(8))
	quicktest.Assert(t, err, quicktest.IsNil)
	read(response)
	for _, response := range held {
		read(response)
	}
	quicktest.Check(t, memory.Used(), quicktest.Equals, int64(0))
}
