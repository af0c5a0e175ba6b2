package relayer

import "time"

const (
	firstTokenTimeout    = 10 * time.Second
	betweenTokensTimeout = 5 * time.Second
	usageSyncTimeout     = 100 * time.Millisecond
	dispatchTimeout      = 1500 * time.Millisecond
	resultTimeout        = 10 * time.Second
	shortRetryAfter      = time.Second
	journalRetryAfter    = 2 * time.Second
	usageInterval        = 200 * time.Millisecond
	maximumAttempts      = 4
	// maximumReplayBytes limits the answer body that a journal record keeps, and the response to a separate prefill.
	maximumReplayBytes   = 4 << 10
	idempotencyKeyHeader = "Idempotency-Key"
	replayedHeader       = "X-Replayed"
)
