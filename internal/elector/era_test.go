package elector_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// returns is a fleet of electors whose log comes back from older copies, and whose instances restart.
type returns struct {
	log      *log
	schedule *rand.Rand
	start    time.Time
	group    sync.WaitGroup
	electors []*elector.Elector
	views    []view
	cancels  []context.CancelFunc
	// usedBy holds the process that used each fencing number, and reported the figures of each reported window.
	usedBy   map[identifier.Fence]string
	reported map[int64]elector.Figures
	last     identifier.Fence
	// silent is set if the instances do not exchange the closed windows.
	silent bool
}

// returnWindow is the length of a usage window, and a window is closed a window's length after its end at the earliest.
const returnWindow = 1500 * time.Millisecond

func (r *returns) window(ago time.Duration) int64 {
	return int64((time.Since(r.start) - ago) / returnWindow)
}

// startElector starts the elector of an instance in a new process.
func (r *returns) startElector(i int) {
	process := fmt.Sprintf("entry-%d/%d", i, r.schedule.Uint32())
	rate := 1 + 0.02*float64(i-1)
	ctx, cancel := context.WithCancel(context.Background())
	r.views[i] = view{r.log, fmt.Sprint("entry-", i), new(identifier.Era)}
	e := &elector.Elector{
		Holder: process, Log: r.views[i], Lease: lease, Logger: zap.NewNop(),
		Now:      func() time.Duration { return time.Duration(float64(time.Since(r.start)+time.Second) * rate) },
		Eligible: func(expiredFor time.Duration) bool { return expiredFor > time.Duration(i)*700*time.Millisecond },
		Window:   r.window,
	}
	r.electors[i], r.cancels[i] = e, cancel
	r.group.Go(func() { e.Run(ctx) })
}

// disturb rewinds the log or restarts an instance, sometimes both at once.
func (r *returns) disturb() {
	restart := r.schedule.Float64() < 0.01
	if r.schedule.Float64() < 0.01 {
		r.log.rewind(r.schedule.IntN(8))
		restart = restart || r.schedule.Float64() < 0.5
	}
	if restart {
		i := r.schedule.IntN(len(r.electors))
		r.cancels[i]()
		r.startElector(i)
	}
	if r.schedule.Float64() < 0.02 {
		r.log.mu.Lock()
		name := fmt.Sprint("entry-", r.schedule.IntN(len(r.electors)))
		r.log.disconnected[name] = !r.log.disconnected[name]
		r.log.mu.Unlock()
	}
}

// gossip exchanges heads, remembered windows and eras between all instances.
func (r *returns) gossip() {
	for i, from := range r.electors {
		head, read := from.Head()
		for j, to := range r.electors {
			if i == j {
				continue
			}
			if !r.silent {
				for window, figures := range from.Remembered() {
					to.Remember(window, figures)
				}
			}
			r.views[j].answered(r.views[i].Era())
			if read {
				to.ReceiveHead(head)
			}
		}
	}
}

// report closes and reports a window as the holder. It returns a violation or "".
func (r *returns) report(e *elector.Elector, window int64, fence identifier.Fence) string {
	figures, known := e.Remembered()[window]
	if _, closed := e.Closed()[window]; !closed {
		if !known {
			if window < e.CompleteFrom() {
				return ""
			}
			figures = elector.Figures{"team": uint64(r.schedule.IntN(1000))}
		}
		if e.Close(context.Background(), window, figures) != nil {
			return ""
		}
		if figures, known = e.Remembered()[window]; !known {
			return ""
		}
	}
	r.gossip()
	if held, err := e.Authority(); err != nil || held != fence {
		return ""
	}
	if old, ok := r.reported[window]; ok && !maps.Equal(old, figures) {
		return fmt.Sprintf("window %d reported with %v and %v", window, old, figures)
	}
	r.reported[window] = figures
	return ""
}

// check returns the violations that the current holders show.
func (r *returns) check() (violations []string) {
	holders := 0
	for _, e := range r.electors {
		fence, err := e.Authority()
		if err != nil {
			continue
		}
		holders++
		if by, used := r.usedBy[fence]; used && by != e.Holder {
			violations = append(violations, fmt.Sprintf("fence %d used by %s and %s", fence, by, e.Holder))
		}
		r.usedBy[fence] = e.Holder
		if fence < r.last {
			violations = append(violations, fmt.Sprintf("fence %d after %d", fence, r.last))
		}
		r.last = max(r.last, fence)
		if r.schedule.Float64() < 0.3 {
			if v := r.report(e, r.window(0)-2-int64(r.schedule.IntN(6)), fence); v != "" {
				violations = append(violations, v)
			}
		}
	}
	if holders > 1 {
		violations = append(violations, fmt.Sprintf("%d holders", holders))
	}
	return violations
}

// runReturns runs the random schedule of a seed for half a minute. It returns the violations, the number of claims and
// the number of eras.
func runReturns(t *testing.T, seed uint64, faultRate float64, silent bool) (violations []string, claims int, eras identifier.Era) {
	synctest.Test(t, func(*testing.T) {
		r := &returns{
			log:      &log{rng: rand.New(rand.NewPCG(seed, 1)), faultRate: faultRate, disconnected: map[string]bool{}},
			schedule: rand.New(rand.NewPCG(seed, 2)), start: time.Now(), electors: make([]*elector.Elector, 3), views: make([]view, 3),
			cancels: make([]context.CancelFunc, 3), usedBy: map[identifier.Fence]string{}, reported: map[int64]elector.Figures{}, silent: silent,
		}
		for i := range r.electors {
			r.startElector(i)
		}
		for range 600 {
			time.Sleep(50 * time.Millisecond)
			r.disturb()
			r.gossip()
			violations = append(violations, r.check()...)
		}
		for _, cancel := range r.cancels {
			cancel()
		}
		r.group.Wait()
		time.Sleep(5 * time.Second)
		claims, eras = len(r.usedBy), r.log.era
	})
	return violations, claims, eras
}

// TestReturnsFromOlderCopies loses acknowledged records, restarts instances, delays calls and loses answers. It guards
// against fencing numbers that two processes use or that fall, two holders at a time, and a usage window that is
// reported with two different figures, also if no instance tells another one which windows are closed.
func TestReturnsFromOlderCopies(t *testing.T) {
	claims, eras := 0, identifier.Era(0)
	for i := range *schedulesFlag {
		seed := *seedFlag + uint64(i)
		violations, c, e := runReturns(t, seed, 0.02+0.2*float64(i%10)/10, i%2 == 0)
		if len(violations) > 0 {
			t.Fatalf("seed %d: %v", seed, violations[0])
		}
		claims, eras = claims+c, eras+e
	}
	quicktest.Check(t, claims >= *schedulesFlag && int(eras) >= *schedulesFlag, quicktest.IsTrue, quicktest.Commentf("%d claims, %d eras", claims, eras))
}

// TestClaimFollowsAReturn checks that service resumes: the first claim of the new era comes within the lease, its drift
// allowance and the recovery bound of the users' sites.
func TestClaimFollowsAReturn(t *testing.T) {
	const recoveryBound = 12 * time.Second
	synctest.Test(t, func(t *testing.T) {
		l := &log{rng: rand.New(rand.NewPCG(1, 1)), disconnected: map[string]bool{}}
		start := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		e := &elector.Elector{
			Holder: "entry", Log: view{l, "entry", new(identifier.Era)}, Lease: lease, Logger: zap.NewNop(),
			Now: func() time.Duration { return time.Since(start) + time.Minute }, Eligible: func(time.Duration) bool { return true },
		}
		done := make(chan struct{})
		go func() { defer close(done); e.Run(ctx) }()
		time.Sleep(10 * time.Second)
		before, err := e.Authority()
		quicktest.Assert(t, err, quicktest.IsNil)
		for _, lost := range []int{3, 1000} {
			l.rewind(lost)
			time.Sleep(recoveryBound)
			after, err := e.Authority()
			quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%d records lost", lost))
			quicktest.Check(t, after > before, quicktest.IsTrue, quicktest.Commentf("fence %d after %d", after, before))
			before = after
		}
		cancel()
		<-done
	})
}

// TestFenceFitsJSON checks that fencing numbers of all eras are integers that JSON numbers hold exactly.
func TestFenceFitsJSON(t *testing.T) {
	highest := identifier.FenceAt(identifier.Position{Era: identifier.MaximumEra, Offset: 1<<32 - 2})
	quicktest.Check(t, highest < 1<<53, quicktest.IsTrue)
	quicktest.Check(t, identifier.FenceAt(identifier.Position{Offset: 5}), quicktest.Equals, identifier.Fence(6))
}
