package identifier

import (
	"crypto/sha256"
	"encoding/hex"
)

// InstanceID identifies an entry instance.
type InstanceID string

// ZoneID identifies an availability zone.
type ZoneID string

// TeamID identifies a team.
type TeamID string

// TargetID identifies a target.
type TargetID string

// Build is the version of a target's software. What two builds generate does not fit into one stream.
type Build string

// ModelID identifies a model.
type ModelID string

// KeyID identifies a key without revealing it.
type KeyID string

// RequestDigest identifies requests that are alike: same method, host, URI, team and body.
type RequestDigest uint64

// RequestID identifies one request of a caller.
type RequestID string

// StreamID identifies a stream of the platform's log.
type StreamID string

// Offset is a position in a stream of the platform's log.
type Offset uint64

// Era counts how often the platform's store has come back from an older copy. Offsets of different eras are unrelated.
type Era uint64

// MaximumEra is the highest era whose fencing numbers fit into 53 bits, the integers that JSON numbers hold exactly.
const MaximumEra Era = 1<<21 - 1

// Position is an offset in one era of the store.
type Position struct {
	Era    Era
	Offset Offset
}

// Fence is a fencing number: it rises with the position of the claim that granted a lease.
type Fence uint64

// eraShift is the number of bits of a fencing number that hold the offset.
const eraShift = 32

// FenceAt returns the fencing number of a claim at a position.
func FenceAt(p Position) Fence { return Fence(uint64(p.Era)<<eraShift|uint64(p.Offset)) + 1 }

// Era returns the era of the claim that has the fencing number, or zero for the zero value.
func (f Fence) Era() Era { return Era((max(f, 1) - 1) >> eraShift) }

// Version counts accepted publishes.
type Version uint64

// Tokens is a number of prompt or output tokens.
type Tokens int64

// KeyHash is the hex SHA-256 digest of a key.
type KeyHash string

// HashKey returns the digest of a key, which is stored and compared instead of the key.
func HashKey(key string) KeyHash {
	sum := sha256.Sum256([]byte(key))
	return KeyHash(hex.EncodeToString(sum[:]))
}

// ServiceID identifies a service of interchangeable targets.
type ServiceID string

// RouteID identifies a route.
type RouteID string

// PartID identifies a prompt part, which several requests may have in common.
type PartID uint64
