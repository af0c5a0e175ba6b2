package orderer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/asserter"
	"github.com/coltsfootscale/coltsfootscale/internal/authorizer"
	"github.com/coltsfootscale/coltsfootscale/internal/chatter"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrIntentVoid is returned when the fold did not accept an intent, for example because the lease was lost or the target
// has an open order.
var ErrIntentVoid = errors.New("intent is void")

// ErrTargetRefused is returned when a target is unknown or refused an order.
var ErrTargetRefused = errors.New("target refused the order")

// Authority is the lease under which orders are sent.
type Authority interface {
	Authority() (identifier.Fence, time.Duration, error)
	WithLease(ctx context.Context, fence identifier.Fence, timeout time.Duration, send func(ctx context.Context) error) error
}

// Platform accepts target orders.
type Platform interface {
	OrderTarget(ctx context.Context, order provider.TargetOrder) (provider.GrantedTarget, error)
}

const (
	maximumResponseBytes = 64 << 10
	statePollInterval    = 100 * time.Millisecond
)

// Orderer records the intent of each order, sends the order and records its outcome; all exported fields must be set.
type Orderer struct {
	Scope     string
	Sender    string
	Authority Authority
	Control   *tailer.Tailer
	Fold      *authorizer.Fold
	Platform  Platform
	HTTP      *http.Client
	Timeout   time.Duration
	// DrainNotice is the shortest duration of a drain, in which every entry instance reads the intent.
	DrainNotice time.Duration
	Address     func(identifier.TargetID) (string, bool)
	Logger      *zap.Logger
}

// RaiseFence sends the current fencing number to the given targets, which must check it, so that older orders have no
// effect. It tries all targets and returns the last error.
func (o *Orderer) RaiseFence(ctx context.Context, fence identifier.Fence, targets []identifier.TargetID) error {
	var lastErr error
	for _, id := range targets {
		if _, err := o.send(ctx, fence, &recorder.Order{Target: string(id)}); err != nil {
			lastErr = fmt.Errorf("raise fence at %s: %w", id, err)
		}
	}
	return lastErr
}

// OpenOrders returns the orders without a recorded outcome, including those of earlier holders.
func (o *Orderer) OpenOrders() []*recorder.Order {
	var open []*recorder.Order
	o.Control.Query(func() {
		for _, order := range o.Fold.Orders() {
			if order.Status == recorder.OrderStatus_Open {
				open = append(open, order)
			}
		}
	})
	return open
}

// Resume sends an open order again, unchanged, and records its outcome.
func (o *Orderer) Resume(ctx context.Context, order *recorder.Order) error {
	fence, _, err := o.Authority.Authority()
	if err != nil {
		return err
	}
	return o.finish(ctx, fence, order)
}

// Order records and carries out one order; it sets the order's ID and fencing number.
func (o *Orderer) Order(ctx context.Context, order *recorder.Order) error {
	fence, _, err := o.Authority.Authority()
	if err != nil {
		return err
	}
	order.ID = uuid.NewString()
	order.Fence = uint64(fence)
	r := o.Control.NewRecord()
	r.Body = &recorder.Record_Intent{Intent: &recorder.Intent{Scope: o.Scope, Order: order}}
	if err := o.append(ctx, r); err != nil {
		return err
	}
	var accepted *recorder.Order
	o.Control.Query(func() { accepted = o.Fold.Order(order.ID) })
	if accepted == nil {
		return fmt.Errorf("%w: %s to %s", ErrIntentVoid, order.Kind, order.Target)
	}
	o.assertOnlyOpen(accepted)
	o.Logger.Info("Order",
		zap.String("OrderID", order.ID),
		zap.String("Kind", order.Kind.String()),
		zap.String("Target", order.Target),
		zap.String("Role", order.Role.String()),
		zap.Uint64("Fence", order.Fence))
	return o.finish(ctx, fence, accepted)
}

// assertOnlyOpen asserts that no other order to the target is open.
func (o *Orderer) assertOnlyOpen(order *recorder.Order) {
	o.Control.Query(func() {
		for _, other := range o.Fold.Orders() {
			open := other.Status == recorder.OrderStatus_Open && other.Target == order.Target && other.ID != order.ID
			asserter.That(!open, asserter.OneOpenOrderPerTarget, "%s and %s to %s", order.ID, other.ID, order.Target)
		}
	})
}

// finish carries out an order until the target itself confirms the outcome, and records the outcome. A refusal is
// recorded as a failed order and also returned.
func (o *Orderer) finish(ctx context.Context, fence identifier.Fence, order *recorder.Order) error {
	outcome := &recorder.Outcome{Scope: o.Scope, Fence: uint64(fence), OrderID: order.ID, Status: recorder.OrderStatus_Done}
	granted, err := o.carryOut(ctx, fence, order)
	switch {
	case errors.Is(err, ErrTargetRefused) || errors.Is(err, provider.ErrRefused):
		outcome.Status = recorder.OrderStatus_Failed
	case err != nil:
		return err
	}
	outcome.Target = granted
	r := o.Control.NewRecord()
	r.Body = &recorder.Record_Outcome{Outcome: outcome}
	if appendErr := o.append(ctx, r); appendErr != nil {
		return appendErr
	}
	return err
}

// carryOut drains the target, sends the order and waits until it is done. It returns the acquired target, if any.
func (o *Orderer) carryOut(ctx context.Context, fence identifier.Fence, order *recorder.Order) (*recorder.Target, error) {
	if err := o.awaitDrained(ctx, fence, order); err != nil {
		return nil, err
	}
	granted, err := o.send(ctx, fence, order)
	if err != nil {
		return nil, err
	}
	switch order.Kind {
	case recorder.OrderKind_Assign:
		return nil, o.awaitDone(ctx, fence, order)
	case recorder.OrderKind_Acquire:
		return granted, nil
	}
	return nil, nil
}

func (o *Orderer) append(ctx context.Context, r *recorder.Record) error {
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	_, err := o.Control.Append(ctx, r)
	return err
}

// send checks the lease directly before it sends the order, and ends the call before the lease ends.
func (o *Orderer) send(ctx context.Context, fence identifier.Fence, order *recorder.Order) (*recorder.Target, error) {
	var granted *recorder.Target
	err := o.Authority.WithLease(ctx, fence, o.Timeout, func(ctx context.Context) error {
		if order.Kind == recorder.OrderKind_Assign {
			return o.sendEngine(ctx, fence, order)
		}
		target, err := o.Platform.OrderTarget(ctx, provider.TargetOrder{
			OrderID: order.ID, Sender: o.Sender, Fence: fence, Kind: order.Kind.String(),
			Target: order.Target, Zone: order.Zone, Model: order.Model, Cheap: order.Cheap,
		})
		granted = targetOf(target)
		return err
	})
	return granted, err
}

func targetOf(t provider.GrantedTarget) *recorder.Target {
	return &recorder.Target{
		ID: t.ID, Kind: recorder.TargetKind_Engine, Address: t.Address, Zone: t.Zone, Model: t.Model,
		Cheap: t.Cheap, ChecksFence: t.ChecksFence, PricePerHour: t.PricePerHour,
		PrefillTokensPerSecond: t.PrefillTokensPerSecond, DecodeTokensPerSecond: t.DecodeTokensPerSecond, Slots: t.Slots,
	}
}

// awaitDrained waits until a target that changes its role or is withdrawn has no requests left. Each entry instance
// stops sending requests to the target as soon as it reads the intent.
func (o *Orderer) awaitDrained(ctx context.Context, fence identifier.Fence, order *recorder.Order) error {
	if order.Kind == recorder.OrderKind_Acquire {
		return nil
	}
	began := time.Now()
	return o.poll(ctx, fence, order, func(state chatter.EngineState) (bool, error) {
		idle := state.Running == 0 && time.Since(began) >= o.DrainNotice
		return idle || state.LastOrder == order.ID, nil
	})
}

func (o *Orderer) sendEngine(ctx context.Context, fence identifier.Fence, order *recorder.Order) error {
	// An order without an ID only raises the fencing number.
	in := chatter.EngineOrder{OrderID: order.ID, Fence: uint64(fence)}
	if order.ID != "" {
		in.Role, in.Model = order.Role.String(), order.Model
	}
	var state chatter.EngineState
	return o.call(ctx, order, http.MethodPost, "/control/order", in, &state)
}

// awaitDone waits until an engine has carried out the order.
func (o *Orderer) awaitDone(ctx context.Context, fence identifier.Fence, order *recorder.Order) error {
	return o.poll(ctx, fence, order, func(state chatter.EngineState) (bool, error) {
		if state.LastOrder != order.ID {
			return false, fmt.Errorf("engine %s lost order %s", order.Target, order.ID)
		}
		return !state.Changing, nil
	})
}

// poll requests a target's state under the lease until done returns true or an error.
func (o *Orderer) poll(ctx context.Context, fence identifier.Fence, order *recorder.Order, done func(chatter.EngineState) (bool, error)) error {
	for {
		var state chatter.EngineState
		err := o.Authority.WithLease(ctx, fence, o.Timeout, func(ctx context.Context) error {
			return o.call(ctx, order, http.MethodGet, "/control/state", nil, &state)
		})
		if err != nil {
			return err
		}
		finished, err := done(state)
		if finished || err != nil {
			return err
		}
		if err := sleeper.Sleep(ctx, statePollInterval); err != nil {
			return err
		}
	}
}

func (o *Orderer) call(ctx context.Context, order *recorder.Order, method, path string, in, out any) error {
	address, ok := o.Address(identifier.TargetID(order.Target))
	if !ok {
		return fmt.Errorf("%w: %s is not in the inventory", ErrTargetRefused, order.Target)
	}
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return err
	}
	resp, err := o.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maximumResponseBytes))
	if err != nil {
		return err
	}
	if resp.StatusCode == http.StatusConflict {
		return fmt.Errorf("%w: %s", ErrTargetRefused, bytes.TrimSpace(data))
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("control call to %s: status %d", order.Target, resp.StatusCode)
	}
	return json.Unmarshal(data, out)
}
