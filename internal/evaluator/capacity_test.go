package evaluator_test

import (
	"flag"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/accounter"
	"github.com/coltsfootscale/coltsfootscale/internal/configurator"
	"github.com/coltsfootscale/coltsfootscale/internal/journaler"
	"github.com/coltsfootscale/coltsfootscale/internal/limiter"
	"github.com/coltsfootscale/coltsfootscale/internal/messenger"
	"github.com/coltsfootscale/coltsfootscale/internal/placer"
	"github.com/coltsfootscale/coltsfootscale/internal/recorder"
	"github.com/coltsfootscale/coltsfootscale/internal/router"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

var capacity = flag.Bool("capacity", false, "measure the costs listed in docs/CAPACITY.md")

// slope is a cost measured at several sizes, with its least-squares line. atSize is the size for which the line
// predicts the cost.
type slope struct {
	name   string
	unit   string
	sizes  []float64
	costs  []float64
	atSize float64
}

// fit returns the intercept and slope of the least-squares line, and the largest relative error of a point.
func (s *slope) fit() (intercept, perUnit, worstError float64) {
	n := float64(len(s.sizes))
	var sx, sy, sxx, sxy float64
	for i, x := range s.sizes {
		y := s.costs[i]
		sx, sy, sxx, sxy = sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	perUnit = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	intercept = (sy - perUnit*sx) / n
	for i, x := range s.sizes {
		if line := intercept + perUnit*x; line != 0 {
			worstError = math.Max(worstError, math.Abs(s.costs[i]-line)/math.Abs(line))
		}
	}
	return intercept, perUnit, worstError
}

// String returns the measured points, the line, its error and the predicted cost at atSize.
func (s *slope) String() string {
	a, b, worstError := s.fit()
	points := ""
	for i, x := range s.sizes {
		points += fmt.Sprintf(" %g:%.4g", x, s.costs[i])
	}
	return fmt.Sprintf("%-34s %-10s points%s | %.4g + %.4g x, off by at most %.0f %% | at %g: %.4g", s.name, s.unit, points, a, b, 100*worstError, s.atSize, a+b*s.atSize)
}

// measure returns the slope of a cost function over the given sizes.
func measure(name, unit string, atSize float64, sizes []int, cost func(n int) float64) *slope {
	s := &slope{name: name, unit: unit, atSize: atSize}
	for _, n := range sizes {
		s.sizes = append(s.sizes, float64(n))
		s.costs = append(s.costs, cost(n))
	}
	return s
}

// microsecondsPerCall returns the time of one call to f in microseconds, the best of three runs of at least 20 ms.
func microsecondsPerCall(f func()) float64 {
	best := math.Inf(1)
	for range 3 {
		calls := 0
		start := time.Now()
		for time.Since(start) < 20*time.Millisecond {
			f()
			calls++
		}
		best = min(best, float64(time.Since(start).Nanoseconds())/1000/float64(calls))
	}
	return best
}

// retainedKilobytes returns the size of the heap that f's result keeps alive.
func retainedKilobytes(f func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / 1024
}

// TestCapacity prints how the costs of the main operations grow with the size of the site. It checks nothing and
// runs only with the flag -capacity.
func TestCapacity(t *testing.T) {
	if !*capacity {
		return
	}
	targets := []int{45, 90, 180, 360, 720}
	teams := []int{80, 312, 625, 1250, 2500}
	instances := []int{6, 24, 98, 195, 390}
	for _, s := range []*slope{
		measure("Route one request, by targets", "us", 720, targets, routeCost),
		measure("Share among teams", "us", 2500, teams, shareCost),
		measure("Decide roles, by engines", "us", 720, targets, planRolesCost),
		measure("Decode a heartbeat, by teams", "us", 2500, teams, func(n int) float64 { return microsecondsPerCall(func() { decodeHeartbeat(marshaledHeartbeat(n)) }) }),
		measure("Bytes of a heartbeat, by teams", "bytes", 2500, teams, func(n int) float64 { return float64(len(marshaledHeartbeat(n))) }),
		measure("Apply a publish, by teams", "us", 2500, teams, func(n int) float64 { return publishCost(n, 100) }),
		measure("Apply a publish, by targets", "us", 720, targets, func(n int) float64 { return publishCost(100, n) }),
		measure("Bytes of a publish, by targets", "bytes", 720, targets, func(n int) float64 { return float64(proto.Size(newPublish(100, n))) }),
		measure("Bytes of a publish, by teams", "bytes", 2500, teams, func(n int) float64 { return float64(proto.Size(newPublish(n, 100))) }),
		measure("Configuration in memory, by teams", "KB", 2500, teams, func(n int) float64 { return configMemory(n, 100) }),
		measure("Configuration in memory, by targets", "KB", 720, targets, func(n int) float64 { return configMemory(100, n) }),
		measure("Apply one journal record, by keys", "us", 200000, []int{12500, 25000, 50000, 100000}, journalCost),
		measure("Journal in memory, by keys", "KB", 200000, []int{12500, 25000, 50000, 100000}, journalMemory),
		measure("Apply a usage delta, by teams in it", "us", 2500, teams, usageCost),
		measure("Bytes of a usage delta, by teams", "bytes", 2500, teams, func(n int) float64 { return float64(proto.Size(newUsageDelta("o", n))) }),
		measure("Exchange heartbeats, by peers", "us", 389, []int{2, 4, 8, 16, 32}, exchangeCost),
		measure("Read a page of the log, by records", "us", 1000, []int{10, 50, 100, 500, 1000}, logPageCost),
		measure("Bytes of a journal record", "bytes", 200000, []int{12500, 25000, 50000, 100000}, func(n int) float64 { return float64(proto.Size(newDispatch(n))) }),
		measure("Usage in memory, by origins of 50 teams", "KB", 390, instances, usageMemory),
	} {
		t.Log(s)
	}
}

func routeCost(n int) float64 {
	candidates := make([]router.Candidate, n)
	for i := range candidates {
		candidates[i] = router.Candidate{
			ID: identifier.TargetID(fmt.Sprint(i)), Hash: uint64(i) * 0x9e3779b97f4a7c15, Zone: identifier.ZoneID(fmt.Sprint("zone-", i%6)),
			Usable: true, PrefillPerSecond: prefillTokensPerSecond, Slots: engineSlots, BatchLimit: engineSlots,
		}
	}
	req := &router.Request{Zone: "zone-1", PromptTokens: 4000, Parts: []uint64{1, 2}}
	now := time.Now()
	return microsecondsPerCall(func() {
		req.Random++
		router.Choose(now, req, candidates)
	})
}

func shareCost(n int) float64 {
	demands := make([]limiter.Demand, n)
	for i := range demands {
		demands[i] = limiter.Demand{Wanted: float64(i % 13), Weight: float64(1 + i%3)}
	}
	return microsecondsPerCall(func() { limiter.Share(float64(n), demands) })
}

func planRolesCost(n int) float64 {
	s := placer.RoleInput{Short: placer.Demand{Prompt: float64(n) * 60, Output: float64(n) * 10}, SinceChange: time.Hour}
	s.Long = s.Short
	for i := range n {
		s.Engines = append(s.Engines, placer.Engine{ID: identifier.TargetID(fmt.Sprint(i)), Zone: identifier.ZoneID(fmt.Sprint(i % 6)), Orderable: true, PrefillPerSecond: 100, DecodePerSecond: 100})
	}
	return microsecondsPerCall(func() { placer.PlanRoles(s) })
}

// marshaledHeartbeat returns a serialized heartbeat with the rates of n teams.
func marshaledHeartbeat(n int) []byte {
	heartbeat := &messenger.Heartbeat{Instance: "entry-100", Incarnation: "5c1b4f0e-9f54-0a8a-4c7c-2d110b9d7c1e", ConfigNext: 1 << 20, FreshAgeMilliseconds: 300, Voting: true}
	for i := range n {
		heartbeat.Rates = append(heartbeat.Rates, &messenger.TeamRate{Team: fmt.Sprint("team-", i), Model: "menu-7b", PromptTokensPerSecond: 1.5, OutputTokensPerSecond: 2.5})
	}
	data, _ := proto.Marshal(heartbeat)
	return data
}

func decodeHeartbeat(data []byte) { proto.Unmarshal(data, &messenger.Heartbeat{}) }

func newPublish(teams, targets int) *recorder.Record {
	inv, rules := &recorder.Inventory{}, &recorder.Rules{Promise: &recorder.Promise{}}
	for i := range teams {
		id := fmt.Sprint("team-", i)
		inv.Teams = append(inv.Teams, &recorder.Team{ID: id, Partner: "hanbit"})
		rules.Teams = append(rules.Teams, &recorder.TeamRule{Team: id, Priority: 3, CostShare: 0.1})
	}
	for i := range targets {
		inv.Targets = append(inv.Targets, &recorder.Target{
			ID: fmt.Sprint("engine-", i), Address: "10.20.30.40:8000", Zone: "seoul-a", Model: "menu-7b", ChecksFence: true,
			PricePerHour: 2, PrefillTokensPerSecond: prefillTokensPerSecond, DecodeTokensPerSecond: 40, Slots: engineSlots,
		})
	}
	return &recorder.Record{ID: "r", Body: &recorder.Record_Publish{Publish: &recorder.Publish{Inventory: inv, Rules: rules}}}
}

// newConfiguration returns a configuration with one key for each team.
func newConfiguration(teams, targets int) *configurator.Fold {
	f := &configurator.Fold{}
	f.Apply(0, newPublish(teams, targets))
	for i := range teams {
		k := &recorder.Key{ID: fmt.Sprint("key-", i), Hash: string(identifier.HashKey(fmt.Sprint(i))), Team: fmt.Sprint("team-", i)}
		f.Apply(identifier.Offset(i+1), &recorder.Record{ID: k.ID, Body: &recorder.Record_KeyGrant{KeyGrant: &recorder.KeyGrant{Key: k}}})
	}
	return f
}

// publishCost returns the time in microseconds to decode and fold a publish record and to build the view, which each
// instance does for each configuration change.
func publishCost(teams, targets int) float64 {
	f := newConfiguration(teams, targets)
	data, _ := proto.Marshal(newPublish(teams, targets))
	return microsecondsPerCall(func() {
		r := &recorder.Record{}
		proto.Unmarshal(data, r)
		f.Apply(f.Next(), r)
		configurator.NewView(f.State())
	})
}

func configMemory(teams, targets int) float64 {
	return retainedKilobytes(func() any {
		f := newConfiguration(teams, targets)
		return []any{f, configurator.NewView(f.State())}
	})
}

func newDispatch(i int) *recorder.Record {
	d := &recorder.Dispatch{Key: fmt.Sprintf("team-%d/key-%d", i%2500, i), Digest: string(identifier.HashKey("x"))}
	return &recorder.Record{ID: fmt.Sprintf("5c1b4f0e-9f54-0a8a-4c7c-%012d", i), Writer: "entry-100/5c1b4f0e", Body: &recorder.Record_Dispatch{Dispatch: d}}
}

func newJournal(keys int) *journaler.Fold {
	f := &journaler.Fold{}
	for i := range keys {
		f.Apply(identifier.Offset(i), newDispatch(i))
	}
	return f
}

func journalCost(keys int) float64 {
	f := newJournal(keys)
	i := keys
	data := make([][]byte, 1000)
	for n := range data {
		data[n], _ = proto.Marshal(newDispatch(keys + n))
	}
	return microsecondsPerCall(func() {
		r := &recorder.Record{}
		proto.Unmarshal(data[i%1000], r)
		f.Apply(identifier.Offset(i), r)
		i++
	})
}

func journalMemory(keys int) float64 {
	return retainedKilobytes(func() any { return newJournal(keys) })
}

func newUsageDelta(origin string, teams int) *recorder.UsageDelta {
	d := &recorder.UsageDelta{Origin: origin}
	for i := range teams {
		d.Teams = append(d.Teams, &recorder.TeamUsage{Team: fmt.Sprint("team-", i), Requests: 100, PromptTokens: 300000, OutputTokens: 15000})
	}
	return d
}

func usageCost(teams int) float64 {
	f := &accounter.Fold{}
	data, _ := proto.Marshal(&recorder.Record{Body: &recorder.Record_UsageDelta{UsageDelta: newUsageDelta("o", teams)}})
	return microsecondsPerCall(func() {
		r := &recorder.Record{}
		proto.Unmarshal(data, r)
		f.Apply(f.Next(), r)
	})
}

func usageMemory(origins int) float64 {
	return retainedKilobytes(func() any {
		f := &accounter.Fold{}
		for i := range origins {
			d := newUsageDelta(fmt.Sprintf("entry-%d/5c1b4f0e-9f54-0a8a-4c7c-2d110b9d7c1e", i), 50)
			f.Apply(identifier.Offset(i), &recorder.Record{Body: &recorder.Record_UsageDelta{UsageDelta: d}})
		}
		return f
	})
}
