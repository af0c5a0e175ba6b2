package chatter

// Load is an engine's report of its load. AgeMilliseconds is the time since the figures were taken.
type Load struct {
	Running                   int64
	Waiting                   int64
	Slots                     int64
	QueuedPrefillMilliseconds int64
	AgeMilliseconds           int64
	Leaving                   bool
}

// CacheEvent reports that a prompt part was stored in the prefix cache or evicted from it. Piece is the part's hash.
type CacheEvent struct {
	Sequence uint64
	Piece    uint64
	Stored   bool
}

// CacheEvents is a page of consecutive cache events, and Next is the sequence number after them. If the first event is
// later than the requested one, events were lost.
type CacheEvents struct {
	Next   uint64
	Events []CacheEvent
}

// EngineOrder orders an engine to take a role and model. With an empty OrderID, it only raises the fencing number.
type EngineOrder struct {
	OrderID string
	Fence   uint64
	Role    string
	Model   string
}

// EngineState is an engine's report of its role, its model and its last order.
type EngineState struct {
	Role      string
	Model     string
	LastOrder string
	Changing  bool
	Running   int64
}

// Transfer is the response to a prefill request. Handle names the prompt's KV cache, which another engine can import.
type Transfer struct{ Handle string }
