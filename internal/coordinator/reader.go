package coordinator

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/follower"
)

const (
	// fastReaders is the number of ranks that repeat failed calls to the store without backing off, so that the store is read
	// right after it serves again. The others receive the records from them.
	fastReaders = 2
	// maximumRetryPause limits the pause of the others. pausePerInstance limits it in a small fleet, in which few others could
	// read the store if it refused the first ranks alone: in a fleet of any size, one of the others tries about every 40 ms.
	maximumRetryPause = 3 * time.Second
	pausePerInstance  = 40 * time.Millisecond
	// aloneRetryPause limits the pause of an instance that hears no peer: nobody brings it the records.
	aloneRetryPause = time.Second
)

// Reader describes an instance that keeps copies of the store's streams. Usually only the first one reads them, and the others
// receive the records from peers; whoever finds its copy older than that reads too.
type Reader struct {
	UsesHubs bool
	// Rank is the number of live instances that read before this one.
	Rank int
	// Isolated is set if no peer is alive although others may be running. All instances are isolated when the whole fleet
	// starts, and would all be the first.
	Isolated bool
	// Instances is the number of live instances, this one with them.
	Instances int
	// Alone is set if no peer is alive although others are known or named in the settings.
	Alone bool
}

// RetryPause returns the pause after a number of consecutive failed calls to the store: it doubles up to a limit, and half of it is
// random. random is between 0 and 1.
func (r Reader) RetryPause(failures int, random float64) time.Duration {
	limit := min(maximumRetryPause, time.Duration(r.Instances)*pausePerInstance)
	switch {
	case r.Alone:
		limit = aloneRetryPause
	case r.Rank < fastReaders:
		return follower.RetryPause
	}
	pause := follower.RetryPause
	for ; failures > 1 && pause < limit; failures-- {
		pause *= 2
	}
	pause = min(pause, limit)
	return max(follower.RetryPause, pause/2+time.Duration(random*float64(pause/2)))
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
