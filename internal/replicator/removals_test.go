package replicator_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/follower"
	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/internal/replicator"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// compactedTopic is a keyed topic that has deleted the records before first, but the newest of each key.
type compactedTopic struct {
	records []mirrorer.Record
	first   identifier.Offset
}

func (t *compactedTopic) end() identifier.Offset { return identifier.Offset(len(t.records)) }

func (t *compactedTopic) put(key, value string) {
	t.records = append(t.records, mirrorer.Record{Key: key, Value: []byte(value), Offset: t.end()})
}

func (t *compactedTopic) Newest(context.Context) (list []mirrorer.Record, end identifier.Offset, err error) {
	for _, r := range t.records {
		list = slices.DeleteFunc(list, func(old mirrorer.Record) bool { return old.Key == r.Key })
		if len(r.Value) > 0 {
			list = append(list, r)
		}
	}
	return list, t.end(), nil
}

func (t *compactedTopic) Read(_ context.Context, from identifier.Offset, _ time.Duration) ([]mirrorer.Record, identifier.Offset, error) {
	if from < t.first {
		return nil, 0, follower.ErrExpired
	}
	return t.records[from:], t.end(), nil
}

func (t *compactedTopic) Era() identifier.Era { return 0 }

// emptyInstance returns an instance that has just started.
func emptyInstance(id string) *instance {
	return &instance{&replicator.Replicator{Name: "Configuration", Mirror: &mirrorer.Mirror{}, Logger: zap.NewNop()}, id}
}

// read lets the instance bring its copy up to date from the topic.
func (n *instance) read(t *compactedTopic) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &follower.Follower{
		Name: n.Name, Stream: t, Mirror: n.Mirror, Logger: zap.NewNop(), MaximumAge: func() time.Duration { return time.Millisecond },
	}
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	time.Sleep(200 * time.Millisecond)
	cancel()
	<-done
}

// talk exchanges some messages.
func talk(a, b *instance) {
	first := a.message(nil)
	for range 3 {
		first = a.receive(b.receive(first, time.Now()), time.Now())
	}
}

// unread returns the keys that the instance has although their removal is before the offset up to which its copy is complete.
func (n *instance) unread(t *compactedTopic) (keys []string) {
	position := n.Mirror.Position().Offset
	newest := map[string]mirrorer.Record{}
	for _, r := range t.records[:position] {
		newest[r.Key] = r
	}
	for key, r := range newest {
		if held, known := n.Mirror.Get(key); len(r.Value) == 0 && known && len(held.Value) > 0 && held.Offset < r.Offset {
			keys = append(keys, key)
		}
	}
	return keys
}

// TestRemovalsBeforeACopyBeganAreRead guards against requests to targets that have left: an instance that starts takes its copy from the
// newest record of each key, and a peer that has not read a removal yet took over the position of that copy.
func TestRemovalsBeforeACopyBeganAreRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &compactedTopic{}
		topic.put("stays", "1")
		topic.put("gone", "1")
		running := emptyInstance("running")
		running.read(topic)
		topic.put("gone", "")
		topic.put("stays", "2")
		topic.first = topic.end()
		started, follows := emptyInstance("started"), emptyInstance("follows")
		started.read(topic)
		talk(started, follows)
		quicktest.Check(t, follows.Mirror.Position(), quicktest.Equals, started.Mirror.Position(), quicktest.Commentf("an empty copy holds nothing that is gone"))
		for _, n := range []*instance{started, follows} {
			talk(running, n)
			quicktest.Check(t, running.unread(topic), quicktest.HasLen, 0, quicktest.Commentf("after messages of %s", n.id))
		}
		stays, _ := running.Mirror.Get("stays")
		quicktest.Check(t, string(stays.Value), quicktest.Equals, "2", quicktest.Commentf("records count, whatever is missing beside them"))
		running.read(topic)
		gone, _ := running.Mirror.Get("gone")
		quicktest.Check(t, gone.Value, quicktest.HasLen, 0)

		topic.put("later", "1")
		started.read(topic)
		talk(running, started)
		quicktest.Check(t, running.Mirror.Position(), quicktest.Equals, started.Mirror.Position(), quicktest.Commentf("a peer goes on with the records after that"))
	})
}

// TestRemovalsBesideEarlierBuilds guards against the same between two builds: an earlier one takes each message that begins at its own
// position or before it for all that it lacks, and does not tell where its own history begins.
func TestRemovalsBesideEarlierBuilds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &compactedTopic{}
		topic.put("gone", "1")
		running := emptyInstance("running")
		running.read(topic)
		topic.put("gone", "")
		topic.put("stays", "1")
		topic.first = topic.end()
		started := emptyInstance("started")
		started.read(topic)

		toEarlier := started.message(running.message(nil)).Streams[0]
		quicktest.Check(t, toEarlier.From > uint64(running.Mirror.Position().Offset), quicktest.IsTrue, quicktest.Commentf("an earlier build reads the store"))
		toEarlier = started.message(emptyInstance("empty").message(nil)).Streams[0]
		quicktest.Check(t, toEarlier.From, quicktest.Equals, uint64(0), quicktest.Commentf("an empty copy of an earlier build takes all"))

		fromEarlier := started.message(running.message(nil))
		fromEarlier.Streams[0].HistoryFrom, fromEarlier.Streams[0].From = nil, uint64(running.Mirror.Position().Offset)
		running.receive(fromEarlier, time.Now())
		quicktest.Check(t, running.unread(topic), quicktest.HasLen, 0)
		stays, _ := running.Mirror.Get("stays")
		quicktest.Check(t, string(stays.Value), quicktest.Equals, "1")
	})
}

// TestRemovedKeysDoNotComeBack guards against requests to targets that have left: the message of a peer that has not read a removal yet
// reaches an instance that has just taken its copy from the newest record of each key, and knows nothing of the removal either.
func TestRemovedKeysDoNotComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &compactedTopic{}
		topic.put("gone", "1")
		running, started := emptyInstance("running"), emptyInstance("started")
		running.read(topic)
		late := running.message(started.message(nil))
		topic.put("gone", "")
		topic.first = topic.end()
		started.read(topic)
		started.receive(late, time.Now())
		quicktest.Check(t, started.unread(topic), quicktest.HasLen, 0)
	})
}

// TestRemovalsReachAllCopies restarts instances, deletes old records, and lets instances talk in any order and delays messages. No copy may
// hold a key whose removal it counts as read.
func TestRemovalsReachAllCopies(t *testing.T) {
	for seed := range uint64(200) {
		synctest.Test(t, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(seed, 1))
			topic := &compactedTopic{}
			instances := make([]*instance, 4)
			for i := range instances {
				instances[i] = emptyInstance(fmt.Sprint("entry-", i))
			}
			late := map[int]*gossiper.Beat{}
			for range 150 {
				i := rng.IntN(len(instances))
				other := (i + 1 + rng.IntN(len(instances)-1)) % len(instances)
				switch key := fmt.Sprint("i-", rng.IntN(6)); rng.IntN(12) {
				case 0:
					topic.put(key, fmt.Sprint("entry ", len(topic.records)))
				case 1:
					topic.put(key, "")
				case 2:
					topic.first = topic.end() - min(topic.end()-topic.first, identifier.Offset(rng.IntN(3)))
				case 3:
					instances[i] = emptyInstance(instances[i].id)
				case 4, 5:
					instances[i].read(topic)
				case 6:
					late[i] = instances[other].message(instances[i].message(nil))
				case 7:
					if late[i] != nil {
						instances[i].receive(late[i], time.Now())
					}
				default:
					talk(instances[i], instances[other])
				}
				for _, n := range instances {
					quicktest.Assert(t, n.unread(topic), quicktest.HasLen, 0, quicktest.Commentf("seed %d, %s", seed, n.id))
				}
			}
		})
	}
}
