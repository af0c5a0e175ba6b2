package signaler

import (
	"context"
	"sync"
)

// Event identifies a kind of event.
type Event int

// Mailbox holds the latest value of each event until Wait returns it; the zero value is empty and ready to use.
type Mailbox struct {
	mu     sync.Mutex
	events map[Event]any
	wake   chan struct{}
}

// Set stores the value of an event and replaces an earlier value that has not been returned yet.
func (m *Mailbox) Set(event Event, value any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.events == nil {
		m.events = map[Event]any{}
	}
	m.events[event] = value
	select {
	case m.wakeChan() <- struct{}{}:
	default:
	}
}

// Wait waits until the mailbox holds an event, then removes and returns all events. It returns the error of ctx if ctx
// ends first.
func (m *Mailbox) Wait(ctx context.Context) (map[Event]any, error) {
	for {
		m.mu.Lock()
		events, wake := m.events, m.wakeChan()
		m.events = nil
		m.mu.Unlock()
		if len(events) > 0 {
			return events, nil
		}
		select {
		case <-wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// wakeChan returns the channel that wakes Wait; mu must be held.
func (m *Mailbox) wakeChan() chan struct{} {
	if m.wake == nil {
		m.wake = make(chan struct{}, 1)
	}
	return m.wake
}
