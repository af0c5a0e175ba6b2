package elector_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const lease = 3 * time.Second

var (
	seedFlag      = flag.Uint64("elector.seed", 1, "first seed of the random schedules")
	schedulesFlag = flag.Int("elector.schedules", 300, "number of random schedules")
)

// log is the store's log with lost responses, delayed calls and outages.
type log struct {
	mu           sync.Mutex
	records      [][]byte
	rng          *rand.Rand
	faultRate    float64
	disconnected map[string]bool
	era          identifier.Era
}

// rewind lets the store come back from a copy that lacks the newest records.
func (l *log) rewind(lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = slices.Clone(l.records[:max(0, len(l.records)-lost)])
	l.era++
}

var errLost = errors.New("response lost")

// view is one instance's access to the log.
type view struct {
	*log
	name string
	// known is the highest era in an answer that the instance has received.
	known *identifier.Era
}

func (v view) Era() identifier.Era {
	v.mu.Lock()
	defer v.mu.Unlock()
	return *v.known
}

// answered takes the era of an answer. It reports whether the answer counts.
func (v view) answered(era identifier.Era) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	current := era >= *v.known
	*v.known = max(*v.known, era)
	return current
}

func (v view) currentEra() identifier.Era {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.log.era
}

// roll draws the fault of one call: 2 if the instance is disconnected, and below 1 with the probability faultRate.
func (v view) roll() float64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.disconnected[v.name] {
		return 2
	}
	return v.rng.Float64() / max(v.faultRate, 1e-9)
}

func (v view) apply(end identifier.Offset, record []byte) error {
	v.mu.Lock()
	defer v.mu.Unlock()
	if int(end) != len(v.records) {
		return elector.ErrLogAdvanced
	}
	v.records = append(v.records, record)
	return nil
}

func (v view) Append(ctx context.Context, end identifier.Offset, record []byte) error {
	time.Sleep(4 * time.Millisecond)
	switch r := v.roll(); {
	case r == 2:
		<-ctx.Done()
		return errLost
	case r < 0.25:
		v.answered(v.currentEra())
		return elector.ErrRefused
	case r < 0.5:
		if err := v.apply(end, record); err != nil {
			return err
		}
		<-ctx.Done()
		return errLost
	case r < 0.75:
		go func() {
			time.Sleep(4 * time.Second)
			v.apply(end, record)
		}()
		<-ctx.Done()
		return errLost
	case r < 1:
		time.Sleep(700 * time.Millisecond)
	}
	era := v.currentEra()
	err := v.apply(end, record)
	if time.Sleep(4 * time.Millisecond); !v.answered(era) {
		return errLost
	}
	return err
}

func (v view) Read(ctx context.Context, from identifier.Offset) ([][]byte, identifier.Offset, error) {
	time.Sleep(4 * time.Millisecond)
	if r := v.roll(); r == 2 || r < 0.3 {
		<-ctx.Done()
		return nil, 0, errLost
	}
	era := v.currentEra()
	v.mu.Lock()
	records, end := v.records, identifier.Offset(len(v.records))
	v.mu.Unlock()
	if time.Sleep(4 * time.Millisecond); !v.answered(era) || from > end {
		return nil, 0, errLost
	}
	return records[from:], end, nil
}

// disconnector disconnects instances from the log, or connects them again, before a step of a schedule.
type disconnector func(l *log, step int, schedule *rand.Rand)

// disconnectAtRandom toggles a random instance in one of 50 steps.
func disconnectAtRandom(l *log, _ int, schedule *rand.Rand) {
	if schedule.Float64() >= 0.02 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	name := fmt.Sprint("entry-", schedule.IntN(3))
	l.disconnected[name] = !l.disconnected[name]
}

// disconnectSlowHolder lets the instance with the slowest clock claim first, and disconnects it for good at a step.
func disconnectSlowHolder(at int) disconnector {
	return func(l *log, step int, _ *rand.Rand) {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.disconnected["entry-0"] = step >= at
		l.disconnected["entry-1"], l.disconnected["entry-2"] = step < 40, step < 40
	}
}

// contend runs three electors under the schedule of a seed, with clock rates that differ by the fraction drift. It returns the
// violated invariants and the number of claims.
func contend(t *testing.T, seed uint64, faultRate float64, drift float64, disconnect disconnector) (violations []string, claims int) {
	synctest.Test(t, func(t *testing.T) {
		l := &log{rng: rand.New(rand.NewPCG(seed, 1)), faultRate: faultRate, disconnected: map[string]bool{}}
		schedule := rand.New(rand.NewPCG(seed, 2))
		start := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		var electors []*elector.Elector
		disconnect(l, 0, schedule)
		for i := range 3 {
			name := fmt.Sprint("entry-", i)
			rate := 1 + drift*float64(i-1)
			e := &elector.Elector{
				Holder: name, Log: view{l, name, new(identifier.Era)}, Lease: lease, Logger: zap.NewNop(),
				Now:      func() time.Duration { return time.Duration(float64(time.Since(start)+time.Second) * rate) },
				Eligible: func(expiredFor time.Duration) bool { return expiredFor > time.Duration(i)*700*time.Millisecond },
			}
			electors = append(electors, e)
			group.Go(func() { e.Run(ctx) })
		}
		var last identifier.Fence
		used := map[identifier.Fence]int{}
		for step := range 600 {
			disconnect(l, step, schedule)
			time.Sleep(50 * time.Millisecond)
			holders := 0
			for i, e := range electors {
				fence, err := e.Authority()
				if err != nil {
					continue
				}
				holders++
				if by, seen := used[fence]; seen && by != i {
					violations = append(violations, fmt.Sprintf("fence %d used by %d and %d", fence, by, i))
				}
				used[fence] = i
				if fence < last {
					violations = append(violations, fmt.Sprintf("fence %d after %d", fence, last))
				}
				last = max(last, fence)
				if schedule.Float64() < 0.05 {
					e.Close(ctx, int64(schedule.IntN(10)), elector.Figures{"team": uint64(schedule.IntN(1000))})
				}
			}
			if holders > 1 {
				violations = append(violations, fmt.Sprintf("%d holders", holders))
			}
		}
		cancel()
		group.Wait()
		// Lets calls in flight finish.
		time.Sleep(5 * time.Second)
		claims = len(used)
	})
	return violations, claims
}

// TestRandomSchedules claims, renews and closes while responses are lost, calls are delayed and instances disconnected.
// It guards against two holders at a time and against fencing numbers that decrease or that two instances use.
func TestRandomSchedules(t *testing.T) {
	total := 0
	for i := range *schedulesFlag {
		seed := *seedFlag + uint64(i)
		violations, claims := contend(t, seed, 0.02+0.3*float64(i%10)/10, 0.02, disconnectAtRandom)
		if len(violations) > 0 {
			t.Fatalf("seed %d: %v", seed, violations[0])
		}
		total += claims
	}
	quicktest.Assert(t, total >= *schedulesFlag, quicktest.IsTrue, quicktest.Commentf("%d claims in %d schedules", total, *schedulesFlag))
}

// lateLog loses the response to the first append and carries the append out just before the second one.
type lateLog struct {
	mu      sync.Mutex
	appends int
	delayed []byte
	records [][]byte
}

func (l *lateLog) Append(ctx context.Context, end identifier.Offset, record []byte) error {
	l.mu.Lock()
	l.appends++
	n := l.appends
	if n == 1 {
		l.delayed = record
	} else if n == 2 {
		l.records = append(l.records, l.delayed)
	}
	l.mu.Unlock()
	if n == 1 {
		<-ctx.Done()
		return errLost
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if int(end) != len(l.records) {
		return elector.ErrLogAdvanced
	}
	l.records = append(l.records, record)
	return nil
}

func (l *lateLog) Era() identifier.Era { return 0 }

func (l *lateLog) Read(_ context.Context, from identifier.Offset) ([][]byte, identifier.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[from:], identifier.Offset(len(l.records)), nil
}

// TestLateClaimIsNotTheNextOne delays a claim until just before the second attempt. Other instances may have seen the
// claim long before, so it must not grant a lease that counts from the second attempt. Random schedules from seed
// 100000 on found this fault.
func TestLateClaimIsNotTheNextOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		e := &elector.Elector{
			Holder: "entry", Log: &lateLog{}, Lease: lease, Logger: zap.NewNop(),
			Now: func() time.Duration { return time.Since(start) + time.Minute }, Eligible: func(time.Duration) bool { return true },
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); e.Run(ctx) }()
		for range 25 {
			time.Sleep(100 * time.Millisecond)
			_, err := e.Authority()
			quicktest.Check(t, err, quicktest.ErrorIs, elector.ErrNotHolder, quicktest.Commentf("after %s", time.Since(start)))
		}
		time.Sleep(3 * time.Second)
		_, err := e.Authority()
		quicktest.Check(t, err, quicktest.IsNil, quicktest.Commentf("its own claim, after the delayed one has expired"))
		cancel()
		<-done
	})
}

// TestDriftBeyondTheMargin checks that the schedules find two holders if clocks drift by more than the allowance, and none if they
// drift by less: a holder with a slow clock loses the log, while others with faster clocks wait for its lease to end.
func TestDriftBeyondTheMargin(t *testing.T) {
	found := 0
	for seed := range uint64(20) {
		// Others learn of a renewal when they find the lease expired, so how long they wait depends on the moment.
		disconnect := disconnectSlowHolder(100 + 4*int(seed))
		violations, _ := contend(t, seed, 0, 0.4, disconnect)
		if len(violations) > 0 {
			found++
		}
		violations, claims := contend(t, seed, 0, 0.02, disconnect)
		quicktest.Check(t, violations, quicktest.HasLen, 0, quicktest.Commentf("seed %d", seed))
		quicktest.Check(t, claims, quicktest.Equals, 2, quicktest.Commentf("seed %d: the first holder and its successor", seed))
	}
	t.Logf("%d of 20 schedules have two holders", found)
	quicktest.Check(t, found > 0, quicktest.IsTrue)
}

// TestHolderThatCannotActIsReplaced guards against duties that are not done because their holder reaches the store but no target.
func TestHolderThatCannotActIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &log{rng: rand.New(rand.NewPCG(1, 1)), disconnected: map[string]bool{}}
		start := time.Now()
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		var cutOff atomic.Bool
		var electors []*elector.Elector
		for i := range 2 {
			name := fmt.Sprint("entry-", i)
			e := &elector.Elector{
				Holder: name, Log: view{l, name, new(identifier.Era)}, Lease: lease, Logger: zap.NewNop(),
				Now:     func() time.Duration { return time.Since(start) + time.Minute },
				MayHold: func() bool { return i != 0 || !cutOff.Load() },
				Eligible: func(expiredFor time.Duration) bool {
					return (i != 0 || !cutOff.Load()) && expiredFor > time.Duration(i)*700*time.Millisecond && time.Since(start) > time.Duration(i)*time.Second
				},
			}
			electors = append(electors, e)
			group.Go(func() { e.Run(ctx) })
		}
		holds := func(i int) bool { _, err := electors[i].Authority(); return err == nil }
		time.Sleep(5 * time.Second)
		quicktest.Check(t, fmt.Sprint(holds(0), holds(1)), quicktest.Equals, "true false")
		cutOff.Store(true)
		for range 100 {
			time.Sleep(60 * time.Millisecond)
			quicktest.Check(t, holds(0) && holds(1), quicktest.IsFalse)
		}
		quicktest.Check(t, fmt.Sprint(holds(0), holds(1)), quicktest.Equals, "false true")
		cancel()
		group.Wait()
	})
}

func TestFirstFiguresStand(t *testing.T) {
	f := &elector.Fold{}
	add := func(d *elector.Duty) {
		record, err := proto.Marshal(d)
		quicktest.Assert(t, err, quicktest.IsNil)
		f.Apply(record)
	}
	claim := func(holder string) *elector.Duty {
		return &elector.Duty{Body: &elector.Duty_Claim{Claim: &elector.Claim{Holder: holder}}}
	}
	closing := func(fence uint64, n uint64) *elector.Duty {
		return &elector.Duty{Body: &elector.Duty_Close{Close: &elector.Close{Fence: fence, Window: 7, Requests: map[string]uint64{"a": n}}}}
	}
	add(claim("one"))
	add(claim("two"))
	add(closing(1, 10))
	quicktest.Assert(t, f.Closed, quicktest.HasLen, 0, quicktest.Commentf("a superseded holder closed a window"))
	add(closing(2, 20))
	add(closing(2, 30))
	quicktest.Assert(t, f.Closed[7], quicktest.DeepEquals, elector.Figures{"a": 20})
	f.Apply([]byte("not a record"))
	quicktest.Assert(t, f.Next, quicktest.Equals, identifier.Offset(6))
	quicktest.Assert(t, f.Fence, quicktest.Equals, identifier.Fence(2))
}
