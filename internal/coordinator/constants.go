package coordinator

import "time"

const (
	// Default limits, in force before the first configuration and where it sets none; the users' sites use the same
	// values.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// readerCopyAge is the age at which the instance of rank 0 refreshes its copies of configuration and targets from
	// the store. The other instances receive them from peers; if they do not, they read the store after a further
	// rankDelay per rank, at most maximumDelay.
	readerCopyAge = 300 * time.Millisecond
	rankDelay     = 500 * time.Millisecond
	maximumDelay  = 600 * time.Millisecond
	// maximumDelayWithHubs replaces maximumDelay in a fleet with hubs, except for the first hubReaders ranks, which are
	// the hubs of five zones: an instance that the store refuses receives the records from them in two hops.
	maximumDelayWithHubs = 1200 * time.Millisecond
	hubReaders           = 10
	// meshJitter and hubJitter are the maximum jitter of target choices in a full mesh and with hubs: by how much the
	// predictions of two instances may differ.
	meshJitter = 10 * time.Millisecond
	hubJitter  = 80 * time.Millisecond
	// outageThreshold is the shortest store outage in which entries of live targets may expire: they expire after three
	// heartbeats of about a second.
	outageThreshold = 2 * time.Second
	// discoveryTime is the time after the start in which an instance refreshes its copy of the members at
	// discoveryCopyAge.
	discoveryTime    = 6 * time.Second
	discoveryCopyAge = 700 * time.Millisecond
	// memberCopyAge is the age at which the copy of the members, which rarely changes, is refreshed after discoveryTime.
	memberCopyAge = 5 * time.Second
	// claimDelay is the additional delay per rank before an instance claims duties that have no holder.
	claimDelay = 700 * time.Millisecond
	// checkPause is the pause between checks of a condition that an instance that starts waits for.
	checkPause = 50 * time.Millisecond
	// joinRetryPause is the pause between attempts to register as a member or to contact the seeds.
	joinRetryPause = 500 * time.Millisecond
	// callTimeout limits one call to the store.
	callTimeout = time.Second
	// cleanupInterval is the time between removals of outdated state.
	cleanupInterval = time.Second
	// settingsInterval is the time between checks of the settings file for changes.
	settingsInterval = time.Second
	// leaveTime is how long a leaving instance still accepts requests, because clients keep its address for a while.
	leaveTime = 2500 * time.Millisecond
	// stopMargin is the time at the end of the grace period that is reserved for the exit of the process.
	stopMargin = 700 * time.Millisecond
	// answerMargin is the time before stopMargin in which the requests are answered that are ended because their time is over.
	answerMargin = 250 * time.Millisecond
	// shutdownTimeout limits the shutdown of the servers once the last request is done.
	shutdownTimeout = 50 * time.Millisecond
	// drainPause is the pause between checks whether a request is still in progress.
	drainPause = 10 * time.Millisecond
	// endTimeout limits the call to the store at the end of the process; half as long, background tasks may take to end.
	endTimeout = 300 * time.Millisecond
	// memoryLimitFraction is the fraction of the instance's memory that becomes the soft memory limit of the runtime. The rest is for what
	// sockets have received, and for what is allocated while the runtime frees memory.
	memoryLimitFraction = 0.6
	// bodyMemoryDivisor sets the memory for request bodies: the instance's memory divided by this number.
	bodyMemoryDivisor = 8
	// incarnationDigits is the length of the random ID that distinguishes the incarnations of an instance. It is short
	// because gossip messages carry many.
	incarnationDigits = 8
	// departureReportTime is how long after it is known a leaving target is reported to peers: some messages.
	departureReportTime = 2 * time.Second
	// reportedClosings is the number of newest closed usage windows that are reported to peers.
	reportedClosings = 8
	// reregisterJitter spreads the member records that all instances write after the store has lost some.
	reregisterJitter = time.Second
	// firstPeerTimeout is how long an instance that starts waits for a peer, which may know a newer configuration than
	// a store that came back from an older copy.
	firstPeerTimeout = 1500 * time.Millisecond
	// reportedVersionTimeout is how long it then waits for the configuration that a peer has announced.
	reportedVersionTimeout = 5 * time.Second
	// AddressLifetime is how long clients may cache a response of the directory; a site may set a shorter time.
	AddressLifetime = 1500 * time.Millisecond
)

// Names of the mirrored streams in gossip messages.
const (
	streamConfiguration = "Configuration"
	streamTargets       = "Targets"
	streamMembers       = "Members"
)
