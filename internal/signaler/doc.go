// Package signaler joins goroutines by an event box that keeps the latest value of each event.
package signaler
