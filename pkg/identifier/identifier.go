package identifier

import (
	"crypto/sha256"
	"encoding/hex"
)

// InstanceID names an entry instance.
type InstanceID string

// ZoneID names an availability zone.
type ZoneID string

// TeamID names a team.
type TeamID string

// TargetID names a target.
type TargetID string

// ModelID names a model.
type ModelID string

// KeyID names a key without revealing it.
type KeyID string

// RequestID names one request of a caller.
type RequestID string

// StreamID names a stream of the platform's log.
type StreamID string

// Offset is a position in a stream of the platform's log.
type Offset uint64

// Fence is a fencing number, the offset of the claim that granted a lease.
type Fence uint64

// Version counts accepted publishes.
type Version uint64

// Tokens is a number of prompt or output tokens.
type Tokens int64

// KeyHash is the hex SHA-256 digest of a key.
type KeyHash string

// HashKey returns the digest under which a key is stored and compared.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// ServiceID names a service of alike targets.
type ServiceID string

// RouteID names a route.
type RouteID string

// PartID is a piece of a prompt that several requests may share.
type PartID uint64
