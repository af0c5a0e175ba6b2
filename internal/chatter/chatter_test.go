package chatter_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
)

func TestEventReader(t *testing.T) {
	for name, tc := range map[string]struct {
		in      string
		numbers []int64
		err     error
	}{
		"two events":                 {"id: 1\ndata: a\n\nid: 2\ndata: b\n\n", []int64{1, 2}, io.EOF},
		"carriage returns":           {"id: 1\r\ndata: a\r\n\r\n", []int64{1}, io.EOF},
		"extra blank lines":          {"\n\nid: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n", []int64{1, 2}, io.EOF},
		"ends within a line":         {"id: 1\ndata: a\n\nid: 2\nda", []int64{1}, io.ErrUnexpectedEOF},
		"ends before the blank line": {"id: 1\ndata: a\n", nil, io.ErrUnexpectedEOF},
		"longer than the limit":      {"data: " + strings.Repeat("x", 2<<20) + "\n\n", nil, chatter.ErrTooLong},
	} {
		r := chatter.NewEventReader(strings.NewReader(tc.in))
		var numbers []int64
		for {
			event, err := r.Next()
			if err != nil {
				quicktest.Check(t, errors.Is(err, tc.err), quicktest.IsTrue, quicktest.Commentf("%s: %v", name, err))
				break
			}
			numbers = append(numbers, event.Number)
		}
		quicktest.Check(t, numbers, quicktest.DeepEquals, tc.numbers, quicktest.Commentf(name))
	}
}

func TestPartHashesAreChained(t *testing.T) {
	prompt := func(text string) chatter.Request {
		return chatter.Request{Model: "m", Messages: []chatter.Message{{Role: "user", Content: text}}}
	}
	shared := strings.Repeat("a", 8000)
	first := prompt(shared + strings.Repeat("b", 9000)).PartHashes()
	second := prompt(shared + strings.Repeat("c", 9000)).PartHashes()
	quicktest.Check(t, first, quicktest.HasLen, 2)
	quicktest.Check(t, first[0] == second[0] && first[1] != second[1], quicktest.IsTrue)
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := chatter.NewEventReader(strings.NewReader(in))
		read := 0
		for {
			event, err := r.Next()
			if err != nil {
				return
			}
			read += len(event.Raw)
			quicktest.Assert(t, read <= len(in), quicktest.IsTrue)
		}
	})
}

func FuzzParseRequest(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		r, err := chatter.ParseRequest(body)
		if err != nil {
			quicktest.Assert(t, err, quicktest.ErrorIs, chatter.ErrMalformed)
			return
		}
		quicktest.Assert(t, r.PromptTokens() > 0 && r.OutputLimit() > 0, quicktest.IsTrue)
		r.PartHashes()
	})
}
