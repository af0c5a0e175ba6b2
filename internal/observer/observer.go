package observer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/arbiter"
	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// PeerClient sends requests to peers.
type PeerClient interface {
	Call(ctx context.Context, addr string, req *messenger.Request) (*messenger.Reply, error)
}

// Observer keeps the last heartbeat of each member; all exported fields must be set.
type Observer struct {
	Self       *recorder.Member
	Config     *tailer.Tailer
	PeerClient PeerClient
	Interval   time.Duration
	// Members returns the members by instance, as in the configuration in force.
	Members func() map[string]*recorder.Member
	// LocalHeartbeat returns this instance's heartbeat.
	LocalHeartbeat func() *messenger.Heartbeat

	mu sync.Mutex
	// received holds the last heartbeat of each instance.
	received map[string]received
	// gone holds the instances whose process is presumed to have ended.
	gone map[string]bool
	// firstSeen holds when each incarnation was first seen as a member.
	firstSeen map[string]time.Time
}

type received struct {
	heartbeat *messenger.Heartbeat
	// sentAt is when the request for the heartbeat was sent.
	sentAt time.Time
}

// Run exchanges heartbeats with all other members at every Interval until ctx ends. A member whose previous exchange is
// still running is skipped.
func (o *Observer) Run(ctx context.Context) {
	ticker := time.NewTicker(o.Interval)
	defer ticker.Stop()
	exchanges := map[string]chan struct{}{}
	for {
		for id, m := range o.Members() {
			if id == o.Self.Instance || inProgress(exchanges[id]) {
				continue
			}
			done := make(chan struct{})
			exchanges[id] = done
			go func() {
				defer close(done)
				o.exchange(ctx, m)
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func inProgress(done chan struct{}) bool {
	if done == nil {
		return false
	}
	select {
	case <-done:
		return false
	default:
		return true
	}
}

func (o *Observer) exchange(ctx context.Context, m *recorder.Member) {
	ctx, cancel := context.WithTimeout(ctx, 2*o.Interval)
	defer cancel()
	sentAt := time.Now()
	req := &messenger.Request{Body: &messenger.Request_Heartbeat{Heartbeat: o.LocalHeartbeat()}}
	reply, err := o.PeerClient.Call(ctx, m.PeerAddress, req)
	if err != nil || reply.Heartbeat == nil {
		return
	}
	o.RecordHeartbeat(reply.Heartbeat, sentAt)
	o.syncConfig(ctx, m, reply.Heartbeat, sentAt)
}

// RecordHeartbeat stores a member's heartbeat unless one that was requested later is stored. A heartbeat is at least
// as recent as sentAt, the time at which it was requested.
func (o *Observer) RecordHeartbeat(heartbeat *messenger.Heartbeat, sentAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.received == nil {
		o.received = map[string]received{}
	}
	if old, ok := o.received[heartbeat.Instance]; ok && old.sentAt.After(sentAt) {
		return
	}
	o.received[heartbeat.Instance] = received{heartbeat: heartbeat, sentAt: sentAt}
}

// syncConfig uses a peer's heartbeat to keep the configuration fresh. If the peer is at the same offset, this instance's
// configuration was complete whenever the peer's was. If the peer is ahead and the log is unreachable, its configuration
// is installed here.
func (o *Observer) syncConfig(ctx context.Context, m *recorder.Member, heartbeat *messenger.Heartbeat, sentAt time.Time) {
	next := identifier.Offset(heartbeat.ConfigNext)
	freshAt := sentAt.Add(-time.Duration(heartbeat.FreshAgeMilliseconds) * time.Millisecond)
	if next == o.Config.Next() {
		o.Config.ConfirmFresh(next, freshAt)
		return
	}
	if next < o.Config.Next() || o.Config.Reachable() {
		return
	}
	sentAt = time.Now()
	req := &messenger.Request{Body: &messenger.Request_Fetch{Fetch: &messenger.Fetch{From: uint64(o.Config.Next())}}}
	reply, err := o.PeerClient.Call(ctx, m.PeerAddress, req)
	if err != nil || reply.Checkpoint == nil || reply.Heartbeat == nil {
		return
	}
	age := time.Duration(reply.Heartbeat.FreshAgeMilliseconds) * time.Millisecond
	o.Config.InstallSnapshot(identifier.Offset(reply.Checkpoint.Next), reply.Checkpoint.State, sentAt.Add(-age))
}

// SetGone replaces the set of instances that the platform no longer lists and that are presumed to have ended.
func (o *Observer) SetGone(gone map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gone = gone
}

// View returns the members with the state from their last heartbeats.
//
// A heartbeat of another incarnation that was requested after the member was first seen shows that the member's
// process is gone, because another process has taken over its address.
func (o *Observer) View() []arbiter.Member {
	members := o.Members()
	self := o.LocalHeartbeat()
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]arbiter.Member, 0, len(members))
	for id, m := range members {
		v := arbiter.Member{ID: identifier.InstanceID(id), Gone: o.gone[id]}
		if id == o.Self.Instance && m.Incarnation == o.Self.Incarnation {
			v.Self, v.Voting, v.Next, v.SentAt = true, self.Voting, identifier.Offset(self.ConfigNext), time.Now()
		}
		known := o.knownSince(m.Incarnation)
		h, ok := o.received[id]
		switch {
		case ok && h.heartbeat.Incarnation == m.Incarnation:
			v.SentAt = h.sentAt
			v.Next = identifier.Offset(h.heartbeat.ConfigNext)
			v.Voting = h.heartbeat.Voting
		case ok && h.sentAt.After(known):
			v.Gone = true
		}
		list = append(list, v)
	}
	return list
}

// knownSince returns when an incarnation was first seen as a member.
func (o *Observer) knownSince(incarnation string) time.Time {
	if o.firstSeen == nil {
		o.firstSeen = map[string]time.Time{}
	}
	if o.firstSeen[incarnation].IsZero() {
		o.firstSeen[incarnation] = time.Now()
	}
	return o.firstSeen[incarnation]
}

// RecentHeartbeats returns copies of the last heartbeats that are at most age old.
func (o *Observer) RecentHeartbeats(age time.Duration) []*messenger.Heartbeat {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []*messenger.Heartbeat
	for _, h := range o.received {
		if time.Since(h.sentAt) <= age {
			list = append(list, proto.Clone(h.heartbeat).(*messenger.Heartbeat))
		}
	}
	return list
}

// Hears returns the instances whose last heartbeat is at most age old.
func (o *Observer) Hears(age time.Duration) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []string
	for id, h := range o.received {
		if time.Since(h.sentAt) <= age {
			list = append(list, id)
		}
	}
	return list
}

// SilentFor returns the time since the last heartbeat of an incarnation was requested, or false if none was received.
func (o *Observer) SilentFor(instance, incarnation string) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.received[instance]
	if !ok || h.heartbeat.Incarnation != incarnation {
		return 0, false
	}
	return time.Since(h.sentAt), true
}
