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

// ErrExpired is returned by a stream whose records at the asked offset are gone.
var ErrExpired = errors.New("records are no longer kept")

// Stream is a keyed stream of the store.
type Stream interface {
	// Newest returns the newest record of each key and the offset at which reading goes on.
	Newest(ctx context.Context) ([]mirrorer.Record, identifier.Offset, error)
	// Read returns the records from an offset on, waiting up to wait for the first one.
	Read(ctx context.Context, from identifier.Offset, wait time.Duration) ([]mirrorer.Record, identifier.Offset, error)
}

const (
	// callTimeout bounds one call without a wait; the store answers in milliseconds when it is well.
	callTimeout = time.Second
	// retryPause is the pause after a failed call, so that a store in trouble is not pressed.
	retryPause = 400 * time.Millisecond
	// checkPause is how often the age of the mirror is looked at.
	checkPause = 50 * time.Millisecond
)

// Follower reads a stream into a mirror; all fields must be set, but Wait.
type Follower struct {
	Name   string
	Stream Stream
	Mirror *mirrorer.Mirror
	Logger *zap.Logger
	// MaximumAge returns how old the mirror may grow before this instance asks the store itself.
	MaximumAge func() time.Duration
	// Wait is how long a read may wait at the store; zero: reads return at once.
	Wait time.Duration

	// expired tells that the records after the mirror's are gone, so that only the newest of each key can be read.
	expired bool
	away    bool
	// awayAt is when the first of the calls that failed in a row was made; nil: none failed since the mirror was last fresh.
	awayAt atomic.Pointer[time.Time]
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if age, known := f.Mirror.Age(time.Now()); known && age < f.MaximumAge() {
			f.awayAt.Store(nil)
			if sleeper.Sleep(ctx, checkPause) != nil {
				return
			}
			continue
		}
		if err := f.step(ctx); err != nil && sleeper.Sleep(ctx, retryPause) != nil {
			return
		}
	}
}

// FailingFor returns for how long the calls have failed, if the mirror has not been fresh since.
func (f *Follower) FailingFor(now time.Time) time.Duration {
	at := f.awayAt.Load()
	if at == nil {
		return 0
	}
	return now.Sub(*at)
}

// step makes one call to the store and applies its answer.
func (f *Follower) step(ctx context.Context) error {
	asked := time.Now()
	whole := f.expired || f.Mirror.Next() == 0
	records, next, err := f.call(ctx, whole)
	if errors.Is(err, ErrExpired) && !whole {
		f.Logger.Info("records expired, reading the newest of each key", zap.String("Stream", f.Name), zap.Error(err))
		f.expired = true
		return nil
	}
	if err != nil {
		if !f.away && ctx.Err() == nil {
			f.Logger.Warn("store lost", zap.String("Stream", f.Name), zap.Error(err))
		}
		f.away = true
		f.awayAt.CompareAndSwap(nil, &asked)
		return err
	}
	f.expired = false
	if f.away {
		f.away = false
		f.Logger.Info("store regained", zap.String("Stream", f.Name))
	}
	if whole {
		f.Mirror.Replace(records, next, asked)
	} else {
		f.Mirror.Apply(records, next, asked)
	}
	return nil
}

// call reads the newest of each key, or what came after the mirror's records, which peers may have passed on.
func (f *Follower) call(ctx context.Context, whole bool) ([]mirrorer.Record, identifier.Offset, error) {
	wait := f.Wait
	if _, known := f.Mirror.Age(time.Now()); !known || whole {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	if whole {
		return f.Stream.Newest(ctx)
	}
	return f.Stream.Read(ctx, f.Mirror.Next(), wait)
}
