package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// rateDecayTime is the time constant of the rate average.
	rateDecayTime = 5 * time.Second
	// averagedAnswers is the time constant of the average answer length, counted in answers.
	averagedAnswers = 32
)

// RateKey identifies a rate by team and model; the team is empty for refused requests.
type RateKey struct {
	Team  identifier.TeamID
	Model identifier.ModelID
}

// Rate is prompt and output tokens per second.
type Rate struct {
	Prompt float64
	Output float64
}

// Meter keeps exponentially decaying token rates; the zero value is ready to use.
type Meter struct {
	mu            sync.Mutex
	rates         map[RateKey]*decayingRate
	answerLengths map[identifier.ModelID]float64
}

type decayingRate struct {
	rate Rate
	at   time.Time
}

// Add counts prompt and output tokens.
func (m *Meter) Add(key RateKey, prompt, output identifier.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rates == nil {
		m.rates = map[RateKey]*decayingRate{}
	}
	d := m.rates[key]
	if d == nil {
		d = &decayingRate{at: time.Now()}
		m.rates[key] = d
	}
	d.decay(time.Now())
	d.rate.Prompt += float64(prompt) / rateDecayTime.Seconds()
	d.rate.Output += float64(output) / rateDecayTime.Seconds()
}

// RecordAnswerLength updates the model's average answer length.
func (m *Meter) RecordAnswerLength(model identifier.ModelID, output identifier.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.answerLengths == nil {
		m.answerLengths = map[identifier.ModelID]float64{}
	}
	m.answerLengths[model] += (float64(output) - m.answerLengths[model]) / averagedAnswers
}

// AddRefused counts the tokens that a refused request would have used, with an answer of average length, under no team.
func (m *Meter) AddRefused(model identifier.ModelID, prompt identifier.Tokens) {
	m.mu.Lock()
	output := identifier.Tokens(m.answerLengths[model])
	m.mu.Unlock()
	m.Add(RateKey{Model: model}, prompt, output)
}

// Rates returns the current rates that are not close to zero.
func (m *Meter) Rates() map[RateKey]Rate {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	rates := make(map[RateKey]Rate, len(m.rates))
	for key, d := range m.rates {
		d.decay(now)
		if d.rate.Prompt+d.rate.Output < 0.01 {
			delete(m.rates, key)
			continue
		}
		rates[key] = d.rate
	}
	return rates
}

func (d *decayingRate) decay(now time.Time) {
	f := math.Exp(-now.Sub(d.at).Seconds() / rateDecayTime.Seconds())
	d.rate.Prompt *= f
	d.rate.Output *= f
	d.at = now
}
