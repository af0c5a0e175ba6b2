package runner

import (
	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// peerHandler answers the requests of other entry instances.
type peerHandler struct{ e *Entry }

// Handle answers a heartbeat, stores a copy of a peer's usage, or returns the configuration.
func (h peerHandler) Handle(req *messenger.Request) *messenger.Reply {
	reply := &messenger.Reply{Heartbeat: h.e.heartbeat()}
	switch b := req.Body.(type) {
	case *messenger.Request_Hold:
		h.e.mirror.Hold(b.Hold.GetDelta())
	case *messenger.Request_Fetch:
		reply = h.fetch()
	}
	return reply
}

// fetch returns the configuration. If it changes between the snapshot and the heartbeat, the reply reports the maximum
// freshness age, so that the age is never understated.
func (h peerHandler) fetch() *messenger.Reply {
	reply := &messenger.Reply{}
	h.e.config.Query(func() {
		state, err := h.e.configFold.Snapshot()
		if err == nil {
			reply.Checkpoint = &recorder.Checkpoint{Next: uint64(h.e.configFold.Next()), State: state}
		}
	})
	reply.Heartbeat = h.e.heartbeat()
	if reply.Heartbeat.ConfigNext != reply.Checkpoint.GetNext() {
		reply.Heartbeat.FreshAgeMilliseconds = maximumFreshAge.Milliseconds()
	}
	return reply
}
