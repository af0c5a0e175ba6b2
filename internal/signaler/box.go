package signaler

import (
	"context"
	"sync"
)

// Event names what happened.
type Event int

// Mailbox holds the latest value of each event until it is taken; the zero value is empty.
type Mailbox struct {
	mu     sync.Mutex
	events map[Event]any
	wake   chan struct{}
}

// Set puts an event in the box and replaces an earlier value of it.
func (b *Mailbox) Set(event Event, value any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.events == nil {
		b.events = map[Event]any{}
	}
	b.events[event] = value
	select {
	case b.wakeChan() <- struct{}{}:
	default:
	}
}

// Wait takes all events, waiting for the first, or returns the error of ctx.
func (b *Mailbox) Wait(ctx context.Context) (map[Event]any, error) {
	for {
		b.mu.Lock()
		events, wake := b.events, b.wakeChan()
		b.events = nil
		b.mu.Unlock()
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

func (b *Mailbox) wakeChan() chan struct{} {
	if b.wake == nil {
		b.wake = make(chan struct{}, 1)
	}
	return b.wake
}
