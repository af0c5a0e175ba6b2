package evaluator_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/exchanger"
	"github.com/coltsfootscale/coltsfootscale/internal/journaler"
	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
)

// heartbeatHandler answers every request with the same heartbeat, which carries the rates of some teams.
type heartbeatHandler struct{ heartbeat *messenger.Heartbeat }

// Handle returns the heartbeat.
func (h heartbeatHandler) Handle(*messenger.Request) *messenger.Reply {
	return &messenger.Reply{Heartbeat: h.heartbeat}
}

// cpuMicroseconds returns the CPU time that this process has used.
func cpuMicroseconds() float64 {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return float64(u.Utime.Nano()+u.Stime.Nano()) / 1000
}

// exchangeCost returns the CPU time in microseconds, on both sides, of exchanging one heartbeat with each of the
// given number of peers over loopback.
func exchangeCost(peers int) float64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	heartbeat := &messenger.Heartbeat{}
	proto.Unmarshal(marshaledHeartbeat(45), heartbeat)
	var dialer net.Dialer
	client := &exchanger.Client{Dial: func(ctx context.Context, addr string) (net.Conn, error) { return dialer.DialContext(ctx, "tcp", addr) }}
	defer client.Close()
	var addresses []string
	for range peers {
		lis, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0
		}
		go exchanger.ForHandler(heartbeatHandler{heartbeat}, nil).Serve(ctx, lis)
		addresses = append(addresses, lis.Addr().String())
	}
	round := func() {
		for _, addr := range addresses {
			client.Call(ctx, addr, &messenger.Request{Body: &messenger.Request_Heartbeat{Heartbeat: heartbeat}})
		}
	}
	round()
	const rounds = 50
	before := cpuMicroseconds()
	for range rounds {
		round()
	}
	return (cpuMicroseconds() - before) / rounds
}

// logPageCost returns the CPU time in microseconds of reading, decoding and folding one page with the given number
// of log records, including the server's share.
func logPageCost(records int) float64 {
	var page strings.Builder
	fmt.Fprintf(&page, `{"First":0,"Offset":0,"End":%d,"Records":[`, records)
	for i := range records {
		if i > 0 {
			page.WriteByte(',')
		}
		data, _ := proto.Marshal(newDispatch(i))
		page.WriteString(`"` + base64.StdEncoding.EncodeToString(data) + `"`)
	}
	page.WriteString("]}")
	body := []byte(page.String())
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write(body) }))
	defer srv.Close()
	log := &provider.Provider{BaseURL: srv.URL, HTTP: srv.Client()}
	const rounds = 40
	before := cpuMicroseconds()
	for range rounds {
		got, err := log.Read(context.Background(), "Journal", 0, time.Second)
		if err != nil {
			return 0
		}
		f := &journaler.Fold{}
		for _, data := range got.Records {
			r := &recorder.Record{}
			proto.Unmarshal(data, r)
			f.Apply(f.Next(), r)
		}
	}
	return (cpuMicroseconds() - before) / rounds
}
