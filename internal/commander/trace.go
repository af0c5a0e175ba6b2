package commander

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/coltsfootscale/coltsfootscale/internal/tracer"
)

type traceQuery struct {
	deferred
	Logs       []string `long:"Logs" value-name:"FILE" required:"true" description:"log of an instance that the entry command runs, or - for standard input; may be given several times"`
	Positional struct {
		RequestID string `positional-arg-name:"REQUEST-ID" required:"true"`
	} `positional-args:"true"`
}

func (q *traceQuery) validate() error {
	for _, file := range q.Logs {
		if file == "-" {
			continue
		}
		if _, err := os.Stat(file); err != nil {
			return fmt.Errorf("%w: --Logs: %w", ErrUsage, err)
		}
	}
	return nil
}

// run prints the trace of one request from the logs of all instances.
func (q *traceQuery) run(env *Environment) error {
	var lines []tracer.Line
	for _, file := range q.Logs {
		fileLines, err := readLogs(env, file)
		if err != nil {
			return err
		}
		lines = append(lines, fileLines...)
	}
	tracer.Sort(lines)
	trace, err := tracer.Find(lines, q.Positional.RequestID)
	if errors.Is(err, tracer.ErrUnknownRequest) {
		return fmt.Errorf("%w: %w", ErrRefused, err)
	}
	if err != nil {
		return err
	}
	return trace.Write(env.Stdout)
}

func readLogs(env *Environment, file string) ([]tracer.Line, error) {
	var r io.Reader = os.Stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, fmt.Errorf("%w: --Logs: %w", ErrUsage, err)
		}
		defer f.Close()
		r = f
	}
	lines, unreadable, err := tracer.Read(r, file)
	if err != nil {
		return nil, fmt.Errorf("%w: --Logs %s: %w", ErrUsage, file, err)
	}
	for _, u := range unreadable {
		fmt.Fprintln(env.Stderr, "unreadable line", u)
	}
	return lines, nil
}
