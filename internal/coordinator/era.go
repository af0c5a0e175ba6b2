package coordinator

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// StoreEra knows how often the store has come back from an older copy.
type StoreEra interface {
	Era() identifier.Era
	// LearnEra takes an era that a peer reports.
	LearnEra(era identifier.Era)
	WatchEra(o EraObserver)
}

// EraObserver is told of new eras of the store and of answers that are discarded because of their era.
type EraObserver interface {
	EraChanged(old, era identifier.Era)
	EraRejected(err error)
}

// EraChanged starts what a new era of the store requires beyond the copies of its streams and the lease, which notice it
// themselves: the member record may be lost, and entries of targets that are gone may be back.
func (c *Coordinator) EraChanged(old, era identifier.Era) {
	at := time.Now()
	c.newEraAt.Store(&at)
	c.metrics.Counter("StoreEras").Inc(1)
	c.logger.Warn("store has come back from an older copy", zap.Uint64("Was", uint64(old)), zap.Uint64("Era", uint64(era)),
		zap.Uint64("Missed", uint64(era-old-1)), zap.Uint64("ConfigurationOffset", uint64(c.config.Position().Offset)),
		zap.Uint64("TargetsOffset", uint64(c.targets.Position().Offset)), zap.Uint64("MembersOffset", uint64(c.members.Position().Offset)))
	select {
	case c.memberLost <- struct{}{}:
	default:
	}
	c.peers.SendNow()
}

// EraRejected counts an answer of the store that was discarded because of its era.
func (c *Coordinator) EraRejected(err error) {
	c.metrics.Counter("StoreAnswersRejected").Inc(1)
	c.logger.Warn("answer of the store discarded", zap.Error(err))
}

// eraChangedAt returns when this process learned of the current era of the store, or the zero time if it is the first.
func (c *Coordinator) eraChangedAt() time.Time {
	if at := c.newEraAt.Load(); at != nil {
		return *at
	}
	return time.Time{}
}

func (c *Coordinator) learnEra(era identifier.Era) {
	if era > c.platform.Store.Era() {
		c.platform.Store.LearnEra(era)
	}
}

// raiseReportedVersion takes the version of the configuration that a peer has.
func (c *Coordinator) raiseReportedVersion(version uint64) {
	for {
		old := c.reportedVersion.Load()
		if version <= old || c.reportedVersion.CompareAndSwap(old, version) {
			return
		}
	}
}

// awaitPeer waits for the first message of a peer if the store has ever come back from an older copy: the peer may know
// a newer configuration than the store.
func (c *Coordinator) awaitPeer(ctx context.Context) {
	for !c.peerHeard.Load() && time.Since(c.startedAt) < firstPeerTimeout {
		if _, storeRead := c.members.Age(time.Now()); storeRead && c.platform.Store.Era() == 0 {
			return
		}
		if sleeper.Sleep(ctx, checkPause) != nil {
			return
		}
	}
}

// applyOutdatedConfiguration puts the configuration of the store in force although a peer has announced a newer one, if
// there is none in force and the newer one does not arrive.
func (c *Coordinator) applyOutdatedConfiguration() {
	r, known := c.config.Get(c.platform.ConfigurationKey)
	if !known || c.table.Load() != nil || time.Since(c.startedAt) < reportedVersionTimeout {
		return
	}
	c.logger.Warn("announced configuration has not arrived", zap.Uint64("Version", c.reportedVersion.Load()))
	c.reportedVersion.Store(0)
	c.configurationChanged(r)
}

// registerAgain waits until the member record may have been lost. It returns false when ctx ends.
func (c *Coordinator) registerAgain(ctx context.Context) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c.memberLost:
	}
	return sleeper.Sleep(ctx, rand.N(reregisterJitter)) == nil
}
