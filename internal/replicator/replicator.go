package replicator

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
	"github.com/coltsfootscale/coltsfootscale/internal/mirrorer"
	"github.com/coltsfootscale/coltsfootscale/pkg/identifier"
)

// Replicator exchanges one mirrored stream with peers; exported fields must be set.
//
// A record with a large value carries a reference to it. A peer that lacks the value requests it from one sender at a time
// and gets it compressed, in pieces: messages stay small whatever the size of a value, and a failed exchange repeats one
// piece only.
//
// A copy that was taken from the newest record of each key knows nothing of the keys that were removed before. It tells where its history
// begins, and a peer whose own copy ends before that takes its records but not its position and age: the peer reads the store.
type Replicator struct {
	Name   string
	Mirror *mirrorer.Mirror
	Logger *zap.Logger

	mu sync.Mutex
	// values holds the large values among the mirror's records, by key.
	values map[string]*largeValue
	// download is the value that this instance requests, or nil. After pieces that did not fit together, none is requested
	// until pausedUntil.
	download    *download
	pausedUntil time.Time
}

// Compose returns the position and age of the mirror and the records that the peer lacks according to its last message.
// Without a last message, records are left out.
func (r *Replicator) Compose(last *gossiper.Beat, now time.Time) *gossiper.Stream {
	position := r.Mirror.Position() // Before the beginning of the history, which may rise meanwhile.
	historyFrom := uint64(r.Mirror.HistoryFrom())
	s := &gossiper.Stream{
		Name: r.Name, Era: uint64(position.Era), From: uint64(position.Offset), Next: uint64(position.Offset), AgeMilliseconds: -1,
		Version: r.Mirror.Version(), HistoryFrom: &historyFrom,
	}
	if age, known := r.Mirror.Age(now); known {
		s.AgeMilliseconds = age.Milliseconds()
	}
	if last == nil {
		return s
	}
	peer := r.streamOf(last)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.download != nil && r.download.source == senderOf(last) {
		s.Request = r.download.request()
	}
	s.Piece = r.requestedPiece(peer)
	from := peer.Next
	if peer.Era != s.Era {
		from = 0
	}
	if s.From = from; from > 0 {
		s.From = max(from, historyFrom) // A peer of an earlier build ignores records that begin after its own position.
	}
	if peer.Era > s.Era {
		return s
	}
	peerVersion := peer.Version
	if !last.Extended {
		peerVersion = s.Version // Earlier builds do not tell theirs.
	}
	for _, record := range r.Mirror.Newer(identifier.Offset(from), peerVersion) {
		next := &gossiper.Record{Key: record.Key, Value: record.Value, Offset: uint64(record.Offset)}
		if len(record.Value) > inlineBytes && last.AcceptsReferences {
			next.Value, next.Reference = nil, r.largeValue(record.Key, record.Value).reference()
		}
		s.Records = append(s.Records, next)
	}
	return s
}

func senderOf(b *gossiper.Beat) string { return b.Statuses[0].GetMember().GetID() }

// streamOf returns the stream in a peer's message, which is empty if there is none.
func (r *Replicator) streamOf(b *gossiper.Beat) *gossiper.Stream {
	for _, s := range b.Streams {
		if s.Name == r.Name {
			return s
		}
	}
	return &gossiper.Stream{}
}

// largeValue returns the large value of a key. The caller must hold mu.
func (r *Replicator) largeValue(key string, value []byte) *largeValue {
	if v := r.values[key]; v.holds(value) {
		return v
	}
	if r.values == nil {
		r.values = map[string]*largeValue{}
	}
	v := &largeValue{value: value, digest: xxhash.Sum64(value)}
	r.values[key] = v
	return v
}

// requested returns the value that a peer requests, or nil if this instance does not have it. The caller must hold mu.
func (r *Replicator) requested(peer *gossiper.Stream) *largeValue {
	if peer.Request == nil {
		return nil
	}
	for _, v := range r.values {
		if v.digest == peer.Request.Digest {
			return v
		}
	}
	return nil
}

// requestedPiece returns the next piece of the value that a peer requests, or nil. The caller must hold mu.
func (r *Replicator) requestedPiece(peer *gossiper.Stream) *gossiper.Piece {
	v := r.requested(peer)
	if v == nil {
		return nil
	}
	if err := v.compress(); err != nil {
		r.Logger.Error("cannot compress value", zap.String("Stream", r.Name), zap.Error(err))
		return nil
	}
	return v.piece(peer.Request)
}

// Unfinished reports whether the transfer of a value from or to a peer goes on, given the peer's last message.
func (r *Replicator) Unfinished(last *gossiper.Beat, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	downloading := r.download != nil && r.download.source == senderOf(last) && !r.download.stalled(now)
	return downloading || r.requested(r.streamOf(last)) != nil
}

// Apply applies the records and the age of the stream in a peer's message.
func (r *Replicator) Apply(b *gossiper.Beat, s *gossiper.Stream, receipt gossiper.Receipt) {
	position, era := r.Mirror.Position(), identifier.Era(s.Era)
	if era < position.Era {
		return
	}
	if era > position.Era && (s.From > 0 || s.AgeMilliseconds < 0 || s.HistoryFrom == nil) {
		return
	}
	if era == position.Era && identifier.Offset(s.From) > position.Offset && len(s.Records) == 0 {
		return // The peer sends the records once it has received this instance's position.
	}
	c := mirrorer.Copy{Era: era, HistoryFrom: identifier.Offset(s.GetHistoryFrom())}
	complete := false
	if c.Records, c.Next, complete = r.resolve(senderOf(b), s, receipt.At); complete {
		c.AsOf = completeAsOf(b, s, receipt)
	}
	whole := s.From == 0 && (era > position.Era || position.Offset == 0)
	switch {
	case era > position.Era && c.AsOf.IsZero():
	case whole && complete && s.HistoryFrom != nil:
		r.Mirror.Replace(c)
	case connects(s, position.Offset, c):
		r.Mirror.Apply(era, c.Records, c.Next, c.AsOf)
	default:
		// Removals may be missing, which this instance reads from the store.
		r.Mirror.Apply(era, c.Records, 0, time.Time{})
	}
}

// connects reports whether a copy that ends at a position and what a message holds of a peer's copy make a complete copy together.
func connects(s *gossiper.Stream, end identifier.Offset, c mirrorer.Copy) bool {
	return s.HistoryFrom != nil && identifier.Offset(s.From) <= end && c.HistoryFrom <= end
}

// completeAsOf returns the time as of which a stream is complete, or zero if that is unknown. The time that the message was in
// transit counts as age; else the age of a copy that peers send each other would not rise as fast as time passes.
func completeAsOf(b *gossiper.Beat, s *gossiper.Stream, receipt gossiper.Receipt) time.Time {
	composedAt := receipt.ComposedAt(b)
	if s.AgeMilliseconds < 0 || composedAt.IsZero() {
		return time.Time{}
	}
	return composedAt.Add(-time.Duration(s.AgeMilliseconds) * time.Millisecond)
}

// resolve returns the records of a peer's stream with their values and the offset after them. If a value is not there yet,
// the records end before it, and complete is false.
func (r *Replicator) resolve(from string, s *gossiper.Stream, now time.Time) (records []mirrorer.Record, next identifier.Offset, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	received := r.addPiece(s.Piece, now)
	for _, record := range s.Records {
		value := record.Value
		if record.Reference != nil {
			if value = r.find(record.Key, record.Reference, received); value == nil {
				r.request(from, record.Reference, now)
				return records, identifier.Offset(record.Offset), false
			}
		}
		records = append(records, mirrorer.Record{Key: record.Key, Value: value, Offset: identifier.Offset(record.Offset)})
	}
	if r.download != nil && r.download.source == from {
		r.download = nil // The peer no longer refers to it.
	}
	return records, identifier.Offset(s.Next), true
}

// find returns the value of a reference, which is the one just received or that of the key's record, or nil if it is
// neither. The caller must hold mu.
func (r *Replicator) find(key string, reference *gossiper.ValueReference, received *largeValue) []byte {
	if received != nil && received.digest == reference.Digest {
		return received.value
	}
	record, known := r.Mirror.Get(key)
	if !known || uint64(len(record.Value)) != reference.Size || len(record.Value) <= inlineBytes {
		return nil
	}
	if v := r.largeValue(key, record.Value); v.digest == reference.Digest {
		return v.value
	}
	return nil
}

// request starts or continues the download of a value that a peer refers to. The caller must hold mu.
func (r *Replicator) request(from string, reference *gossiper.ValueReference, now time.Time) {
	if reference.Size > maximumValueBytes {
		r.Logger.Error("value too large", zap.String("Stream", r.Name), zap.String("Peer", from), zap.Uint64("Bytes", reference.Size))
		return
	}
	d := r.download
	switch {
	case now.Before(r.pausedUntil):
	case d != nil && d.source != from && !d.stalled(now):
	case d != nil && d.reference.Digest == reference.Digest && d.source == from:
	case d != nil && d.reference.Digest == reference.Digest:
		d.source, d.progressAt = from, now
	default:
		r.download = &download{reference: reference, source: from, progressAt: now}
	}
}

// addPiece takes a piece of the requested value and returns the value once it is whole, else nil. The caller must hold mu.
func (r *Replicator) addPiece(p *gossiper.Piece, now time.Time) *largeValue {
	d := r.download
	if p == nil || d == nil || !d.add(p, now) {
		return nil
	}
	r.download = nil
	value, err := decompress(d.compressed, d.reference)
	if err != nil {
		r.pausedUntil = now.Add(stallTime)
		r.Logger.Error("pieces of a value do not fit together", zap.String("Stream", r.Name), zap.String("Peer", d.source), zap.Error(err))
		return nil
	}
	return &largeValue{value: value, digest: d.reference.Digest}
}
