package demander

import (
	"math"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// rateTime is the time over which a rate is averaged.
	rateTime = 2 * time.Second
	// peakHalfLife is how fast a peak is forgotten: swings of the mix come within tens of seconds.
	peakHalfLife = 60 * time.Second
	// peerLife is how long a peer's rate counts without news of it.
	peerLife = 3 * time.Second
	// engineTokensPerSecond is what an engine of the users' sheets computes of prompts.
	engineTokensPerSecond = 36_700
	// idleRate is the rate below which a service counts as idle, in tokens per second.
	idleRate = 1
	// warmUp is how long rates are sampled before a peak is told.
	warmUp = 4
)

// Demand is the demand of all services; the zero value is ready.
type Demand struct {
	mu       sync.Mutex
	services map[identifier.ServiceID]*service
}

type service struct {
	own     float64
	at      time.Time
	peers   map[string]peerRate
	peak    float64
	samples int
}

type peerRate struct {
	rate float64
	at   time.Time
}

// Add notes prompt tokens that a request asks an engine to compute.
func (d *Demand) Add(id identifier.ServiceID, tokens identifier.Tokens, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(id)
	s.fade(now)
	s.own += float64(tokens) / rateTime.Seconds()
}

// LocalRates returns this instance's rates in tokens per second.
func (d *Demand) LocalRates(now time.Time) map[identifier.ServiceID]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := map[identifier.ServiceID]float64{}
	for id, s := range d.services {
		if s.fade(now); s.own > idleRate {
			own[id] = s.own
		}
	}
	return own
}

// SetPeerRate notes a peer's rate.
func (d *Demand) SetPeerRate(peer string, id identifier.ServiceID, rate float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(id)
	if s.peers == nil {
		s.peers = map[string]peerRate{}
	}
	s.peers[peer] = peerRate{rate, now}
}

// Sample takes the present rates into the peaks; it is called once a second.
func (d *Demand) Sample(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		s.fade(now)
		total := s.own
		for peer, p := range s.peers {
			if now.Sub(p.at) > peerLife {
				delete(s.peers, peer)
				continue
			}
			total += p.rate
		}
		if total > idleRate {
			s.samples++
		}
		s.peak = max(total, s.peak*math.Exp2(-1/peakHalfLife.Seconds()))
	}
}

// Peak returns the highest demand of late in engines that are busy all the time; zero: not known yet.
func (d *Demand) Peak(id identifier.ServiceID) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[id]
	if s == nil || s.samples < warmUp {
		return 0
	}
	return s.peak / engineTokensPerSecond
}

func (d *Demand) service(id identifier.ServiceID) *service {
	if d.services == nil {
		d.services = map[identifier.ServiceID]*service{}
	}
	s := d.services[id]
	if s == nil {
		s = &service{}
		d.services[id] = s
	}
	return s
}

func (s *service) fade(now time.Time) {
	if !s.at.IsZero() {
		s.own *= math.Exp(-now.Sub(s.at).Seconds() / rateTime.Seconds())
	}
	s.at = now
}
