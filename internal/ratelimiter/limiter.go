package ratelimiter

import (
	"context"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/matcher"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// resendInterval is the time after which a datagram without a reply is sent again.
	resendInterval = 20 * time.Millisecond
	// nextKeeperTicks is the number of resendIntervals after which the next instance in the order is asked too; it doubles for the
	// one after that.
	nextKeeperTicks = 2
	// askTimeout is the time after which a request without an answer is undecided.
	askTimeout = 150 * time.Millisecond
	// returnTimeout is how long it is tried to give a request back.
	returnTimeout = 200 * time.Millisecond
	// startTime is the time after the start in which an undecided request waits, for startWait at most and for a third of its
	// time: after a restart of all instances, they find each other in about a second.
	startTime = 2 * time.Second
	startWait = time.Second
	// startRetryPause is the time between two attempts of a request that waits.
	startRetryPause = 50 * time.Millisecond
	// maintainInterval is the time between two calls of Maintain.
	maintainInterval = 200 * time.Millisecond
	// Prefix is the first byte of each datagram. No datagram of the pinner begins with it, because no protobuf does.
	Prefix = 0
)

// Peer is an instance to which datagrams may be sent.
type Peer struct {
	ID      string
	Address string
	Leaving bool
}

// View is what an instance knows of the others.
type View struct {
	// Peers are the live peers.
	Peers []Peer
	// Running is the number of instances that may be running, including this one; zero if it is not known.
	Running int
	// Leaving is set if this instance leaves.
	Leaving bool
}

// live returns the number of live instances, including this one.
func (v *View) live() int { return len(v.Peers) + 1 }

// majority reports whether more than half of the instances that may be running are live.
func (v *View) majority() bool { return v.Running > 0 && 2*v.live() > v.Running }

// Network sends datagrams, which may be lost.
type Network interface {
	Send(address string, datagram []byte) error
}

// Bounds are what the rule tolerates: in any Window the requests of a team may cost its quota times 1 + Overshoot, plus Slack.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     matcher.QuotaUnits
}

// Request is a client's request that is to be counted.
type Request struct {
	Team identifier.TeamID
	ID   identifier.RequestID
	Cost matcher.QuotaUnits
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
}

// Permit is the decision about a request.
type Permit struct {
	Decision
	request  Request
	identity Identity
	// keepers are the instances that may have counted the request.
	keepers []Peer
}

// Limiter asks the keepers of the teams, and decides for the teams of which this instance is a keeper. Exported fields must be set.
type Limiter struct {
	// Self is this instance's ID, and StartedAt when it started.
	Self      string
	StartedAt time.Time
	// View returns the live instances; its list may be modified.
	View func() View
	// Table returns the configuration, or nil if there is none yet.
	Table   func() *matcher.Table
	Network Network
	Bounds  Bounds
	Logger  *zap.Logger
	Metrics tally.Scope

	buckets Buckets
	meter   meter

	mu sync.Mutex
	// replies holds the channel to which the replies of each exchange go.
	replies map[uint64]chan reply
	// held are the teams for which this instance may decide, by the table and the members with the given fingerprint.
	held    map[identifier.TeamID]bool
	table   *matcher.Table
	members uint64
}

// reply is a datagram with the address that it came from; own decisions have none.
type reply struct {
	from string
	*Datagram
}

// Ask asks whether a request is within its team's quota, and counts it if so.
func (l *Limiter) Ask(ctx context.Context, r Request) Permit {
	start := time.Now()
	wait := min(startWait, r.Remaining/3)
	for {
		p := l.askOnce(ctx, r)
		if p.Verdict != Verdict_Undecided || time.Since(l.StartedAt) >= startTime || time.Since(start) >= wait ||
			sleeper.Sleep(ctx, startRetryPause) != nil {
			l.record(&p, time.Since(start))
			return p
		}
	}
}

// Return gives back a request that was admitted and has not run.
func (l *Limiter) Return(p Permit) {
	if p.Verdict != Verdict_Admitted {
		return
	}
	l.team(p.request.Team).Counter("QuotaReturned").Inc(int64(p.request.Cost))
	go l.giveBack(&p)
}

// askOnce asks the keepers once, and withdraws the question from those that may still count it.
func (l *Limiter) askOnce(ctx context.Context, r Request) Permit {
	view := l.View()
	p := Permit{request: r, keepers: l.keepers(r.Team, &view), Decision: Decision{Verdict: Verdict_Undecided, RetryAfter: undecidedRetryAfter}}
	e := &exchange{l: l, to: p.keepers, d: &Datagram{Kind: Kind_Question, Exchange: rand.Uint64(), Team: string(r.Team), Cost: float64(r.Cost)}}
	p.identity = identityOf(r.Team, r.ID, e.d.Exchange)
	e.d.Identity = uint64(p.identity)
	e.run(ctx, askTimeout, func(reply reply) bool {
		p.Verdict, p.RetryAfter = reply.Verdict, time.Duration(reply.RetryAfterMilliseconds)*time.Millisecond
		return true
	})
	if p.Verdict != Verdict_Admitted && e.sent > 1 {
		go l.giveBack(&p)
	}
	return p
}

// giveBack gives a request back at all instances that may have counted it.
func (l *Limiter) giveBack(p *Permit) {
	e := &exchange{l: l, to: p.keepers, atOnce: true, d: &Datagram{
		Kind: Kind_Return, Exchange: rand.Uint64(), Team: string(p.request.Team), Identity: uint64(p.identity)}}
	e.run(context.Background(), returnTimeout, func(reply) bool { return false })
}

// Receive processes a datagram that arrived from an address, without its prefix.
func (l *Limiter) Receive(from string, data []byte) {
	d := &Datagram{}
	if err := proto.Unmarshal(data, d); err != nil {
		l.Logger.Debug("datagram not readable", zap.String("Address", from), zap.Error(err))
		return
	}
	switch d.Kind {
	case Kind_Answer, Kind_Acknowledgement:
		l.deliver(reply{from, d})
		return
	}
	if answer := l.process(from, d); answer != nil {
		answer.Exchange = d.Exchange
		l.send(from, answer)
	}
}

// process handles a datagram that is no reply, and returns the reply, if there is one. from is empty if the datagram is this
// instance's own.
func (l *Limiter) process(from string, d *Datagram) *Datagram {
	team, id, cost := identifier.TeamID(d.Team), Identity(d.Identity), matcher.QuotaUnits(d.Cost)
	view, now := l.View(), time.Now()
	keepers := l.keepers(team, &view)
	t, limited := l.terms(team, &view, keepers)
	switch d.Kind {
	case Kind_Question:
		return l.answer(team, id, cost, &view, keepers, now)
	case Kind_Admission:
		if limited {
			l.buckets.Learn(team, id, cost, matcher.QuotaUnits(d.Level), keepers[0].Address == from, t, now)
		}
	case Kind_Return:
		if limited {
			l.buckets.Return(team, id, t, now)
		}
		return &Datagram{Kind: Kind_Acknowledgement}
	case Kind_LevelQuestion:
		if !limited {
			return nil
		}
		if level, known := l.buckets.Level(team, t, now); known {
			return &Datagram{Kind: Kind_LevelAnswer, Team: d.Team, Level: float64(level)}
		}
	case Kind_LevelAnswer:
		if limited {
			l.buckets.Adopt(team, matcher.QuotaUnits(d.Level), t, now)
		}
	}
	return nil
}

// answer decides about a request and tells the other keepers if it is admitted. It returns nil if this instance cannot decide.
func (l *Limiter) answer(team identifier.TeamID, id Identity, cost matcher.QuotaUnits, view *View, keepers []Peer, now time.Time) *Datagram {
	if l.Table() == nil || view.Running == 0 {
		return nil
	}
	t, limited := l.terms(team, view, keepers)
	if !limited {
		return &Datagram{Kind: Kind_Answer, Verdict: Verdict_Admitted}
	}
	d := l.buckets.Decide(team, id, cost, t, now)
	if d.Began {
		l.Logger.Info("team begins to be limited", zap.String("Team", string(team)), zap.Float64("Level", float64(d.Level)),
			zap.Float64("Rate", float64(t.Quota.Rate)), zap.Float64("Share", t.Share))
	}
	if d.Verdict == Verdict_Admitted && !d.Repeated {
		l.sendAll(keepers, &Datagram{Kind: Kind_Admission, Team: string(team), Identity: uint64(id), Cost: float64(cost), Level: float64(d.Level)})
	}
	if d.Learns {
		l.sendAll(keepers, &Datagram{Kind: Kind_LevelQuestion, Team: string(team)})
	}
	return &Datagram{Kind: Kind_Answer, Verdict: d.Verdict, RetryAfterMilliseconds: d.RetryAfter.Milliseconds()}
}

// terms returns what applies to a team's bucket now, or false if the team is not limited.
func (l *Limiter) terms(team identifier.TeamID, view *View, keepers []Peer) (Terms, bool) {
	table := l.Table()
	if table == nil || table.Quota(team) == nil {
		return Terms{}, false
	}
	q := *table.Quota(team)
	t := Terms{Quota: q, Majority: view.majority(), First: keepers[0].ID == l.Self}
	if view.Running > 0 {
		t.Share = min(1, float64(view.live())/float64(view.Running))
	}
	regular := matcher.QuotaUnits(float64(q.Rate)*l.Bounds.Window.Seconds()) + q.Burst
	tolerated := matcher.QuotaUnits(l.Bounds.Overshoot)*regular + l.Bounds.Slack
	t.Allowance, t.UnsettledAllowance = tolerated/2*matcher.QuotaUnits(t.Share), tolerated/8
	// What is left of the tolerance covers the debts of keepers and a restart of one keeper.
	t.Excess, t.Grant = tolerated/16, tolerated/4
	t.Maximum = regular + tolerated
	return t, true
}

// Run maintains the buckets until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	for sleeper.Sleep(ctx, maintainInterval) == nil {
		l.Maintain()
	}
}

// Maintain brings the buckets of this instance's teams up to date. It is called each maintainInterval.
func (l *Limiter) Maintain() {
	if t := l.Table(); t == nil || len(t.Quotas()) == 0 && l.buckets.Len() == 0 {
		return
	}
	view, now := l.View(), time.Now()
	for team := range l.heldTeams(&view, now) {
		keepers := l.keepers(team, &view)
		t, limited := l.terms(team, &view, keepers)
		if !limited || t.Share == 0 {
			continue
		}
		learns, ended := l.buckets.Maintain(team, t, now)
		if learns {
			l.sendAll(keepers, &Datagram{Kind: Kind_LevelQuestion, Team: string(team)})
		}
		if ended != nil {
			l.Logger.Info("team ceases to be limited", zap.String("Team", string(team)), zap.Float64("Level", float64(ended.Level)),
				zap.Float64("Rate", float64(t.Quota.Rate)), zap.Float64("Refused", float64(ended.Refused)), zap.Duration("Length", ended.Length))
		}
	}
}

// heldTeams returns the teams for which this instance may decide, and removes the buckets of the others. It computes them only if
// the configuration or the live instances have changed.
func (l *Limiter) heldTeams(view *View, now time.Time) map[identifier.TeamID]bool {
	table := l.Table()
	if table == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if members := fingerprint(view); l.table != table || l.members != members {
		l.table, l.members, l.held = table, members, map[identifier.TeamID]bool{}
		for team := range table.Quotas() {
			if l.isKeeper(team, view) {
				l.held[team] = true
			}
		}
	}
	l.buckets.Retain(l.held, func(team identifier.TeamID) bool { return table.Quota(team) != nil }, now)
	return l.held
}

func (l *Limiter) isKeeper(team identifier.TeamID, view *View) bool {
	return slices.ContainsFunc(l.keepers(team, view), func(p Peer) bool { return p.ID == l.Self })
}

// keepers returns the instances that may decide about a team, first those that do.
func (l *Limiter) keepers(team identifier.TeamID, view *View) []Peer {
	all := append(slices.Clone(view.Peers), Peer{ID: l.Self, Leaving: view.Leaving})
	staying := slices.DeleteFunc(slices.Clone(all), func(p Peer) bool { return p.Leaving })
	if len(staying) > 0 {
		all = staying
	}
	return first(team, all)
}

// fingerprint returns a hash of the members that may be keepers.
func fingerprint(view *View) uint64 {
	d := xxhash.New()
	for _, p := range view.Peers {
		if !p.Leaving {
			// Errors are impossible: a digest accepts all writes.
			_, _ = d.WriteString(p.ID)
			_, _ = d.Write([]byte{0})
		}
	}
	if view.Leaving {
		_, _ = d.Write([]byte{1})
	}
	return d.Sum64()
}

// identityOf returns the identity of a question about a request. A client may use the ID of a request again, for one that runs
// again, which counts again.
func identityOf(team identifier.TeamID, id identifier.RequestID, exchange uint64) Identity {
	d := xxhash.New()
	_, _ = d.WriteString(string(team))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, exchange))
	return Identity(d.Sum64())
}
