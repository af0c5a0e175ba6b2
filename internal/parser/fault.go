package parser

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is wrapped by every error that reports faults of an input file.
var ErrInvalid = errors.New("invalid input")

// Fault is one value that is not allowed, with the place where it stands.
type Fault struct {
	File    string
	Section string
	Key     string
	Value   string
	Allowed string
}

// String returns the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("%s: [%s] %s = %q: allowed: %s", f.File, f.Section, f.Key, f.Value, f.Allowed)
}

// Faults is a list of faults that serves as an error wrapping ErrInvalid.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.Is find ErrInvalid.
func (f Faults) Unwrap() error { return ErrInvalid }

func (f Faults) orNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
