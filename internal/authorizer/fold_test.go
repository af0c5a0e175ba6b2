package authorizer_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/coltsfootscale/coltsfootscale/internal/authorizer"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const scope = "Fleet"

func claim(holder string, seen uint64) *recorder.Record {
	return &recorder.Record{Body: &recorder.Record_Claim{Claim: &recorder.Claim{Scope: scope, Holder: holder, SeenOffset: seen}}}
}

func renew(holder string, fence uint64, release bool) *recorder.Record {
	return &recorder.Record{Body: &recorder.Record_Renew{Renew: &recorder.Renew{Scope: scope, Holder: holder, Fence: fence, Release: release}}}
}

func intent(id, target string, fence uint64, checks bool) *recorder.Record {
	order := &recorder.Order{ID: id, Target: target, Fence: fence, ChecksFence: checks}
	return &recorder.Record{Body: &recorder.Record_Intent{Intent: &recorder.Intent{Scope: scope, Order: order}}}
}

func outcome(id string, fence uint64) *recorder.Record {
	return &recorder.Record{Body: &recorder.Record_Outcome{Outcome: &recorder.Outcome{Scope: scope, Fence: fence, OrderID: id, Status: recorder.OrderStatus_Done}}}
}

func fold(records ...*recorder.Record) *authorizer.Fold {
	f := &authorizer.Fold{}
	for i, r := range records {
		f.Apply(identifier.Offset(i), r)
	}
	return f
}

func TestLeaseByLogOrder(t *testing.T) {
	for name, tc := range map[string]struct {
		records []*recorder.Record
		holder  string
		fence   uint64
	}{
		"first claim wins":                {[]*recorder.Record{claim("a", 0), claim("b", 0)}, "a", 1},
		"claim after a renewal is void":   {[]*recorder.Record{claim("a", 0), renew("a", 1, false), claim("b", 1)}, "a", 1},
		"claim of the last seen offset":   {[]*recorder.Record{claim("a", 0), renew("a", 1, false), claim("b", 2)}, "b", 3},
		"late renewal by a former holder": {[]*recorder.Record{claim("a", 0), claim("b", 1), renew("a", 1, false)}, "b", 2},
		"duplicate claim has no effect":   {[]*recorder.Record{claim("a", 0), claim("a", 0)}, "a", 1},
		"renewal by another instance":     {[]*recorder.Record{claim("a", 0), renew("b", 1, false)}, "a", 1},
	} {
		l := fold(tc.records...).Lease(scope)
		quicktest.Check(t, l.Holder, quicktest.Equals, tc.holder, quicktest.Commentf(name))
		quicktest.Check(t, l.Fence, quicktest.Equals, tc.fence, quicktest.Commentf(name))
	}
}

func TestOrders(t *testing.T) {
	for name, tc := range map[string]struct {
		records []*recorder.Record
		open    string
	}{
		"intent of the holder":                {[]*recorder.Record{claim("a", 0), intent("1", "t", 1, true)}, "1"},
		"intent of a former holder":           {[]*recorder.Record{claim("a", 0), claim("b", 1), intent("1", "t", 1, true)}, ""},
		"second intent while one is open":     {[]*recorder.Record{claim("a", 0), intent("1", "t", 1, true), intent("2", "t", 1, true)}, "1"},
		"second intent after the outcome":     {[]*recorder.Record{claim("a", 0), intent("1", "t", 1, true), outcome("1", 1), intent("2", "t", 1, true)}, "2"},
		"second intent without fence checks":  {[]*recorder.Record{claim("a", 0), intent("1", "t", 1, false), outcome("1", 1), intent("2", "t", 1, false)}, ""},
		"outcome of a former holder":          {[]*recorder.Record{claim("a", 0), intent("1", "t", 1, true), claim("b", 1), outcome("1", 1)}, "1"},
		"outcome of the new holder":           {[]*recorder.Record{claim("a", 0), intent("1", "t", 1, true), claim("b", 1), outcome("1", 3)}, ""},
		"intent after the lease was released": {[]*recorder.Record{claim("a", 0), renew("a", 1, true), intent("1", "t", 1, true)}, ""},
		"second intent with the same ID":      {[]*recorder.Record{claim("a", 0), intent("1", "t", 1, true), intent("1", "u", 1, true)}, "1"},
	} {
		open := ""
		for _, o := range fold(tc.records...).Orders() {
			if o.Status == recorder.OrderStatus_Open {
				open += o.ID
			}
		}
		quicktest.Check(t, open, quicktest.Equals, tc.open, quicktest.Commentf(name))
	}
}

// TestRacingAppends applies racing, duplicate and late records of several processes and checks the invariants of
// leases and orders after each.
func TestRacingAppends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &authorizer.Fold{}
		fences := map[uint64]string{}
		highest := uint64(0)
		var earlier []*recorder.Record
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for offset := range steps {
			r := drawRecord(t, f, &earlier, offset)
			f.Apply(identifier.Offset(offset), r)
			l := f.Lease(scope)
			if l.Fence < highest {
				t.Fatalf("fence decreased from %d to %d", highest, l.Fence)
			}
			highest = l.Fence
			if holder, ok := fences[l.Fence]; ok && holder != l.Holder {
				t.Fatalf("fence %d belongs to %s and %s", l.Fence, holder, l.Holder)
			}
			fences[l.Fence] = l.Holder
			checkOrders(t, f)
		}
		checkSnapshot(t, f)
	})
}

func drawRecord(t *rapid.T, f *authorizer.Fold, earlier *[]*recorder.Record, offset int) *recorder.Record {
	if len(*earlier) > 0 && rapid.IntRange(0, 3).Draw(t, "late") == 0 {
		return rapid.SampledFrom(*earlier).Draw(t, "again")
	}
	process := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "process")
	l := f.Lease(scope)
	target := rapid.SampledFrom([]string{"t", "u"}).Draw(t, "target")
	id := fmt.Sprint("order-", offset)
	r := rapid.SampledFrom([]*recorder.Record{
		claim(process, l.SeenOffset), renew(process, l.Fence, false), renew(process, l.Fence, true),
		intent(id, target, l.Fence, target == "t"), outcome(fmt.Sprint("order-", offset-1), l.Fence),
	}).Draw(t, "record")
	*earlier = append(*earlier, r)
	return r
}

func checkOrders(t *rapid.T, f *authorizer.Fold) {
	open := map[string]int{}
	total := map[string]int{}
	for _, o := range f.Orders() {
		total[o.Target]++
		if o.Status == recorder.OrderStatus_Open {
			open[o.Target]++
		}
	}
	if open["t"] > 1 || open["u"] > 1 || total["u"] > 1 {
		t.Fatalf("open orders %v, all orders %v", open, total)
	}
}

func checkSnapshot(t *rapid.T, f *authorizer.Fold) {
	state, err := f.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	g := &authorizer.Fold{}
	if err := g.Restore(state); err != nil {
		t.Fatal(err)
	}
	if g.Next() != f.Next() || !proto.Equal(g.Lease(scope), f.Lease(scope)) || len(g.Orders()) != len(f.Orders()) {
		t.Fatal("restored state differs")
	}
}

func FuzzApply(f *testing.F) {
	data, _ := proto.Marshal(intent("1", "t", 1, true))
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := &recorder.Record{}
		if proto.Unmarshal(data, r) != nil {
			return
		}
		fold(claim("a", 0), r, r)
	})
}
