package follower_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/follower"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// stream is a keyed stream in memory.
type stream struct {
	mu      sync.Mutex
	records []mirrorer.Record
	first   identifier.Offset
	calls   int
	down    bool
	era     identifier.Era
}

func (s *stream) Era() identifier.Era {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

func (s *stream) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, mirrorer.Record{Key: key, Value: []byte(value), Offset: identifier.Offset(len(s.records))})
}

// compact deletes the history; Newest still returns the newest record of each key.
func (s *stream) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.first = identifier.Offset(len(s.records))
}

func (s *stream) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *stream) Newest(context.Context) ([]mirrorer.Record, identifier.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, context.DeadlineExceeded
	}
	newest := map[string]mirrorer.Record{}
	for _, r := range s.records {
		newest[r.Key] = r
	}
	var list []mirrorer.Record
	for _, r := range newest {
		if len(r.Value) > 0 {
			list = append(list, r)
		}
	}
	return list, identifier.Offset(len(s.records)), nil
}

func (s *stream) Read(_ context.Context, from identifier.Offset, _ time.Duration) ([]mirrorer.Record, identifier.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if s.down {
		return nil, 0, context.DeadlineExceeded
	}
	if from < s.first {
		return nil, 0, follower.ErrExpired
	}
	return s.records[from:], identifier.Offset(len(s.records)), nil
}

const maximumAge = 300 * time.Millisecond

// follow runs a follower on a synthetic clock and calls f with its mirror after one second.
func follow(t *testing.T, s *stream, f func(m *mirrorer.Mirror)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		m := &mirrorer.Mirror{}
		ctx, cancel := context.WithCancel(context.Background())
		fl := &follower.Follower{Name: "Targets", Stream: s, Mirror: m, Logger: zap.NewNop(), MaximumAge: func() time.Duration { return maximumAge }}
		m.FailingFor = fl.FailingFor
		done := make(chan struct{})
		go func() { defer close(done); fl.Run(ctx) }()
		time.Sleep(time.Second)
		f(m)
		cancel()
		<-done
	})
}

func value(m *mirrorer.Mirror, key string) string {
	r, _ := m.Get(key)
	return string(r.Value)
}

func TestCompactionLosesNothing(t *testing.T) {
	s := &stream{}
	s.put("a", "1")
	s.put("gone", "1")
	follow(t, s, func(m *mirrorer.Mirror) {
		quicktest.Assert(t, value(m, "gone"), quicktest.Equals, "1")
		// After compaction the newest records alone must show both changes: a has another value, gone is missing.
		s.put("a", "2")
		s.put("gone", "")
		s.compact()
		s.mu.Lock()
		s.calls = 0
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		quicktest.Check(t, value(m, "a"), quicktest.Equals, "2")
		quicktest.Check(t, value(m, "gone"), quicktest.Equals, "")
		quicktest.Check(t, s.calls < 12, quicktest.IsTrue, quicktest.Commentf("%d calls in 2 s", s.calls))
		s.put("gone", "back")
		time.Sleep(time.Second)
		quicktest.Check(t, value(m, "gone"), quicktest.Equals, "back")
	})
}

func TestOutageLimitsCallRate(t *testing.T) {
	s := &stream{}
	s.put("a", "1")
	follow(t, s, func(m *mirrorer.Mirror) {
		s.setDown(true)
		s.mu.Lock()
		s.calls = 0
		s.mu.Unlock()
		time.Sleep(10 * time.Second)
		quicktest.Check(t, s.calls <= 25, quicktest.IsTrue, quicktest.Commentf("%d calls in 10 s", s.calls))
		s.setDown(false)
		s.put("a", "2")
		time.Sleep(time.Second)
		quicktest.Check(t, value(m, "a"), quicktest.Equals, "2")
	})
}

func TestFailedCallsAloneAreNoOutage(t *testing.T) {
	s := &stream{}
	s.put("a", "1")
	follow(t, s, func(m *mirrorer.Mirror) {
		m.OutageThreshold = 2 * time.Second
		s.setDown(true)
		time.Sleep(time.Second)
		for range 50 {
			m.Apply(0, nil, 1, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		s.setDown(false)
		s.put("a", "")
		time.Sleep(time.Second)
		quicktest.Check(t, value(m, "a"), quicktest.Equals, "")
		quicktest.Check(t, m.RecoveredAt().IsZero(), quicktest.IsTrue)
		s.setDown(true)
		time.Sleep(4 * time.Second)
		s.setDown(false)
		time.Sleep(time.Second)
		quicktest.Check(t, time.Since(m.RecoveredAt()) < 2*time.Second, quicktest.IsTrue)
	})
}

func TestFreshPeersAvoidStoreCalls(t *testing.T) {
	s := &stream{}
	s.put("a", "1")
	follow(t, s, func(m *mirrorer.Mirror) {
		s.mu.Lock()
		s.calls = 0
		s.mu.Unlock()
		for range 50 {
			m.Apply(0, nil, 1, time.Now())
			time.Sleep(100 * time.Millisecond)
		}
		quicktest.Check(t, s.calls, quicktest.Equals, 0)
	})
}

// TestWholeStreamInOneCall checks that a copy starts with one read while the store retains all records, and that it
// follows the store into a new era in which offsets are lower.
func TestWholeStreamInOneCall(t *testing.T) {
	s := &stream{}
	for i := range 200 {
		s.put(string(rune('a'+i%20)), "1")
	}
	follow(t, s, func(m *mirrorer.Mirror) {
		s.mu.Lock()
		s.calls = 0
		s.records, s.era = s.records[:20], 1
		s.records[3].Value = []byte("older")
		s.mu.Unlock()
		time.Sleep(time.Second)
		quicktest.Check(t, m.Position(), quicktest.Equals, identifier.Position{Era: 1, Offset: 20})
		quicktest.Check(t, value(m, "d")+value(m, "e"), quicktest.Equals, "older1")
		quicktest.Check(t, s.calls < 6, quicktest.IsTrue, quicktest.Commentf("%d calls", s.calls))
		s.put("d", "2")
		time.Sleep(time.Second)
		quicktest.Check(t, value(m, "d"), quicktest.Equals, "2")
	})
}
