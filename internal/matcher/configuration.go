package matcher

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once; it is the zero value because it allows least.
	Unsafe Kind = iota
	// Safe requests may run again.
	Safe
	// Stream requests are answered by events; they run once unless the route is resumable.
	Stream
)

// WeightedService is a service's part of a route's requests.
type WeightedService struct {
	Service identifier.ServiceID
	Weight  float64
}

// Route says where requests of a host and path prefix go and what they are promised.
type Route struct {
	ID     identifier.RouteID
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Latency is the promised time to the answer or first event.
	Latency time.Duration
	// MaximumEventGap is the longest promised time between two events.
	MaximumEventGap time.Duration
	// Priority ranks routes; 0 comes first.
	Priority   int
	Services   []WeightedService
	Attempts   int
	Public     bool
	HasPrompts bool
	Resumable  bool
}

// Repeatable tells that a request of the route may run again from its beginning.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Engine is what all model targets of a service have in common.
type Engine struct {
	Slots       int
	CacheTokens identifier.Tokens
	// SwitchTime is how long a change of role takes.
	SwitchTime time.Duration
	// HandleLifetime is how long an exported KV cache is kept.
	HandleLifetime time.Duration
}

// Scaling bounds how many targets of a service may be ordered, in each availability zone.
type Scaling struct {
	Minimum            int
	Maximum            int
	BootTime           time.Duration
	CheapPriceFraction float64
	Prices             map[identifier.ZoneID]float64
}

// Service is a group of alike targets.
type Service struct {
	ID              identifier.ServiceID
	HealthPath      string
	ConnectionLimit int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil where targets can't be ordered.
	Scaling *Scaling
}

// Limits bounds what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a tenant of the fleet with its keys.
type Team struct {
	ID   identifier.TeamID
	Keys []string
	// Priority replaces that of the route where it is set.
	Priority *int
}

// Configuration is one version of what operators publish.
type Configuration struct {
	Version  identifier.Version
	Routes   []Route
	Services []Service
	Limits   Limits
	Teams    []Team
}
