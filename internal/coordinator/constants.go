package coordinator

import "time"

const (
	// The defaults hold before the first configuration, and where it names no limit; they are those of the users' sites.
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdleTimeout   = 15 * time.Second
	// readerAge is how old the first reader lets its copies of configuration and targets grow before it reads the store;
	// the others wait for its beats, and read by themselves if these do not come.
	readerAge = 300 * time.Millisecond
	rankDelay = 500 * time.Millisecond
	mostDelay = 600 * time.Millisecond
	// mostDelayLarge is the most in a fleet in which beats are passed on by hubs, for all but the first hubReaders, which are
	// the hubs of five zones: others that the store turns away hear from them in two steps.
	mostDelayLarge = 1200 * time.Millisecond
	hubReaders     = 10
	// spreadSmall and spreadLarge are how far predictions may be off in a mesh and with hubs.
	spreadSmall = 10 * time.Millisecond
	spreadLarge = 80 * time.Millisecond
	// shortestOutage is the least time without news in which entries of live targets may lapse: they lapse after three
	// heartbeats of about a second.
	shortestOutage = 2 * time.Second
	// gatherTime is how long after its start an instance looks for members at every gatherAge.
	gatherTime = 6 * time.Second
	gatherAge  = 700 * time.Millisecond
	// memberAge is the same for the list of members, which rarely changes.
	memberAge = 5 * time.Second
	// claimDelay is how much later each further instance claims duties that nobody holds.
	claimDelay = 700 * time.Millisecond
	// registerRetry is the pause between tries to register as a member.
	registerRetry = 500 * time.Millisecond
	// callTimeout bounds one call to the store.
	callTimeout = time.Second
	// tidyPause is how often what is gone is forgotten.
	tidyPause = time.Second
	// settingsPause is how often the settings file is looked at.
	settingsPause = time.Second
	// leaveTime is how long a leaving instance goes on taking requests: clients keep its address for a while.
	leaveTime = 2500 * time.Millisecond
	// stopMargin is what is left of the grace for the end of the process.
	stopMargin = 700 * time.Millisecond
	// memoryPart is the part of the memory limit at which the runtime collects harder.
	memoryPart = 0.7
	// bodyPart is the part of the memory limit, one of so many, that clients' bodies may take.
	bodyPart = 8
	// reservedDescriptors are not for connections of clients.
	reservedDescriptors = 600
	// incarnationDigits is how much of a random id tells the incarnations of an instance apart; beats carry many of them.
	incarnationDigits = 8
	// AddressLifetime is how long clients may keep an answer of the directory, at most as long as the site counts.
	AddressLifetime = 1500 * time.Millisecond
)

// Names of the mirrored streams in beats.
const (
	streamConfiguration = "Configuration"
	streamTargets       = "Targets"
	streamMembers       = "Members"
)
