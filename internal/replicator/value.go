package replicator

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"

	"github.com/cespare/xxhash/v2"

	"github.com/coltsfootscale/coltsfootscale/internal/gossiper"
)

const (
	// inlineBytes is the size up to which a value is sent within its record.
	inlineBytes = 8 << 10
	// pieceBytes is the size of one piece. A link of 10 Mbit/s carries it in about 50 ms, so that what else the message
	// holds is not late.
	pieceBytes = 64 << 10
	// maximumValueBytes limits the memory for a value that a peer refers to.
	maximumValueBytes = 32 << 20
)

// largeValue is a value with its compressed form, which is built when it is first requested.
type largeValue struct {
	value            []byte
	digest           uint64
	compressed       []byte
	compressedDigest uint64
}

// holds reports whether v was made from the given value.
func (v *largeValue) holds(value []byte) bool {
	return v != nil && len(v.value) == len(value) && &v.value[0] == &value[0]
}

func (v *largeValue) reference() *gossiper.ValueReference {
	return &gossiper.ValueReference{Digest: v.digest, Size: uint64(len(v.value))}
}

// compress builds the compressed form.
func (v *largeValue) compress() error {
	if v.compressed != nil {
		return nil
	}
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return err
	}
	if _, err := w.Write(v.value); err != nil {
		return err
	}
	if err := w.Close(); err != nil {
		return err
	}
	v.compressed, v.compressedDigest = b.Bytes(), xxhash.Sum64(b.Bytes())
	return nil
}

// piece returns the part of the compressed form that follows what the peer holds.
func (v *largeValue) piece(request *gossiper.Request) *gossiper.Piece {
	start := request.Start
	if request.CompressedDigest != v.compressedDigest || start > uint64(len(v.compressed)) {
		start = 0
	}
	end := min(start+pieceBytes, uint64(len(v.compressed)))
	return &gossiper.Piece{
		Digest: v.digest, Start: start, CompressedSize: uint64(len(v.compressed)), Data: v.compressed[start:end], CompressedDigest: v.compressedDigest,
	}
}

// decompress returns the value with the given reference.
func decompress(compressed []byte, reference *gossiper.ValueReference) ([]byte, error) {
	value := bytes.NewBuffer(make([]byte, 0, reference.Size))
	n, err := io.Copy(value, io.LimitReader(flate.NewReader(bytes.NewReader(compressed)), int64(reference.Size)+1))
	if err != nil {
		return nil, err
	}
	if uint64(n) != reference.Size || xxhash.Sum64(value.Bytes()) != reference.Digest {
		return nil, fmt.Errorf("value of %d bytes does not match its reference", n)
	}
	return value.Bytes(), nil
}
