package explainer

import (
	"bytes"
	"io"
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// maximumRequests is how many of the latest requests are kept.
	maximumRequests        = 4096
	maximumLinesPerRequest = 16
)

// Explainer is a log output that also keeps the lines that contain a request ID; use New to create one.
type Explainer struct {
	out   io.Writer
	lines *lru.Cache[identifier.RequestID, []string]
}

// New returns an Explainer that writes all lines to out.
func New(out io.Writer) (*Explainer, error) {
	lines, err := lru.New[identifier.RequestID, []string](maximumRequests)
	if err != nil {
		return nil, err
	}
	return &Explainer{out: out, lines: lines}, nil
}

// Write writes one JSON log line to the output. It also keeps the line if the line contains a request ID, up to
// maximumLinesPerRequest lines of each request; further lines of the request are not kept.
func (e *Explainer) Write(line []byte) (int, error) {
	if id := requestID(line); id != "" {
		kept, _ := e.lines.Get(id)
		if len(kept) < maximumLinesPerRequest {
			e.lines.Add(id, append(slices.Clone(kept), string(line)))
		}
	}
	return e.out.Write(line)
}

// requestID extracts the request ID without decoding the whole line; it returns an empty ID if there is none.
func requestID(line []byte) identifier.RequestID {
	_, rest, found := bytes.Cut(line, []byte(`"RequestID":"`))
	if !found {
		return ""
	}
	id, _, _ := bytes.Cut(rest, []byte(`"`))
	return identifier.RequestID(id)
}

// Sync does nothing, because lines are written immediately.
func (e *Explainer) Sync() error { return nil }

// Lines returns the kept log lines of a request, oldest first.
func (e *Explainer) Lines(id identifier.RequestID) []string {
	lines, _ := e.lines.Get(id)
	return lines
}
