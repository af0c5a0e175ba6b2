package runner

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/signaler"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Streams of the platform's log.
const (
	streamConfig  identifier.StreamID = "Config"
	streamControl identifier.StreamID = "Control"
	streamUsage   identifier.StreamID = "Usage"
	streamJournal identifier.StreamID = "Journal"
)

// Events that runEvents handles.
const (
	eventConfig signaler.Event = iota
	eventControl
)

const (
	scopeFleet              = "Fleet"
	membershipRetryInterval = 200 * time.Millisecond
	listInterval            = time.Second
	listTimeout             = time.Second
	goneTimeout             = 30 * time.Second
	evictionTimeout         = 10 * time.Second
	evictionInterval        = time.Second
	rejoinDelay             = 20 * time.Second
	dutyInterval            = 250 * time.Millisecond
	appendTimeout           = 2 * time.Second
	checkpointInterval      = 10 * time.Second
	checkpointRecords       = 2000
	maximumHeartbeatAge     = 3 * time.Second
	mirrorTimeout           = 500 * time.Millisecond
	usageRetryInterval      = 50 * time.Millisecond
	mirrorKeepAliveInterval = time.Second
	originSilenceTimeout    = 5 * time.Second
	takeoverInterval        = time.Second
	leaveTimeout            = time.Second
	shutdownStepTimeout     = 10 * time.Second
	maximumSharesAge        = 100 * time.Millisecond
	retryShare              = 0.2 // retries per request
	retryBurst              = 20  // retries
	metricsInterval         = time.Second
	idleTimeout             = 2 * time.Minute
	journalBatchRecords     = 256
	maximumFreshAge         = time.Hour
	peerSilenceTimeout      = 2 * time.Second
	placementInterval       = time.Second
	drainNotice             = 1500 * time.Millisecond
	longDemandWindow        = 8 * time.Second
	maximumConcurrentOrders = 4
	refusedOrderBackoff     = 30 * time.Second
)
