package prober_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/prober"
)

// network has targets of which some accept no connection.
type network struct {
	mu    sync.Mutex
	size  int
	cut   func(address string) bool
	dials int
	// toOthers counts the connections to targets that accept them.
	toOthers int
	changes  int
}

func (n *network) addresses() (list []string) {
	for i := range n.size {
		list = append(list, fmt.Sprint("target-", i))
	}
	return list
}

func (n *network) connect(ctx context.Context, address string) (reached, tried bool) {
	n.mu.Lock()
	n.dials++
	cut := n.cut != nil && n.cut(address)
	if !cut {
		n.toOthers++
	}
	n.mu.Unlock()
	if cut {
		<-ctx.Done()
		return false, true
	}
	time.Sleep(3 * time.Millisecond)
	return true, true
}

func (n *network) set(cut func(address string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *network) down(p *prober.Prober) (down int) {
	for _, a := range n.addresses() {
		if p.Down(a) {
			down++
		}
	}
	return down
}

// run calls f with a prober of a network of the given size.
func run(t *testing.T, size int, f func(t *testing.T, n *network, p *prober.Prober)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{size: size}
		p := &prober.Prober{Addresses: n.addresses, Connect: n.connect, OnChange: func() { n.mu.Lock(); n.changes++; n.mu.Unlock() }, Logger: zap.NewNop()}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { p.Run(ctx); close(done) }()
		f(t, n, p)
		cancel()
		<-done
		time.Sleep(time.Second)
	})
}

func everything(string) bool { return true }

// TestCutIsKnownWithinTwoSeconds guards against an instance that goes on trying targets after it was cut off, and against one that
// does not return to them.
func TestCutIsKnownWithinTwoSeconds(t *testing.T) {
	for _, size := range []int{1, 4, 13, 25} {
		run(t, size, func(t *testing.T, n *network, p *prober.Prober) {
			n.set(everything)
			p.Failed("target-0")
			time.Sleep(2 * time.Second)
			quicktest.Check(t, n.down(p), quicktest.Equals, size)
			n.set(nil)
			time.Sleep(time.Second)
			quicktest.Check(t, n.down(p), quicktest.Equals, 0, quicktest.Commentf("of %d", size))
		})
	}
}

// TestHungAttemptEnds guards against attempts that wait until their deadline on a connection of an instance that was cut off.
func TestHungAttemptEnds(t *testing.T) {
	run(t, 4, func(t *testing.T, n *network, p *prober.Prober) {
		n.set(everything)
		ended := make(chan time.Time, 100)
		start := time.Now()
		defer p.Begin("target-1", func() { ended <- time.Now() })()
		quicktest.Check(t, (<-ended).Sub(start) < 1500*time.Millisecond, quicktest.IsTrue)
	})
}

// TestSlowTargetIsNotCutOff guards against ending attempts at targets that are silent for a while but sound, or that go on answering
// on open connections while new ones are refused.
func TestSlowTargetIsNotCutOff(t *testing.T) {
	run(t, 4, func(t *testing.T, n *network, p *prober.Prober) {
		slow := p.Begin("target-1", func() { t.Error("the slow attempt was ended") })
		time.Sleep(4 * time.Second)
		quicktest.Check(t, n.down(p), quicktest.Equals, 0)
		quicktest.Check(t, n.dials < 12, quicktest.IsTrue, quicktest.Commentf("%d connections", n.dials))
		slow()

		n.set(everything)
		defer p.Begin("target-2", func() { t.Error("the attempt that goes on was ended") })()
		p.Failed("target-2")
		for range 20 {
			time.Sleep(200 * time.Millisecond)
			p.Answered("target-2")
		}
		quicktest.Check(t, p.Down("target-2"), quicktest.IsTrue)
	})
}

// TestLossOfAZoneProbesFewTargets guards against a large fleet that probes all its targets whenever a part of them is lost.
func TestLossOfAZoneProbesFewTargets(t *testing.T) {
	run(t, 720, func(t *testing.T, n *network, p *prober.Prober) {
		inZone := func(a string) bool { return len(a) > 0 && (a[len(a)-1] == '7') }
		n.set(inZone)
		lost := 0
		for _, a := range n.addresses() {
			if inZone(a) {
				p.Failed(a)
				lost++
			}
		}
		time.Sleep(2 * time.Second)
		quicktest.Check(t, n.down(p), quicktest.Equals, lost)
		quicktest.Check(t, n.toOthers < n.size-lost, quicktest.IsTrue, quicktest.Commentf("%d probes of other targets", n.toOthers))
		n.set(everything)
		p.Failed("target-0")
		time.Sleep(2 * time.Second)
		quicktest.Check(t, n.down(p) > 360, quicktest.IsTrue, quicktest.Commentf("%d of 720 are known", n.down(p)))
	})
}

// TestPartialAndFlappingCuts guards against taking the loss of some targets for that of all, and against a state that stays behind
// a cut that comes and goes.
func TestPartialAndFlappingCuts(t *testing.T) {
	run(t, 12, func(t *testing.T, n *network, p *prober.Prober) {
		n.set(func(a string) bool { return a == "target-0" || a == "target-1" })
		p.Failed("target-0")
		p.Failed("target-1")
		time.Sleep(3 * time.Second)
		quicktest.Check(t, n.down(p), quicktest.Equals, 2)
		for range 5 {
			n.set(everything)
			p.Failed("target-5")
			time.Sleep(2 * time.Second)
			quicktest.Check(t, n.down(p), quicktest.Equals, 12)
			n.set(nil)
			time.Sleep(1100 * time.Millisecond)
			quicktest.Check(t, n.down(p), quicktest.Equals, 0)
		}
		p.Retain(nil)
		quicktest.Check(t, n.down(p), quicktest.Equals, 0)
	})
}

// TestProbesOfACutDoNotGrowWithTheTargets guards against RECOVER in a large fleet: an instance that was cut off spent its processor share on
// probes of all targets, and fell behind its other work.
func TestProbesOfACutDoNotGrowWithTheTargets(t *testing.T) {
	for _, size := range []int{25, 280, 720} {
		run(t, size, func(t *testing.T, n *network, p *prober.Prober) {
			n.set(everything)
			p.Failed("target-0")
			time.Sleep(6 * time.Second)
			quicktest.Check(t, n.down(p), quicktest.Equals, size)
			before := p.Probes()
			time.Sleep(10 * time.Second)
			quicktest.Check(t, p.Probes()-before <= 210, quicktest.IsTrue, quicktest.Commentf("%d probes of %d targets in ten seconds", p.Probes()-before, size))
			n.set(nil)
			time.Sleep(3 * time.Second)
			quicktest.Check(t, n.down(p), quicktest.Equals, 0, quicktest.Commentf("of %d", size))
		})
	}
}

// TestBeginningOfACutProbesASample guards against an instance with hundreds of targets that falls behind as a cut begins, because it probes all
// of them at once.
func TestBeginningOfACutProbesASample(t *testing.T) {
	for _, size := range []int{280, 720} {
		run(t, size, func(t *testing.T, n *network, p *prober.Prober) {
			n.set(everything)
			p.Failed("target-0")
			time.Sleep(1500 * time.Millisecond)
			quicktest.Check(t, n.down(p), quicktest.Equals, size)
			quicktest.Check(t, p.Probes() <= 80, quicktest.IsTrue, quicktest.Commentf("%d probes of %d targets", p.Probes(), size))

			// The few that can be reached all the same are found.
			reachable := func(a string) bool { return a == "target-11" || a == "target-222" }
			n.set(func(a string) bool { return !reachable(a) })
			time.Sleep(40 * time.Second)
			quicktest.Check(t, n.down(p), quicktest.Equals, size-2)
			n.set(nil)
			time.Sleep(3 * time.Second)
			quicktest.Check(t, n.down(p), quicktest.Equals, 0)
		})
	}
	// Those of a tenth that were presumed to be down, because none was in the sample, are found too.
	run(t, 280, func(t *testing.T, n *network, p *prober.Prober) {
		tenth := func(a string) bool { return a[len(a)-1] == '7' }
		n.set(func(a string) bool { return !tenth(a) })
		p.Failed("target-0")
		time.Sleep(20 * time.Second)
		quicktest.Check(t, n.down(p), quicktest.Equals, 252)
	})
}
