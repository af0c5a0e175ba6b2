package follower

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Errors of a follower and its stream.
var (
	// ErrExpired is returned by a stream that does not have the records at the requested offset.
	ErrExpired = errors.New("no records at this offset")
	// ErrEarlierEra is returned when the mirror is in a later era than the store's answers.
	ErrEarlierEra = errors.New("data of an earlier era of the store")
)

// Stream is a keyed stream of the store. A call that makes no progress returns an error within about a second.
type Stream interface {
	// Newest returns the newest record of each key and the offset to continue reading from.
	Newest(ctx context.Context) ([]mirrorer.Record, identifier.Offset, error)
	// Read returns the records from an offset on and the offset after them. If there are none yet, it waits for the first
	// one, but no longer than wait.
	Read(ctx context.Context, from identifier.Offset, wait time.Duration) ([]mirrorer.Record, identifier.Offset, error)
	// Era returns the highest era of the store that is known. An answer of an earlier one is an error.
	Era() identifier.Era
}

const (
	// callTimeout limits one call, not counting its wait for records. It is long because a large record may take seconds
	// over a slow link; the stream ends calls that make no progress.
	callTimeout = 10 * time.Second
	// RetryPause is the least pause after a failed call, which limits the load on a failing store.
	RetryPause = 400 * time.Millisecond
	// minimumCheckInterval and maximumCheckInterval limit the time until the next check of the mirror's age.
	minimumCheckInterval = 50 * time.Millisecond
	maximumCheckInterval = 200 * time.Millisecond
)

// Follower reads a stream into a mirror; all fields except Retry and Wait must be set.
type Follower struct {
	Name   string
	Stream Stream
	Mirror *mirrorer.Mirror
	Logger *zap.Logger
	// MaximumAge returns the age of the mirror at which this instance reads the store itself.
	MaximumAge func() time.Duration
	// Retry returns the pause after the given number of consecutive failed calls; nil means RetryPause after each.
	Retry func(failures int) time.Duration
	// Wait is how long the store may delay its response to a read while there are no new records; zero disables waiting.
	Wait time.Duration

	// expired is set if the store no longer retains the records after the mirror's, so that the newest of each key must
	// be read.
	expired bool
	// lost is set while calls fail, to log each change once.
	lost bool
	// failures is the number of consecutive failed calls since the mirror was last fresh.
	failures int
	// failingSince is when the first of the consecutive failed calls was made; nil if none failed since the mirror was
	// last fresh.
	failingSince atomic.Pointer[time.Time]
}

// Run follows the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if remaining := f.remaining(time.Now()); remaining > 0 {
			f.failingSince.Store(nil)
			f.failures = 0
			if sleeper.Sleep(ctx, min(maximumCheckInterval, max(minimumCheckInterval, remaining))) != nil {
				return
			}
			continue
		}
		if err := f.step(ctx); err != nil {
			f.failures++
			if f.pause(ctx) != nil {
				return
			}
		} else {
			f.failures = 0
		}
	}
}

// pause waits after a failed call.
func (f *Follower) pause(ctx context.Context) error {
	if f.Retry == nil {
		return sleeper.Sleep(ctx, RetryPause)
	}
	return sleeper.Sleep(ctx, f.Retry(f.failures))
}

// remaining returns the time until this instance reads the store itself; zero or less means now.
func (f *Follower) remaining(now time.Time) time.Duration {
	age, known := f.Mirror.Age(now)
	if !known || f.Stream.Era() > f.Mirror.Position().Era {
		return 0
	}
	return f.MaximumAge() - age
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
	era, position := f.Stream.Era(), f.Mirror.Position()
	whole := f.expired || position.Offset == 0 || era > position.Era
	records, next, err := f.call(ctx, whole)
	if f.Stream.Era() != era {
		return nil // The answer may mix two eras.
	}
	if err == nil && era < position.Era {
		err = fmt.Errorf("%w: %d, the copy is of era %d", ErrEarlierEra, era, position.Era)
	}
	if errors.Is(err, ErrExpired) && !f.expired {
		f.Logger.Info("no records at this offset, reading the newest of each key", zap.String("Stream", f.Name), zap.Error(err))
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
	historyFrom := identifier.Offset(0)
	if f.expired {
		historyFrom = next // The newest records tell nothing of the keys that were removed.
		f.Logger.Info("copy taken from the newest of each key", zap.String("Stream", f.Name), zap.Uint64("Next", uint64(next)))
	}
	f.expired = false
	if f.lost {
		f.lost = false
		f.Logger.Info("store regained", zap.String("Stream", f.Name))
	}
	if whole {
		f.Mirror.Replace(mirrorer.Copy{Era: era, Records: records, Next: next, HistoryFrom: historyFrom, AsOf: calledAt})
	} else {
		f.Mirror.Apply(era, records, next, calledAt)
	}
	return nil
}

// call reads the whole stream or, if whole is not set, the records from the mirror's next offset on; peers may have sent
// the ones before it.
//
// As long as the store retains all records, one read of them takes the place of many pages of newest records.
func (f *Follower) call(ctx context.Context, whole bool) ([]mirrorer.Record, identifier.Offset, error) {
	wait := f.Wait
	if _, known := f.Mirror.Age(time.Now()); !known || whole {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout+wait)
	defer cancel()
	switch {
	case f.expired:
		return f.Stream.Newest(ctx)
	case whole:
		return f.Stream.Read(ctx, 0, 0)
	}
	return f.Stream.Read(ctx, f.Mirror.Position().Offset, wait)
}
