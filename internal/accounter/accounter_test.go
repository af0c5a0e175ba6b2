package accounter_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"github.com/coltsfootscale/coltsfootscale/internal/accounter"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

func record(d *recorder.UsageDelta) *recorder.Record {
	d = proto.Clone(d).(*recorder.UsageDelta)
	return &recorder.Record{Body: &recorder.Record_UsageDelta{UsageDelta: d}}
}

func windowClose(window uint64) *recorder.Record {
	return &recorder.Record{Body: &recorder.Record_WindowClose{WindowClose: &recorder.WindowClose{Window: window}}}
}

func requests(n int64) *recorder.TeamUsage { return &recorder.TeamUsage{Team: "t", Requests: n} }

func total(f *accounter.Fold) int64 {
	sum := int64(0)
	for _, u := range f.Totals() {
		sum += u.Requests
	}
	for _, w := range f.Unreported() {
		for _, u := range w.Teams {
			sum += u.Requests
		}
	}
	return sum
}

// TestUsageCountsOnce checks that each request is counted exactly once when an origin and two mirrors append its usage in
// any order, late and repeatedly.
func TestUsageCountsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &accounter.Fold{}
		l := &accounter.Ledger{Origin: "o"}
		mirrors := []*accounter.Mirror{{}, {}}
		offset, added := identifier.Offset(0), int64(0)
		var sent []*recorder.UsageDelta
		apply := func(r *recorder.Record) {
			f.Apply(offset, r)
			offset++
		}
		send := func(d *recorder.UsageDelta) {
			sent = append(sent, d)
			if rapid.Bool().Draw(t, "append now") {
				apply(record(d))
			}
		}
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			m := rapid.SampledFrom(mirrors).Draw(t, "mirror")
			d, version := l.Unlogged()
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				l.Add(requests(1))
				added++
			case 2:
				if d != nil {
					m.Hold(d)
					l.Acknowledge(version)
				}
			case 3:
				if d != nil {
					send(d)
				}
				l.SetCounted(f.Counted("o"))
			case 4:
				for _, due := range m.Overdue(0, f.Counted) {
					send(due)
				}
			case 5:
				if len(sent) > 0 {
					apply(record(rapid.SampledFrom(sent).Draw(t, "late copy")))
				}
			case 6:
				apply(windowClose(f.Window()))
			}
		}
		l.SetCounted(f.Counted("o"))
		if d, _ := l.Unlogged(); d != nil {
			apply(record(d))
		}
		if total(f) != added {
			t.Fatalf("counted %d requests of %d", total(f), added)
		}
	})
}

// TestMirrorReplacesLostOrigin checks that usage mirrored before its origin was lost counts exactly once, even if the
// copy is appended several times.
func TestMirrorReplacesLostOrigin(t *testing.T) {
	f := &accounter.Fold{}
	l := &accounter.Ledger{Origin: "o"}
	m := &accounter.Mirror{}
	l.Add(requests(3))
	first, _ := l.Unlogged()
	l.Add(requests(4))
	mirrored, _ := l.Unlogged()
	m.Hold(mirrored)
	quicktest.Check(t, m.Overdue(time.Hour, f.Counted), quicktest.HasLen, 0)
	f.Apply(0, record(first))
	for offset := identifier.Offset(1); offset < 4; offset++ {
		for _, d := range m.Overdue(0, f.Counted) {
			f.Apply(offset, record(d))
		}
	}
	quicktest.Check(t, total(f), quicktest.Equals, int64(7))
}

func TestWindowClosesOnceAndKeepsItsTotals(t *testing.T) {
	f := &accounter.Fold{}
	f.Apply(0, record(&recorder.UsageDelta{Origin: "o", Teams: []*recorder.TeamUsage{requests(2)}}))
	f.Apply(1, windowClose(0))
	f.Apply(2, record(&recorder.UsageDelta{Origin: "o", Teams: []*recorder.TeamUsage{requests(7)}}))
	f.Apply(3, windowClose(0))
	quicktest.Check(t, f.Window(), quicktest.Equals, uint64(1))
	quicktest.Check(t, f.Closed(0).Teams[0].Requests, quicktest.Equals, int64(2))
	quicktest.Check(t, f.Totals()[0].Requests, quicktest.Equals, int64(5))
}

func FuzzApply(f *testing.F) {
	data, _ := proto.Marshal(record(&recorder.UsageDelta{Origin: "o", Teams: []*recorder.TeamUsage{requests(2)}}))
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := &recorder.Record{}
		if proto.Unmarshal(data, r) != nil {
			return
		}
		fold := &accounter.Fold{}
		fold.Apply(0, r)
		fold.Apply(1, windowClose(0))
		fold.Apply(2, r)
	})
}
