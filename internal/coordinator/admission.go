package coordinator

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/admitter"
)

const (
	// readAheadDivisor gives the share of the memory that all streams together may hold for slow clients.
	readAheadDivisor = 8
	// unknownLoadAge is the age of the loads while no peer has reported any, though there are others.
	unknownLoadAge = time.Hour
)

// wireAdmission bounds what is held for slow clients, and refuses requests under overload where the contract calls for it.
func (c *Coordinator) wireAdmission() {
	c.forward.Memory = c.platform.ResponseMemory
	c.forward.ReadAhead.MaximumBytes = c.bounds.MemoryMegabytes << 20 / readAheadDivisor
	if c.platform.RankedAdmission {
		c.admitter = &admitter.Admitter{}
		c.forward.Admission, c.forward.LoadAge, c.forward.LiveInstances = c.admitter, c.loadAge, c.instanceCount
	}
}

// loadAge returns the age of the loads that peers reported. An instance that hears no peer does not know what the others send.
func (c *Coordinator) loadAge(now time.Time) time.Duration {
	age, known := c.targetStates.LoadAge(now)
	if !known && c.memberCount() != 1 {
		return unknownLoadAge
	}
	return age
}

// updateAdmissionGauges sets the gauges of admission, memory and read-ahead.
func (c *Coordinator) updateAdmissionGauges(now time.Time) {
	c.metrics.Gauge("ReadAhead").Update(float64(c.forward.ReadAhead.Used()))
	if c.platform.ResponseMemory != nil {
		c.metrics.Gauge("ResponseMemory").Update(float64(c.platform.ResponseMemory.Used()))
	}
	c.metrics.Gauge("ReservedTokens").Update(c.forward.ReservedShare(now))
	if c.admitter == nil {
		return
	}
	for service, pressure := range c.admitter.Pressures(now) {
		c.metrics.Tagged(map[string]string{"Service": string(service)}).Gauge("Pressure").Update(pressure)
	}
}
