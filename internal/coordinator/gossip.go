package coordinator

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/chooser"
	"github.com/coltsfootscale/coltsfootscale/internal/counter"
	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/internal/replicator"
	"github.com/coltsfootscale/coltsfootscale/internal/scaler"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// newReplicators returns the replicators of all mirrored streams by name.
func (c *Coordinator) newReplicators() map[string]*replicator.Replicator {
	replicators := map[string]*replicator.Replicator{}
	for name, m := range map[string]*mirrorer.Mirror{streamConfiguration: &c.config, streamTargets: &c.targets, streamMembers: &c.members} {
		replicators[name] = &replicator.Replicator{Name: name, Mirror: m, Logger: c.logger}
	}
	return replicators
}

// unfinished reports whether a value is being transferred from or to the peer that sent the message last.
func (c *Coordinator) unfinished(last *gossiper.Beat, now time.Time) bool {
	for _, r := range c.replicators {
		if r.Unfinished(last, now) {
			return true
		}
	}
	return false
}

// status returns the current status of this instance.
func (c *Coordinator) status(now time.Time) *gossiper.Status {
	s := &gossiper.Status{Ready: c.Ready(), Leaving: c.leaving.Load(), Unreachable: c.unreachableServices(), UnixMilliseconds: now.UnixMilli()}
	for id, load := range c.targetStates.Local() {
		s.Loads = append(s.Loads, &gossiper.Load{
			Target: string(id), PromptTokens: uint64(max(0, load.PromptTokens)),
			Answers: uint32(max(0, load.Answers)), AnswerTokens: uint64(max(0, load.AnswerTokens)),
		})
	}
	for service, rate := range c.demand.Local(now) {
		s.Rates = append(s.Rates, &gossiper.Rate{Service: string(service), PromptTokensPerSecond: rate})
	}
	return s
}

// addPayload adds the pending orders, the lease, and the changes that the peer lacks according to its last message.
// Without a last message it adds the positions of streams but no records: the peer's reply shows which ones it lacks, and
// after a restart of the whole fleet no instance lacks any. With firstHand, prompt parts and counts that a hub has sent
// are left out.
func (c *Coordinator) addPayload(b, last *gossiper.Beat, firstHand bool) {
	now := time.Now()
	for _, r := range c.replicators {
		b.Streams = append(b.Streams, r.Compose(last, now))
	}
	for _, o := range c.registry.Orders(now) {
		b.Orders = append(b.Orders, &gossiper.Order{Target: string(o.Target), Stage: int32(o.Stage), AgeMilliseconds: (scaler.SettleTime - o.Remaining).Milliseconds()})
	}
	if s, ok := c.elector.Head(); ok {
		b.Lease = &gossiper.Lease{
			Holder: s.Holder, Fence: uint64(s.Fence), Era: uint64(s.Next.Era), Offset: uint64(s.Next.Offset), AgeMilliseconds: s.Age.Milliseconds(),
		}
	}
	b.OmitCounts = c.peers.UsesHubs() && !c.peers.IsHub(now) && !c.holdsDuties()
	b.Departures = c.departures(now)
	c.addQuarantine(b, now)
	c.addLimits(b, last, now)
	wakeful := c.wakefulNow(now)
	c.builds.Compose(b, last, wakeful)
	c.moves.Compose(b, c.builds.StreamAge(wakeful), wakeful)
	if last != nil {
		c.addChanges(b, last, firstHand)
		c.addCalibration(b, last, firstHand, now)
		c.addClosings(b, last)
	}
}

func (c *Coordinator) holdsDuties() bool {
	_, err := c.elector.Authority()
	return err == nil
}

// departures returns the targets that recently said that they leave. After the store has come back from an older copy it
// also returns those that are gone, because their entries may be there again.
func (c *Coordinator) departures(now time.Time) []*gossiper.Departure {
	within := departureReportTime
	restored := now.Sub(c.eraChangedAt()) < registrar.DepartureLifetime
	if restored {
		within = registrar.DepartureLifetime
	}
	var list []*gossiper.Departure
	for _, d := range c.registry.Departures(within, now) {
		if d.Gone && !restored {
			continue
		}
		list = append(list, &gossiper.Departure{
			Target: string(d.Target), StartedAtMilliseconds: d.StartedAt.UnixMilli(), Revision: d.Revision, Gone: d.Gone, AgeMilliseconds: d.Age.Milliseconds(),
		})
	}
	return list
}

// addClosings lists the closed usage windows that this instance knows, and adds the figures of those that the peer lacks.
// Only instances that may become the next holder need them.
func (c *Coordinator) addClosings(b, last *gossiper.Beat) {
	if b.OmitCounts {
		return
	}
	remembered := c.elector.Remembered()
	newest := int64(0)
	for window := range remembered {
		newest = max(newest, window)
	}
	for window, figures := range remembered {
		if window <= newest-reportedClosings {
			continue
		}
		b.KnownClosings = append(b.KnownClosings, window)
		if last.OmitCounts || !last.Extended || slices.Contains(last.KnownClosings, window) {
			continue
		}
		closing := &gossiper.Closing{Window: window, Requests: map[string]uint64{}}
		for team, n := range figures {
			closing.Requests[string(team)] = n
		}
		b.Closings = append(b.Closings, closing)
	}
}

// sentPositions holds the positions in a sequence of changes that the last two messages to a peer reached. Sending the
// changes after previous puts each one into two messages, because a message may be lost.
type sentPositions struct{ previous, last uint64 }

func (p *sentPositions) advance(next uint64) { p.previous, p.last = p.last, next }

// sendProgress holds the positions up to which prompt parts and counts were sent to one incarnation of a peer.
type sendProgress struct {
	incarnation   string
	parts, counts sentPositions
	// estimates is the position up to which the last message held estimates.
	estimates uint64
}

// addChanges adds the prompt parts that were recorded since the last message, and the counts that changed since the
// message before it, so that each count is sent in two messages.
func (c *Coordinator) addChanges(b, last *gossiper.Beat, firstHand bool) {
	peer := last.Statuses[0].Member
	partsSince, countsSince := c.targetStates.PartsSince, c.counts.ChangedSince
	if firstHand {
		partsSince, countsSince = c.targetStates.FirstHandSince, c.counts.FirstHandSince
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.progressOf(peer)
	// Parts are sent once: a lost one costs at most a repeated prefill.
	sentParts, next := partsSince(p.parts.last)
	p.parts.advance(next)
	for _, s := range sentParts {
		b.Parts = append(b.Parts, &gossiper.Part{Target: string(s.Target), Part: uint64(s.Part.ID), Tokens: uint32(s.Part.Tokens)})
	}
	if last.OmitCounts {
		return // The positions stay, for the case that the peer becomes a hub.
	}
	changed, next := countsSince(p.counts.previous)
	p.counts.advance(next)
	for _, count := range changed {
		b.Counts = append(b.Counts, &gossiper.Count{Incarnation: count.Incarnation, Window: count.Window, Team: string(count.Team), Requests: count.Requests})
	}
}

// progressOf returns the positions of a peer; c.mu must be held.
func (c *Coordinator) progressOf(peer *gossiper.Member) *sendProgress {
	p := c.sendProgress[peer.ID]
	if p == nil || p.incarnation != peer.Incarnation {
		p = &sendProgress{incarnation: peer.Incarnation}
		c.sendProgress[peer.ID] = p
	}
	return p
}

// announceOrders records this instance's pending orders in the registry and sends them to the peers.
func (c *Coordinator) announceOrders() {
	for _, p := range c.stageController.Pending() {
		c.registry.RecordOrder(p.Target, p.Stage, time.Now().Add(scaler.SettleTime-p.Age))
	}
	c.peers.SendNow()
}

// onStatus applies the loads and demand rates of another instance's status.
func (c *Coordinator) onStatus(s *gossiper.Status, now time.Time) {
	loads := map[identifier.TargetID]chooser.Load{}
	for _, l := range s.Loads {
		loads[identifier.TargetID(l.Target)] = chooser.Load{
			PromptTokens: identifier.Tokens(l.PromptTokens), Answers: int(l.Answers), AnswerTokens: identifier.Tokens(l.AnswerTokens),
		}
	}
	c.targetStates.UpdatePeer(s.Member.ID, loads, now)
	for _, r := range s.Rates {
		c.demand.UpdatePeer(s.Member.ID, identifier.ServiceID(r.Service), r.PromptTokensPerSecond, now)
	}
}

// onMessage applies the payload of a peer's message. A hub sends it to all other hubs itself.
func (c *Coordinator) onMessage(b *gossiper.Beat, receipt gossiper.Receipt) {
	now := receipt.At
	c.receiving.Add(1)
	defer c.receiving.Add(-1)
	for _, s := range b.Streams {
		c.learnEra(identifier.Era(s.Era))
		if s.Name == streamConfiguration {
			c.raiseReportedVersion(s.Version)
		}
	}
	c.peerHeard.Store(true)
	// Before the entries of targets, some of which may be outdated.
	c.applyDepartures(b.Departures, now)
	for _, s := range b.Streams {
		if r := c.replicators[s.Name]; r != nil {
			r.Apply(b, s, receipt)
		}
	}
	addPart, mergeCount := c.targetStates.AddReported, c.counts.Merge
	if receipt.FromHub {
		addPart, mergeCount = c.targetStates.AddRelayed, c.counts.MergeRelayed
	}
	for _, p := range b.Parts {
		part := chooser.Part{ID: identifier.PartID(p.Part), Tokens: identifier.Tokens(p.Tokens)}
		addPart(chooser.CachedPart{Target: identifier.TargetID(p.Target), Part: part}, now)
	}
	for _, n := range b.Counts {
		mergeCount(counter.Count{Incarnation: n.Incarnation, Window: n.Window, Team: identifier.TeamID(n.Team), Requests: n.Requests})
	}
	c.applyCalibration(b, receipt)
	c.applyClosings(b)
	c.applyQuarantine(b, now)
	c.applyLimits(b, receipt)
	if composedAt := receipt.ComposedAt(b); !composedAt.IsZero() {
		c.builds.Apply(b, c.wakefulPast(composedAt), c.wakefulNow(now))
		c.moves.Apply(b, c.wakefulPast(composedAt), c.wakefulNow(now))
	}
	c.applyOrders(b, receipt)
	if l := b.Lease; l != nil {
		c.elector.ReceiveHead(elector.LogHead{
			Holder: l.Holder, Fence: identifier.Fence(l.Fence),
			Next: identifier.Position{Era: identifier.Era(l.Era), Offset: identifier.Offset(l.Offset)},
			Age:  time.Duration(l.AgeMilliseconds) * time.Millisecond,
		})
	}
}

// applyOrders records the orders that a peer knows. What is left of them counts from when the message was composed: peers send
// each other's orders back and forth, and they would outlast themselves by the time in transit.
func (c *Coordinator) applyOrders(b *gossiper.Beat, receipt gossiper.Receipt) {
	composedAt := receipt.ComposedAt(b)
	if composedAt.IsZero() {
		return // The next message tells when it was composed.
	}
	for _, o := range b.Orders {
		remaining := scaler.SettleTime - time.Duration(o.AgeMilliseconds)*time.Millisecond
		c.registry.RecordOrder(identifier.TargetID(o.Target), registrar.Stage(o.Stage), composedAt.Add(remaining))
	}
}

func (c *Coordinator) applyDepartures(departures []*gossiper.Departure, now time.Time) {
	for _, d := range departures {
		isNew := c.registry.AddDeparture(registrar.Departure{
			Target: identifier.TargetID(d.Target), StartedAt: time.UnixMilli(d.StartedAtMilliseconds), Revision: d.Revision, Gone: d.Gone,
			Age: time.Duration(d.AgeMilliseconds) * time.Millisecond,
		}, now)
		if isNew {
			c.logger.Info("target leaves or is gone, says a peer", zap.String("Target", d.Target), zap.Bool("Gone", d.Gone), zap.Int64("AgeMilliseconds", d.AgeMilliseconds))
		}
	}
}

// applyClosings remembers the figures of windows that a peer knows to be closed, and which windows it knows.
func (c *Coordinator) applyClosings(b *gossiper.Beat) {
	for _, closing := range b.Closings {
		figures := elector.Figures{}
		for team, n := range closing.Requests {
			figures[identifier.TeamID(team)] = n
		}
		c.elector.Remember(closing.Window, figures)
	}
	sender := b.Statuses[0].Member.ID
	c.mu.Lock()
	defer c.mu.Unlock()
	if b.OmitCounts || !b.Extended {
		delete(c.heldClosings, sender)
		return
	}
	c.heldClosings[sender] = b.KnownClosings
}

// heldByPeer reports whether a peer that may become the next holder knows the figures of a closed window, or there is no
// such peer. Once reported, the figures then survive both this instance and the store's record of them.
func (c *Coordinator) heldByPeer(window int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	possible := false
	for _, p := range c.peers.Alive(time.Now()) {
		windows, mayHold := c.heldClosings[p.Member.ID]
		if slices.Contains(windows, window) {
			return true
		}
		possible = possible || mayHold
	}
	return !possible && !c.yieldsDuties()
}

// isStronger reports whether a member comes before this instance, by descending capacity, then by ID.
func (c *Coordinator) isStronger(m *gossiper.Member) bool {
	return cmp.Or(cmp.Compare(c.self.Capacity, m.Capacity), cmp.Compare(m.ID, c.self.ID)) < 0
}

// rank returns the number of live and ready instances that come before this one.
func (c *Coordinator) rank() int {
	n := 0
	for _, p := range c.peers.Alive(time.Now()) {
		if p.Ready && !p.Leaving && c.isStronger(p.Member) {
			n++
		}
	}
	return n
}

// eligible reports whether this instance may claim a lease that has been expired for the given time. The instance of
// rank 0 may claim at once; the others wait longer with their rank and claim only if the ones before them do not. One that cannot
// reach targets cannot order them.
func (c *Coordinator) eligible(expiredFor time.Duration) bool {
	return !c.leaving.Load() && c.mayHoldDuties() && c.table.Load() != nil && expiredFor >= time.Duration(c.rank())*claimDelay
}

// usageWindow returns the number of the usage window in which the given time ago was.
func (c *Coordinator) usageWindow(ago time.Duration) int64 {
	return counter.Window(c.medianTime().Add(-ago), c.bounds.UsageWindow)
}

// medianTime returns the median wall clock time of all instances, so that a few wrong clocks have no effect.
func (c *Coordinator) medianTime() time.Time {
	now := time.Now()
	clockOffsets := []time.Duration{time.Duration(now.UnixNano()) - gossiper.Monotonic(now)}
	for _, p := range c.peers.Alive(now) {
		clockOffsets = append(clockOffsets, p.ClockOffset)
	}
	slices.Sort(clockOffsets)
	return time.Unix(0, int64(clockOffsets[len(clockOffsets)/2]+gossiper.Monotonic(now)))
}
