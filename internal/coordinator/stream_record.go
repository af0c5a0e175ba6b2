package coordinator

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/sleeper"
)

const (
	// streamRecordKey is the key of the StreamRecord among the members.
	streamRecordKey = "Streams"
	// streamRecordInterval is the time between two checks of the record.
	streamRecordInterval = time.Second
	// streamRecordDelay is the additional delay per rank before an instance writes the record, so that mostly one does.
	streamRecordDelay = 500 * time.Millisecond
)

// keepStreamRecord keeps the longest time for which streams may go on in the store, for the case that all instances restart.
func (c *Coordinator) keepStreamRecord(ctx context.Context) {
	differsSince := time.Time{}
	for sleeper.Sleep(ctx, streamRecordInterval) == nil {
		now := time.Now()
		longest := roundUp(c.builds.Longest(c.wakefulNow(now)), time.Second)
		_, read := c.members.Age(now)
		if !read || longest == 0 || longest == time.Duration(c.recordedLongest.Load()) {
			differsSince = time.Time{}
			continue
		}
		if differsSince.IsZero() {
			differsSince = now
		}
		if now.Sub(differsSince) < time.Duration(c.rank())*streamRecordDelay {
			continue
		}
		if err := c.putStreamRecord(ctx, longest); err != nil {
			c.logger.Debug("cannot record the longest time of streams", zap.Error(err))
		}
	}
}

func (c *Coordinator) putStreamRecord(ctx context.Context, longest time.Duration) error {
	record, err := proto.Marshal(&gossiper.StreamRecord{LongestMilliseconds: longest.Milliseconds()})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := c.platform.Members.Put(ctx, streamRecordKey, record); err != nil {
		return err
	}
	c.recordedLongest.Store(int64(longest))
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
	c.recordedLongest.Store(int64(longest))
	c.builds.Recall(longest, c.wakefulNow(time.Now()))
}

func roundUp(d, unit time.Duration) time.Duration {
	return (d + unit - 1).Truncate(unit)
}
