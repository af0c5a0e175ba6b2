package coordinator

import (
	"github.com/coltsfootscale/coltsfootscale/internal/elector"
	"github.com/coltsfootscale/coltsfootscale/internal/reporter"
)

// platformLease returns the lease for calls to the platform, which may not check fencing numbers.
func (c *Coordinator) platformLease() reporter.WindowCloser {
	if c.bounds.FencingChecked {
		return c.elector
	}
	return elector.Unfenced{Elector: c.elector}
}
