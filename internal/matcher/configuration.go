package matcher

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Kind says whether requests of a route may be repeated, and how they are answered.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once; this is the zero value because it is the most restrictive.
	Unsafe Kind = iota
	// Safe requests may run more than once.
	Safe
	// Stream requests are answered by a stream of events; they run at most once unless the route is resumable.
	Stream
)

// WeightedService is a service and its share of a route's requests.
type WeightedService struct {
	Service identifier.ServiceID
	Weight  float64
}

// Route maps requests of a host and path prefix to services, with the promised latencies.
type Route struct {
	ID     identifier.RouteID
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the maximum time until the answer is complete.
	Timeout time.Duration
	// Latency is the promised time to the answer or its first event.
	Latency time.Duration
	// MaximumEventGap is the promised maximum time between two events.
	MaximumEventGap time.Duration
	// Priority orders requests; 0 is the most urgent.
	Priority         int
	WeightedServices []WeightedService
	// Attempts is the maximum number of attempts per request.
	Attempts int
	// Public requests need no key.
	Public bool
	// HasPrompts is set if the requests carry prompts, which are routed by their cached parts.
	HasPrompts bool
	// Resumable streams may be continued by another attempt after an interruption.
	Resumable bool
}

// Repeatable reports whether a request of the route may run again from its beginning.
func (r *Route) Repeatable() bool { return r.Kind == Safe || r.Kind == Stream && r.Resumable }

// Engine holds the properties that all model targets of a service share.
type Engine struct {
	Slots       int
	CacheTokens identifier.Tokens
	// SwitchTime is how long a change of stage takes.
	SwitchTime time.Duration
	// HandleLifetime is how long a target keeps an exported KV cache.
	HandleLifetime time.Duration
}

// Scaling limits how many targets of a service may be ordered in each availability zone, and gives their boot time and
// prices.
type Scaling struct {
	Minimum  int
	Maximum  int
	BootTime time.Duration
	// CheapPriceFraction is the price of a cheap target as a fraction of the regular price.
	CheapPriceFraction float64
	Prices             map[identifier.ZoneID]float64
}

// Service is a group of interchangeable targets.
type Service struct {
	ID         identifier.ServiceID
	HealthPath string
	// ConnectionLimit is the maximum number of connections to one target, shared by all instances; zero means no limit.
	ConnectionLimit int
	// Engine is nil for plain services.
	Engine *Engine
	// Scaling is nil if no targets may be ordered.
	Scaling *Scaling
}

// Limits limits the size and duration of client requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Team is a tenant with its API keys.
type Team struct {
	ID   identifier.TeamID
	Keys []string
	// Priority overrides the route's priority if set.
	Priority *int
	// Quota is nil if the team's requests are not limited.
	Quota *Quota
}

// Configuration is one version of the published configuration.
type Configuration struct {
	Version  identifier.Version
	Routes   []Route
	Services []Service
	Limits   Limits
	Teams    []Team
	// Public is set if the configuration has no list of teams, so that no request needs a key. An empty list grants access to nobody.
	Public bool
}
