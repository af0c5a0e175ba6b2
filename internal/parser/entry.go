package parser

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// EntrySettings configures an entry instance on the users' machines, which the entry command runs.
type EntrySettings struct {
	Instance identifier.InstanceID
	Zone     identifier.ZoneID
	// Listen, ReadyListen, DirectoryListen and MetricsListen are the listen addresses for clients, readiness checks, the
	// address directory and metrics.
	Listen          string
	ReadyListen     string
	DirectoryListen string
	MetricsListen   string
	// PeerListen is the listen address for other entry instances; Seeds are the peer addresses of some of them.
	PeerListen string
	// RelayListen is the listen address for requests that peers pass on; if it is empty, none are.
	RelayListen string
	Seeds       []string
	// Contracts lists the parts that the deployment's contract names.
	Contracts []string
	Store     string
	// Cloud is a base URL like Store; it is empty on a site without duties.
	Cloud   string
	Routing EntryRouting
	Bounds  EntryBounds
}

// EntryRouting selects how targets are chosen. Values other than the defaults serve as baselines in measurements.
type EntryRouting struct {
	Policy chooser.Policy
	// FixedStages keeps the targets' stages unchanged.
	FixedStages bool
	// MeasuredTimes lets choices follow the measured times of each target in place of the defaults.
	MeasuredTimes bool
}

// EntryBounds holds the bounds that the users promise their clients and the limits that the platform sets.
type EntryBounds struct {
	Lease              time.Duration
	ConfigurationApply time.Duration
	// Grace is the time from the signal to stop until the process must have exited.
	Grace       time.Duration
	UsageWindow time.Duration
	// UsageLate is the time after its end within which a usage window may still be reported.
	UsageLate time.Duration
	// In any RetryWindow the retries of all instances stay under RetryRatio times the requests plus RetrySlack.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// In any QuotaWindow the requests of a team may cost its quota times 1 + QuotaOvershoot, plus QuotaSlack.
	QuotaWindow     time.Duration
	QuotaOvershoot  float64
	QuotaSlack      float64
	AddressLifetime time.Duration
	Descriptors     int
	MemoryMegabytes int64
	// Limits of the connections to each listener; zero means the default, a part of Descriptors. ControlConnections is for readiness and for metrics each.
	ClientConnections, RelayConnections, PeerConnections, DirectoryConnections, ControlConnections int
	// HeadMegabytes and PeerMegabytes limit the memory for the heads of all requests, and for all messages of peers that are not handled yet;
	// zero means the default, a part of MemoryMegabytes.
	HeadMegabytes, PeerMegabytes int64
	// Cores is the number of processor cores that the process may use; it can be a fraction.
	Cores float64
	// LinkMegabits is the bandwidth of the machine's network link.
	LinkMegabits float64
	// FencingChecked is set if the platform refuses calls with a lower fencing number than it has seen.
	FencingChecked bool
}

const (
	// The defaults apply to keys that a site's settings leave out or empty; they are the values of the users' first sites.
	defaultEntryLeaseMilliseconds         = 3000
	defaultEntryConfigurationMilliseconds = 2000
	defaultEntryGraceSeconds              = 8.0
	defaultEntryUsageWindowSeconds        = 5.0
	defaultEntryUsageLateSeconds          = 10.0
	defaultEntryRetryRatio                = 0.2
	defaultEntryRetrySlack                = 20.0
	defaultEntryRetryWindowSeconds        = 10.0
	defaultEntryQuotaWindowSeconds        = 8.0
	defaultEntryAddressLifetimeSeconds    = 5.0
	defaultEntryDescriptors               = 1024
	defaultEntryMemoryMegabytes           = 256
	defaultEntryLinkMegabits              = 1000
	maximumSeconds                        = 86_400
	maximumQuotaOvershoot                 = 100
	maximumQuotaSlack                     = 1e12
)

// Defaults of the limits that depend on others, as percentages of the descriptors and fractions of the memory. What connections leave of the
// descriptors is for files and for connections to targets, peers and the store.
const (
	clientDescriptorPercent    = 40
	relayDescriptorPercent     = 10
	peerDescriptorPercent      = 10
	directoryDescriptorPercent = 5
	controlDescriptorPercent   = 2.5
	headMemoryDivisor          = 8
	peerMemoryDivisor          = 16
	minimumPeerMegabytes       = 8
)

// WithDefaults returns the bounds with the defaults of the limits that depend on others.
func (b EntryBounds) WithDefaults() EntryBounds {
	part := func(percent float64) int { return max(1, int(float64(b.Descriptors)*percent/100)) }
	b.ClientConnections = cmp.Or(b.ClientConnections, part(clientDescriptorPercent))
	b.RelayConnections = cmp.Or(b.RelayConnections, part(relayDescriptorPercent))
	b.PeerConnections = cmp.Or(b.PeerConnections, part(peerDescriptorPercent))
	b.DirectoryConnections = cmp.Or(b.DirectoryConnections, part(directoryDescriptorPercent))
	b.ControlConnections = cmp.Or(b.ControlConnections, part(controlDescriptorPercent))
	b.HeadMegabytes = cmp.Or(b.HeadMegabytes, max(1, b.MemoryMegabytes/headMemoryDivisor))
	b.PeerMegabytes = cmp.Or(b.PeerMegabytes, max(minimumPeerMegabytes, b.MemoryMegabytes/peerMemoryDivisor))
	return b
}

// ParseEntrySettings reads the settings of an entry instance on the users' machines; the error holds Faults.
func ParseEntrySettings(file string, data []byte) (*EntrySettings, error) {
	d, err := openDocument(file, data)
	if err != nil {
		return nil, err
	}
	s := &EntrySettings{}
	instance := d.sectionNamed("Instance")
	s.Instance = identifier.InstanceID(instance.required("ID"))
	s.Zone = identifier.ZoneID(instance.required("AvailabilityZone"))
	s.Listen = instance.hostPort("Listen", "")
	s.ReadyListen = instance.hostPort("ReadyListen", "")
	s.DirectoryListen = instance.hostPort("DirectoryListen", "")
	s.MetricsListen = instance.hostPort("MetricsListen", "")
	s.PeerListen = instance.hostPort("PeerListen", "")
	if instance.text("RelayListen", "") != "" {
		s.RelayListen = instance.hostPort("RelayListen", "")
	}
	s.Seeds = parseSeeds(instance, s.PeerListen)
	// Earlier builds' templates set this key, which has no effect: a restarted process reads the same file as the first one.
	_ = instance.boolean("FirstStart", false)
	s.Contracts = parseWords(instance.text("Contracts", ""))
	s.Store = "http://" + d.sectionNamed("Store").hostPort("Address", "")
	if cloud := d.sectionNamed("Cloud"); cloud.text("Address", "") != "" {
		s.Cloud = "http://" + cloud.hostPort("Address", "")
	}
	s.Routing = parseRouting(d.sectionNamed("Routing"))
	s.Bounds = parseEntryBounds(d.sectionNamed("Bounds"))
	if err := d.finish("Instance, Store, Cloud, Routing, Bounds"); err != nil {
		return nil, err
	}
	return s, nil
}

// parseSeeds returns the peer addresses of the seeds: the host of each seed with the port of peerListen, which is the same
// on all machines.
func parseSeeds(s *section, peerListen string) []string {
	var seeds []string
	_, port, err := net.SplitHostPort(peerListen)
	if err != nil {
		return nil // hostPort has already reported the fault of PeerListen.
	}
	for _, seed := range strings.Split(s.text("Seeds", ""), ",") {
		seed = strings.TrimSpace(seed)
		if seed == "" {
			continue
		}
		host, _, err := net.SplitHostPort(seed)
		if err != nil || net.ParseIP(host) == nil {
			s.addFault("Seeds", seed, "IP numbers with ports, separated by commas")
			continue
		}
		seeds = append(seeds, net.JoinHostPort(host, port))
	}
	return seeds
}

// parseWords returns the words of a list that commas separate.
func parseWords(list string) []string {
	var words []string
	for _, word := range strings.Split(list, ",") {
		if word = strings.TrimSpace(word); word != "" {
			words = append(words, word)
		}
	}
	return words
}

func parseRouting(s *section) EntryRouting {
	r := EntryRouting{Policy: chooser.Policy(s.text("Policy", string(chooser.Predicted)))}
	if !slices.Contains(chooser.Policies, r.Policy) {
		s.addFault("Policy", string(r.Policy), fmt.Sprintf("one of %v", chooser.Policies))
	}
	switch stages := s.text("Stages", "Followed"); stages {
	case "Followed":
	case "Fixed":
		r.FixedStages = true
	default:
		s.addFault("Stages", stages, "Followed, Fixed")
	}
	switch times := s.text("Times", "Default"); times {
	case "Default":
	case "Measured":
		r.MeasuredTimes = true
	default:
		s.addFault("Times", times, "Default, Measured")
	}
	return r
}

func parseEntryBounds(s *section) EntryBounds {
	b := EntryBounds{
		Lease:              s.millisecondsOrDefault("LeaseMilliseconds", defaultEntryLeaseMilliseconds),
		ConfigurationApply: s.millisecondsOrDefault("ConfigurationMilliseconds", defaultEntryConfigurationMilliseconds),
		Grace:              s.secondsOrDefault("GraceSeconds", defaultEntryGraceSeconds),
		UsageWindow:        s.secondsOrDefault("UsageWindowSeconds", defaultEntryUsageWindowSeconds),
		UsageLate:          s.secondsOrDefault("UsageLateSeconds", defaultEntryUsageLateSeconds),
		RetryRatio:         s.numberOrDefault("RetryRatio", defaultEntryRetryRatio, 0, 1),
		RetrySlack:         s.numberOrDefault("RetrySlack", defaultEntryRetrySlack, 0, maximumConnections),
		RetryWindow:        s.secondsOrDefault("RetryWindowSeconds", defaultEntryRetryWindowSeconds),
		QuotaWindow:        s.secondsOrDefault("QuotaWindowSeconds", defaultEntryQuotaWindowSeconds),
		QuotaOvershoot:     s.numberOrDefault("QuotaOvershoot", 0, 0, maximumQuotaOvershoot),
		QuotaSlack:         s.numberOrDefault("QuotaSlack", 0, 0, maximumQuotaSlack),
		AddressLifetime:    s.secondsOrDefault("AddressLifetimeSeconds", defaultEntryAddressLifetimeSeconds),
		Descriptors:        int(s.numberOrDefault("Descriptors", defaultEntryDescriptors, 64, maximumConnections)),
		Cores:              s.numberOrDefault("CPUShare", 1, 0.001, maximumConnections) * s.numberOrDefault("CPUs", 1, 1, maximumConnections),
		LinkMegabits:       s.numberOrDefault("LinkMegabits", defaultEntryLinkMegabits, 0.1, maximumBytes),
		FencingChecked:     s.raw("FencingChecked", "") != "" && s.boolean("FencingChecked", false),
		MemoryMegabytes:    int64(s.numberOrDefault("MemoryMegabytes", defaultEntryMemoryMegabytes, 16, maximumBytes)),

		ClientConnections:    int(s.numberOrDefault("ClientConnections", 0, 1, maximumConnections)),
		RelayConnections:     int(s.numberOrDefault("RelayConnections", 0, 1, maximumConnections)),
		PeerConnections:      int(s.numberOrDefault("PeerConnections", 0, 1, maximumConnections)),
		DirectoryConnections: int(s.numberOrDefault("DirectoryConnections", 0, 1, maximumConnections)),
		ControlConnections:   int(s.numberOrDefault("ControlConnections", 0, 1, maximumConnections)),
		HeadMegabytes:        int64(s.numberOrDefault("HeadMegabytes", 0, 1, maximumBytes)),
		PeerMegabytes:        int64(s.numberOrDefault("PeerMegabytes", 0, 1, maximumBytes)),
	}
	return b.WithDefaults()
}

// numberOrDefault reads a number. An empty value gives the fallback, because a template leaves a value empty if the site
// has none.
func (s *section) numberOrDefault(key string, fallback, low, high float64) float64 {
	if s.raw(key, "") == "" {
		return fallback
	}
	return s.number(key, fallback, low, high)
}

func (s *section) millisecondsOrDefault(key string, fallback float64) time.Duration {
	return time.Duration(s.numberOrDefault(key, fallback, minimumMilliseconds, maximumMilliseconds) * float64(time.Millisecond))
}

func (s *section) secondsOrDefault(key string, fallback float64) time.Duration {
	return time.Duration(s.numberOrDefault(key, fallback, 0.001, maximumSeconds) * float64(time.Second))
}
