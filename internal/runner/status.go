package runner

import (
	"context"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Status is an entry instance's response to /operator/status: its own state and its view of the fleet.
type Status struct {
	Instance     identifier.InstanceID
	Zone         identifier.ZoneID
	Serving      bool
	Leaving      bool
	Version      identifier.Version
	ConfigNext   identifier.Offset
	LogReachable bool
	FreshAge     string
	LeaseHolder  string
	Fence        identifier.Fence
	Members      map[string]*recorder.Member
	Roles        map[identifier.TargetID]string
	Orders       []*recorder.Order
}

// UsageResponse is an entry instance's response to /operator/usage: the usage of the open window as folded by this
// instance, and the closed windows that are not yet reported.
type UsageResponse struct {
	Window     uint64
	Teams      []*recorder.TeamUsage
	Unreported []*recorder.Window
}

func (e *Entry) status() any {
	state := e.view.Load().State
	s := Status{
		Instance:     e.settings.Instance,
		Zone:         e.settings.Zone,
		Serving:      e.serving(),
		Leaving:      e.leaving.Load(),
		Version:      identifier.Version(state.GetVersion()),
		ConfigNext:   e.config.Next(),
		LogReachable: e.config.Reachable(),
		FreshAge:     time.Since(e.config.FreshAt()).Round(time.Millisecond).String(),
		Members:      state.GetMembers(),
		Roles:        map[identifier.TargetID]string{},
	}
	roles, _ := e.roles()
	for id, role := range roles {
		s.Roles[id] = role.String()
	}
	e.control.Query(func() {
		lease := e.controlFold.Lease(scopeFleet)
		s.LeaseHolder, s.Fence = lease.Holder, identifier.Fence(lease.Fence)
		s.Orders = e.controlFold.Orders()
	})
	return s
}

func (e *Entry) usageResponse() any {
	var a UsageResponse
	e.usage.Query(func() {
		a = UsageResponse{Window: e.usageFold.Window(), Teams: e.usageFold.Totals(), Unreported: e.usageFold.Unreported()}
	})
	return a
}

// runGauges publishes the instance's state as metrics.
func (e *Entry) runGauges(ctx context.Context) {
	every(ctx, metricsInterval, func(context.Context) {
		e.metrics.Gauge("ConfigOffset").Update(float64(e.config.Next()))
		e.metrics.Gauge("Serving").Update(indicator(e.serving()))
		_, _, err := e.leaseholder.Authority()
		e.metrics.Gauge("LeaseHeld").Update(indicator(err == nil))
		appends, records := e.committer.Counts()
		e.metrics.Gauge("JournalAppends").Update(float64(appends))
		e.metrics.Gauge("JournalRecords").Update(float64(records))
	})
}

func indicator(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
