package coordinator

import "time"

// Reader describes an instance that keeps copies of the store's streams. Usually only the first one reads them, and the others
// receive the records from peers; whoever finds its copy older than that reads too.
type Reader struct {
	UsesHubs bool
	// Rank is the number of live instances that read before this one.
	Rank int
	// Isolated is set if no peer is alive although others may be running. All instances are isolated when the whole fleet
	// starts, and would all be the first.
	Isolated bool
}

// CopyAge returns the age at which the instance refreshes its copies of configuration and targets.
func (r Reader) CopyAge() time.Duration { return readerCopyAge + r.delay() }

// MemberCopyAge is CopyAge for the members, most of which register in the first seconds and which rarely change later.
func (r Reader) MemberCopyAge(sinceStart time.Duration) time.Duration {
	if sinceStart < discoveryTime {
		return discoveryCopyAge + r.delay()
	}
	return memberCopyAge + r.delay()
}

// delay returns how long the instance leaves it to others to read.
func (r Reader) delay() time.Duration {
	if r.Isolated {
		return MaximumCopyAge(r.UsesHubs, hubReaders) - readerCopyAge
	}
	return min(MaximumCopyAge(r.UsesHubs, r.Rank)-readerCopyAge, time.Duration(r.Rank)*rankDelay)
}

// MaximumCopyAge returns the age, according to gossip messages, at which the instance of a rank refreshes its copies of
// configuration and targets at the latest. Gossip messages overstate ages, if anything.
func MaximumCopyAge(usesHubs bool, rank int) time.Duration {
	if usesHubs && rank >= hubReaders {
		return readerCopyAge + maximumDelayWithHubs
	}
	return readerCopyAge + maximumDelay
}
