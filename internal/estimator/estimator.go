package estimator

import (
	"math"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// rateDecayTime is the time constant of the rate average.
	rateDecayTime = 2 * time.Second
	// peakHalfLife is the half-life of a peak: the request mix changes within tens of seconds.
	peakHalfLife = 60 * time.Second
	// peerTimeout is how long a peer's rate counts without an update.
	peerTimeout = 3 * time.Second
	// defaultTokensPerSecond is the prefill rate of one engine until it is measured, from the first customer's engine
	// specifications.
	defaultTokensPerSecond = 36_700.0
	// idleTokensPerSecond is the rate below which a service counts as idle.
	idleTokensPerSecond = 1
	// warmUpSamples is the number of samples above idle before a peak is known.
	warmUpSamples = 4
)

// Demand tracks the prefill demand of all services; the zero value is ready to use.
type Demand struct {
	// EngineRate returns the tokens per second that an engine of a service reads in the mean; nil means the default.
	EngineRate func(identifier.ServiceID) float64

	mu       sync.Mutex
	services map[identifier.ServiceID]*service
}

// service is the state of one service; rates are in tokens per second.
type service struct {
	local   float64
	at      time.Time
	peers   map[string]peerRate
	peak    float64
	samples int
}

type peerRate struct {
	rate float64
	at   time.Time
}

// Add counts the prompt tokens that have to be prefilled for a request.
func (d *Demand) Add(id identifier.ServiceID, tokens identifier.Tokens, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(id)
	s.decay(now)
	s.local += float64(tokens) / rateDecayTime.Seconds()
}

// Local returns this instance's rates in tokens per second, without idle services.
func (d *Demand) Local(now time.Time) map[identifier.ServiceID]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	local := map[identifier.ServiceID]float64{}
	for id, s := range d.services {
		if s.decay(now); s.local > idleTokensPerSecond {
			local[id] = s.local
		}
	}
	return local
}

// UpdatePeer records a peer's reported rate in tokens per second.
func (d *Demand) UpdatePeer(peer string, id identifier.ServiceID, rate float64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.service(id)
	if s.peers == nil {
		s.peers = map[string]peerRate{}
	}
	s.peers[peer] = peerRate{rate, now}
}

// Sample updates the peaks with the current rates; it must be called once a second.
func (d *Demand) Sample(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.services {
		s.decay(now)
		total := s.local
		for peer, p := range s.peers {
			if now.Sub(p.at) > peerTimeout {
				delete(s.peers, peer)
				continue
			}
			total += p.rate
		}
		if total > idleTokensPerSecond {
			s.samples++
		}
		s.peak = max(total, s.peak*math.Exp2(-1/peakHalfLife.Seconds()))
	}
}

// Peak returns the recent peak demand in fully busy engines; zero means not known yet.
func (d *Demand) Peak(id identifier.ServiceID) float64 {
	rate := defaultTokensPerSecond
	if d.EngineRate != nil {
		rate = d.EngineRate(id)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.services[id]
	if s == nil || s.samples < warmUpSamples {
		return 0
	}
	return s.peak / rate
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

func (s *service) decay(now time.Time) {
	if !s.at.IsZero() {
		s.local *= math.Exp(-now.Sub(s.at).Seconds() / rateDecayTime.Seconds())
	}
	s.at = now
}
