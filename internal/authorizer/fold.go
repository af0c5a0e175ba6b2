package authorizer

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const closedOrderLimit = 4096

// Fold is the state of the Control stream; the zero value is the state before the first record.
//
// A claim is valid only if it names the last renewal or valid claim that stands before it in the
// stream. Log order alone decides, so every reader agrees on the holder without a conditional append.
type Fold struct {
	state recorder.ControlState
}

// Next returns the offset after the last applied record.
func (f *Fold) Next() identifier.Offset { return identifier.Offset(f.state.Next) }

// Snapshot returns the encoded state.
func (f *Fold) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&f.state)
}

// Restore replaces the state by an encoded one.
func (f *Fold) Restore(state []byte) error {
	proto.Reset(&f.state)
	return proto.Unmarshal(state, &f.state)
}

// Lease returns a copy of the lease of a scope, which is empty before the first claim.
func (f *Fold) Lease(scope string) *recorder.Lease {
	l := f.state.Leases[scope]
	if l == nil {
		return &recorder.Lease{}
	}
	return proto.Clone(l).(*recorder.Lease)
}

// Order returns a copy of an order, or nil.
func (f *Fold) Order(id string) *recorder.Order {
	o := f.state.Orders[id]
	if o == nil {
		return nil
	}
	return proto.Clone(o).(*recorder.Order)
}

// Orders returns copies of all orders that are kept.
func (f *Fold) Orders() []*recorder.Order {
	list := make([]*recorder.Order, 0, len(f.state.Orders))
	for _, o := range f.state.Orders {
		list = append(list, proto.Clone(o).(*recorder.Order))
	}
	return list
}

// Apply folds in the record at offset; records of other streams' types have no effect.
func (f *Fold) Apply(offset identifier.Offset, r *recorder.Record) {
	f.state.Next = uint64(offset) + 1
	switch b := r.Body.(type) {
	case *recorder.Record_Claim:
		f.claim(offset, b.Claim)
	case *recorder.Record_Renew:
		f.renew(offset, b.Renew)
	case *recorder.Record_Intent:
		f.intent(offset, b.Intent)
	case *recorder.Record_Outcome:
		f.outcome(b.Outcome)
	}
}

func (f *Fold) claim(offset identifier.Offset, c *recorder.Claim) {
	current := f.Lease(c.Scope)
	if c.SeenOffset != current.SeenOffset || c.Holder == "" {
		return
	}
	if f.state.Leases == nil {
		f.state.Leases = map[string]*recorder.Lease{}
	}
	// Offsets are shifted by one so that a fencing number and a seen offset are never zero.
	position := uint64(offset) + 1
	f.state.Leases[c.Scope] = &recorder.Lease{Holder: c.Holder, Fence: position, SeenOffset: position}
}

func (f *Fold) renew(offset identifier.Offset, n *recorder.Renew) {
	l := f.state.Leases[n.Scope]
	if l == nil || l.Holder != n.Holder || l.Fence != n.Fence || l.Released {
		return
	}
	l.SeenOffset = uint64(offset) + 1
	l.Released = n.Release
}

// intent opens an order unless its sender lost the lease, the target has an open order,
// or the target does not check fencing numbers and has had its one order.
func (f *Fold) intent(offset identifier.Offset, i *recorder.Intent) {
	o := i.GetOrder()
	l := f.state.Leases[i.GetScope()]
	if o == nil || l == nil || l.Released || o.Fence != l.Fence || f.state.Orders[o.ID] != nil {
		return
	}
	for _, other := range f.state.Orders {
		if other.Target != o.Target {
			continue
		}
		if other.Status == recorder.OrderStatus_Open || !o.ChecksFence && other.Kind == o.Kind {
			return
		}
	}
	if f.state.Orders == nil {
		f.state.Orders = map[string]*recorder.Order{}
	}
	opened := proto.Clone(o).(*recorder.Order)
	opened.Status = recorder.OrderStatus_Open
	opened.Sequence = uint64(offset) + 1
	f.state.Orders[o.ID] = opened
	f.forgetClosed()
}

func (f *Fold) outcome(c *recorder.Outcome) {
	o := f.state.Orders[c.OrderID]
	l := f.state.Leases[c.Scope]
	if o == nil || l == nil || c.Fence != l.Fence || o.Status != recorder.OrderStatus_Open {
		return
	}
	o.Status = c.Status
	f.settleFleet(o, c.Target)
}

// settleFleet adds an acquired target to the fleet or removes a withdrawn one.
func (f *Fold) settleFleet(o *recorder.Order, t *recorder.Target) {
	if o.Status != recorder.OrderStatus_Done {
		return
	}
	switch o.Kind {
	case recorder.OrderKind_Acquire:
		if t.GetID() == "" {
			return
		}
		if f.state.Acquired == nil {
			f.state.Acquired = map[string]*recorder.Target{}
		}
		f.state.Acquired[t.ID] = t
	case recorder.OrderKind_Withdraw:
		delete(f.state.Acquired, o.Target)
	}
}

// Acquired returns copies of the targets that orders to the platform brought, sorted by id.
func (f *Fold) Acquired() []*recorder.Target {
	list := make([]*recorder.Target, 0, len(f.state.Acquired))
	for _, t := range f.state.Acquired {
		list = append(list, proto.Clone(t).(*recorder.Target))
	}
	slices.SortFunc(list, func(a, b *recorder.Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// forgetClosed drops the oldest closed order of a target that checks fencing numbers when too many are kept.
func (f *Fold) forgetClosed() {
	if len(f.state.Orders) <= closedOrderLimit {
		return
	}
	var oldest *recorder.Order
	for _, o := range f.state.Orders {
		if o.Status == recorder.OrderStatus_Open || !o.ChecksFence {
			continue
		}
		if oldest == nil || o.Fence < oldest.Fence || o.Fence == oldest.Fence && o.ID < oldest.ID {
			oldest = o
		}
	}
	if oldest != nil {
		delete(f.state.Orders, oldest.ID)
	}
}
