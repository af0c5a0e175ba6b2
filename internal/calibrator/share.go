package calibrator

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// maximumEntries is the most estimates in one message.
	maximumEntries = 256
	// maximumSamples is the highest credible number of samples of a peer: those of a hub's zone.
	maximumSamples = 2048
	// shortest and longest bound the times in a message, in seconds.
	shortest, longest = 1e-9, 3600.0
)

// Entry is an estimate that instances report to each other. Target is empty for the value of a whole service.
type Entry struct {
	Service   identifier.ServiceID
	Target    identifier.TargetID
	StartedAt time.Time
	Kind      Kind
	Seconds   float64
	Samples   float64
}

// ServiceSums are the sums of the fit of a service's prefill time.
type ServiceSums struct {
	Service identifier.ServiceID
	Sums    Sums
}

// Scope says whose samples a report contains.
type Scope int

// Scopes of a report. An instance passes on only what the receiver does not get from others: otherwise samples would return to
// where they came from and count again and again.
const (
	// Own is what the instance has measured itself.
	Own Scope = iota
	// FirstHand is also what instances that are not hubs report, for other hubs.
	FirstHand
	// All is everything, from a hub to the instances of its zone.
	All
)

// mark queues an estimate for the next messages if it is due.
func (c *Calibrator) mark(e *estimate, now time.Time) {
	if e.due(now) {
		c.sequence++
		e.sequence = c.sequence
	}
}

// Report returns the estimates that have changed since an offset, oldest first, and the next offset.
func (c *Calibrator) Report(from uint64, scope Scope, now time.Time) ([]Entry, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	type due struct {
		Entry
		sequence uint64
	}
	if from > c.sequence {
		from = 0
	}
	if from == c.sequence {
		return nil, from
	}
	var list []due
	add := func(estimates [kinds]*estimate, entry Entry) {
		for kind, e := range estimates {
			if e == nil || e.sequence <= from {
				continue
			}
			v := e.combine(scope, now)
			entry.Kind, entry.Seconds, entry.Samples = Kind(kind), math.Exp(v.log), min(v.weight, maximumSamples)
			list = append(list, due{entry, e.sequence})
		}
	}
	for id, s := range c.services {
		add([kinds]*estimate{Plain: s.plain}, Entry{Service: id})
	}
	for id, t := range c.targets {
		add(t.estimates, Entry{Service: t.service, Target: id, StartedAt: t.startedAt})
	}
	slices.SortFunc(list, func(a, b due) int { return cmp.Compare(a.sequence, b.sequence) })
	next := c.sequence
	if len(list) > maximumEntries {
		list = list[:maximumEntries]
		next = list[maximumEntries-1].sequence
	}
	var entries []Entry
	for _, d := range list {
		if d.Samples > 0 {
			entries = append(entries, d.Entry)
		}
	}
	return entries, next
}

// ReportSums returns the sums of all services with samples.
func (c *Calibrator) ReportSums(scope Scope, now time.Time) []ServiceSums {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []ServiceSums
	for id, s := range c.services {
		sums := s.fitter.own
		if scope != Own {
			sums = s.fitter.sums(now, scope == All)
		}
		if sums.Samples > 0 {
			list = append(list, ServiceSums{id, sums})
		}
	}
	return list
}

// Merge applies the estimate of a peer. Impossible ones, and those of an earlier incarnation of a target, are ignored.
func (c *Calibrator) Merge(source string, fromHub bool, e Entry, now time.Time) {
	if !(e.Seconds >= shortest && e.Seconds <= longest && e.Samples > 0 && e.Samples <= maximumSamples) || e.Kind < 0 || e.Kind >= kinds {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	estimate := c.estimateOf(e)
	if estimate == nil {
		return
	}
	estimate.merge(source, peerEvidence{evidence{math.Log(e.Seconds), e.Samples, now}, fromHub}, now)
	c.mark(estimate, now)
}

// estimateOf returns the estimate that an entry belongs to, or nil if there is none, or it is about an earlier incarnation.
func (c *Calibrator) estimateOf(e Entry) *estimate {
	if e.Target == "" {
		s := c.service(e.Service)
		if e.Kind == Plain && s.plain == nil {
			s.plain = &estimate{ofService: true}
		}
		if e.Kind != Plain {
			return nil
		}
		return s.plain
	}
	t := c.targets[e.Target]
	if t != nil && e.StartedAt.Before(t.startedAt) {
		return nil
	}
	if t == nil || !e.StartedAt.Equal(t.startedAt) {
		if c.targets == nil {
			c.targets = map[identifier.TargetID]*target{}
		}
		t = &target{service: e.Service, startedAt: e.StartedAt}
		c.targets[e.Target] = t
	}
	if t.estimates[e.Kind] == nil {
		t.estimates[e.Kind] = &estimate{}
	}
	return t.estimates[e.Kind]
}

// MergeSums applies the sums of a peer. Impossible ones are ignored.
func (c *Calibrator) MergeSums(source string, fromHub bool, s ServiceSums, now time.Time) {
	if !s.Sums.valid() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.service(s.Service).fitter.merge(source, fromHub, s.Sums, now)
}
