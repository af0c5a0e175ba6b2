package explainer

import (
	"bytes"
	"io"
	"slices"

	lru "github.com/hashicorp/golang-lru/v2"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	keptRequests     = 4096
	keptLinesRequest = 16
)

// Explainer copies log lines that name a request; use New.
type Explainer struct {
	out   io.Writer
	lines *lru.Cache[identifier.RequestID, []string]
}

// New returns an explainer that writes on to out.
func New(out io.Writer) (*Explainer, error) {
	lines, err := lru.New[identifier.RequestID, []string](keptRequests)
	if err != nil {
		return nil, err
	}
	return &Explainer{out: out, lines: lines}, nil
}

// Write keeps one JSON log line under its request and writes it on.
func (e *Explainer) Write(line []byte) (int, error) {
	if id := requestID(line); id != "" {
		kept, _ := e.lines.Get(id)
		if len(kept) < keptLinesRequest {
			e.lines.Add(id, append(slices.Clone(kept), string(line)))
		}
	}
	return e.out.Write(line)
}

// requestID finds the request's id without decoding the whole line.
func requestID(line []byte) identifier.RequestID {
	_, rest, found := bytes.Cut(line, []byte(`"RequestID":"`))
	if !found {
		return ""
	}
	id, _, _ := bytes.Cut(rest, []byte(`"`))
	return identifier.RequestID(id)
}

// Sync does nothing, because lines are written at once.
func (e *Explainer) Sync() error { return nil }

// Lines returns the decision lines of a request, oldest first.
func (e *Explainer) Lines(id identifier.RequestID) []string {
	lines, _ := e.lines.Get(id)
	return lines
}
