package forwarder_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/forwarder"
	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
)

// TestOnlyEventsContinueAStream guards against ORDER and MIXED: a stream broke off, and what the next target answered, an error or the head of another
// response, reached the client in the middle of its stream, or the stream ended as if it were whole.
func TestOnlyEventsContinueAStream(t *testing.T) {
	const (
		whole   = "200 whole "
		cut     = "200 cut "
		head    = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n"
		comment = ": ping\n\n"
	)
	breaks := step{status: 200, body: first, truncated: true}
	for name, tc := range map[string]struct {
		runs []step
		want string
	}{
		"500":                              {[]step{breaks, {status: 500, body: "bad"}}, cut + first},
		"400":                              {[]step{breaks, {status: 400, body: "bad"}}, cut + first},
		"204":                              {[]step{breaks, {status: 204}}, cut + first},
		"text":                             {[]step{breaks, {status: 200, body: "upstream error"}}, cut + first},
		"text with an empty line":          {[]step{breaks, {status: 200, body: "upstream error\n\n"}}, cut + first},
		"head of another response":         {[]step{breaks, {status: 200, body: head}}, cut + first},
		"event without an ID":              {[]step{breaks, {status: 200, body: "event: error\ndata: bad\n\n"}}, cut + first},
		"events, then text":                {[]step{breaks, {status: 200, body: second + "upstream error\n\n"}}, cut + first + second},
		"nothing, without a length":        {[]step{breaks, {status: 200, unframed: true}}, cut + first},
		"nothing left":                     {[]step{breaks, {status: 200}}, whole + first},
		"comment, then events":             {[]step{breaks, {status: 200, body: comment + second}}, whole + first + comment + second},
		"events, without a length":         {[]step{breaks, {status: 200, body: second, unframed: true}}, whole + first + second},
		"error of the first, then events":  {[]step{{status: 200, body: first + "event: error\ndata: bad\n\n"}, {status: 200, body: second}}, whole + first + second},
		"first without events, then whole": {[]step{{status: 200}, {status: 200, body: first + second}}, whole + first + second},
		"first with text, then whole":      {[]step{{status: 200, body: "upstream error\n\n"}, {status: 200, body: first}}, whole + first},
		"both without events or a length":  {[]step{{status: 200, unframed: true}}, "502 whole StreamBroken\n"},
		"both without events":              {[]step{{status: 200}, {status: 200}}, "502 whole StreamBroken\n"},
	} {
		res := serve(&backend{runs: tc.runs}, matcher.Route{Kind: matcher.Stream, HasPrompts: true, Resumable: true}, &forwarder.Call{}, 5)
		end := "whole"
		if res.aborted {
			end = "cut"
		}
		quicktest.Check(t, fmt.Sprint(res.Code, " ", end, " ", res.Body), quicktest.Equals, tc.want, quicktest.Commentf(name))
	}
}
