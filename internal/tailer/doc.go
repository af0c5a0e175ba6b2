// Package tailer reads one stream of the platform's log, applies its records to a fold and appends to it.
package tailer
