package coordinator

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprometheus "github.com/uber-go/tally/v4/prometheus"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/spooler"
)

// metricsInterval is the time between updates of the exported metrics.
const metricsInterval = time.Second

// latencyBuckets are the upper bounds of the latency histograms in seconds. They cover the promised times of the users'
// routes, from 0.1 s to 1.6 s, and their deadlines.
var latencyBuckets = []float64{0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.6, 0.8, 1.2, 1.6, 2.5, 4, 6}

// openMetrics creates the metrics scope of the process and the handler that exports it.
func (c *Coordinator) openMetrics() {
	registry := prometheus.NewRegistry()
	reporter := tallyprometheus.NewReporter(tallyprometheus.Options{
		Registerer: registry, Gatherer: registry,
		DefaultTimerType: tallyprometheus.HistogramTimerType, DefaultHistogramBuckets: latencyBuckets,
		OnRegisterError: func(err error) { c.logger.Error("cannot register metric", zap.Error(err)) },
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		CachedReporter: reporter, Separator: tallyprometheus.DefaultSeparator, OmitCardinalityMetrics: true,
	}, metricsInterval)
	c.metrics, c.closer, c.Metrics = scope, closer.Close, reporter.HTTPHandler()
}

// LogOutput passes log lines on, and drops some of them rather than wait for their reader.
type LogOutput interface {
	// Lost returns what was dropped or could not be written so far.
	Lost() spooler.Loss
	// Waiting returns the number of bytes that are not written yet.
	Waiting() int
}

// updateGauges sets the gauges for this instance's copies of replicated data, its peers, its requests and its duties.
func (c *Coordinator) updateGauges(now time.Time) {
	set := func(name string, value float64) { c.metrics.Gauge(name).Update(value) }
	if t := c.table.Load(); t != nil {
		set("ConfigurationVersion", float64(t.Version))
		set("Keys", float64(t.KeyCount()))
		set("KeyRequired", map[bool]float64{true: 1}[!t.Public])
	}
	for name, m := range map[string]*mirrorer.Mirror{"ConfigurationAgeSeconds": &c.config, "TargetsAgeSeconds": &c.targets} {
		if age, known := m.Age(now); known {
			set(name, age.Seconds())
		}
	}
	set("RequestsDenied", float64(c.quarantine.RequestDenials(now)))
	set("PartsDenied", float64(c.quarantine.Denials()))
	set("LimitedTargets", float64(c.platform.Gate.Limits.Limited()))
	set("Targets", float64(len(c.registry.Targets())))
	set("TargetsToChange", float64(c.plannedStages.Count()))
	set("Instances", float64(c.instanceCount()))
	set("GossipPartners", float64(c.peers.Partners()))
	set("GossipHub", map[bool]float64{true: 1}[c.peers.IsHub(now)])
	if c.LogOutput != nil {
		set("LogLinesLost", float64(c.LogOutput.Lost().Lines))
		set("LogBytesWaiting", float64(c.LogOutput.Waiting()))
	}
	set("InFlight", float64(c.inFlight.Load()))
	set("Violations", float64(asserter.Violations()))
	fence, err := c.elector.Authority()
	if err != nil {
		fence = 0 // This instance does not hold the duties.
	}
	set("DutyFence", float64(fence))
	c.updateSlowness(now)
	set("StoreEra", float64(c.platform.Store.Era()))
	c.updateAdmissionGauges(now)
}
