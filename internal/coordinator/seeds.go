package coordinator

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
)

const (
	// seedContacts is the number of seeds that are contacted at once: one that does not answer costs the time of an exchange.
	seedContacts = 3
	// firstContactPause is the pause between attempts in the first firstContactTime: when all instances return at once, most of
	// the seeds begin to listen in that time.
	firstContactPause = 100 * time.Millisecond
	firstContactTime  = 2 * time.Second
)

// SeedContacts makes the first contact with other instances; all fields must be set.
type SeedContacts struct {
	// Seeds returns the addresses of the seeds.
	Seeds func() []string
	// Heard reports whether a peer is alive.
	Heard   func() bool
	Contact func(ctx context.Context, addr string) error
	Logger  *zap.Logger
}

// Run contacts all seeds, in random order so that not all instances contact the same one first, until a peer is alive.
func (s *SeedContacts) Run(ctx context.Context) {
	for startedAt := time.Now(); !s.Heard(); {
		addresses := slices.Clone(s.Seeds())
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		s.contactAll(ctx, addresses)
		pause := joinRetryPause
		if time.Since(startedAt) < firstContactTime {
			pause = firstContactPause
		}
		if sleeper.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// contactAll contacts the given addresses, seedContacts at once.
func (s *SeedContacts) contactAll(ctx context.Context, addresses []string) {
	next := make(chan string)
	var group sync.WaitGroup
	for range min(seedContacts, len(addresses)) {
		group.Go(func() {
			for addr := range next {
				if err := s.Contact(ctx, addr); err != nil {
					s.Logger.Debug("cannot reach seed", zap.String("Address", addr), zap.Error(err))
				}
			}
		})
	}
	for _, addr := range addresses {
		next <- addr
	}
	close(next)
	group.Wait()
}

// contactSeeds contacts the seed addresses of the settings.
func (c *Coordinator) contactSeeds(ctx context.Context) {
	contacts := SeedContacts{
		Seeds: func() []string {
			return slices.DeleteFunc(slices.Clone(c.settings.Load().Seeds), func(addr string) bool { return addr == c.self.PeerAddress })
		},
		Heard:   func() bool { return len(c.peers.Alive(time.Now())) > 0 },
		Contact: c.peers.Contact, Logger: c.logger,
	}
	contacts.Run(ctx)
}

// startTime is how long after its start an instance lets requests wait for its first configuration and list of targets.
const startTime = 2 * time.Second

// starting reports whether this instance has started recently and lacks its first configuration or list of targets.
func (c *Coordinator) starting() bool {
	if time.Since(c.startedAt) > startTime {
		return false
	}
	_, listed := c.targets.Age(time.Now())
	return c.table.Load() == nil || !listed || c.registry.Targets() == nil
}
