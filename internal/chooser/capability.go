package chooser

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

const (
	// defaultPromptOverhead and defaultTokensPerSecond are the fixed time per prompt and the prefill rate of one engine until
	// they are measured, from the first customer's engine specifications.
	defaultPromptOverhead  = 25 * time.Millisecond
	defaultTokensPerSecond = 36_700
)

// Capability is what a target is predicted to be able to do at this moment. Zero fields stand for the defaults.
type Capability struct {
	// Fixed is the time of a prefill apart from its tokens. Most of it is latency, so it does not add up in a queue.
	Fixed time.Duration
	// PerToken is the time in nanoseconds for each token to prefill.
	PerToken float64
	// Slowness is how much longer the target generates an answer than the others of its service.
	Slowness float64
	// Plain is the duration of a plain call.
	Plain time.Duration
}

// Model predicts what targets can do.
type Model interface {
	// Assess sets the capabilities of candidates, all of which belong to one service.
	Assess(candidates []Candidate, now time.Time)
}

// withDefaults replaces what is not known by the defaults.
func (c Capability) withDefaults() Capability {
	if c.PerToken <= 0 {
		c.Fixed, c.PerToken = defaultPromptOverhead, float64(time.Second)/defaultTokensPerSecond
	}
	if c.Slowness <= 0 {
		c.Slowness = 1
	}
	return c
}

// prefillTime returns the time to prefill tokens apart from the fixed time.
func (c *Capability) prefillTime(tokens identifier.Tokens) time.Duration {
	return time.Duration(float64(tokens) * c.PerToken)
}
