package authorizer

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// maximumOrders is the number of orders above which closed ones are removed.
const maximumOrders = 4096

// Fold is the state folded from the Control stream. The zero value is the state before the first record.
//
// A claim is valid only if its SeenOffset refers to the latest valid claim or renewal of the scope. Because
// log order alone decides, all readers agree on the lease holder, and the log needs no conditional append.
type Fold struct {
	state recorder.ControlState
}

// Next returns the offset after the last applied record.
func (f *Fold) Next() identifier.Offset { return identifier.Offset(f.state.Next) }

// Snapshot returns the encoded state.
func (f *Fold) Snapshot() ([]byte, error) {
	return proto.MarshalOptions{Deterministic: true}.Marshal(&f.state)
}

// Restore replaces the state with a snapshot.
func (f *Fold) Restore(state []byte) error {
	proto.Reset(&f.state)
	return proto.Unmarshal(state, &f.state)
}

// Lease returns a copy of the lease of a scope. The lease is empty before the first valid claim.
func (f *Fold) Lease(scope string) *recorder.Lease {
	l := f.state.Leases[scope]
	if l == nil {
		return &recorder.Lease{}
	}
	return proto.Clone(l).(*recorder.Lease)
}

// Order returns a copy of the order with the given ID, or nil if there is none.
func (f *Fold) Order(id string) *recorder.Order {
	o := f.state.Orders[id]
	if o == nil {
		return nil
	}
	return proto.Clone(o).(*recorder.Order)
}

// Orders returns copies of all orders in the state, open and closed.
func (f *Fold) Orders() []*recorder.Order {
	list := make([]*recorder.Order, 0, len(f.state.Orders))
	for _, o := range f.state.Orders {
		list = append(list, proto.Clone(o).(*recorder.Order))
	}
	return list
}

// Apply folds the record at offset into the state. Records of other streams' types only advance Next.
func (f *Fold) Apply(offset identifier.Offset, r *recorder.Record) {
	f.state.Next = uint64(offset) + 1
	switch b := r.Body.(type) {
	case *recorder.Record_Claim:
		f.applyClaim(offset, b.Claim)
	case *recorder.Record_Renew:
		f.applyRenew(offset, b.Renew)
	case *recorder.Record_Intent:
		f.applyIntent(offset, b.Intent)
	case *recorder.Record_Outcome:
		f.applyOutcome(b.Outcome)
	}
}

func (f *Fold) applyClaim(offset identifier.Offset, c *recorder.Claim) {
	current := f.Lease(c.Scope)
	if c.SeenOffset != current.SeenOffset || c.Holder == "" {
		return
	}
	if f.state.Leases == nil {
		f.state.Leases = map[string]*recorder.Lease{}
	}
	// Adding one to the offset keeps fencing numbers and seen offsets nonzero; an empty lease has zeros.
	position := uint64(offset) + 1
	f.state.Leases[c.Scope] = &recorder.Lease{Holder: c.Holder, Fence: position, SeenOffset: position}
}

func (f *Fold) applyRenew(offset identifier.Offset, n *recorder.Renew) {
	l := f.state.Leases[n.Scope]
	if l == nil || l.Holder != n.Holder || l.Fence != n.Fence || l.Released {
		return
	}
	l.SeenOffset = uint64(offset) + 1
	l.Released = n.Release
}

// applyIntent opens an order. An intent is void if its sender does not hold the lease, if its ID was used before,
// if the target has an open order, or if the target does not check fencing numbers and has already received an
// order of the same kind.
func (f *Fold) applyIntent(offset identifier.Offset, i *recorder.Intent) {
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
	f.pruneClosed()
}

func (f *Fold) applyOutcome(c *recorder.Outcome) {
	o := f.state.Orders[c.OrderID]
	l := f.state.Leases[c.Scope]
	if o == nil || l == nil || c.Fence != l.Fence || o.Status != recorder.OrderStatus_Open {
		return
	}
	o.Status = c.Status
	f.updateAcquired(o, c.Target)
}

// updateAcquired adds the target of a completed Acquire order, or removes that of a completed Withdraw order.
func (f *Fold) updateAcquired(o *recorder.Order, t *recorder.Target) {
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

// Acquired returns copies of the targets that were acquired from the platform and not withdrawn, sorted by ID.
func (f *Fold) Acquired() []*recorder.Target {
	list := make([]*recorder.Target, 0, len(f.state.Acquired))
	for _, t := range f.state.Acquired {
		list = append(list, proto.Clone(t).(*recorder.Target))
	}
	slices.SortFunc(list, func(a, b *recorder.Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// pruneClosed removes the oldest closed order if there are more than maximumOrders. It keeps the orders to targets
// that do not check fencing numbers, because applyIntent needs them to reject a second order of the same kind.
func (f *Fold) pruneClosed() {
	if len(f.state.Orders) <= maximumOrders {
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
