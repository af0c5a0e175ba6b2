package replicator_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
)

const (
	// configurationBound and drainBound are the users' bounds at grown sites, from the acknowledgement of a record to its
	// effect at all instances.
	configurationBound = 3 * time.Second
	drainBound         = 3 * time.Second
)

// routes returns a configuration in the users' form with n routes.
func routes(n int, rng *rand.Rand) []byte {
	var b bytes.Buffer
	b.WriteString(`{"version":7,"routes":[`)
	for range n {
		fmt.Fprintf(&b, `{"name":"r-%07x","host":"%06x.example","path_prefix":"/%06x/","kind":"safe","timeout_ms":800,"target_latency_ms":120,`+
			`"priority":2,"service":"wuno96b","attempts":2,"public":false,"sticky":false,"resumable":false,"gap_target_ms":0},`,
			rng.Uint32()>>4, rng.Uint32()>>8, rng.Uint32()>>8)
	}
	b.WriteString(`{}]}`)
	return b.Bytes()
}

// TestConfigurationLargerThanAnExchangeReachesAll guards against a configuration that takes longer than the timeout of an
// exchange over a slow link: neither it nor the entries of targets that leave arrived any more.
func TestConfigurationLargerThanAnExchangeReachesAll(t *testing.T) {
	for _, count := range []int{1400, 2800, 4200} {
		t.Run(fmt.Sprint(count, "_routes"), func(t *testing.T) {
			runFleet(t, func(t *testing.T, fl *fleet) {
				rng := rand.New(rand.NewPCG(1, uint64(count)))
				configuration := func(n *node) *mirrorer.Mirror { return &n.configuration }
				targets := func(n *node) *mirrorer.Mirror { return &n.targets }
				for change := range 2 {
					value := routes(count, rng)
					fl.store["Configuration"].put("config", value)
					time.Sleep(500 * time.Millisecond)
					leaving := fmt.Append(nil, "leaving ", change)
					fl.store["Targets"].put("i-1", leaving)
					time.Sleep(configurationBound - 500*time.Millisecond)
					quicktest.Check(t, len(fl.lacking(configuration, "config", value)), quicktest.Equals, 0, quicktest.Commentf("configuration, change %d", change))
					time.Sleep(500*time.Millisecond + drainBound - configurationBound)
					quicktest.Check(t, len(fl.lacking(targets, "i-1", leaving)), quicktest.Equals, 0, quicktest.Commentf("leaving target, change %d", change))
				}
				time.Sleep(5 * time.Second)
				for id, n := range fl.nodes {
					quicktest.Check(t, len(n.Alive(time.Now())), quicktest.Equals, fleetSize-1, quicktest.Commentf("peers seen by %s", id))
				}
			})
		})
	}
}
