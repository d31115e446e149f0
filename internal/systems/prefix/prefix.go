// Package prefix maintains an index of the prompt prefixes that each engine has
// cached. The index is updated from the dispatched requests and corrected by the
// engines' cache events, which may be late or lost.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// BlockTokens is the length of a prefix block in tokens.
const BlockTokens = 16

const (
	// indexStride is the number of blocks between indexed positions of a chain.
	indexStride = 8
	// DefaultCacheTokens is the assumed cache size of an engine in tokens.
	DefaultCacheTokens = 200_000
	// lostEventsPenalty is the factor applied to the confidence in a target
	// each time some of its cache events were lost.
	lostEventsPenalty = 0.8
	// confidenceWeight is the weight of one observed hit ratio in the
	// confidence, which is a moving average.
	confidenceWeight = 0.05
	// maxShared is the number of shared prefixes kept per target.
	maxShared = 32
)

// bytesPerToken is the assumed length of a token in bytes.
const bytesPerToken = 4

// Chain returns one hash per complete block of a prompt. Each hash covers scope
// and the prompt up to the end of the block. Scope identifies everything else
// that a cache entry depends on.
func Chain(scope string, prompt []byte) []uint64 {
	const blockBytes = BlockTokens * bytesPerToken
	chain := make([]uint64, 0, len(prompt)/blockBytes)
	previous := xxhash.Sum64String(scope)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		d := xxhash.NewWithSeed(0)
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, previous))
		_, _ = d.Write(prompt[start : start+blockBytes])
		previous = d.Sum64()
		chain = append(chain, previous)
	}
	return chain
}

// Index records which prefix blocks each target has probably cached.
type Index struct {
	targets map[tables.TargetID]*targetBlocks
	// cacheTokens is the assumed cache size of an engine in tokens.
	cacheTokens int
}

type targetBlocks struct {
	blocks     *simplelru.LRU[uint64, struct{}]
	shared     *simplelru.LRU[uint64, struct{}]
	confidence float64
}

// NewIndex returns an empty index that assumes DefaultCacheTokens per engine.
func NewIndex() *Index { return NewIndexWithCacheTokens(DefaultCacheTokens) }

// NewIndexWithCacheTokens returns an empty index that assumes a cache of the
// given size in tokens per engine.
func NewIndexWithCacheTokens(tokens int) *Index {
	return &Index{targets: make(map[tables.TargetID]*targetBlocks), cacheTokens: tokens}
}

func (idx *Index) target(id tables.TargetID) *targetBlocks {
	tb := idx.targets[id]
	if tb == nil {
		tb = &targetBlocks{
			blocks:     newLRU(idx.cacheTokens / (BlockTokens * indexStride)),
			shared:     newLRU(maxShared),
			confidence: 1,
		}
		idx.targets[id] = tb
	}
	return tb
}

func newLRU(size int) *simplelru.LRU[uint64, struct{}] {
	l, err := simplelru.NewLRU[uint64, struct{}](max(size, 1), nil)
	if err != nil {
		panic("prefix: LRU of positive size refused: " + err.Error())
	}
	return l
}

// RecordStored records that a target has computed a prompt with the given chain.
func (idx *Index) RecordStored(id tables.TargetID, chain []uint64) {
	if len(chain) == 0 {
		return
	}
	tb := idx.target(id)
	// Add the head last, so that the LRU evicts the tail first.
	for i := len(chain) / indexStride * indexStride; i > 0; i -= indexStride {
		tb.blocks.Add(chain[i-1], struct{}{})
	}
}

// RecordEvicted records that a target has dropped blocks from its cache.
func (idx *Index) RecordEvicted(id tables.TargetID, blocks []uint64) {
	tb := idx.targets[id]
	if tb == nil {
		return
	}
	for _, b := range blocks {
		tb.blocks.Remove(b)
	}
}

// RecordLostEvents records that cache events of a target were lost.
func (idx *Index) RecordLostEvents(id tables.TargetID) {
	idx.target(id).confidence *= lostEventsPenalty
}

// UpdateConfidence updates the confidence in a target from the number of cached
// tokens that it reported for a request and the number expected.
func (idx *Index) UpdateConfidence(id tables.TargetID, expected, cached int) {
	if expected <= 0 {
		return
	}
	tb := idx.target(id)
	hitRatio := min(float64(cached)/float64(expected), 1)
	tb.confidence += confidenceWeight * (hitRatio - tb.confidence)
}

// Forget drops the blocks and the confidence of a target, for example after it
// restarted.
func (idx *Index) Forget(id tables.TargetID) { delete(idx.targets, id) }

// RecordStoredShared records that a target has cached the shared prefix with the
// given hash. A zero hash is ignored.
func (idx *Index) RecordStoredShared(id tables.TargetID, hash uint64) {
	if hash != 0 {
		idx.target(id).shared.Add(hash, struct{}{})
	}
}

// SharedHashes returns the shared prefixes that a target has probably cached,
// each by the low 32 bits of its hash; see Chain.
func (idx *Index) SharedHashes(id tables.TargetID) []uint32 {
	tb := idx.targets[id]
	if tb == nil {
		return nil
	}
	var out []uint32
	for _, hash := range tb.shared.Keys() {
		if tb.blocks.Contains(hash) {
			out = append(out, uint32(hash))
		}
	}
	return out
}

// Match returns the expected number of leading tokens of chain that a target
// has cached, scaled by the confidence in the target.
func (idx *Index) Match(id tables.TargetID, chain []uint64) int {
	tb := idx.targets[id]
	if tb == nil {
		return 0
	}
	low, high := 0, len(chain)/indexStride
	for low < high {
		mid := (low + high + 1) / 2
		if tb.blocks.Contains(chain[mid*indexStride-1]) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return int(float64(low*indexStride*BlockTokens) * tb.confidence)
}
