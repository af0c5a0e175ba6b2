package coordinator

import (
	"slices"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/quarantiner"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// gossipedQuarantine sends what this instance finds to its peers at once.
type gossipedQuarantine struct {
	*quarantiner.Quarantine
	peers *gossiper.Gossiper
}

// Crashed counts a request that broke at a crash.
func (q *gossipedQuarantine) Crashed(c quarantiner.Crash) {
	if q.Quarantine.Crashed(c, time.Now()) {
		q.peers.SendNow()
	}
}

// Completed clears a request that has completed, and its shared parts.
func (q *gossipedQuarantine) Completed(digest identifier.RequestDigest, parts []identifier.PartID, now time.Time) {
	if q.Quarantine.Completed(digest, parts, now) {
		q.peers.SendNow()
	}
}

// addQuarantine adds the crashes, denials and clearances that peers should know.
func (c *Coordinator) addQuarantine(b *gossiper.Beat, now time.Time) {
	age := func(at time.Time) int64 { return now.Sub(at).Milliseconds() }
	report := c.quarantine.Report(now)
	for _, crash := range report.Crashes {
		b.Crashes = append(b.Crashes, &gossiper.Crash{
			Target: string(crash.Target), StartedAtMilliseconds: crash.StartedAt.UnixMilli(), Request: uint64(crash.Request), Digest: uint64(crash.Digest),
			Parts: encodeParts(crash.Parts), Began: crash.Began, AgeMilliseconds: age(crash.At),
		})
	}
	for _, d := range report.Denials {
		b.Denials = append(b.Denials, &gossiper.Denial{Part: uint64(d.Part), Common: encodeParts(d.Common), AgeMilliseconds: age(d.At)})
	}
	for _, cleared := range report.Clearances {
		b.Clearances = append(b.Clearances, &gossiper.Clearance{Part: uint64(cleared.Part), Digest: uint64(cleared.Digest), AgeMilliseconds: age(cleared.At)})
	}
}

// applyQuarantine takes the crashes, denials and clearances of a peer's message.
func (c *Coordinator) applyQuarantine(b *gossiper.Beat, now time.Time) {
	at := func(age int64) time.Time { return now.Add(-time.Duration(age) * time.Millisecond) }
	var report quarantiner.Report
	for _, crash := range b.Crashes {
		report.Crashes = append(report.Crashes, quarantiner.Crash{
			Target: identifier.TargetID(crash.Target), StartedAt: time.UnixMilli(crash.StartedAtMilliseconds), Request: identifier.PartID(crash.Request), Digest: identifier.RequestDigest(crash.Digest),
			Parts: decodeParts(crash.Parts), Began: crash.Began, At: at(crash.AgeMilliseconds),
		})
	}
	for _, d := range b.Denials {
		report.Denials = append(report.Denials, quarantiner.Denial{Part: identifier.PartID(d.Part), Common: decodeParts(d.Common), At: at(d.AgeMilliseconds)})
	}
	for _, cleared := range b.Clearances {
		report.Clearances = append(report.Clearances, quarantiner.Clearance{Part: identifier.PartID(cleared.Part), Digest: identifier.RequestDigest(cleared.Digest), At: at(cleared.AgeMilliseconds)})
	}
	if c.quarantine.Apply(report, now) {
		c.passOn()
	}
}

func encodeParts(parts []identifier.PartID) []uint64 {
	list := make([]uint64, len(parts))
	for i, p := range parts {
		list[i] = uint64(p)
	}
	return list
}

func decodeParts(parts []uint64) []identifier.PartID {
	list := make([]identifier.PartID, len(parts))
	for i, p := range parts {
		list[i] = identifier.PartID(p)
	}
	return list
}

// targetGone reports whether an incarnation of a target is no longer listed, or may not be: the list is outdated.
func (c *Coordinator) targetGone(id identifier.TargetID, startedAt time.Time) bool {
	if age, known := c.targets.Age(time.Now()); !known || age > outageThreshold {
		return true
	}
	targets := c.registry.Targets()
	return !slices.ContainsFunc(targets, func(t *registrar.Target) bool { return t.ID == id && t.StartedAt.Equal(startedAt) })
}
