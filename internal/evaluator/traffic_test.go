package evaluator_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// scenario describes a fleet of engines and the traffic that its teams send.
type scenario struct {
	name      string
	duration  time.Duration
	engines   int
	zones     int
	reportLag time.Duration
	// rate is in requests per second; ratio multiplies prompt lengths and divides answer lengths.
	rate  func(at time.Duration) float64
	ratio func(at time.Duration) float64
	teams []teamTraffic
	// swings is the number of times that the mix turns between long prompts and long answers.
	swings int
	// events injects the scenario's faults; nil for none.
	events func(s *simulation)
}

// teamTraffic is a team's share of the requests over time and its weight in admission.
type teamTraffic struct {
	id     identifier.TeamID
	share  func(at time.Duration) float64
	weight float64
}

// arrival is one request of a team.
type arrival struct {
	team         identifier.TeamID
	at           time.Duration
	parts        []uint64
	promptTokens int64
	outputTokens int64
	// entry is the index of the entry instance that receives the request; its zone has the same index.
	entry int
}

const (
	meanPromptTokens = 3000
	meanOutputTokens = 150
	templateCount    = 6
)

// arrivals generates all requests of a scenario at random from a seed.
func (sc *scenario) arrivals(seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 7))
	var list []arrival
	for at := time.Duration(0); at < sc.duration; {
		at += time.Duration(r.ExpFloat64() / sc.rate(at) * float64(time.Second))
		ratio := sc.ratio(at)
		team := sc.randomTeam(r, at)
		a := arrival{team: team, at: at, entry: r.IntN(3)}
		// Requests of a team share prefixes of one or two prompt parts, such as house rules and menus.
		template := int(float64(templateCount) * math.Pow(r.Float64(), 2))
		shared := 1 + template%2
		for i := range shared {
			a.parts = append(a.parts, xxhash.Sum64String(fmt.Sprint(team, template, i)))
		}
		a.promptTokens = int64(float64(meanPromptTokens)*ratio*(0.5+r.Float64())) + int64(shared)*partTokens
		for i := shared; int64(i) < a.promptTokens/partTokens; i++ {
			a.parts = append(a.parts, r.Uint64())
		}
		a.outputTokens = max(5, int64(float64(meanOutputTokens)/ratio*(0.5+r.Float64())))
		list = append(list, a)
	}
	return list
}

// randomTeam chooses a team at random in proportion to the shares.
func (sc *scenario) randomTeam(r *rand.Rand, at time.Duration) identifier.TeamID {
	total := 0.0
	for _, t := range sc.teams {
		total += t.share(at)
	}
	x := r.Float64() * total
	for _, t := range sc.teams {
		x -= t.share(at)
		if x <= 0 {
			return t.id
		}
	}
	return sc.teams[0].id
}

func constant(v float64) func(time.Duration) float64 { return func(time.Duration) float64 { return v } }

// swinging returns a function that oscillates between low and high with the given period.
func swinging(low, high float64, period time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		x := 0.5 + 0.5*math.Sin(2*math.Pi*float64(at)/float64(period))
		return low * math.Pow(high/low, x)
	}
}

// eightTeams returns two teams with four times the share of each of the other six.
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

// scenarios returns the situations that the users' sites must handle, with fleets of today's sizes.
func scenarios() []*scenario {
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
	return []*scenario{
		{name: "Tabline rush", duration: 150 * time.Second, engines: 12, zones: 3, reportLag: 500 * time.Millisecond, rate: rush, ratio: constant(1), teams: eightTeams()},
		{name: "Migrat window", duration: 150 * time.Second, engines: 9, zones: 4, reportLag: 500 * time.Millisecond, rate: constant(14), ratio: swinging(0.6, 2, 150*time.Second), teams: eightTeams(), swings: 2},
		{name: "Swinging ratio", duration: 240 * time.Second, engines: 12, zones: 3, reportLag: 500 * time.Millisecond, rate: constant(20), ratio: swinging(0.4, 2.2, 120*time.Second), teams: eightTeams(), swings: 4},
		{name: "One team floods", duration: 130 * time.Second, engines: 12, zones: 3, reportLag: 500 * time.Millisecond, rate: floodRate, ratio: constant(1), teams: flood},
		{name: "Cheap zone vanishes", duration: 120 * time.Second, engines: 12, zones: 3, reportLag: 500 * time.Millisecond, rate: constant(16), ratio: constant(1), teams: eightTeams(), events: loseCheapZone},
		{name: "Reports late by 3 s", duration: 120 * time.Second, engines: 12, zones: 3, reportLag: 3 * time.Second, rate: constant(20), ratio: constant(1), teams: eightTeams()},
		{name: "Crash in mid-change", duration: 150 * time.Second, engines: 12, zones: 3, reportLag: 500 * time.Millisecond, rate: constant(18), ratio: swinging(0.5, 2, 100*time.Second), teams: eightTeams(), swings: 3, events: crashEngines},
		{name: "Swing, zone lost", duration: 180 * time.Second, engines: 12, zones: 3, reportLag: 1500 * time.Millisecond, rate: constant(14), ratio: swinging(0.5, 2, 120*time.Second), teams: eightTeams(), swings: 3, events: loseCheapZone},
	}
}

// loseCheapZone crashes all engines of the cheap zone two seconds after they report that they are leaving.
func loseCheapZone(s *simulation) {
	time.Sleep(45 * time.Second)
	for _, e := range s.zoneEngines(0) {
		e.mu.Lock()
		e.leaving = true
		e.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	for _, e := range s.zoneEngines(0) {
		e.crash()
	}
}

// crashEngines crashes six engines one after the other, preferably during a role change, and restarts each.
func crashEngines(s *simulation) {
	for range 6 {
		time.Sleep(20 * time.Second)
		e := s.engineToCrash()
		e.crash()
		time.Sleep(4 * time.Second)
		e.restart()
	}
}
