package relayer

import "time"

const (
	firstTokenStall    = 10 * time.Second
	betweenTokensStall = 5 * time.Second
	syncTimeout        = 100 * time.Millisecond
	dispatchTimeout    = 1500 * time.Millisecond
	resultTimeout      = 10 * time.Second
	shortReturn        = time.Second
	journalReturn      = 2 * time.Second
	usageInterval      = 200 * time.Millisecond
	maximumAttempts    = 4
	replayBytes        = 4 << 10
	idempotencyKey     = "Idempotency-Key"
	replayedHeader     = "X-Replayed"
)
