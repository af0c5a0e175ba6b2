package parser

import "time"

const (
	defaultHeaderBytes               = 64 << 10
	defaultBodyBytes                 = 8 << 20
	defaultConnections               = 4096
	defaultHeaderTimeout             = 5 * time.Second
	defaultBodyTimeout               = 10 * time.Second
	defaultRequestTimeout            = 10 * time.Minute
	defaultLeaseDuration             = 3 * time.Second
	defaultDriftMargin               = 500 * time.Millisecond
	defaultOrderTimeout              = time.Second
	defaultAddressLifetime           = 2 * time.Second
	defaultFreshness                 = 2500 * time.Millisecond
	defaultHeartbeat                 = 250 * time.Millisecond
	defaultUsageInterval             = time.Second
	defaultWindowDuration            = 10 * time.Second
	defaultStopTimeout               = 15 * time.Minute
	defaultFirstTokenMilliseconds    = 1600
	defaultBetweenTokensMilliseconds = 53
	maximumMilliseconds              = 3_600_000
	maximumBytes                     = 1 << 30
	maximumConnections               = 1 << 20
	maximumPriority                  = 1000
	maximumPricePerHour              = 1e6
	maximumTokensPerSecond           = 1e9
	maximumSlots                     = 1 << 16
	minimumMilliseconds              = 1
	defaultPrefillTokensPerSecond    = 20_000
	defaultDecodeTokensPerSecond     = 40
	defaultSlots                     = 32
	minimumLeaseMilliseconds         = 100
	defaultSurvivingShare            = 1
	defaultCheapShare                = 0.5
)
