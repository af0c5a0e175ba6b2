package explainer_test

import (
	"bytes"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/explainer"
)

func TestLinesAreKeptByRequest(t *testing.T) {
	var out bytes.Buffer
	e, err := explainer.New(&out)
	quicktest.Assert(t, err, quicktest.IsNil)
	lines := []string{
		`{"Message":"Route","RequestID":"a","Chosen":"x"}` + "\n",
		`{"Message":"Route","RequestID":"b"}` + "\n",
		`{"Message":"lease claimed"}` + "\n",
		`{"Message":"Finish","RequestID":"a"}` + "\n",
	}
	for _, line := range lines {
		_, err := e.Write([]byte(line))
		quicktest.Assert(t, err, quicktest.IsNil)
	}
	quicktest.Check(t, e.Lines("a"), quicktest.DeepEquals, []string{lines[0], lines[3]})
	quicktest.Check(t, e.Lines("c"), quicktest.HasLen, 0)
	quicktest.Check(t, out.String(), quicktest.Equals, lines[0]+lines[1]+lines[2]+lines[3])
}
