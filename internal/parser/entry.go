package parser

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// EntrySettings configures one entry instance on the users' machines.
type EntrySettings struct {
	Instance identifier.InstanceID
	Zone     identifier.ZoneID
	// Listen, ReadyListen, DirectoryListen and MetricsListen are for clients, readiness, the directory and metrics.
	Listen          string
	ReadyListen     string
	DirectoryListen string
	MetricsListen   string
	// PeerListen is for other entry instances; Seeds are some of theirs.
	PeerListen string
	Seeds      []string
	Store      string
	// Cloud is empty where there are no duties.
	Cloud   string
	Routing EntryRouting
	Bounds  EntryBounds
}

// EntryRouting is how targets are chosen; other values than the defaults are baselines for measurements.
type EntryRouting struct {
	Policy chooser.Policy
	// FixedStages leaves the targets' stages as they are found.
	FixedStages bool
}

// EntryBounds are what the users promise their clients, and the limits that the platform sets.
type EntryBounds struct {
	Lease              time.Duration
	ConfigurationApply time.Duration
	Grace              time.Duration
	UsageWindow        time.Duration
	UsageLate          time.Duration
	RetryRatio         float64
	RetrySlack         float64
	RetryWindow        time.Duration
	AddressLifetime    time.Duration
	Descriptors        int
	MemoryMegabytes    int64
	// Cores is the share of a processor core, or the number of cores, that the process has.
	Cores float64
	// LinkMegabits is the bandwidth of the machine's link.
	LinkMegabits float64
}

const (
	// Defaults stand for what a site's settings leave out; they are the figures of the users' first sites.
	defaultEntryLease       = 3000
	defaultEntryApply       = 2000
	defaultEntryGrace       = 8.0
	defaultEntryWindow      = 5.0
	defaultEntryLate        = 10.0
	defaultEntryRetryRatio  = 0.2
	defaultEntryRetrySlack  = 20.0
	defaultEntryRetryWindow = 10.0
	defaultEntryLifetime    = 5.0
	defaultEntryDescriptors = 1024
	defaultEntryMemory      = 256
	defaultEntryLink        = 1000
	maximumSeconds          = 86_400
)

// ParseEntrySettings reads the settings of an entry instance on the users' machines; the error holds Faults.
func ParseEntrySettings(file string, data []byte) (*EntrySettings, error) {
	d, err := openDocument(file, data)
	if err != nil {
		return nil, err
	}
	s := &EntrySettings{}
	i := d.single("Instance")
	s.Instance = identifier.InstanceID(i.required("ID"))
	s.Zone = identifier.ZoneID(i.required("AvailabilityZone"))
	s.Listen = i.hostPort("Listen", "")
	s.ReadyListen = i.hostPort("ReadyListen", "")
	s.DirectoryListen = i.hostPort("DirectoryListen", "")
	s.MetricsListen = i.hostPort("MetricsListen", "")
	s.PeerListen = i.hostPort("PeerListen", "")
	s.Seeds = parseSeeds(i, s.PeerListen)
	s.Store = "http://" + d.single("Store").hostPort("Address", "")
	if cloud := d.single("Cloud"); cloud.text("Address", "") != "" {
		s.Cloud = "http://" + cloud.hostPort("Address", "")
	}
	s.Routing = parseRouting(d.single("Routing"))
	s.Bounds = parseEntryBounds(d.single("Bounds"))
	if err := d.finish("Instance, Store, Cloud, Routing, Bounds"); err != nil {
		return nil, err
	}
	return s, nil
}

// parseSeeds puts the peers' port, which is the same on all machines, to the machines of the seeds.
func parseSeeds(s *section, peerListen string) []string {
	var seeds []string
	_, port, err := net.SplitHostPort(peerListen)
	if err != nil {
		return nil // The fault of PeerListen is reported already.
	}
	for _, seed := range strings.Split(s.text("Seeds", ""), ",") {
		seed = strings.TrimSpace(seed)
		if seed == "" {
			continue
		}
		host, _, err := net.SplitHostPort(seed)
		if err != nil || net.ParseIP(host) == nil {
			s.fault("Seeds", seed, "IP numbers with ports, separated by commas")
			continue
		}
		seeds = append(seeds, net.JoinHostPort(host, port))
	}
	return seeds
}

func parseRouting(s *section) EntryRouting {
	r := EntryRouting{Policy: chooser.Policy(s.text("Policy", string(chooser.Predicted)))}
	if !slices.Contains(chooser.Policies, r.Policy) {
		s.fault("Policy", string(r.Policy), fmt.Sprintf("one of %v", chooser.Policies))
	}
	switch stages := s.text("Stages", "Followed"); stages {
	case "Followed":
	case "Fixed":
		r.FixedStages = true
	default:
		s.fault("Stages", stages, "Followed, Fixed")
	}
	return r
}

func parseEntryBounds(s *section) EntryBounds {
	return EntryBounds{
		Lease:              s.orMilliseconds("LeaseMilliseconds", defaultEntryLease),
		ConfigurationApply: s.orMilliseconds("ConfigurationMilliseconds", defaultEntryApply),
		Grace:              s.orSeconds("GraceSeconds", defaultEntryGrace),
		UsageWindow:        s.orSeconds("UsageWindowSeconds", defaultEntryWindow),
		UsageLate:          s.orSeconds("UsageLateSeconds", defaultEntryLate),
		RetryRatio:         s.orNumber("RetryRatio", defaultEntryRetryRatio, 0, 1),
		RetrySlack:         s.orNumber("RetrySlack", defaultEntryRetrySlack, 0, maximumConnections),
		RetryWindow:        s.orSeconds("RetryWindowSeconds", defaultEntryRetryWindow),
		AddressLifetime:    s.orSeconds("AddressLifetimeSeconds", defaultEntryLifetime),
		Descriptors:        int(s.orNumber("Descriptors", defaultEntryDescriptors, 64, maximumConnections)),
		Cores:              s.orNumber("CPUShare", 1, 0.001, maximumConnections) * s.orNumber("CPUs", 1, 1, maximumConnections),
		LinkMegabits:       s.orNumber("LinkMegabits", defaultEntryLink, 0.1, maximumBytes),
		MemoryMegabytes:    int64(s.orNumber("MemoryMegabytes", defaultEntryMemory, 16, maximumBytes)),
	}
}

// orNumber reads a number; an empty value, which a template leaves for what a site does not have, gives the fallback.
func (s *section) orNumber(key string, fallback, low, high float64) float64 {
	if s.raw(key, "") == "" {
		return fallback
	}
	return s.number(key, fallback, low, high)
}

func (s *section) orMilliseconds(key string, fallback float64) time.Duration {
	return time.Duration(s.orNumber(key, fallback, minimumMilliseconds, maximumMilliseconds) * float64(time.Millisecond))
}

func (s *section) orSeconds(key string, fallback float64) time.Duration {
	return time.Duration(s.orNumber(key, fallback, 0.001, maximumSeconds) * float64(time.Second))
}
