package parser

import (
	"errors"
	"fmt"
	"strings"
)

// ErrInvalid is wrapped by every error that reports faults of an input file.
var ErrInvalid = errors.New("invalid input")

// Fault is an invalid value with its location in the input file.
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

// Faults is a list of faults that is also an error; it wraps ErrInvalid.
type Faults []Fault

// Error returns the faults, one on each line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap lets errors.Is find ErrInvalid.
func (f Faults) Unwrap() error { return ErrInvalid }

func (f Faults) errorOrNil() error {
	if len(f) == 0 {
		return nil
	}
	return f
}
