package apportioner

import (
	"math"
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/registrar"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Rate is a number of requests a second.
type Rate float64

const (
	// minimumRate is what is sent to a target that accepts less: only an answer tells that its limit has ended.
	minimumRate Rate = 0.2
	// rateSteps is the number of rates in an octave that are told apart. Turns would shift with each small change.
	rateSteps = 16
)

// effective returns the rate that is shared out.
func (r Rate) effective() Rate {
	const roundingError = 1e-9
	return Rate(math.Exp2(math.Floor(math.Log2(float64(max(r, minimumRate)))*rateSteps+roundingError) / rateSteps))
}

// Limit is what one incarnation of a target says about the requests that it accepts from all instances together.
type Limit struct {
	Target    identifier.TargetID
	StartedAt time.Time
	// Named is set if the target names a limit, which is Rate.
	Named bool
	Rate  Rate
	// At is when the answer arrived that named the limit. If it named none, At is when the request was sent, because the
	// target may have named one to another request since.
	At time.Time
}

const (
	// clockTolerance allows for the difference between the clocks of a target, which tells its start, and of this instance.
	clockTolerance = time.Second
	// transitTolerance is how much older a peer's report may seem than it is.
	transitTolerance = time.Second
)

// appliesTo reports whether the limit may be that of a target's incarnation: an answer to a request that was meant for one
// incarnation may be that of the next one.
func (l *Limit) appliesTo(t *registrar.Target) bool {
	return l.StartedAt.Equal(t.StartedAt) || t.StartedAt.Before(l.At.Add(clockTolerance))
}

// sameAs reports whether two limits let the same requests pass.
func (l *Limit) sameAs(other *Limit) bool {
	return l.Named == other.Named && l.Rate.effective() == other.Rate.effective() && l.StartedAt.Equal(other.StartedAt)
}
