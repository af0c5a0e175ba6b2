package observer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/freshener"
	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Caller sends a request to a peer.
type Caller interface {
	Call(ctx context.Context, addr string, req *messenger.Request) (*messenger.Reply, error)
}

// Observer keeps the last heartbeat of each member; all exported fields must be set.
type Observer struct {
	Self     *recorder.Member
	Config   *tailer.Tailer
	Caller   Caller
	Interval time.Duration
	// Members returns the members in force.
	Members func() map[string]*recorder.Member
	// LocalHeartbeat returns this instance's heartbeat.
	LocalHeartbeat func() *messenger.Heartbeat

	mu    sync.Mutex
	heard map[string]heard
	gone  map[string]bool
	since map[string]time.Time
}

type heard struct {
	beat   *messenger.Heartbeat
	sentAt time.Time
}

// Run sends heartbeats to every other member until ctx ends.
func (o *Observer) Run(ctx context.Context) {
	ticker := time.NewTicker(o.Interval)
	defer ticker.Stop()
	busy := map[string]chan struct{}{}
	for {
		for id, m := range o.Members() {
			if id == o.Self.Instance || running(busy[id]) {
				continue
			}
			done := make(chan struct{})
			busy[id] = done
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

func running(done chan struct{}) bool {
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
	reply, err := o.Caller.Call(ctx, m.PeerAddress, req)
	if err != nil || reply.Heartbeat == nil {
		return
	}
	o.RecordHeartbeat(reply.Heartbeat, sentAt)
	o.freshen(ctx, m, reply.Heartbeat, sentAt)
}

// RecordHeartbeat records a heartbeat that was surely current at the instant sentAt.
func (o *Observer) RecordHeartbeat(beat *messenger.Heartbeat, sentAt time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.heard == nil {
		o.heard = map[string]heard{}
	}
	if old, ok := o.heard[beat.Instance]; ok && old.sentAt.After(sentAt) {
		return
	}
	o.heard[beat.Instance] = heard{beat: beat, sentAt: sentAt}
}

// freshen takes over a peer's configuration or its knowledge that the shared one is whole.
func (o *Observer) freshen(ctx context.Context, m *recorder.Member, beat *messenger.Heartbeat, sentAt time.Time) {
	next := identifier.Offset(beat.ConfigNext)
	fresh := sentAt.Add(-time.Duration(beat.FreshAgeMilliseconds) * time.Millisecond)
	if next == o.Config.Next() {
		o.Config.Confirm(next, fresh)
		return
	}
	if next < o.Config.Next() || o.Config.Reachable() {
		return
	}
	sentAt = time.Now()
	req := &messenger.Request{Body: &messenger.Request_Fetch{Fetch: &messenger.Fetch{From: uint64(o.Config.Next())}}}
	reply, err := o.Caller.Call(ctx, m.PeerAddress, req)
	if err != nil || reply.Checkpoint == nil || reply.Heartbeat == nil {
		return
	}
	age := time.Duration(reply.Heartbeat.FreshAgeMilliseconds) * time.Millisecond
	o.Config.Adopt(identifier.Offset(reply.Checkpoint.Next), reply.Checkpoint.State, sentAt.Add(-age))
}

// SetGone replaces the set of members that the platform no longer lists.
func (o *Observer) SetGone(gone map[string]bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.gone = gone
}

// View returns the members with what each last said.
//
// A reply of another incarnation, asked for after the member was known here, shows that the member's
// process is gone, because the other one has taken over its address.
func (o *Observer) View() []freshener.Member {
	members := o.Members()
	self := o.LocalHeartbeat()
	o.mu.Lock()
	defer o.mu.Unlock()
	list := make([]freshener.Member, 0, len(members))
	for id, m := range members {
		v := freshener.Member{ID: identifier.InstanceID(id), Gone: o.gone[id]}
		if id == o.Self.Instance && m.Incarnation == o.Self.Incarnation {
			v.Self, v.Voting, v.Next, v.SentAt = true, self.Voting, identifier.Offset(self.ConfigNext), time.Now()
		}
		known := o.knownSince(m.Incarnation)
		h, ok := o.heard[id]
		switch {
		case ok && h.beat.Incarnation == m.Incarnation:
			v.SentAt = h.sentAt
			v.Next = identifier.Offset(h.beat.ConfigNext)
			v.Voting = h.beat.Voting
		case ok && h.sentAt.After(known):
			v.Gone = true
		}
		list = append(list, v)
	}
	return list
}

// knownSince returns when an incarnation was first seen as a member.
func (o *Observer) knownSince(incarnation string) time.Time {
	if o.since == nil {
		o.since = map[string]time.Time{}
	}
	if o.since[incarnation].IsZero() {
		o.since[incarnation] = time.Now()
	}
	return o.since[incarnation]
}

// RecentHeartbeats returns copies of the heartbeats heard within the given age.
func (o *Observer) RecentHeartbeats(age time.Duration) []*messenger.Heartbeat {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []*messenger.Heartbeat
	for _, h := range o.heard {
		if time.Since(h.sentAt) <= age {
			list = append(list, proto.Clone(h.beat).(*messenger.Heartbeat))
		}
	}
	return list
}

// Hears returns the instances whose heartbeats were heard within the given age.
func (o *Observer) Hears(age time.Duration) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []string
	for id, h := range o.heard {
		if time.Since(h.sentAt) <= age {
			list = append(list, id)
		}
	}
	return list
}

// SilentFor returns how long nothing was heard of an incarnation, or false where it never was.
func (o *Observer) SilentFor(instance, incarnation string) (time.Duration, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	h, ok := o.heard[instance]
	if !ok || h.beat.Incarnation != incarnation {
		return 0, false
	}
	return time.Since(h.sentAt), true
}
