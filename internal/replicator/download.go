package replicator

import (
	"time"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

// stallTime is the time without a piece after which a download continues from another peer.
const stallTime = gossiper.ExchangeTimeout + 200*time.Millisecond

// download collects the pieces of one large value from one peer at a time.
type download struct {
	reference  *gossiper.ValueReference
	source     string
	progressAt time.Time
	// compressed holds the first bytes of the compressed form, which is identified by compressedDigest.
	compressed       []byte
	compressedDigest uint64
}

func (d *download) stalled(now time.Time) bool { return now.Sub(d.progressAt) > stallTime }

// request returns the request for the next piece.
func (d *download) request() *gossiper.Request {
	return &gossiper.Request{Digest: d.reference.Digest, Start: uint64(len(d.compressed)), CompressedDigest: d.compressedDigest}
}

// add takes a piece if it continues what is held, and reports whether that is now the whole compressed form.
func (d *download) add(p *gossiper.Piece, now time.Time) bool {
	if p.Digest != d.reference.Digest || p.CompressedSize > maximumValueBytes {
		return false
	}
	if p.CompressedDigest != d.compressedDigest && p.Start == 0 {
		d.compressed, d.compressedDigest = nil, p.CompressedDigest
	}
	if p.CompressedDigest != d.compressedDigest || p.Start != uint64(len(d.compressed)) {
		return false
	}
	d.compressed, d.progressAt = append(d.compressed, p.Data...), now
	return uint64(len(d.compressed)) == p.CompressedSize
}
