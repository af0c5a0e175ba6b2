package committer_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/committer"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// slowLog is an Appender with a fixed latency per append, like the platform's log.
type slowLog struct {
	latency time.Duration
	err     error
}

func (l slowLog) Append(ctx context.Context, _ ...*recorder.Record) (identifier.Offset, error) {
	timer := time.NewTimer(l.latency)
	defer timer.Stop()
	select {
	case <-timer.C:
		return 0, l.err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}

// groupCommit commits perSecond records a second for ten seconds. It returns the appends and confirmed records per
// second and percentiles of the latency.
func groupCommit(t *testing.T, batch, perSecond int, latency time.Duration) (appends, records float64, p50, p95 time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := committer.New(slowLog{latency: latency}, batch)
		var wg, waiters sync.WaitGroup
		wg.Go(func() { c.Run(ctx) })
		var mu sync.Mutex
		var latencies []time.Duration
		const seconds = 10
		for range perSecond * seconds {
			time.Sleep(time.Second / time.Duration(perSecond))
			waiters.Go(func() {
				commitCtx, cancelCommit := context.WithTimeout(ctx, 1500*time.Millisecond)
				defer cancelCommit()
				started := time.Now()
				if c.Commit(commitCtx, &recorder.Record{}) == nil {
					mu.Lock()
					latencies = append(latencies, time.Since(started))
					mu.Unlock()
				}
			})
		}
		waiters.Wait()
		cancel()
		wg.Wait()
		slices.Sort(latencies)
		a, _ := c.Counts()
		appends, records = float64(a)/seconds, float64(len(latencies))/seconds
		p50, p95 = latencies[len(latencies)/2], latencies[len(latencies)*95/100]
	})
	return appends, records, p50, p95
}

// TestGroupCommit logs appends per second and commit latency by load and batch size, in virtual time. With the largest
// batch, only one append may run at a time and the 95th percentile of the latency must stay within three times the
// latency of an append.
func TestGroupCommit(t *testing.T) {
	const latency = 10 * time.Millisecond
	for _, perSecond := range []int{21, 300, 2000} {
		for _, batch := range []int{1, 4, 16, 64, 256} {
			appends, records, p50, p95 := groupCommit(t, batch, perSecond, latency)
			t.Logf("offered %5d/s, batch %3d: %6.1f appends/s, %7.1f records/s, p50 %s, p95 %s", perSecond, batch, appends, records, p50, p95)
			if batch == 256 {
				quicktest.Check(t, appends <= 101, quicktest.IsTrue, quicktest.Commentf("more than one append at a time"))
				quicktest.Check(t, p95 <= 3*latency, quicktest.IsTrue, quicktest.Commentf("offered %d/s: p95 %s", perSecond, p95))
			}
		}
	}
}

func TestFullQueueReturnsErrFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		c := committer.New(slowLog{latency: time.Hour}, 1)
		refused := 0
		var waiters sync.WaitGroup
		for range 5000 {
			waiters.Go(func() {
				if errors.Is(c.Commit(ctx, &recorder.Record{}), committer.ErrFull) {
					refused++
				}
			})
			synctest.Wait()
		}
		quicktest.Check(t, refused, quicktest.Equals, 5000-4096)
		cancel()
		waiters.Wait()
	})
}

func TestAppendErrorReachesEveryCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		appendErr := errors.New("broken")
		c := committer.New(slowLog{latency: time.Second, err: appendErr}, 0)
		var wg, waiters sync.WaitGroup
		wg.Go(func() { c.Run(ctx) })
		for i := range 20 {
			waiters.Go(func() {
				quicktest.Check(t, c.Commit(ctx, &recorder.Record{}), quicktest.ErrorIs, appendErr, quicktest.Commentf(fmt.Sprint(i)))
			})
		}
		waiters.Wait()
		cancel()
		wg.Wait()
		quicktest.Check(t, c.Commit(context.Background(), &recorder.Record{}), quicktest.ErrorIs, committer.ErrUnconfirmed, quicktest.Commentf("after Run ended"))
	})
}
