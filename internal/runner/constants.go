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

// Events in the core's box.
const (
	eventConfig signaler.Event = iota
	eventControl
)

const (
	scopeFleet         = "Fleet"
	joinRetry          = 200 * time.Millisecond
	listInterval       = time.Second
	listTimeout        = time.Second
	goneAfter          = 30 * time.Second
	evictAfter         = 10 * time.Second
	evictInterval      = time.Second
	rejoinAfter        = 20 * time.Second
	dutyInterval       = 250 * time.Millisecond
	dutyTimeout        = 2 * time.Second
	checkpointInterval = 10 * time.Second
	checkpointRecords  = 2000
	beatMaximumAge     = 3 * time.Second
	mirrorTimeout      = 500 * time.Millisecond
	mirrorRetry        = 50 * time.Millisecond
	mirrorKeepAlive    = time.Second
	mirrorSilence      = 5 * time.Second
	takeoverInterval   = time.Second
	leaveTimeout       = time.Second
	finalFlushTimeout  = 10 * time.Second
	shareLifetime      = 100 * time.Millisecond
	retryShare         = 0.2
	retryReserve       = 20
	metricsInterval    = time.Second
	idleTimeout        = 2 * time.Minute
	journalBatch       = 256
	maximumFreshAge    = time.Hour
	addressSilence     = 2 * time.Second
	placementInterval  = time.Second
	drainNotice        = 1500 * time.Millisecond
	longWindow         = 8 * time.Second
	ordersUnderWay     = 4
	failureRest        = 30 * time.Second
)
