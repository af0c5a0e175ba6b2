// Package signaler passes events between goroutines through a mailbox that keeps only the latest value of each event.
package signaler
