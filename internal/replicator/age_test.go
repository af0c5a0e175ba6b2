package replicator_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestAgeOfCopyIsNotUnderstated guards against copies that count as fresh although their message was in transit for long:
// instances then read the store too late for the bounds. Each record that was acknowledged before the time as of which a copy is
// complete must be in it.
func TestAgeOfCopyIsNotUnderstated(t *testing.T) {
	runFleet(t, func(t *testing.T, fl *fleet) {
		rng := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		fl.mu.Lock()
		fl.delay = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return time.Duration(rng.Int64N(int64(350 * time.Millisecond)))
		}
		fl.mu.Unlock()
		var acknowledged []time.Time
		understated, most := 0, time.Duration(0)
		for i := range 200 {
			fl.store["Targets"].put(fmt.Sprint("i-", i), []byte("entry"))
			acknowledged = append(acknowledged, time.Now())
			time.Sleep(50 * time.Millisecond)
			now := time.Now()
			for _, n := range fl.nodes {
				age, known := n.targets.Age(now)
				next := int(n.targets.Position().Offset)
				if known && next < len(acknowledged) && acknowledged[next].Before(now.Add(-age)) {
					understated++
					most = max(most, now.Add(-age).Sub(acknowledged[next]))
				}
			}
		}
		quicktest.Check(t, understated, quicktest.Equals, 0, quicktest.Commentf("by up to %v", most))
	})
}
