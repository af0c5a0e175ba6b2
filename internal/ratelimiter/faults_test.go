package ratelimiter_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/ratelimiter"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

var faultSeeds = flag.Uint64("quota.seeds", 1, "number of seeds of each fault")

// TestRuleHoldsUnderFaults guards against windows in which a team that sends 7.5 times its usual traffic gets more than the rule
// allows, because two instances decide without knowing of each other, or one forgets what it admitted.
func TestRuleHoldsUnderFaults(t *testing.T) {
	everyone := func(f *fleet, g func(m *member)) {
		for _, m := range f.members {
			g(m)
		}
	}
	for name, events := range map[string]func(f *fleet){
		"quiet": func(*fleet) {},
		"keeper restarted": func(f *fleet) {
			m := f.keeper()
			m.stop()
			time.Sleep(5 * time.Second)
			m.start()
		},
		"keeper restarted at once": func(f *fleet) {
			m := f.keeper()
			m.stop()
			time.Sleep(300 * time.Millisecond)
			m.start()
		},
		"keeper restarted twice": func(f *fleet) {
			for range 2 {
				m := f.keeper()
				m.stop()
				time.Sleep(600 * time.Millisecond)
				m.start()
				time.Sleep(2500 * time.Millisecond)
			}
		},
		"all restarted": func(f *fleet) {
			everyone(f, (*member).stop)
			time.Sleep(800 * time.Millisecond)
			everyone(f, (*member).start)
		},
		"all restarted twice": func(f *fleet) {
			for range 2 {
				everyone(f, (*member).stop)
				time.Sleep(800 * time.Millisecond)
				everyone(f, (*member).start)
				time.Sleep(2500 * time.Millisecond)
			}
		},
		"all return at different moments": func(f *fleet) {
			everyone(f, (*member).stop)
			everyone(f, func(m *member) { time.Sleep(30 * time.Millisecond); m.start() })
		},
		"keeper frozen for 700 ms": func(f *fleet) { freeze(f.keeper(), 700*time.Millisecond) },
		"keeper frozen for 2 s":    func(f *fleet) { freeze(f.keeper(), 2*time.Second) },
		"keeper frozen for 6 s":    func(f *fleet) { freeze(f.keeper(), 6*time.Second) },
		"keepers frozen in turn": func(f *fleet) {
			for range 3 {
				m := f.keeper()
				f.locked(func() { clear(f.asked) })
				m.freeze()
				time.AfterFunc(5*time.Second, m.thaw)
				time.Sleep(4 * time.Second)
			}
			time.Sleep(2 * time.Second)
		},
		"third cut off": func(f *fleet) { cutFor(f, 10*time.Second, func(n int) int { return (n % 3) / 2 }) },
		"third cut off with the keeper": func(f *fleet) {
			k := f.keeper().n
			cutFor(f, 10*time.Second, func(n int) int { return map[bool]int{true: 1}[(n+3-k%3)%3 == 0] })
		},
		"third cut off again and again": func(f *fleet) {
			for range 4 {
				cutFor(f, 2*time.Second, func(n int) int { return (n % 3) / 2 })
				time.Sleep(time.Second)
			}
		},
		"three parts": func(f *fleet) { cutFor(f, 10*time.Second, func(n int) int { return n % 3 }) },
		"keeper alone cut off": func(f *fleet) {
			k := f.keeper().n
			cutFor(f, 10*time.Second, func(n int) int { return map[bool]int{true: 1}[n == k] })
		},
		"every instance alone": func(f *fleet) { cutFor(f, 10*time.Second, func(n int) int { return n }) },
	} {
		for kind, traffic := range map[string]struct {
			q    *matcher.Quota
			draw func(r *rand.Rand) matcher.QuotaUnits
			mean float64
		}{
			"tokens": {tokenQuota, size, meanSize}, "large": {tokenQuota, large, meanLarge},
			"requests": {&matcher.Quota{Rate: 40, Burst: 40}, one, 1},
		} {
			t.Run(name+", "+kind, func(t *testing.T) {
				for seed := range *faultSeeds {
					j := during(t, seed, traffic.q, traffic.draw, traffic.mean, events)
					quicktest.Check(t, j.worst <= j.allowed, quicktest.IsTrue, quicktest.Commentf("seed %d: %v", seed, j))
					quicktest.Check(t, j.admitted > 0, quicktest.IsTrue, quicktest.Commentf("seed %d: %v", seed, j))
				}
			})
		}
	}
}

func freeze(m *member, length time.Duration) {
	m.freeze()
	time.Sleep(length)
	m.thaw()
}

func cutFor(f *fleet, length time.Duration, side func(n int) int) {
	f.cut(side)
	time.Sleep(length)
	f.cut(func(int) int { return 0 })
}

// TestRuleHoldsWhileInstancesJoin guards against new instances that decide, each in its own view, beside the old ones.
func TestRuleHoldsWhileInstancesJoin(t *testing.T) {
	for seed := range *faultSeeds {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed, fleetSize, quotas(1, tokenQuota))
			old := f.members[:fleetSize/4]
			for _, m := range f.members {
				m.members = len(old)
			}
			for _, m := range old {
				m.start()
			}
			settle()
			start := time.Now()
			var group sync.WaitGroup
			group.Go(func() { f.load(seed, heavy, usualShare*rate*surge, 20*time.Second, 0, size, meanSize) })
			time.Sleep(4 * time.Second)
			for _, m := range f.members {
				// The members' records reach each instance at a time of its own.
				time.AfterFunc(time.Duration(f.r.Int64N(int64(time.Second))), func() { f.locked(func() { m.members = 0 }) })
			}
			for _, m := range f.members[len(old):] {
				m.start()
			}
			group.Wait()
			j := f.judge(heavy, tokenQuota, start, time.Now())
			t.Logf("seed %d: %v", seed, j)
			quicktest.Check(t, j.worst <= j.allowed, quicktest.IsTrue, quicktest.Commentf("seed %d: %v", seed, j))
			f.end()
		})
	}
}

// TestLittleWithinTheQuotaIsRefused guards against refusals of requests that an exact bucket admits, on a day without faults: at
// usual traffic, and with one team far over its quota.
func TestLittleWithinTheQuotaIsRefused(t *testing.T) {
	const teams = 16
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed, fleetSize, quotas(teams, tokenQuota))
			for _, m := range f.members {
				m.start()
			}
			settle()
			start := time.Now()
			f.datagrams, f.bytes = 0, 0
			var group sync.WaitGroup
			for i := range teams {
				share := usualShare
				if i == 1 {
					share *= surge
				}
				group.Go(func() {
					f.load(seed*teams+uint64(i), identifier.TeamID(fmt.Sprint("team-", i)), share*rate, 60*time.Second, 0.02, size, meanSize)
				})
			}
			group.Wait()
			time.Sleep(time.Second)
			lawful, refused := 0, 0
			for i := range teams {
				j := f.judge(identifier.TeamID(fmt.Sprint("team-", i)), tokenQuota, start, time.Now())
				if i < 2 {
					t.Logf("seed %d, team %d: %v", seed, i, j)
				}
				quicktest.Check(t, j.worst <= j.allowed, quicktest.IsTrue)
				if i != 1 {
					lawful, refused = lawful+j.lawful, refused+j.refused
				}
			}
			t.Logf("seed %d: %d of %d within the quota refused", seed, refused, lawful)
			quicktest.Check(t, refused*100 < lawful, quicktest.IsTrue)
			slow := 0
			for _, s := range f.traffic {
				if s.wait > 20*time.Millisecond {
					slow++
				}
			}
			t.Logf("seed %d: %d of %d requests waited more than 20 ms", seed, slow, len(f.traffic))
			quicktest.Check(t, slow*20 < len(f.traffic), quicktest.IsTrue)
			t.Logf("seed %d: %.2f datagrams of %d bytes for each request", seed, float64(f.datagrams)/float64(len(f.traffic)), f.bytes/f.datagrams)
			quicktest.Check(t, f.datagrams <= 5*len(f.traffic), quicktest.IsTrue)
			f.end()
		})
	}
}

// TestQuotaChanges guards against a lowered quota that does not bind one window after it is in force everywhere, a raised one that
// does not serve more, and a removed one that still refuses.
func TestQuotaChanges(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(seed, fleetSize, quotas(1, tokenQuota))
			for _, m := range f.members {
				m.start()
			}
			settle()
			var group sync.WaitGroup
			group.Go(func() { f.load(seed, heavy, usualShare*rate*surge, 60*time.Second, 0, size, meanSize) })
			// The phases begin once the configuration is in force everywhere.
			phase := func(q *matcher.Quota, length time.Duration) judgement {
				f.setTable(quotas(1, q))
				time.Sleep(2 * time.Second)
				start := time.Now()
				time.Sleep(length)
				if q == nil {
					q = tokenQuota
				}
				j := f.judge(heavy, q, start, time.Now().Add(-200*time.Millisecond))
				t.Logf("seed %d, rate %v: %v", seed, q.Rate, j)
				return j
			}
			low := phase(&matcher.Quota{Kind: matcher.TokenQuota, Rate: rate / 10, Burst: rate / 10}, 20*time.Second)
			quicktest.Check(t, low.worst <= low.allowed, quicktest.IsTrue)
			high := phase(&matcher.Quota{Kind: matcher.TokenQuota, Rate: 3 * rate, Burst: 3 * rate}, 16*time.Second)
			quicktest.Check(t, high.worst <= high.allowed, quicktest.IsTrue)
			quicktest.Check(t, high.worst > 2.5*rate*window.Seconds(), quicktest.IsTrue)
			none := phase(nil, 10*time.Second)
			quicktest.Check(t, none.admitted, quicktest.Equals, none.requests)
			group.Wait()
			f.end()
		})
	}
}

// TestLargeRequestsAreServed guards against requests that cost more than the burst and wait for ever, or that find the bucket taken
// by small ones.
func TestLargeRequestsAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(1, fleetSize, quotas(1, tokenQuota))
		for _, m := range f.members {
			m.start()
		}
		settle()
		start := time.Now()
		quicktest.Check(t, f.ask(heavy, 40_000, 0).verdict, quicktest.Equals, ratelimiter.Verdict_Admitted)
		quicktest.Check(t, f.ask(heavy, 93_000, 0).verdict, quicktest.Equals, ratelimiter.Verdict_Admitted, quicktest.Commentf("more than the burst, and than what is left"))
		refused := f.ask(heavy, 93_000, 0)
		quicktest.Check(t, refused.verdict, quicktest.Equals, ratelimiter.Verdict_Refused)
		time.Sleep(refused.retry + 5*time.Millisecond)
		quicktest.Check(t, f.ask(heavy, 93_000, 0).verdict, quicktest.Equals, ratelimiter.Verdict_Admitted, quicktest.Commentf("after the time that it was told to wait"))
		quicktest.Check(t, f.ask(heavy, 1e9, 0).verdict, quicktest.Equals, ratelimiter.Verdict_Refused, quicktest.Commentf("breaks the rule by itself"))
		j := f.judge(heavy, tokenQuota, start, time.Now())
		quicktest.Check(t, j.worst <= j.allowed, quicktest.IsTrue)
		f.end()
	})
}

// TestReturnedRequestsAreFree guards against requests that no target ran and that a team pays for, or gets back twice.
func TestReturnedRequestsAreFree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, fleetSize, quotas(1, tokenQuota))
		for _, m := range f.members {
			m.start()
		}
		settle()
		start := time.Now()
		var group sync.WaitGroup
		// Half of 1.6 times the rate comes back.
		group.Go(func() { f.load(3, heavy, 1.6*rate, 60*time.Second, 0.5, size, meanSize) })
		group.Go(func() { f.load(4, heavy, 0.3*rate, 60*time.Second, 0, size, meanSize) })
		group.Wait()
		time.Sleep(time.Second)
		j := f.judge(heavy, tokenQuota, start, time.Now())
		t.Logf("%v", j)
		quicktest.Check(t, j.worst <= j.allowed, quicktest.IsTrue)
		ran := 0.0
		for _, s := range f.traffic {
			if s.verdict == ratelimiter.Verdict_Admitted && !s.returned {
				ran += float64(s.cost)
			}
		}
		quicktest.Check(t, ran > 0.85*rate*60, quicktest.IsTrue, quicktest.Commentf("%.0f of %d", ran, rate*60))
		quicktest.Check(t, ran < 1.1*rate*60, quicktest.IsTrue, quicktest.Commentf("%.0f of %d", ran, rate*60))
		f.end()
	})
}

// TestReturningClientsAreSpread guards against refused clients that all come back at the same moment, and find the bucket empty.
func TestReturningClientsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, fleetSize, quotas(1, &matcher.Quota{Rate: 20, Burst: 20}))
		for _, m := range f.members {
			m.start()
		}
		settle()
		const clients = 600
		var group sync.WaitGroup
		var mu sync.Mutex
		returns := map[time.Duration]int{}
		tries := 0
		start := time.Now()
		for range clients {
			group.Go(func() {
				for n := 0; ; n++ {
					s := f.ask(heavy, 1, 0)
					mu.Lock()
					tries++
					if s.verdict != ratelimiter.Verdict_Admitted {
						returns[(time.Since(start)+s.retry).Truncate(100*time.Millisecond)]++
					}
					mu.Unlock()
					if s.verdict == ratelimiter.Verdict_Admitted {
						return
					}
					time.Sleep(s.retry)
				}
			})
		}
		group.Wait()
		took := time.Since(start)
		most := 0
		for _, n := range returns {
			most = max(most, n)
		}
		t.Logf("%d clients served after %v with %d tries; most returns in 100 ms: %d", clients, took, tries, most)
		quicktest.Check(t, most < clients/10, quicktest.IsTrue, quicktest.Commentf("%d return in the same tenth of a second", most))
		quicktest.Check(t, tries < 6*clients, quicktest.IsTrue, quicktest.Commentf("%d tries", tries))
		quicktest.Check(t, took < 2*clients/20*time.Second, quicktest.IsTrue)
		f.end()
	})
}
