package coordinator_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/coordinator"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
)

// TestStreamsTakenUpLateInLongDeadlines guards against ORDER: a stream that was taken up after the targets of its build had left, later
// than one and a half timeouts but within the client's deadline, went on at the build that was left.
func TestStreamsTakenUpLateInLongDeadlines(t *testing.T) {
	const (
		timeout, deadline = 3 * time.Second, 6 * time.Second
		leaves            = 70 * time.Second // Long after the first minute.
	)
	start := time.Now()
	began, peer := &coordinator.Builds{}, &coordinator.Builds{}
	for at := time.Duration(0); at <= leaves+time.Minute; at += 100 * time.Millisecond {
		now := start.Add(at)
		list := coordinator.BuildList{AsOf: now, Pins: []pinner.Pin{{Service: "s", Build: "v2"}}}
		if at < leaves {
			list.Pins = append(list.Pins, pinner.Pin{Service: "s", Build: "v1"})
			began.SawDeadline(deadline, now)
		}
		contact := coordinator.Contact{Alive: 2, Running: 2}
		for _, b := range []*coordinator.Builds{began, peer} {
			b.SetLongestTimeout(timeout, now)
			b.Record(list, contact, now)
		}
		m := &gossiper.Beat{}
		began.Compose(m, &gossiper.Beat{}, now)
		peer.Apply(m, now, now)
		if at < leaves {
			continue
		}
		for name, b := range map[string]*coordinator.Builds{"began": began, "peer": peer} {
			_, err := b.Sole("s", list, contact, now, now)
			if at < leaves+deadline {
				quicktest.Check(t, err, quicktest.ErrorIs, coordinator.ErrSeveralBuilds, quicktest.Commentf("%s, %v after", name, at-leaves))
			}
			if at > leaves+2*deadline {
				quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf("%s, %v after", name, at-leaves))
			}
		}
	}
}

// TestRecordOfStreamsIsLoweredLate guards against ORDER after a restart of all instances: an instance lowered the record of the longest time of
// streams that a peer had just raised.
func TestRecordOfStreamsIsLoweredLate(t *testing.T) {
	const recorded = 20 * time.Second
	r := &coordinator.StreamRecorder{}
	r.Read(recorded)
	all, some := coordinator.Contact{Alive: 3, Running: 3}, coordinator.Contact{Alive: 2, Running: 3}
	for name, tc := range map[string]struct {
		longest, differsFor time.Duration
		rank                int
		contact             coordinator.Contact
		want                bool
	}{
		"higher":                      {recorded + time.Second, 0, 0, some, true},
		"higher, of a later rank":     {recorded + time.Second, time.Second, 3, all, false},
		"lower":                       {recorded - time.Second, 10 * time.Second, 0, all, false},
		"lower for a minute":          {recorded - time.Second, time.Minute, 0, all, true},
		"lower, a peer may know more": {recorded - time.Second, time.Hour, 0, some, false},
		"the same":                    {recorded, time.Hour, 0, all, false},
	} {
		quicktest.Check(t, r.Due(tc.longest, tc.differsFor, tc.rank, tc.contact), quicktest.Equals, tc.want, quicktest.Commentf(name))
	}
}

// TestStreamThatBeginsWhileTheRecordIsLowered guards against ORDER after a restart of all instances: a stream began under the record that was about to be
// replaced by a lower one.
func TestStreamThatBeginsWhileTheRecordIsLowered(t *testing.T) {
	const low, high = 4 * time.Second, 20 * time.Second
	var stored atomic.Int64
	lowering, lowered := make(chan struct{}), make(chan error, 1)
	r := &coordinator.StreamRecorder{Put: func(longest time.Duration) error {
		if longest == low {
			close(lowering)
			time.Sleep(20 * time.Millisecond)
		}
		stored.Store(int64(longest))
		return nil
	}}
	r.Read(high)
	go func() { lowered <- r.Write(low) }()
	<-lowering
	r.Cover(context.Background(), high)
	quicktest.Check(t, <-lowered, quicktest.IsNil)
	quicktest.Check(t, time.Duration(stored.Load()), quicktest.Equals, high)
	quicktest.Check(t, r.Recorded(), quicktest.Equals, high)
}

// TestStoreThatIsAwayDelaysFewStreams guards against streams that wait for the record each by itself, and against a call to the store for each,
// while the store is away.
func TestStoreThatIsAwayDelaysFewStreams(t *testing.T) {
	const streams, maximumWait = 100, 150 * time.Millisecond
	for name, put := range map[string]func(){"silent": func() { time.Sleep(time.Second) }, "refusing": func() {}} {
		var calls atomic.Int64
		r := &coordinator.StreamRecorder{Put: func(time.Duration) error { calls.Add(1); put(); return errors.New("store is away") }}
		start := time.Now()
		for range streams {
			r.Cover(context.Background(), 20*time.Second)
		}
		quicktest.Check(t, time.Since(start) < maximumWait, quicktest.IsTrue, quicktest.Commentf("%s: %v", name, time.Since(start)))
		quicktest.Check(t, calls.Load(), quicktest.Equals, int64(1), quicktest.Commentf(name))
	}
	// What a process assumes without a record needs none.
	r := &coordinator.StreamRecorder{Put: func(time.Duration) error { t.Error("written in vain"); return nil }}
	r.Cover(context.Background(), 6*time.Second)
}

// TestStreamsLongerThanAMinute guards against ORDER: what is known of streams was forgotten after a minute, and a stream under a
// longer timeout went on at the build that was left.
func TestStreamsLongerThanAMinute(t *testing.T) {
	const leaves = 5 * time.Minute
	for name, tc := range map[string]struct{ timeout, later time.Duration }{
		"timeout of 45 s":            {45 * time.Second, 45 * time.Second},
		"timeout of 90 s":            {90 * time.Second, 90 * time.Second},
		"timeout of 90 s, shortened": {90 * time.Second, 4 * time.Second},
	} {
		start := time.Now()
		began, peer := &coordinator.Builds{}, &coordinator.Builds{}
		for at := time.Duration(0); at <= leaves+3*time.Minute; at += 500 * time.Millisecond {
			now, timeout := start.Add(at), tc.timeout
			if at >= leaves {
				timeout = tc.later
			}
			list := coordinator.BuildList{AsOf: now, Pins: []pinner.Pin{{Service: "s", Build: "v2"}}}
			if at < leaves {
				list.Pins = append(list.Pins, pinner.Pin{Service: "s", Build: "v1"})
			}
			contact := coordinator.Contact{Alive: 2, Running: 2}
			for _, b := range []*coordinator.Builds{began, peer} {
				b.SetLongestTimeout(timeout, now)
				b.Record(list, contact, now)
			}
			m := &gossiper.Beat{}
			began.Compose(m, &gossiper.Beat{}, now)
			peer.Apply(m, now, now)
			for side, b := range map[string]*coordinator.Builds{"began": began, "peer": peer} {
				_, err := b.Sole("s", list, contact, now, now)
				if at >= leaves && at < leaves+tc.timeout {
					quicktest.Check(t, err, quicktest.ErrorIs, coordinator.ErrSeveralBuilds, quicktest.Commentf("%s, %s, %v after", name, side, at-leaves))
				}
				if at > leaves+2*tc.timeout {
					quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf("%s, %s, %v after", name, side, at-leaves))
				}
			}
		}
	}
}
