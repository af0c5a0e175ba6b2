package ratelimiter_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/ratelimiter"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Figures of deployment A of docs/LOAD.md.
const (
	fleetSize  = 76
	window     = 8 * time.Second
	overshoot  = 0.1
	slack      = 190_000
	rate       = 47_000
	usualShare = 0.55
	surge      = 7.5
	heavy      = identifier.TeamID("team-0")
)

// fleet carries datagrams between limiters, with delay and losses, and tells each instance late who is live.
type fleet struct {
	mu      sync.Mutex
	r       *rand.Rand
	loss    float64
	members []*member
	// traffic holds the requests and their outcomes.
	traffic []*sent
	// asked counts the questions that each instance was sent.
	asked []int
	// datagrams and bytes count what was sent.
	datagrams, bytes int
}

type member struct {
	fleet *fleet
	n     int
	// name and address are the instance's ID, and n as text.
	name, address string
	// side is the part of a cut network that the instance is in. Datagrams to a frozen instance wait in its queue.
	side         int
	down, frozen bool
	queue        []func()
	limiter      *ratelimiter.Limiter
	// seen tells which others this instance takes for live; members is the number that it takes for running, or 0 for all.
	seen          []bool
	members       int
	configuration *matcher.Table
}

// sent is a request of a client.
type sent struct {
	at       time.Time
	team     identifier.TeamID
	cost     matcher.QuotaUnits
	verdict  ratelimiter.Verdict
	retry    time.Duration
	returned bool
	wait     time.Duration
}

func newFleet(seed uint64, n int, table *matcher.Table) *fleet {
	f := &fleet{r: rand.New(rand.NewPCG(seed, 7)), loss: 0.01, asked: make([]int, n)}
	for i := range n {
		m := &member{fleet: f, n: i, name: fmt.Sprint("front-", i), address: fmt.Sprint(i), seen: make([]bool, n), configuration: table, down: true}
		f.members = append(f.members, m)
	}
	return f
}

// quotas returns a table with the same quota for all of the given teams.
func quotas(teams int, q *matcher.Quota) *matcher.Table {
	cfg := matcher.Configuration{Version: 1}
	for i := range teams {
		cfg.Teams = append(cfg.Teams, matcher.Team{ID: identifier.TeamID(fmt.Sprint("team-", i)), Quota: q})
	}
	return matcher.New(cfg)
}

// tolerance returns the slack of the rule for a quota. That for requests is as many seconds of the rate as that of deployment A for
// tokens.
func tolerance(q *matcher.Quota) float64 {
	if q != nil && q.Kind == matcher.RequestQuota {
		return slack * float64(q.Rate) / rate
	}
	return slack
}

func boundsOf(table *matcher.Table) ratelimiter.Bounds {
	return ratelimiter.Bounds{Window: window, Overshoot: overshoot, Slack: matcher.QuotaUnits(tolerance(table.Quota(heavy)))}
}

var tokenQuota = &matcher.Quota{Kind: matcher.TokenQuota, Rate: rate, Burst: rate, PlainCost: 200}

func (f *fleet) locked(g func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	g()
}

// start lets a process run at an instance. It sees the others after a while, as they see it.
func (m *member) start() {
	f := m.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	m.down, m.frozen, m.queue = false, false, nil
	m.seen = make([]bool, len(f.members))
	m.limiter = &ratelimiter.Limiter{
		Self: m.id(), StartedAt: time.Now(), View: m.view, Table: m.currentTable, Network: m, Bounds: boundsOf(m.configuration), Logger: zap.NewNop(), Metrics: tally.NoopScope,
	}
	l := m.limiter
	go func() {
		for {
			time.Sleep(200 * time.Millisecond)
			f.mu.Lock()
			current, runs := m.limiter == l && !m.down, !m.frozen
			f.mu.Unlock()
			if !current {
				return
			}
			if runs {
				l.Maintain()
			}
		}
	}()
	f.lookAgain(m)
}

// stop kills the process of an instance.
func (m *member) stop() {
	m.fleet.locked(func() { m.down = true; m.fleet.lookAgain(m) })
}

func (m *member) freeze() {
	m.fleet.locked(func() { m.frozen = true; m.fleet.lookAgain(m) })
}

// thaw lets a frozen instance process what has arrived meanwhile.
func (m *member) thaw() {
	var queue []func()
	m.fleet.locked(func() { m.frozen = false; queue, m.queue = m.queue, nil; m.fleet.lookAgain(m) })
	for _, process := range queue {
		process()
	}
}

// reaches reports whether statuses of o arrive at m. The caller must hold mu.
func (m *member) reaches(o *member) bool {
	return !m.down && !o.down && !o.frozen && m.side == o.side
}

// lookAgain lets each instance learn after a while which others are live now: 0.2 to 1.5 s after they appeared, 2.5 to 3.5 s
// after they vanished. If changed is not nil, only what concerns that instance is new. The caller must hold mu.
func (f *fleet) lookAgain(changed *member) {
	for _, m := range f.members {
		for i, o := range f.members {
			if m == o || changed != nil && m != changed && o != changed || m.seen[i] == m.reaches(o) {
				continue
			}
			appears, l := m.reaches(o), m.limiter
			delay := 2500*time.Millisecond + time.Duration(f.r.Int64N(int64(time.Second)))
			if appears {
				delay = 200*time.Millisecond + time.Duration(f.r.Int64N(int64(1300*time.Millisecond)))
			}
			time.AfterFunc(delay, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if m.limiter == l && !m.frozen && m.reaches(o) == appears {
					m.seen[i] = appears
				}
			})
		}
	}
}

func (m *member) id() string { return m.name }

func (m *member) currentTable() *matcher.Table {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	return m.configuration
}

func (m *member) view() ratelimiter.View {
	m.fleet.mu.Lock()
	defer m.fleet.mu.Unlock()
	v := ratelimiter.View{Running: len(m.fleet.members)}
	if m.members > 0 {
		v.Running = m.members
	}
	for i, o := range m.fleet.members {
		if m.seen[i] {
			v.Peers = append(v.Peers, ratelimiter.Peer{ID: o.id(), Address: o.address})
		}
	}
	v.Running = max(v.Running, len(v.Peers)+1)
	return v
}

// Send delivers a datagram after some milliseconds, or loses it.
func (m *member) Send(address string, data []byte) error {
	f := m.fleet
	to, err := strconv.Atoi(address)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	o := f.members[to]
	f.datagrams++
	f.bytes += len(data)
	if m.down || o.down || m.side != o.side || f.r.Float64() < f.loss {
		return nil
	}
	data = slices.Clone(data[1:])
	d := &ratelimiter.Datagram{}
	if proto.Unmarshal(data, d) == nil && d.Kind == ratelimiter.Kind_Question {
		f.asked[to]++
	}
	time.AfterFunc(400*time.Microsecond+time.Duration(f.r.Int64N(int64(1500*time.Microsecond))), func() {
		f.mu.Lock()
		l := o.limiter
		process := func() { l.Receive(m.address, data) }
		if o.frozen {
			o.queue = append(o.queue, process)
		}
		waits := o.frozen || o.down
		f.mu.Unlock()
		if !waits {
			process()
		}
	})
	return nil
}

// ask sends a client's request to an instance that clients can reach, and records its outcome.
func (f *fleet) ask(team identifier.TeamID, cost matcher.QuotaUnits, back float64) *sent {
	s := &sent{at: time.Now(), team: team, cost: cost}
	f.mu.Lock()
	var up []*member
	for _, m := range f.members {
		if !m.down && !m.frozen {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		f.mu.Unlock()
		return s
	}
	m := up[f.r.IntN(len(up))]
	s.returned = f.r.Float64() < back
	id := identifier.RequestID(fmt.Sprint(len(f.traffic)))
	f.traffic = append(f.traffic, s)
	l := m.limiter
	f.mu.Unlock()
	p := l.Ask(context.Background(), ratelimiter.Request{Team: team, ID: id, Cost: cost, Remaining: 4 * time.Second})
	if p.Verdict == ratelimiter.Verdict_Admitted && s.returned {
		time.Sleep(20 * time.Millisecond)
		l.Return(p)
	}
	f.locked(func() {
		s.verdict, s.retry, s.wait = p.Verdict, p.RetryAfter, time.Since(s.at)
		if m.down || m.limiter != l {
			// The client's connection is gone with the process, and no target gets the request.
			s.verdict = ratelimiter.Verdict_Undecided
		}
	})
	return s
}

// size returns the cost of a random request with the mean costs of deployment A.
func size(r *rand.Rand) matcher.QuotaUnits {
	switch n := r.IntN(100); {
	case n < 15:
		return 200
	case n < 65:
		return matcher.QuotaUnits(500 + r.ExpFloat64()*960)
	case n < 90:
		return matcher.QuotaUnits(min(93_000, 4000+r.ExpFloat64()*5200))
	default:
		return matcher.QuotaUnits(min(93_000, 4000+r.ExpFloat64()*13_000))
	}
}

// meanSize is the mean of size.
const meanSize = 0.15*200 + 0.5*1460 + 0.25*9200 + 0.1*17_000

// load sends the requests of a team with a mean of unitsPerSecond until an end. share may change it over time.
func (f *fleet) load(seed uint64, team identifier.TeamID, unitsPerSecond float64, length time.Duration, back float64, draw func(r *rand.Rand) matcher.QuotaUnits, mean float64) {
	r := rand.New(rand.NewPCG(seed, 11))
	end := time.Now().Add(length)
	for {
		time.Sleep(time.Duration(r.ExpFloat64() * mean / unitsPerSecond * float64(time.Second)))
		if !time.Now().Before(end) {
			return
		}
		cost := draw(r)
		go f.ask(team, cost, back)
	}
}

// judgement is the judgement of a run.
type judgement struct {
	// worst is the largest cost in a window, allowed the bound.
	worst, allowed float64
	// lawful is the cost that an exact bucket admits, and refused what of it was refused.
	lawful, refused, requests, undecided int
	admitted                             int
}

// judge applies the rule to the requests of a team that were sent between two times.
func (f *fleet) judge(team identifier.TeamID, q *matcher.Quota, from, to time.Time) judgement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*sent
	for _, s := range f.traffic {
		if s.team == team && !s.at.Before(from) && s.at.Before(to) {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *sent) int { return a.at.Compare(b.at) })
	j := judgement{allowed: (float64(q.Rate)*window.Seconds()+float64(q.Burst))*(1+overshoot) + tolerance(q), requests: len(list)}
	ran := func(s *sent) bool { return s.verdict == ratelimiter.Verdict_Admitted && !s.returned }
	sum, first := 0.0, 0
	for _, s := range list {
		if ran(s) {
			sum += float64(s.cost)
			j.admitted++
		}
		if s.verdict == ratelimiter.Verdict_Undecided {
			j.undecided++
		}
		for !list[first].at.After(s.at.Add(-window)) {
			if ran(list[first]) {
				sum -= float64(list[first].cost)
			}
			first++
		}
		j.worst = max(j.worst, sum)
	}
	j.countRefused(list, q)
	return j
}

// countRefused compares with a single exact token bucket that gets the same requests in order.
func (j *judgement) countRefused(list []*sent, q *matcher.Quota) {
	level, at := float64(q.Burst), time.Time{}
	for _, s := range list {
		if !at.IsZero() {
			level = min(float64(q.Burst), level+float64(q.Rate)*s.at.Sub(at).Seconds())
		}
		at = s.at
		if level <= 0 {
			continue
		}
		if !s.returned {
			level -= float64(s.cost)
		}
		j.lawful++
		if s.verdict != ratelimiter.Verdict_Admitted {
			j.refused++
		}
	}
}

func (j judgement) String() string {
	return fmt.Sprintf("largest window %.0f of %.0f allowed (%.0f%%); %d requests, %d admitted, %d undecided; %d of %d within the quota refused",
		j.worst, j.allowed, 100*j.worst/j.allowed, j.requests, j.admitted, j.undecided, j.refused, j.lawful)
}

// settle waits until all instances know each other and their buckets have filled.
func settle() { time.Sleep(12 * time.Second) }

// during lets a team go over its quota for 30 s while events happen, and judges all windows.
func during(t *testing.T, seed uint64, q *matcher.Quota, draw func(r *rand.Rand) matcher.QuotaUnits, mean float64, events func(f *fleet)) judgement {
	var j judgement
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(seed, fleetSize, quotas(1, q))
		for _, m := range f.members {
			m.start()
		}
		settle()
		start := time.Now()
		var group sync.WaitGroup
		group.Go(func() {
			f.load(seed, heavy, usualShare*float64(q.Rate)*surge, 30*time.Second, 0, draw, mean)
		})
		time.Sleep(4 * time.Second)
		events(f)
		group.Wait()
		time.Sleep(3 * time.Second)
		j = f.judge(heavy, q, start, time.Now())
		f.end()
	})
	t.Logf("seed %d: %v", seed, j)
	return j
}

// one is the cost of a request if the quota counts requests.
func one(*rand.Rand) matcher.QuotaUnits { return 1 }

// large returns costs from half of the largest on.
func large(r *rand.Rand) matcher.QuotaUnits { return matcher.QuotaUnits(46_500 + r.IntN(46_501)) }

// meanLarge is the mean of large.
const meanLarge = 69_750

// end stops all instances, so that no goroutine is left.
func (f *fleet) end() {
	for _, m := range f.members {
		m.stop()
	}
	time.Sleep(5 * time.Second)
}

// keeper returns the instance that is asked most about the heavy team.
func (f *fleet) keeper() *member {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for i := range f.asked {
		if f.asked[i] > f.asked[most] {
			most = i
		}
	}
	return f.members[most]
}

func (f *fleet) setTable(table *matcher.Table) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		time.AfterFunc(time.Duration(f.r.Int64N(int64(2*time.Second))), func() { f.locked(func() { m.configuration = table }) })
	}
}

func (f *fleet) cut(side func(n int) int) {
	f.locked(func() {
		for i, m := range f.members {
			m.side = side(i)
		}
		f.lookAgain(nil)
	})
}
