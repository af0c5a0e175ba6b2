package limiter

import (
	"math"
	"sync"
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	meterWindow  = 5 * time.Second
	answerMemory = 32
)

// RateKey is whose use of what a rate describes.
type RateKey struct {
	Team  identifier.TeamID
	Model identifier.ModelID
}

// Rate is tokens per second of both kinds.
type Rate struct {
	Prompt float64
	Output float64
}

// Meter keeps exponentially decaying token rates; the zero value is ready.
type Meter struct {
	mu      sync.Mutex
	rates   map[RateKey]*decaying
	answers map[identifier.ModelID]float64
}

type decaying struct {
	rate Rate
	at   time.Time
}

// Add counts tokens.
func (m *Meter) Add(s RateKey, prompt, output identifier.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.rates == nil {
		m.rates = map[RateKey]*decaying{}
	}
	d := m.rates[s]
	if d == nil {
		d = &decaying{at: time.Now()}
		m.rates[s] = d
	}
	d.decay(time.Now())
	d.rate.Prompt += float64(prompt) / meterWindow.Seconds()
	d.rate.Output += float64(output) / meterWindow.Seconds()
}

// RecordAnswerLength notes the length of an answer.
func (m *Meter) RecordAnswerLength(model identifier.ModelID, output identifier.Tokens) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.answers == nil {
		m.answers = map[identifier.ModelID]float64{}
	}
	m.answers[model] += (float64(output) - m.answers[model]) / answerMemory
}

// AddRefused counts the work of a refused request, with an answer of the usual length, under no team.
func (m *Meter) AddRefused(model identifier.ModelID, prompt identifier.Tokens) {
	m.mu.Lock()
	output := identifier.Tokens(m.answers[model])
	m.mu.Unlock()
	m.Add(RateKey{Model: model}, prompt, output)
}

// Rates returns the current rates of all subjects that are not idle.
func (m *Meter) Rates() map[RateKey]Rate {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	rates := make(map[RateKey]Rate, len(m.rates))
	for s, d := range m.rates {
		d.decay(now)
		if d.rate.Prompt+d.rate.Output < 0.01 {
			delete(m.rates, s)
			continue
		}
		rates[s] = d.rate
	}
	return rates
}

func (d *decaying) decay(now time.Time) {
	f := math.Exp(-now.Sub(d.at).Seconds() / meterWindow.Seconds())
	d.rate.Prompt *= f
	d.rate.Output *= f
	d.at = now
}
