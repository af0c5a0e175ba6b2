package journaler_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/coltsfootscale/coltsfootscale/internal/journaler"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

func dispatch(id, key string) *recorder.Record {
	return &recorder.Record{ID: id, Body: &recorder.Record_Dispatch{Dispatch: &recorder.Dispatch{Key: key}}}
}

func result(dispatchID, key string, released bool) *recorder.Record {
	r := &recorder.Result{Key: key, DispatchID: dispatchID, Status: 200, Released: released}
	return &recorder.Record{Body: &recorder.Record_Result{Result: r}}
}

// TestOneSenderPerKey checks that a request is sent at most once when processes dispatch, send, give up and release its
// key in any order, with late and repeated appends. A process sends only if it reads back that its dispatch won, and
// never after it gave up.
func TestOneSenderPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &journaler.Fold{}
		offset, sends := identifier.Offset(0), 0
		var late []*recorder.Record
		apply := func(r *recorder.Record) {
			f.Apply(offset, r)
			offset++
		}
		for i := range rapid.IntRange(1, 30).Draw(t, "steps") {
			if len(late) > 0 && rapid.Bool().Draw(t, "late") {
				apply(rapid.SampledFrom(late).Draw(t, "record"))
				continue
			}
			id := fmt.Sprint(i)
			d := dispatch(id, "k")
			late = append(late, d)
			if rapid.Bool().Draw(t, "gives up") {
				// The dispatch may still be appended at any time; its writer never sends.
				late = append(late, result(id, "k", true))
				continue
			}
			apply(d)
			if e := f.Entry("k"); e != nil && e.DispatchID == id {
				sends++
				late = append(late, result(id, "k", false))
			}
		}
		if sends > 1 {
			t.Fatalf("request sent %d times", sends)
		}
	})
}

func TestReleaseOfAnotherDispatchHasNoEffect(t *testing.T) {
	f := &journaler.Fold{}
	f.Apply(0, dispatch("1", "k"))
	f.Apply(1, result("2", "k", true))
	quicktest.Check(t, f.Entry("k").DispatchID, quicktest.Equals, "1")
	f.Apply(2, result("1", "k", true))
	quicktest.Check(t, f.Entry("k"), quicktest.IsNil)
}

func TestKeysExpireByOffsetAfterRestore(t *testing.T) {
	f := &journaler.Fold{}
	f.Apply(0, dispatch("1", "k"))
	f.Apply(1, dispatch("2", "l"))
	state, err := f.Snapshot()
	quicktest.Assert(t, err, quicktest.IsNil)
	restored := &journaler.Fold{}
	quicktest.Assert(t, restored.Restore(state), quicktest.IsNil)
	for _, fold := range []*journaler.Fold{f, restored} {
		fold.Apply(journaler.RetentionOffsets, &recorder.Record{})
		quicktest.Check(t, fold.Entry("k"), quicktest.IsNil)
		quicktest.Check(t, fold.Entry("l"), quicktest.IsNotNil)
	}
}

func FuzzApply(f *testing.F) {
	data, _ := proto.Marshal(result("1", "k", true))
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := &recorder.Record{}
		if proto.Unmarshal(data, r) != nil {
			return
		}
		fold := &journaler.Fold{}
		fold.Apply(0, r)
		fold.Apply(1, dispatch("1", "k"))
		fold.Apply(2, r)
	})
}
