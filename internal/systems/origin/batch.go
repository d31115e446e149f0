package origin

import (
	"encoding/binary"
	"iter"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// idBytes is the length of a stream ID in a Batch.
const idBytes = 8

// Batch holds entries of a registry: for each version the IDs of its streams, idBytes
// each, big-endian. It is encoded as JSON in messages between hosts.
type Batch map[tables.SoftwareVersion][]byte

// Add adds an entry.
func (b Batch) Add(id StreamID, version tables.SoftwareVersion) {
	b[version] = binary.BigEndian.AppendUint64(b[version], uint64(id))
}

// Len returns the number of entries.
func (b Batch) Len() int {
	n := 0
	for _, packed := range b {
		n += len(packed) / idBytes
	}
	return n
}

// streams returns the stream IDs in packed. It returns none if the length is malformed.
func streams(packed []byte) iter.Seq[StreamID] {
	return func(yield func(StreamID) bool) {
		if len(packed)%idBytes != 0 {
			return
		}
		for ; len(packed) > 0; packed = packed[idBytes:] {
			if !yield(StreamID(binary.BigEndian.Uint64(packed))) {
				return
			}
		}
	}
}
