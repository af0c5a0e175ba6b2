package pinner_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/pinner"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// fleet carries datagrams between pinners, with a delay and losses.
type fleet struct {
	members []*member
	mu      sync.Mutex
	r       *rand.Rand
	// loss is the share of datagrams that is lost.
	loss float64
}

type member struct {
	*pinner.Pinner
	fleet *fleet
	peer  pinner.Peer
	// down members neither send nor receive; dead ones are not listed as peers either.
	down, dead bool
}

func newFleet(n int, loss float64) *fleet {
	f := &fleet{loss: loss, r: rand.New(rand.NewPCG(1, 2))}
	for i := range n {
		m := &member{fleet: f, peer: pinner.Peer{ID: fmt.Sprintf("front-%d", i), Address: fmt.Sprint(i)}}
		m.Pinner = &pinner.Pinner{Self: m.peer.ID, Peers: m.others, Network: m, Logger: zap.NewNop()}
		f.members = append(f.members, m)
	}
	return f
}

func (m *member) others() []pinner.Peer {
	var list []pinner.Peer
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	for _, o := range m.fleet.members {
		if o != m && !o.dead {
			list = append(list, o.peer)
		}
	}
	return list
}

func (m *member) setDead(dead bool) {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	m.dead = dead
}

func (m *member) Send(address string, data []byte) error {
	var to int
	fmt.Sscan(address, &to)
	o := m.fleet.members[to]
	m.fleet.mu.Lock()
	lost := m.down || o.down || o.dead || m.fleet.r.Float64() < m.fleet.loss
	m.fleet.mu.Unlock()
	if lost {
		return nil
	}
	time.AfterFunc(time.Millisecond, func() { o.Receive(m.peer.Address, data) })
	return nil
}

var v1, v2 = pinner.Pin{Service: "s", Build: "v1"}, pinner.Pin{Service: "s", Build: "v2"}

// TestPinsOutliveTheInstanceThatBeganTheStream guards against streams that nobody can go on with once the instance that began them,
// and others with it, are lost.
func TestPinsOutliveTheInstanceThatBeganTheStream(t *testing.T) {
	for _, size := range []int{2, 6, 40, 295} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(size, 0.1)
			found, streams := 0, 200
			for i := range streams {
				k := pinner.KeyOf("team", identifier.RequestID(fmt.Sprint(i)))
				origin := f.members[i%size]
				pin := []pinner.Pin{v1, v2}[i%2]
				quicktest.Check(t, origin.Announce(context.Background(), k, pin), quicktest.IsTrue)
				origin.setDead(true)
				got, err := f.members[(i+1)%size].Find(context.Background(), k)
				origin.setDead(false)
				if err == nil {
					quicktest.Check(t, got, quicktest.Equals, pin)
					found++
				}
			}
			quicktest.Check(t, found, quicktest.Equals, streams, quicktest.Commentf("%d instances", size))
		})
	}
}

// TestUnknownStreamIsReportedSoon guards against requests that wait for instances that are cut off, and against guesses.
func TestUnknownStreamIsReportedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, 0)
		k := pinner.KeyOf("team", "x")
		start := time.Now()
		_, err := f.members[0].Find(context.Background(), k)
		quicktest.Check(t, err, quicktest.ErrorIs, pinner.ErrUnknown)
		quicktest.Check(t, time.Since(start) < 10*time.Millisecond, quicktest.IsTrue)

		// An instance that is cut off goes on with what it began, and with nothing else; nobody waits long for it.
		f.members[0].down = true
		start = time.Now()
		quicktest.Check(t, f.members[0].Announce(context.Background(), k, v1), quicktest.IsFalse)
		quicktest.Check(t, time.Since(start) < 100*time.Millisecond, quicktest.IsTrue)
		got, err := f.members[0].Find(context.Background(), k)
		quicktest.Check(t, fmt.Sprint(got, err), quicktest.Equals, fmt.Sprint(v1, nil))
		start = time.Now()
		_, err = f.members[1].Find(context.Background(), k)
		quicktest.Check(t, err, quicktest.ErrorIs, pinner.ErrUnknown)
		quicktest.Check(t, time.Since(start) <= 200*time.Millisecond, quicktest.IsTrue)
	})
}

// TestReusedIDIsAmbiguous guards against going on at the wrong one of two streams that began under the same ID.
func TestReusedIDIsAmbiguous(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(6, 0)
		k := pinner.KeyOf("team", "twice")
		f.members[0].Announce(context.Background(), k, v1)
		f.members[1].Announce(context.Background(), k, v2)
		time.Sleep(time.Second)
		for _, m := range f.members[2:] {
			_, err := m.Find(context.Background(), k)
			quicktest.Check(t, err, quicktest.ErrorIs, pinner.ErrAmbiguous)
		}
		quicktest.Check(t, pinner.KeyOf("other", "twice"), quicktest.Not(quicktest.Equals), k)
	})
}

// TestMemoryIsBounded guards against memory that grows with the streams of a day.
func TestMemoryIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, 0)
		m := f.members[0]
		first := pinner.KeyOf("team", "first")
		m.Announce(context.Background(), first, v1)
		for i := range 40_000 {
			m.Announce(context.Background(), pinner.Key(i), v1)
		}
		_, err := m.Find(context.Background(), first)
		quicktest.Check(t, err, quicktest.ErrorIs, pinner.ErrUnknown)
		last := pinner.Key(39_999)
		_, err = m.Find(context.Background(), last)
		quicktest.Check(t, err, quicktest.IsNil)
		time.Sleep(2 * time.Minute)
		_, err = m.Find(context.Background(), last)
		quicktest.Check(t, err, quicktest.ErrorIs, pinner.ErrUnknown)
	})
}

func TestUnreadableDatagramsAreIgnored(t *testing.T) {
	f := newFleet(2, 0)
	for _, data := range [][]byte{nil, {0xff}, make([]byte, 100)} {
		f.members[0].Receive("1", data)
	}
}

// TestSoleBuild guards against taking the only build that is listed for the one at which an unknown stream began.
func TestSoleBuild(t *testing.T) {
	const within = 9 * time.Second
	start := time.Now()
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	s, completeFrom := &pinner.Sightings{}, 60
	sole := func(seconds int) string {
		for i := range 60 {
			if i <= seconds {
				s.Saw(v1, at(i))
			}
			if i <= seconds && i >= completeFrom {
				s.Complete(at(i))
			}
		}
		build, ok := s.Sole("s", within, at(seconds))
		return fmt.Sprint(build, ok)
	}
	quicktest.Check(t, sole(1), quicktest.Equals, "false", quicktest.Commentf("nothing is covered"))
	completeFrom = 0
	quicktest.Check(t, sole(5), quicktest.Equals, "false", quicktest.Commentf("a build before the start is not known"))
	quicktest.Check(t, sole(9), quicktest.Equals, "v1true")
	s.Saw(v2, at(12))
	quicktest.Check(t, sole(20), quicktest.Equals, "false", quicktest.Commentf("the other build was listed 8 s ago"))
	quicktest.Check(t, sole(22), quicktest.Equals, "v1true")
	s.Saw(pinner.Pin{Service: "other", Build: "v7"}, at(22))
	quicktest.Check(t, sole(22), quicktest.Equals, "v1true")
	// A peer knows what was before the start of this instance.
	s.Cover(at(-20), at(-1))
	quicktest.Check(t, s.Span(at(22)), quicktest.Equals, 22*time.Second, quicktest.Commentf("a second between the peer's knowledge and the first list"))
	s.Cover(at(-20), at(0))
	quicktest.Check(t, s.Span(at(22)), quicktest.Equals, 42*time.Second)
	// What came and went while no list arrived is not known.
	quicktest.Check(t, s.Span(at(26)), quicktest.Equals, time.Duration(0))
	s.Complete(at(26))
	quicktest.Check(t, s.Span(at(27)), quicktest.Equals, time.Second)
}

// BenchmarkStream measures all that one stream costs in a fleet of 390 instances: the announcement, its four copies and their
// confirmations. It reports the bytes of the datagrams.
func BenchmarkStream(b *testing.B) {
	f := newFleet(390, 0)
	peers := f.members[0].others()
	var sent int
	for _, m := range f.members {
		m.Pinner.Peers = func() []pinner.Peer { return slices.Clone(peers) }
		m.Pinner.Network = directNetwork{m, &sent}
	}
	b.ResetTimer()
	for i := range b.N {
		f.members[0].Announce(context.Background(), pinner.Key(i), v1)
	}
	b.ReportMetric(float64(sent)/float64(b.N), "bytes/stream")
}

// directNetwork delivers datagrams at once.
type directNetwork struct {
	from *member
	sent *int
}

func (n directNetwork) Send(address string, data []byte) error {
	var to int
	fmt.Sscan(address, &to)
	*n.sent += len(data)
	n.from.fleet.members[to].Receive(n.from.peer.Address, data)
	return nil
}
