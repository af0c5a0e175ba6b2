package elector_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/internal/reporter"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	windowLength = 5 * time.Second
	reportDelay  = 10 * time.Second
)

// earlierBuild is the log as an instance of an earlier build writes it: no record tells which closes its writer knows.
type earlierBuild struct{ view }

func (b earlierBuild) Append(ctx context.Context, end identifier.Offset, record []byte) error {
	var d elector.Duty
	if err := proto.Unmarshal(record, &d); err != nil {
		return err
	}
	if c := d.GetClaim(); c != nil {
		c.CompleteFrom = nil
	}
	if r := d.GetRenewal(); r != nil {
		r.CompleteFrom = nil
	}
	record, err := proto.Marshal(&d)
	if err != nil {
		return err
	}
	return b.view.Append(ctx, end, record)
}

// usageFleet is two instances that report usage windows. Each counts other requests, and they exchange only the head of the log, as
// instances do that are no hubs.
type usageFleet struct {
	log       *log
	group     sync.WaitGroup
	electors  [2]*elector.Elector
	views     [2]view
	cancels   [2]context.CancelFunc
	mu        sync.Mutex
	reports   map[int64][]elector.Figures
	withheld  int
	reporters [2]int
}

// start starts an instance in a new process.
func (f *usageFleet) start(i int, build func(v view) elector.Log) {
	if f.cancels[i] != nil {
		f.cancels[i]()
	}
	ctx, cancel := context.WithCancel(context.Background())
	began := time.Now()
	f.views[i] = view{f.log, fmt.Sprint("entry-", i), new(identifier.Era)}
	e := &elector.Elector{
		Holder: fmt.Sprint("entry-", i), Log: build(f.views[i]), Lease: lease, Logger: zap.NewNop(),
		Now:      func() time.Duration { return time.Since(began) + time.Second },
		Eligible: func(expiredFor time.Duration) bool { return expiredFor > time.Duration(i)*700*time.Millisecond },
		Window:   func(ago time.Duration) int64 { return time.Now().Add(-ago).UnixMilli() / windowLength.Milliseconds() },
	}
	w := &reporter.WindowReporter{
		DutyLease: e, Platform: usageOf{f, i}, Length: windowLength, MaximumDelay: reportDelay, Now: time.Now, Logger: zap.NewNop(),
		Total:      func(int64) map[identifier.TeamID]uint64 { return map[identifier.TeamID]uint64{"team": uint64(i + 1)} },
		OnWithheld: func() { f.mu.Lock(); defer f.mu.Unlock(); f.withheld++ },
	}
	f.electors[i], f.cancels[i] = e, cancel
	f.group.Go(func() { e.Run(ctx) })
	f.group.Go(func() { w.Run(ctx) })
}

// usageOf accepts the reports of one instance.
type usageOf struct {
	*usageFleet
	instance int
}

func (u usageOf) ReportUsage(_ context.Context, _ identifier.Fence, window int64, figures elector.Figures) error {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.reports[window] = append(u.reports[window], figures)
	u.reporters[u.instance]++
	return nil
}

// run lets time pass while the instances exchange the head of the log, and read the store's era with other answers.
func (f *usageFleet) run(d time.Duration) {
	for range int(d / (100 * time.Millisecond)) {
		time.Sleep(100 * time.Millisecond)
		for i, from := range f.electors {
			f.views[i].answered(f.views[i].currentEra())
			if head, read := from.Head(); read {
				f.electors[1-i].ReceiveHead(head)
			}
		}
	}
}

// runUntilReport runs until a window has just been reported.
func (f *usageFleet) runUntilReport() {
	count := func() int { f.mu.Lock(); defer f.mu.Unlock(); return len(f.reports) }
	for before := count(); count() == before; {
		f.run(100 * time.Millisecond)
	}
}

// runUsageFleet starts the instances, the first of which takes the lease, and runs f in virtual time.
func runUsageFleet(t *testing.T, first func(v view) elector.Log, f func(f *usageFleet)) *usageFleet {
	fleet := &usageFleet{reports: map[int64][]elector.Figures{}}
	synctest.Test(t, func(*testing.T) {
		fleet.log = &log{rng: rand.New(rand.NewPCG(1, 1)), disconnected: map[string]bool{}}
		fleet.start(0, first)
		time.Sleep(time.Second) // An empty log has no holder to wait for.
		fleet.start(1, present)
		fleet.run(20 * time.Second)
		fleet.runUntilReport()
		f(fleet)
		for _, cancel := range fleet.cancels {
			cancel()
		}
		fleet.group.Wait()
	})
	return fleet
}

// check checks that no window was reported with different figures, and returns the number of windows between the first and the last
// reported one that were not reported.
func (f *usageFleet) check(t *testing.T) (missing int) {
	first, last := int64(0), int64(0)
	for window, reports := range f.reports {
		for _, figures := range reports {
			quicktest.Check(t, figures, quicktest.DeepEquals, reports[0], quicktest.Commentf("window %d", window))
		}
		if first == 0 || window < first {
			first = window
		}
		last = max(last, window)
	}
	return int(last-first) + 1 - len(f.reports)
}

func present(v view) elector.Log { return v }

// TestWindowsClosedInALostLogAreNotClosedAnew guards against a second report of a usage window with other figures: the store comes back
// without the close of the window, its holder is lost, and the next holder has never heard of it.
func TestWindowsClosedInALostLogAreNotClosedAnew(t *testing.T) {
	for name, first := range map[string]func(v view) elector.Log{
		"present build": present, "holder of an earlier build": func(v view) elector.Log { return earlierBuild{v} },
	} {
		t.Run(name, func(t *testing.T) {
			f := runUsageFleet(t, first, func(f *usageFleet) {
				f.cancels[0]()
				f.log.rewind(len(f.log.records) - 1)
				f.run(40 * time.Second)
			})
			missing := f.check(t)
			quicktest.Check(t, f.reporters[1] >= 4, quicktest.IsTrue, quicktest.Commentf("the next holder reports %d windows", f.reporters[1]))
			// The last report was right after its window was due, and reports come 10 s after the end of a window at the latest.
			quicktest.Check(t, missing <= 2 && f.withheld > 0, quicktest.IsTrue, quicktest.Commentf("%d missing, %d withheld", missing, f.withheld))
		})
	}
}

// TestHolderKeepsItsReportsOverAReturn guards against windows that a holder leaves out although it knows that nobody has closed them: it
// held the lease when the store came back.
func TestHolderKeepsItsReportsOverAReturn(t *testing.T) {
	f := runUsageFleet(t, present, func(f *usageFleet) {
		f.log.rewind(len(f.log.records) - 1)
		f.run(40 * time.Second)
	})
	quicktest.Check(t, f.check(t), quicktest.Equals, 0)
	quicktest.Check(t, f.withheld, quicktest.Equals, 0)
}

// TestTakeOverAfterAReturnKeepsItsReports guards against windows that the next holder leaves out long after the store came back, although
// the log says which closes it holds. The next holder may have just started.
func TestTakeOverAfterAReturnKeepsItsReports(t *testing.T) {
	for name, restart := range map[string]bool{"of a running instance": false, "of a started instance": true} {
		t.Run(name, func(t *testing.T) {
			f := runUsageFleet(t, present, func(f *usageFleet) {
				f.log.rewind(len(f.log.records) - 1)
				f.run(30 * time.Second)
				f.runUntilReport()
				f.cancels[0]()
				if restart {
					f.start(1, present)
				}
				f.run(40 * time.Second)
			})
			quicktest.Check(t, f.check(t), quicktest.Equals, 0)
			quicktest.Check(t, f.withheld, quicktest.Equals, 0)
			quicktest.Check(t, f.reporters[1] >= 4, quicktest.IsTrue)
		})
	}
}

// TestLogOfAnEarlierBuildTellsNoCloses guards against a next holder that takes the log for complete although the holder before it, of an
// earlier build, knew nothing of the windows that were closed before the store came back.
func TestLogOfAnEarlierBuildTellsNoCloses(t *testing.T) {
	f := runUsageFleet(t, func(v view) elector.Log { return earlierBuild{v} }, func(f *usageFleet) {
		f.log.rewind(len(f.log.records) - 1)
		f.run(5 * time.Second)
		now := time.Now().UnixMilli() / windowLength.Milliseconds()
		f.start(1, present)
		f.run(time.Second)
		quicktest.Check(t, f.electors[1].CompleteFrom() >= now, quicktest.IsTrue)
	})
	f.check(t)
}
