package follower

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// ErrExpired is returned by a stream that no longer retains the records at the requested offset.
var ErrExpired = errors.New("records at this offset have expired")

// Stream is a keyed stream of the store.
type Stream interface {
	// Newest returns the newest record of each key and the offset to continue reading from.
	Newest(ctx context.Context) ([]mirrorer.Record, identifier.Offset, error)
	// Read returns the records from an offset on and the offset after them. If there are none yet, it waits for the first
	// one, but no longer than wait.
	Read(ctx context.Context, from identifier.Offset, wait time.Duration) ([]mirrorer.Record, identifier.Offset, error)
}

const (
	// callTimeout limits one call, not counting its wait for records; a healthy store answers within milliseconds.
	callTimeout = time.Second
	// retryPause is the pause after a failed call, which limits the load on a failing store.
	retryPause = 400 * time.Millisecond
	// checkInterval is the time between checks of the mirror's age.
	checkInterval = 50 * time.Millisecond
)

// Follower reads a stream into a mirror; all fields except Wait must be set.
type Follower struct {
	Name   string
	Stream Stream
	Mirror *mirrorer.Mirror
	Logger *zap.Logger
	// MaximumAge returns the age of the mirror at which this instance reads the store itself.
	MaximumAge func() time.Duration
	// Wait is how long the store may delay its response to a read while there are no new records; zero disables waiting.
	Wait time.Duration

	// expired is set if the store no longer retains the records after the mirror's, so that the newest of each key must
	// be read.
	expired bool
	// lost is set while calls fail, to log each change once.
	lost bool
	// failingSince is when the first of the consecutive failed calls was made; nil if none failed since the mirror was
	// last fresh.
	failingSince atomic.Pointer[time.Time]
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if age, known := f.Mirror.Age(time.Now()); known && age < f.MaximumAge() {
			f.failingSince.Store(nil)
			if sleeper.Sleep(ctx, checkInterval) != nil {
				return
			}
			continue
		}
		if err := f.step(ctx); err != nil && sleeper.Sleep(ctx, retryPause) != nil {
			return
		}
	}
}

// FailingFor returns for how long calls have failed without the mirror becoming fresh, or zero if they have not.
func (f *Follower) FailingFor(now time.Time) time.Duration {
	since := f.failingSince.Load()
	if since == nil {
		return 0
	}
	return now.Sub(*since)
}

// step makes one call to the store and applies the result.
func (f *Follower) step(ctx context.Context) error {
	calledAt := time.Now()
	readNewest := f.expired || f.Mirror.Next() == 0
	records, next, err := f.call(ctx, readNewest)
	if errors.Is(err, ErrExpired) && !readNewest {
		f.Logger.Info("records expired, reading the newest of each key", zap.String("Stream", f.Name), zap.Error(err))
		f.expired = true
		return nil
	}
	if err != nil {
		if !f.lost && ctx.Err() == nil {
			f.Logger.Warn("store lost", zap.String("Stream", f.Name), zap.Error(err))
		}
		f.lost = true
		f.failingSince.CompareAndSwap(nil, &calledAt)
		return err
	}
	f.expired = false
	if f.lost {
		f.lost = false
		f.Logger.Info("store regained", zap.String("Stream", f.Name))
	}
	if readNewest {
		f.Mirror.Replace(records, next, calledAt)
	} else {
		f.Mirror.Apply(records, next, calledAt)
	}
	return nil
}

// call reads the newest record of each key if readNewest is set, and otherwise the records from the mirror's next offset
// on; peers may have sent the ones before it.
func (f *Follower) call(ctx context.Context, readNewest bool) ([]mirrorer.Record, identifier.Offset, error) {
	wait := f.Wait
	if _, known := f.Mirror.Age(time.Now()); !known || readNewest {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	if readNewest {
		return f.Stream.Newest(ctx)
	}
	return f.Stream.Read(ctx, f.Mirror.Next(), wait)
}
