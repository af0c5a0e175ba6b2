package coordinator

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
)

const (
	// streamRecordKey is the key of the StreamRecord among the members.
	streamRecordKey = "Streams"
	// streamRecordInterval is the time between two checks of the record, and after a failed write.
	streamRecordInterval = time.Second
	// streamRecordDelay is the additional delay per rank before an instance writes the record, so that mostly one does.
	streamRecordDelay = 500 * time.Millisecond
	// streamRecordLowering is how long the record stays too high: a lower one must not replace what a peer has just raised.
	streamRecordLowering = time.Minute
	// streamRecordWait is the longest time that the first event of a stream waits for a write of the record.
	streamRecordWait = 100 * time.Millisecond
)

// StreamRecorder keeps the longest time for which streams may go on in the store, for the case that all instances restart: the instances that
// return must not take a stream for ended that can still go on. Put must be set.
type StreamRecorder struct {
	// Put writes the record.
	Put func(longest time.Duration) error

	mu       sync.Mutex
	recorded time.Duration
	write    *recordWrite
	failedAt time.Time
}

// recordWrite is a write of the record. err is valid once done is closed.
type recordWrite struct {
	began time.Time
	done  chan struct{}
	err   error
}

// Read takes the record from the store.
func (r *StreamRecorder) Read(longest time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recorded = longest
}

// Due reports whether an instance writes the record, if the longest time has differed from it for the given time. contact is that with the
// peers, which may know of longer streams.
func (r *StreamRecorder) Due(longest, differsFor time.Duration, rank int, contact Contact) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := time.Duration(rank) * streamRecordDelay
	if longest < r.recorded {
		return differsFor >= streamRecordLowering+delay && contact.Alive >= contact.Running
	}
	return longest > r.recorded && differsFor >= delay
}

// Recorded returns the longest time in the record.
func (r *StreamRecorder) Recorded() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.recorded
}

// Cover returns once the record covers streams that go on for the given time. While it cannot be written, streams wait only at the beginning
// of a write.
func (r *StreamRecorder) Cover(ctx context.Context, longest time.Duration) {
	for {
		w := r.beginWrite(longest)
		if w == nil {
			return
		}
		ctx, cancel := context.WithDeadline(ctx, w.began.Add(streamRecordWait))
		select {
		case <-w.done:
		case <-ctx.Done():
		}
		ended := ctx.Err() != nil
		cancel()
		if ended {
			return
		}
	}
}

// beginWrite returns the write that is in progress, or begins one. It returns nil if none is needed, or the last one has just failed.
func (r *StreamRecorder) beginWrite(longest time.Duration) *recordWrite {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch covered := longest <= r.recorded || streamAge(longest) <= unknownStreamAge; {
	case covered || time.Since(r.failedAt) < streamRecordInterval:
		return nil
	case r.write == nil:
		r.begin(longest)
	}
	return r.write
}

// Write writes the record once no other write is in progress.
func (r *StreamRecorder) Write(longest time.Duration) error {
	for {
		r.mu.Lock()
		w, own := r.write, r.write == nil
		if own {
			w = r.begin(longest)
		}
		r.mu.Unlock()
		<-w.done
		if own {
			return w.err
		}
	}
}

// begin begins a write. The caller must hold mu.
func (r *StreamRecorder) begin(longest time.Duration) *recordWrite {
	w := &recordWrite{began: time.Now(), done: make(chan struct{})}
	r.write = w
	// A lower record covers no more than it will.
	r.recorded = min(r.recorded, longest)
	go func() {
		err := r.Put(longest)
		r.mu.Lock()
		defer r.mu.Unlock()
		if w.err = err; err == nil {
			r.recorded = longest
		} else {
			r.failedAt = time.Now()
		}
		r.write = nil
		close(w.done)
	}()
	return w
}

// longestStream returns the longest time of streams, as it is recorded.
func (c *Coordinator) longestStream(now time.Time) time.Duration {
	return roundUp(c.builds.Longest(c.wakefulNow(now)), time.Second)
}

// keepStreamRecord corrects the record when the longest time of streams changes.
func (c *Coordinator) keepStreamRecord(ctx context.Context) {
	differsSince := time.Time{}
	for sleeper.Sleep(ctx, streamRecordInterval) == nil {
		now := time.Now()
		longest := c.longestStream(now)
		_, read := c.members.Age(now)
		if !read || longest == 0 || longest == c.streamRecorder.Recorded() {
			differsSince = time.Time{}
			continue
		}
		if differsSince.IsZero() {
			differsSince = now
		}
		if !c.streamRecorder.Due(longest, now.Sub(differsSince), c.rank(), c.contact(now)) {
			continue
		}
		if err := c.streamRecorder.Write(longest); err != nil {
			c.logger.Debug("cannot record the longest time of streams", zap.Error(err))
		}
	}
}

// coverStream waits until the record covers a stream that is about to begin.
func (c *Coordinator) coverStream(ctx context.Context) {
	now := time.Now()
	// Before the record is read, a write might lower it.
	if _, read := c.members.Age(now); read {
		c.streamRecorder.Cover(ctx, c.longestStream(now))
	}
}

func (c *Coordinator) putStreamRecord(longest time.Duration) error {
	record, err := proto.Marshal(&gossiper.StreamRecord{LongestMilliseconds: longest.Milliseconds()})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.platform.Members.Put(ctx, streamRecordKey, record); err != nil {
		return err
	}
	c.logger.Info("longest time of streams recorded", zap.Duration("Longest", longest))
	return nil
}

// streamRecordChanged takes the record from the store or a peer.
func (c *Coordinator) streamRecordChanged(value []byte) {
	r := &gossiper.StreamRecord{}
	if err := proto.Unmarshal(value, r); err != nil {
		c.logger.Warn("record of streams not readable", zap.Error(err))
		return
	}
	longest := time.Duration(r.LongestMilliseconds) * time.Millisecond
	c.streamRecorder.Read(longest)
	c.builds.Recall(longest, c.wakefulNow(time.Now()))
}

func roundUp(d, unit time.Duration) time.Duration {
	return (d + unit - 1).Truncate(unit)
}
