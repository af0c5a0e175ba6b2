package orderer_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/authorizer"
	"github.com/coltsfootscale/coltsfootscale/internal/imitator"
	"github.com/coltsfootscale/coltsfootscale/internal/orderer"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// memoryLog is a log that two holders share.
type memoryLog struct {
	mu      sync.Mutex
	records [][]byte
}

func (l *memoryLog) Append(_ context.Context, _ identifier.StreamID, records [][]byte) (identifier.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, records...)
	return identifier.Offset(len(l.records) - len(records)), nil
}

func (l *memoryLog) Read(_ context.Context, _ identifier.StreamID, from identifier.Offset, _ time.Duration) (provider.Page, error) {
	time.Sleep(time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if from == provider.OldestOffset {
		from = 0
	}
	return provider.Page{Offset: from, End: identifier.Offset(len(l.records)), Records: l.records[from:]}, nil
}

// authority simulates a lease that passes its check and then blocks each send until the gate opens, like a paused process.
type authority struct {
	fence identifier.Fence
	gate  chan struct{}
}

func (a *authority) Authority() (identifier.Fence, time.Duration, error) {
	return a.fence, time.Hour, nil
}

func (a *authority) WithLease(ctx context.Context, _ identifier.Fence, _ time.Duration, send func(context.Context) error) error {
	if a.gate != nil {
		<-a.gate
	}
	return send(ctx)
}

// fixture is an engine and a log with the leases of two holders, the first of which is superseded.
type fixture struct {
	engine *imitator.Engine
	log    memoryLog
	addr   string
}

func newFixture(t *testing.T, checks bool) *fixture {
	f := &fixture{engine: &imitator.Engine{Model: "m", PrefillPerSecond: 1000, DecodePerSecond: 100, Slots: 4, ChecksFence: checks}}
	srv := httptest.NewServer(f.engine.Handler())
	t.Cleanup(srv.Close)
	f.addr = srv.Listener.Addr().String()
	return f
}

func (f *fixture) claim(t *testing.T, holder string, seen uint64) {
	r := &recorder.Record{Body: &recorder.Record_Claim{Claim: &recorder.Claim{Scope: "Fleet", Holder: holder, SeenOffset: seen}}}
	data, err := proto.Marshal(r)
	quicktest.Assert(t, err, quicktest.IsNil)
	f.log.Append(context.Background(), "Control", [][]byte{data})
}

func (f *fixture) orderer(t *testing.T, a *authority) *orderer.Orderer {
	fold := &authorizer.Fold{}
	control := &tailer.Tailer{Stream: "Control", Log: &f.log, Fold: fold}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go control.Run(ctx)
	quicktest.Assert(t, control.WaitFor(ctx, func() bool { return fold.Next() > 0 }), quicktest.IsNil)
	return &orderer.Orderer{
		Scope: "Fleet", Authority: a, Control: control, Fold: fold, HTTP: http.DefaultClient, Timeout: 2 * time.Second, Logger: zap.NewNop(),
		Address: func(identifier.TargetID) (string, bool) { return f.addr, true },
	}
}

func assign(role recorder.Role, checks bool) *recorder.Order {
	return &recorder.Order{Kind: recorder.OrderKind_Assign, Target: "t", Role: role, ChecksFence: checks}
}

// lateOrder runs a first holder that records an order and pauses before sending it, then a second holder that takes over
// and, if inherit is set, completes the open order, and finally lets the first holder send its order. It returns the
// engine's statistics.
func lateOrder(t *testing.T, engineChecks, declaredChecks, inherit bool) imitator.EngineCounts {
	f := newFixture(t, engineChecks)
	f.claim(t, "first", 0)
	paused := &authority{fence: 1, gate: make(chan struct{})}
	first := f.orderer(t, paused)
	done := make(chan error, 1)
	go func() { done <- first.Order(context.Background(), assign(recorder.Role_Prefill, declaredChecks)) }()
	err := first.Control.WaitFor(context.Background(), func() bool { return len(first.Fold.Orders()) == 1 })
	quicktest.Assert(t, err, quicktest.IsNil)

	f.claim(t, "second", 1)
	second := f.orderer(t, &authority{fence: 3})
	err = second.Control.WaitFor(context.Background(), func() bool { return second.Fold.Lease("Fleet").Fence == 3 })
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, second.RaiseFence(context.Background(), 3, []identifier.TargetID{"t"}), quicktest.IsNil)
	if inherit {
		for _, order := range second.OpenOrders() {
			quicktest.Check(t, second.Resume(context.Background(), order), quicktest.IsNil)
		}
	}
	err = second.Order(context.Background(), assign(recorder.Role_Decode, declaredChecks))
	quicktest.Check(t, err == nil || errors.Is(err, orderer.ErrIntentVoid), quicktest.IsTrue, quicktest.Commentf("%v", err))
	close(paused.gate)
	<-done
	return f.engine.Counts()
}

func TestLateOrderOfSupersededHolder(t *testing.T) {
	for name, tc := range map[string]struct {
		engineChecks, declaredChecks, inherit bool
		conflicts                             int
	}{
		"engine that checks":                               {true, true, true, 0},
		"engine that checks, open order not inherited":     {true, true, false, 0},
		"engine that does not check, limited to one order": {false, false, true, 0},
		"engine that does not check, declared as checking": {false, true, true, 1},
	} {
		counts := lateOrder(t, tc.engineChecks, tc.declaredChecks, tc.inherit)
		quicktest.Check(t, counts.ConflictingOrders > 0, quicktest.Equals, tc.conflicts > 0, quicktest.Commentf("%s: %+v", name, counts))
	}
}

func TestOrderWaitsUntilTheEngineIsIdle(t *testing.T) {
	f := newFixture(t, true)
	f.claim(t, "first", 0)
	o := f.orderer(t, &authority{fence: 1})
	body := `{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":40,"stream":true}`
	req := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	finished := make(chan time.Time, 1)
	go func() {
		f.engine.Handler().ServeHTTP(httptest.NewRecorder(), req)
		finished <- time.Now()
	}()
	for f.engine.Counts().Started == 0 {
		time.Sleep(time.Millisecond)
	}
	quicktest.Check(t, o.Order(context.Background(), assign(recorder.Role_Decode, true)), quicktest.IsNil)
	quicktest.Check(t, time.Now().After(<-finished), quicktest.IsTrue)
	quicktest.Check(t, f.engine.Counts().Cut, quicktest.Equals, 0)
	quicktest.Check(t, o.OpenOrders(), quicktest.HasLen, 0)
}

// lossyPlatform is a platform whose first responses are lost although the orders take effect.
type lossyPlatform struct {
	platform        *imitator.Platform
	responsesToLose int
	ids             map[string]bool
}

func (p *lossyPlatform) OrderTarget(_ context.Context, order provider.TargetOrder) (provider.GrantedTarget, error) {
	p.ids[order.OrderID] = true
	body, _ := json.Marshal(order)
	w := httptest.NewRecorder()
	p.platform.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/targets", bytes.NewReader(body)))
	var granted provider.GrantedTarget
	json.Unmarshal(w.Body.Bytes(), &granted)
	if p.responsesToLose > 0 {
		p.responsesToLose--
		return provider.GrantedTarget{}, provider.ErrUnavailable
	}
	return granted, nil
}

func TestTargetOrderWhoseAnswerIsLostIsPlacedOnce(t *testing.T) {
	f := newFixture(t, true)
	f.claim(t, "first", 0)
	pool := []provider.GrantedTarget{{ID: "a", Zone: "z", Model: "m"}, {ID: "b", Zone: "z", Model: "m"}}
	platform := &lossyPlatform{platform: &imitator.Platform{Pool: pool}, responsesToLose: 2, ids: map[string]bool{}}
	o := f.orderer(t, &authority{fence: 1})
	o.Platform = platform
	order := &recorder.Order{Kind: recorder.OrderKind_Acquire, Target: "new/m/z", Zone: "z", Model: "m", ChecksFence: true}
	quicktest.Check(t, o.Order(context.Background(), order), quicktest.ErrorIs, provider.ErrUnavailable)

	f.claim(t, "second", 1)
	second := f.orderer(t, &authority{fence: 3})
	second.Platform = platform
	err := second.Control.WaitFor(context.Background(), func() bool { return len(second.Fold.Orders()) == 1 && second.Fold.Lease("Fleet").Fence == 3 })
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, second.Resume(context.Background(), second.OpenOrders()[0]), quicktest.ErrorIs, provider.ErrUnavailable)
	quicktest.Check(t, second.Resume(context.Background(), second.OpenOrders()[0]), quicktest.IsNil)
	quicktest.Check(t, second.OpenOrders(), quicktest.HasLen, 0)
	quicktest.Check(t, second.Fold.Acquired(), quicktest.HasLen, 1)
	quicktest.Check(t, platform.ids, quicktest.HasLen, 1)
	quicktest.Check(t, platform.platform.Pool, quicktest.HasLen, 1)
	quicktest.Check(t, platform.platform.Counts().ConflictingOrders, quicktest.Equals, 0)
}
