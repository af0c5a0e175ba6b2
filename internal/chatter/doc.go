// Package chatter defines the messages exchanged with callers and engines: chat completions, load reports, cache events
// and role orders.
package chatter
