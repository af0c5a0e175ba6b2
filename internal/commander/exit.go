package commander

import (
	"errors"
	"fmt"
	"io"
)

// Exit codes of the program.
const (
	ExitDone        = 0
	ExitRefused     = 1
	ExitUsage       = 2
	ExitUnreachable = 3
)

// ErrRefused is returned when an entry instance refused a command, a check found faults, or the requested information does
// not exist.
var ErrRefused = errors.New("refused")

// ErrUsage is returned for invalid arguments or files, and when an entry instance cannot run.
var ErrUsage = errors.New("usage error")

// ErrUnreachable is returned when no entry instance responded, or a response is incomplete.
var ErrUnreachable = errors.New("unreachable")

// exitCode prints err and returns its exit code, which is ExitUsage for an error of no other kind.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitDone
	}
	fmt.Fprintln(stderr, err)
	switch {
	case errors.Is(err, ErrRefused):
		return ExitRefused
	case errors.Is(err, ErrUnreachable):
		return ExitUnreachable
	}
	return ExitUsage
}
