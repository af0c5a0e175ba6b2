package parser

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Settings configures an entry instance that the serve command runs.
type Settings struct {
	Instance        identifier.InstanceID
	Zone            identifier.ZoneID
	Listen          string
	PeerListen      string
	Platform        string
	OperatorKeyHash identifier.KeyHash
	Limits          Limits
	Timing          Timing
}

// Limits restricts what an entry instance accepts from callers.
type Limits struct {
	HeaderBytes    int
	BodyBytes      int64
	Connections    int
	HeaderTimeout  time.Duration
	BodyTimeout    time.Duration
	RequestTimeout time.Duration
}

// Timing holds the durations that all instances of a site have in common.
type Timing struct {
	Lease time.Duration
	// DriftMargin allows for clock drift: an instance waits this much longer for the lease or the freshness of another
	// instance to expire.
	DriftMargin     time.Duration
	OrderTimeout    time.Duration
	AddressLifetime time.Duration
	// Freshness is how long an instance serves after it last knew that its configuration was current.
	Freshness     time.Duration
	Heartbeat     time.Duration
	UsageInterval time.Duration
	// Window is the length of a usage window.
	Window time.Duration
	// Stop is how long an instance that stops waits for the requests in flight.
	Stop time.Duration
}

// ParseSettings reads the settings of an entry instance; the error holds Faults.
func ParseSettings(file string, data []byte) (*Settings, error) {
	d, err := openDocument(file, data)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	instance := d.sectionNamed("Instance")
	s.Instance = identifier.InstanceID(instance.required("ID"))
	s.Zone = identifier.ZoneID(instance.required("AvailabilityZone"))
	s.Listen = instance.hostPort("Listen", "")
	s.PeerListen = instance.hostPort("PeerListen", "")
	s.Platform = instance.url("Platform")
	s.OperatorKeyHash = identifier.KeyHash(instance.text("OperatorKeyHash", ""))
	b, err := hex.DecodeString(string(s.OperatorKeyHash))
	if err != nil || len(b) != 32 || strings.EqualFold(string(s.OperatorKeyHash), string(identifier.HashKey(""))) {
		instance.addFault("OperatorKeyHash", string(s.OperatorKeyHash),
			"64 hexadecimal digits, the SHA-256 digest of the operators' key, which is not empty")
	}
	s.Limits = parseLimits(d.sectionNamed("Limits"))
	s.Timing = parseTiming(d.sectionNamed("Timing"))
	if err := d.finish("Instance, Limits, Timing"); err != nil {
		return nil, err
	}
	return s, nil
}

func parseLimits(s *section) Limits {
	return Limits{
		HeaderBytes:    int(s.integer("HeaderBytes", defaultHeaderBytes, 1024, maximumBytes)),
		BodyBytes:      s.integer("BodyBytes", defaultBodyBytes, 1024, maximumBytes),
		Connections:    int(s.integer("Connections", defaultConnections, 1, maximumConnections)),
		HeaderTimeout:  s.milliseconds("HeaderMilliseconds", defaultHeaderTimeout, minimumMilliseconds, maximumMilliseconds),
		BodyTimeout:    s.milliseconds("BodyMilliseconds", defaultBodyTimeout, minimumMilliseconds, maximumMilliseconds),
		RequestTimeout: s.milliseconds("RequestMilliseconds", defaultRequestTimeout, minimumMilliseconds, maximumMilliseconds),
	}
}

func parseTiming(s *section) Timing {
	t := Timing{
		Lease:           s.milliseconds("LeaseMilliseconds", defaultLeaseDuration, minimumLeaseMilliseconds, maximumMilliseconds),
		DriftMargin:     s.milliseconds("DriftMarginMilliseconds", defaultDriftMargin, minimumMilliseconds, maximumMilliseconds),
		OrderTimeout:    s.milliseconds("OrderMilliseconds", defaultOrderTimeout, minimumMilliseconds, maximumMilliseconds),
		AddressLifetime: s.milliseconds("AddressMilliseconds", defaultAddressLifetime, minimumMilliseconds, maximumMilliseconds),
		Freshness:       s.milliseconds("FreshnessMilliseconds", defaultFreshness, minimumLeaseMilliseconds, 3500),
		Heartbeat:       s.milliseconds("HeartbeatMilliseconds", defaultHeartbeat, minimumMilliseconds, maximumMilliseconds),
		UsageInterval:   s.milliseconds("UsageMilliseconds", defaultUsageInterval, minimumMilliseconds, maximumMilliseconds),
		Window:          s.milliseconds("WindowMilliseconds", defaultWindowDuration, minimumLeaseMilliseconds, maximumMilliseconds),
		Stop:            s.milliseconds("StopMilliseconds", defaultStopTimeout, minimumMilliseconds, maximumMilliseconds),
	}
	if t.OrderTimeout >= t.Lease {
		s.addFault("OrderMilliseconds", t.OrderTimeout.String(), "less than LeaseMilliseconds")
	}
	return t
}
