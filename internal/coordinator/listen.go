package coordinator

import (
	"errors"
	"net/http"
	"net/url"
	"slices"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/exchanger"
	"github.com/coltsfootscale/coltsfootscale/internal/networker"
	"github.com/coltsfootscale/coltsfootscale/internal/parser"
)

// Listeners of an instance, as its metrics and logs name them.
const (
	listenerClients   = "Listen"
	listenerReadiness = "ReadyListen"
	listenerDirectory = "DirectoryListen"
	listenerMetrics   = "MetricsListen"
	listenerRelay     = "RelayListen"
	listenerPeers     = "PeerListen"
)

const (
	// receiveMemoryDivisor gives the share of the memory for what all connections have received and the process has not read.
	receiveMemoryDivisor = 8
	// minimumReceiveBytes is the least receive buffer of a connection: with less, bodies arrive slowly.
	minimumReceiveBytes = 16 << 10
	maximumReceiveBytes = 128 << 10
	// minimumResponseReceiveBytes is the same for responses, of which more are long.
	minimumResponseReceiveBytes = 32 << 10
	// peerStreams is the number of messages of one peer that are handled at once; a peer sends one at a time, and contacts at its start.
	peerStreams = 16
	// unlimitedHeadBytes replaces the server's own limit on heads, which cannot change while it serves.
	unlimitedHeadBytes = 1 << 30
	// relayHeadFactor and relayHeadBytes are how much larger the head of a request is that a peer passes on: it writes each line in its
	// longest form, and adds lines of its own.
	relayHeadFactor = 2
	relayHeadBytes  = 4 << 10
)

// connectionLimits returns the limit of connections of each listener.
func connectionLimits(b parser.EntryBounds) map[string]int {
	return map[string]int{
		listenerClients: b.ClientConnections, listenerRelay: b.RelayConnections, listenerPeers: b.PeerConnections,
		listenerDirectory: b.DirectoryConnections, listenerReadiness: b.ControlConnections, listenerMetrics: b.ControlConnections,
	}
}

// receiveBytes returns the size of the receive buffer of each connection.
func receiveBytes(b parser.EntryBounds) int {
	connections := 0
	for _, n := range connectionLimits(b) {
		connections += n
	}
	return receiveShare(b, connections, minimumReceiveBytes)
}

// ResponseReceiveBytes returns the size of the receive buffer of each connection to a target or a peer, of which each request in progress uses one.
func ResponseReceiveBytes(b parser.EntryBounds) int {
	return receiveShare(b, b.ClientConnections+b.RelayConnections, minimumResponseReceiveBytes)
}

func receiveShare(b parser.EntryBounds, connections, minimum int) int {
	share := b.MemoryMegabytes << 20 / receiveMemoryDivisor / int64(connections)
	return int(min(maximumReceiveBytes, max(int64(minimum), share)))
}

// server is an HTTP server with its listener.
type server struct {
	*khttp.Server
	name string
	lis  *networker.ClosingListener
	// ended is the number of connections ended for new ones at the last update of the metrics.
	ended int64
}

// listen opens a listener, whose connections are counted in count unless that is nil.
func (c *Coordinator) listen(name, addr string, count *networker.ConnectionCount, h http.Handler) (*server, error) {
	lis, err := networker.ListenWithBuffer(addr, receiveBytes(c.bounds))
	if err != nil {
		return nil, err
	}
	if count != nil {
		lis = networker.CountListener(lis, count)
	}
	closing := &networker.ClosingListener{}
	limited := networker.LimitListener(lis, connectionLimits(c.bounds)[name], closing.MakeRoom)
	closing.Listener = networker.HeadListener(networker.TimeoutListener(limited, c.timeLimits), &networker.HeadLimits{
		Bytes: func() int { return c.headBytes(name) }, Memory: &c.headMemory,
		OnRefusal: func(err error) { c.countHeadRefusal(name, err) },
	})
	srv := khttp.NewServer(
		khttp.Listener(closing),
		khttp.Endpoint(&url.URL{Scheme: "http", Host: addr}),
		khttp.Timeout(0),
	)
	srv.ReadHeaderTimeout = networker.HeaderTimeoutSentinel
	srv.IdleTimeout = networker.IdleTimeoutSentinel
	srv.MaxHeaderBytes = unlimitedHeadBytes
	srv.ErrorLog = zap.NewStdLog(c.logger)
	srv.ConnState, srv.ConnContext = closing.ConnState, closing.ConnContext
	// This bypasses the router of kratos, which redirects paths that are not clean.
	srv.Handler = h
	s := &server{Server: srv, name: name, lis: closing}
	c.serversMu.Lock()
	defer c.serversMu.Unlock()
	c.servers = append(c.servers, s)
	return s, nil
}

func (c *Coordinator) allServers() []*server {
	c.serversMu.Lock()
	defer c.serversMu.Unlock()
	return slices.Clone(c.servers)
}

// withoutBody lets the server not wait for a body of which the handler has no use: a client could keep the connection by one that it does not
// send.
func (c *Coordinator) withoutBody(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			if err := http.NewResponseController(w).SetReadDeadline(time.Now()); err != nil {
				c.logger.Debug("cannot set read deadline of request body", zap.Error(err))
			}
		}
		h.ServeHTTP(w, r)
	})
}

// headBytes returns the limit on the bytes of a head at a listener. The operator's limit is for clients: a lower one than the default does
// not bind the platform and peers.
func (c *Coordinator) headBytes(listener string) int {
	limit := c.Limits().HeaderBytes
	switch listener {
	case listenerClients:
		return limit
	case listenerRelay:
		return relayHeadFactor*max(limit, defaultHeaderBytes) + relayHeadBytes
	}
	return max(limit, defaultHeaderBytes)
}

func (c *Coordinator) countHeadRefusal(listener string, err error) {
	reason := "TooLarge"
	if errors.Is(err, networker.ErrHeadMemory) {
		reason = "MemoryFull"
	}
	c.workload.headsRefused.Add(1)
	c.metrics.Tagged(map[string]string{"Listener": listener, "Reason": reason}).Counter("HeadsRefused").Inc(1)
}

// refusalNames are the names of the refusals of peers in the metrics.
var refusalNames = map[exchanger.Refusal]string{
	exchanger.AcceptFailed: "AcceptFailed", exchanger.SessionReplaced: "SessionReplaced",
	exchanger.MemoryFull: "MemoryFull", exchanger.MessageRefused: "MessageRefused",
}

func (c *Coordinator) countPeerRefusal(r exchanger.Refusal) {
	c.workload.peersRefused.Add(1)
	c.metrics.Tagged(map[string]string{"Reason": refusalNames[r]}).Counter("PeerRefusals").Inc(1)
}

// updateConnections updates the metrics of what the listeners refuse, and logs a line if there was anything since the last update.
func (c *Coordinator) updateConnections() {
	w := &c.workload
	sum := int64(0)
	for _, s := range c.allServers() {
		ended := s.lis.Ended()
		if n := ended - s.ended; n > 0 {
			c.metrics.Tagged(map[string]string{"Listener": s.name}).Counter("ConnectionsEnded").Inc(n)
			sum += n
		}
		s.ended = ended
	}
	c.metrics.Gauge("HeadMemory").Update(float64(c.headMemory.Used()))
	heads, peers := w.headsRefused.Swap(0), w.peersRefused.Swap(0)
	if sum > 0 || heads > 0 || peers > 0 {
		c.logger.Warn("connections refused", zap.Int64("HeadsRefused", heads), zap.Int64("ConnectionsEnded", sum), zap.Int64("PeersRefused", peers),
			zap.Int64("HeadMemory", c.headMemory.Used()), zap.Int64("ClientConnections", w.clients.Open()))
	}
}
