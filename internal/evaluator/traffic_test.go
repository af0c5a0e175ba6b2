package evaluator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// traffic describes what a scenario's teams send.
type traffic struct {
	name     string
	duration time.Duration
	engines  int
	zones    int
	lag      time.Duration
	// rate is requests per second and ratio scales prompts up and answers down.
	rate  func(at time.Duration) float64
	ratio func(at time.Duration) float64
	teams []teamTraffic
	// swings is how often the mix turns.
	swings int
	events func(s *simulation)
}

type teamTraffic struct {
	id     identifier.TeamID
	share  func(at time.Duration) float64
	weight float64
}

// arrival is one request of a team.
type arrival struct {
	team   identifier.TeamID
	at     time.Duration
	pieces []uint64
	prompt int64
	output int64
	entry  int
}

const (
	meanPrompt = 3000
	meanOutput = 150
	templates  = 6
)

// arrivals draws all requests of a scenario from a seed.
func (tr *traffic) arrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 7))
	var list []arrival
	for at := time.Duration(0); at < tr.duration; {
		at += time.Duration(r.ExpFloat64() / tr.rate(at) * float64(time.Second))
		ratio := tr.ratio(at)
		team := tr.drawTeam(r, at)
		a := arrival{team: team, at: at, entry: r.IntN(3)}
		// House rules and menus are prefixes that many requests of a team share.
		template := int(float64(templates) * math.Pow(r.Float64(), 2))
		shared := 1 + template%2
		for i := range shared {
			a.pieces = append(a.pieces, xxhash.Sum64String(fmt.Sprint(team, template, i)))
		}
		a.prompt = int64(float64(meanPrompt)*ratio*(0.5+r.Float64())) + int64(shared)*pieceTokens
		for i := shared; int64(i) < a.prompt/pieceTokens; i++ {
			a.pieces = append(a.pieces, r.Uint64())
		}
		a.output = max(5, int64(float64(meanOutput)/ratio*(0.5+r.Float64())))
		list = append(list, a)
	}
	return list
}

func (tr *traffic) drawTeam(r *rand.Rand, at time.Duration) identifier.TeamID {
	total := 0.0
	for _, t := range tr.teams {
		total += t.share(at)
	}
	x := r.Float64() * total
	for _, t := range tr.teams {
		x -= t.share(at)
		if x <= 0 {
			return t.id
		}
	}
	return tr.teams[0].id
}

func constant(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }

// swinging moves between low and high with the given period.
func swinging(low, high float64, period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		x := 0.5 + 0.5*math.Sin(2*math.Pi*float64(at)/float64(period))
		return low * math.Pow(high/low, x)
	}
}

func eightTeams() []teamTraffic {
	var teams []teamTraffic
	for i := range 8 {
		share := 1.0
		if i < 2 {
			share = 4
		}
		teams = append(teams, teamTraffic{id: identifier.TeamID(fmt.Sprint("team-", i)), share: constant(share), weight: share})
	}
	return teams
}

// scenarios are the users' situations at today's sizes.
func scenarios() []*traffic {
	flood := eightTeams()
	flood[0].share = func(at time.Duration) float64 {
		if at > 40*time.Second && at < 90*time.Second {
			return 30
		}
		return 4
	}
	floodRate := func(at time.Duration) float64 {
		if at > 40*time.Second && at < 90*time.Second {
			return 55
		}
		return 18
	}
	rush := func(at time.Duration) float64 { return 10 + 16*math.Exp(-math.Pow((at.Seconds()-80)/35, 2)) }
	return []*traffic{
		{name: "Tabline rush", duration: 150 * time.Second, engines: 12, zones: 3, lag: 500 * time.Millisecond, rate: rush, ratio: constant(1), teams: eightTeams()},
		{name: "Migrat window", duration: 150 * time.Second, engines: 9, zones: 4, lag: 500 * time.Millisecond, rate: constant(14), ratio: swinging(0.6, 2, 150*time.Second), teams: eightTeams(), swings: 2},
		{name: "Swinging ratio", duration: 240 * time.Second, engines: 12, zones: 3, lag: 500 * time.Millisecond, rate: constant(20), ratio: swinging(0.4, 2.2, 120*time.Second), teams: eightTeams(), swings: 4},
		{name: "One team floods", duration: 130 * time.Second, engines: 12, zones: 3, lag: 500 * time.Millisecond, rate: floodRate, ratio: constant(1), teams: flood},
		{name: "Cheap zone vanishes", duration: 120 * time.Second, engines: 12, zones: 3, lag: 500 * time.Millisecond, rate: constant(16), ratio: constant(1), teams: eightTeams(), events: zoneVanishes},
		{name: "Reports late by 3 s", duration: 120 * time.Second, engines: 12, zones: 3, lag: 3 * time.Second, rate: constant(20), ratio: constant(1), teams: eightTeams()},
		{name: "Crash in mid-change", duration: 150 * time.Second, engines: 12, zones: 3, lag: 500 * time.Millisecond, rate: constant(18), ratio: swinging(0.5, 2, 100*time.Second), teams: eightTeams(), swings: 3, events: crashes},
		{name: "Swing, zone lost", duration: 180 * time.Second, engines: 12, zones: 3, lag: 1500 * time.Millisecond, rate: constant(14), ratio: swinging(0.5, 2, 120*time.Second), teams: eightTeams(), swings: 3, events: zoneVanishes},
	}
}

// zoneVanishes takes the cheap targets of one zone on two seconds' notice.
func zoneVanishes(s *simulation) {
	time.Sleep(45 * time.Second)
	for _, e := range s.zone(0) {
		e.mu.Lock()
		e.leaving = true
		e.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	for _, e := range s.zone(0) {
		e.crash()
	}
}

// crashes kills engines, those that change their role first.
func crashes(s *simulation) {
	for range 6 {
		time.Sleep(20 * time.Second)
		e := s.victim()
		e.crash()
		time.Sleep(4 * time.Second)
		e.restart()
	}
}
