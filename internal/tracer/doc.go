// Package tracer finds in the logs of entry instances what decided a request; it does no I/O of its own but reading.
package tracer
