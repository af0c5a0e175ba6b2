package runner

import (
	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// peerHandler answers the requests of other entry instances.
type peerHandler struct{ e *Entry }

// Handle answers a heartbeat, keeps usage for a peer, or hands out the configuration.
func (h peerHandler) Handle(req *messenger.Request) *messenger.Reply {
	reply := &messenger.Reply{Heartbeat: h.e.beat()}
	switch b := req.Body.(type) {
	case *messenger.Request_Hold:
		h.e.mirror.Hold(b.Hold.GetDelta())
	case *messenger.Request_Fetch:
		reply = h.fetch()
	}
	return reply
}

// fetch returns the configuration with an age of freshness that is not understated.
func (h peerHandler) fetch() *messenger.Reply {
	reply := &messenger.Reply{}
	h.e.config.Query(func() {
		state, err := h.e.configFold.Snapshot()
		if err == nil {
			reply.Checkpoint = &recorder.Checkpoint{Next: uint64(h.e.configFold.Next()), State: state}
		}
	})
	reply.Heartbeat = h.e.beat()
	if reply.Heartbeat.ConfigNext != reply.Checkpoint.GetNext() {
		reply.Heartbeat.FreshAgeMilliseconds = maximumFreshAge.Milliseconds()
	}
	return reply
}
