package chooser

import (
	"math"
	"time"
)

// spreadOffset returns a random cost of Gumbel's distribution: the target with the least cost is then chosen in proportion to the
// exponential of its predicted time over the spread.
func spreadOffset(hash uint64, spread time.Duration) time.Duration {
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return time.Duration(float64(spread) * math.Log(-math.Log(uniform)))
}
