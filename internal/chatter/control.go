package chatter

// Load is what an engine reports of itself, with a lag.
type Load struct {
	Running                   int64
	Waiting                   int64
	Slots                     int64
	QueuedPrefillMilliseconds int64
	AgeMilliseconds           int64
	Leaving                   bool
}

// CacheEvent tells that a prefix-cache piece was stored or evicted.
type CacheEvent struct {
	Sequence uint64
	Piece    uint64
	Stored   bool
}

// CacheEvents is a run of cache events; a gap before the first means that events were lost.
type CacheEvents struct {
	Next   uint64
	Events []CacheEvent
}

// EngineOrder asks an engine for a role and model; an empty OrderID only raises the fencing number.
type EngineOrder struct {
	OrderID string
	Fence   uint64
	Role    string
	Model   string
}

// EngineState is what an engine says of its role and its last order.
type EngineState struct {
	Role      string
	Model     string
	LastOrder string
	Changing  bool
	Running   int64
}

// Transfer names a prompt's KV cache that can be imported by another engine.
type Transfer struct{ Handle string }
