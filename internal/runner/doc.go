// Package runner is the core of an entry instance: it wires the components together and runs them until the
// instance stops.
package runner
