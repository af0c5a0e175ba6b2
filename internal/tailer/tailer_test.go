package tailer_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/journaler"
	"github.com/coltsfootscale/coltsfootscale/internal/provider"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/tailer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// faultyLog is an in-memory log; fail decides whether the n-th append takes effect and which error it returns.
type faultyLog struct {
	mu      sync.Mutex
	first   int
	records [][]byte
	appends int
	down    bool
	fail    func(n int) (takesEffect bool, err error)
}

func (l *faultyLog) Append(_ context.Context, _ identifier.StreamID, records [][]byte) (identifier.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	takesEffect, err := true, error(nil)
	if l.fail != nil {
		takesEffect, err = l.fail(l.appends)
	}
	if takesEffect {
		l.records = append(l.records, records...)
	}
	return identifier.Offset(l.first + len(l.records) - len(records)), err
}

func (l *faultyLog) Read(_ context.Context, _ identifier.StreamID, from identifier.Offset, _ time.Duration) (provider.Page, error) {
	time.Sleep(10 * time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return provider.Page{}, provider.ErrUnavailable
	}
	if from == provider.OldestOffset {
		from = identifier.Offset(l.first)
	}
	if int(from) < l.first {
		return provider.Page{}, provider.ErrTruncated
	}
	page := provider.Page{First: identifier.Offset(l.first), Offset: from, End: identifier.Offset(l.first + len(l.records))}
	page.Records = append(page.Records, l.records[int(from)-l.first:]...)
	return page, nil
}

func dispatch(id, key string) *recorder.Record {
	return &recorder.Record{ID: id, Body: &recorder.Record_Dispatch{Dispatch: &recorder.Dispatch{Key: key}}}
}

// runTailer runs a Tailer on a log while f runs.
func runTailer(t *testing.T, log *faultyLog, f func(t *testing.T, tl *tailer.Tailer, fold *journaler.Fold)) {
	synctest.Test(t, func(t *testing.T) {
		fold := &journaler.Fold{}
		tl := &tailer.Tailer{Stream: "Journal", Log: log, Fold: fold, Writer: "w"}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { tl.Run(ctx) })
		f(t, tl, fold)
		cancel()
		wg.Wait()
	})
}

func TestAppendConfirmsByReadBack(t *testing.T) {
	lost := errors.New("response lost")
	for name, tc := range map[string]struct {
		fail    func(n int) (bool, error)
		want    error
		copies  int
		appends int
	}{
		"answered":                    {nil, nil, 1, 1},
		"took effect, response lost":  {func(int) (bool, error) { return true, lost }, nil, 1, 1},
		"no effect at first":          {func(n int) (bool, error) { return n > 2, lost }, nil, 1, 3},
		"refused":                     {func(int) (bool, error) { return false, provider.ErrRefused }, provider.ErrRefused, 0, 1},
		"no effect until the timeout": {func(int) (bool, error) { return false, lost }, tailer.ErrUnconfirmed, 0, 0},
		"refused, but took effect":    {func(int) (bool, error) { return true, provider.ErrRefused }, nil, 1, 1},
		"answered without effect":     {func(n int) (bool, error) { return n > 1, nil }, nil, 1, 2},
	} {
		log := &faultyLog{fail: tc.fail}
		runTailer(t, log, func(t *testing.T, tl *tailer.Tailer, fold *journaler.Fold) {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			_, err := tl.Append(ctx, dispatch("1", "k"))
			quicktest.Check(t, errors.Is(err, tc.want), quicktest.IsTrue, quicktest.Commentf("%s: %v", name, err))
			quicktest.Check(t, len(log.records), quicktest.Equals, tc.copies, quicktest.Commentf(name))
			if tc.appends > 0 {
				quicktest.Check(t, log.appends, quicktest.Equals, tc.appends, quicktest.Commentf(name))
			}
			known := false
			tl.Query(func() { known = fold.Entry("k") != nil })
			quicktest.Check(t, known, quicktest.Equals, tc.copies > 0, quicktest.Commentf(name))
		})
	}
}

func TestFreshAtStopsDuringOutage(t *testing.T) {
	log := &faultyLog{}
	runTailer(t, log, func(t *testing.T, tl *tailer.Tailer, _ *journaler.Fold) {
		time.Sleep(time.Second)
		quicktest.Check(t, time.Since(tl.FreshAt()) < 100*time.Millisecond, quicktest.IsTrue)
		quicktest.Check(t, tl.Reachable() && tl.CaughtUp() && tl.ReadFromLog(), quicktest.IsTrue)
		log.mu.Lock()
		log.down = true
		log.mu.Unlock()
		time.Sleep(5 * time.Second)
		quicktest.Check(t, time.Since(tl.FreshAt()) > 4*time.Second, quicktest.IsTrue)
		quicktest.Check(t, tl.Reachable(), quicktest.IsFalse)
		tl.ConfirmFresh(tl.Next(), time.Now())
		quicktest.Check(t, time.Since(tl.FreshAt()), quicktest.Equals, time.Duration(0))
		tl.ConfirmFresh(tl.Next()+1, time.Now().Add(time.Second))
		quicktest.Check(t, time.Since(tl.FreshAt()), quicktest.Equals, time.Duration(0), quicktest.Commentf("a peer at another offset does not confirm freshness"))
	})
}

func TestTruncatedStream(t *testing.T) {
	records := [][]byte{}
	for _, id := range []string{"1", "2", "3"} {
		data, err := proto.Marshal(dispatch(id, "k"+id))
		quicktest.Assert(t, err, quicktest.IsNil)
		records = append(records, data)
	}
	earlier := &journaler.Fold{}
	earlier.Apply(0, dispatch("0", "k0"))
	earlier.Apply(1, dispatch("1", "k1"))
	state, err := earlier.Snapshot()
	quicktest.Assert(t, err, quicktest.IsNil)
	checkpoint, err := proto.Marshal(&recorder.Record{ID: "c", Body: &recorder.Record_Checkpoint{Checkpoint: &recorder.Checkpoint{Next: 2, State: state}}})
	quicktest.Assert(t, err, quicktest.IsNil)

	// Offset 0 has expired. Offsets 1 to 3 are dispatches, of which the second cannot be decoded. The checkpoint covers
	// the records before offset 2.
	log := &faultyLog{first: 1, records: [][]byte{records[0], {0xff}, records[2], checkpoint}}
	runTailer(t, log, func(t *testing.T, tl *tailer.Tailer, fold *journaler.Fold) {
		time.Sleep(time.Second)
		quicktest.Check(t, tl.Next(), quicktest.Equals, identifier.Offset(5))
		for key, known := range map[string]bool{"k0": true, "k1": true, "k2": false, "k3": true} {
			quicktest.Check(t, fold.Entry(key) != nil, quicktest.Equals, known, quicktest.Commentf(key))
		}
	})
	withoutCheckpoint := &faultyLog{first: 1, records: records}
	runTailer(t, withoutCheckpoint, func(t *testing.T, tl *tailer.Tailer, _ *journaler.Fold) {
		time.Sleep(time.Second)
		quicktest.Check(t, tl.CaughtUp(), quicktest.IsFalse, quicktest.Commentf("the state cannot be complete without a checkpoint"))
	})
}
