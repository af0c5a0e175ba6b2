package replicator

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Replicator exchanges one mirrored stream with peers; all fields must be set.
type Replicator struct {
	Name   string
	Mirror *mirrorer.Mirror
}

// Compose returns the position and age of the mirror and the records that the peer lacks according to its last message.
// Without a last message, records are left out.
func (r *Replicator) Compose(last *gossiper.Beat, now time.Time) *gossiper.Stream {
	position := r.Mirror.Position()
	s := &gossiper.Stream{
		Name: r.Name, Era: uint64(position.Era), From: uint64(position.Offset), Next: uint64(position.Offset), AgeMilliseconds: -1,
		Version: r.Mirror.Version(),
	}
	if age, known := r.Mirror.Age(now); known {
		s.AgeMilliseconds = age.Milliseconds()
	}
	if last == nil {
		return s
	}
	peer := &gossiper.Stream{}
	for _, other := range last.Streams {
		if other.Name == r.Name {
			peer = other
		}
	}
	s.From = peer.Next
	if peer.Era != s.Era {
		s.From = 0
	}
	if peer.Era > s.Era {
		return s
	}
	peerVersion := peer.Version
	if !last.Extended {
		peerVersion = s.Version // Earlier builds do not tell theirs.
	}
	for _, record := range r.Mirror.Newer(identifier.Offset(s.From), peerVersion) {
		s.Records = append(s.Records, &gossiper.Record{Key: record.Key, Value: record.Value, Offset: uint64(record.Offset)})
	}
	return s
}

// Apply applies the records and the age of the stream that a peer sent.
func (r *Replicator) Apply(s *gossiper.Stream, now time.Time) {
	position, era := r.Mirror.Position(), identifier.Era(s.Era)
	if era < position.Era || era == position.Era && identifier.Offset(s.From) > position.Offset {
		return // Records are missing; the peer sends them once it has received this instance's position.
	}
	if era > position.Era && (s.From > 0 || s.AgeMilliseconds < 0) {
		return
	}
	records := make([]mirrorer.Record, 0, len(s.Records))
	for _, record := range s.Records {
		records = append(records, mirrorer.Record{Key: record.Key, Value: record.Value, Offset: identifier.Offset(record.Offset)})
	}
	asOf := time.Time{}
	if s.AgeMilliseconds >= 0 {
		asOf = now.Add(-time.Duration(s.AgeMilliseconds) * time.Millisecond)
	}
	if era > position.Era {
		r.Mirror.Replace(era, records, identifier.Offset(s.Next), asOf)
		return
	}
	r.Mirror.Apply(era, records, identifier.Offset(s.Next), asOf)
}
