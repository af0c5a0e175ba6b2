// Package chatter holds the messages that callers and engines exchange: chat completions, load, cache events and orders.
package chatter
