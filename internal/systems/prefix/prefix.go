// Package prefix keeps an index of which prompt prefixes each engine holds.
// Its sources are the dispatches themselves, corrected by the engines' cache
// events, which come late and with gaps.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellseam/bluebellseam/internal/tables"
)

// BlockTokens is the length of one prefix block in tokens.
const BlockTokens = 16

const (
	// stride is the distance in blocks between indexed positions of a chain.
	stride = 8
	// DefaultCacheTokens is the assumed cache of an engine in tokens.
	DefaultCacheTokens = 200_000
	// gapFactor multiplies the confidence in a target at each gap in its
	// events, and agreement moves it back towards one.
	gapFactor = 0.8
	agreement = 0.05
	// maxShared bounds the shared prompt parts that are named of one target.
	maxShared = 32
)

// bytesPerToken is the assumed length of a token in bytes.
const bytesPerToken = 4

// Chain returns one hash per whole block of a prompt. Each hash covers the
// scope, which names what else a cache entry depends on, and the prompt up to
// the end of its block.
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

// Index maps targets to the prefix blocks that they probably hold.
type Index struct {
	targets map[tables.TargetID]*held
	// cacheTokens is the assumed cache of one engine in tokens.
	cacheTokens int
}

type held struct {
	blocks     *simplelru.LRU[uint64, struct{}]
	shared     *simplelru.LRU[uint64, struct{}]
	confidence float64
}

// NewIndex returns an empty index that assumes DefaultCacheTokens per engine.
func NewIndex() *Index { return NewIndexOf(DefaultCacheTokens) }

// NewIndexOf returns an empty index that assumes a cache of tokens per engine.
func NewIndexOf(tokens int) *Index {
	return &Index{targets: make(map[tables.TargetID]*held), cacheTokens: tokens}
}

func (x *Index) target(id tables.TargetID) *held {
	h := x.targets[id]
	if h == nil {
		h = &held{
			blocks:     newLRU(x.cacheTokens / (BlockTokens * stride)),
			shared:     newLRU(maxShared),
			confidence: 1,
		}
		x.targets[id] = h
	}
	return h
}

func newLRU(size int) *simplelru.LRU[uint64, struct{}] {
	l, err := simplelru.NewLRU[uint64, struct{}](max(size, 1), nil)
	if err != nil {
		panic("prefix: LRU of positive size refused: " + err.Error())
	}
	return l
}

// Stored records that a target computed a prompt with this chain of blocks.
func (x *Index) Stored(id tables.TargetID, chain []uint64) {
	if len(chain) == 0 {
		return
	}
	h := x.target(id)
	// The head goes in last, so that the tail is evicted before it.
	for i := len(chain) / stride * stride; i > 0; i -= stride {
		h.blocks.Add(chain[i-1], struct{}{})
	}
}

// Evicted records that a target dropped these blocks.
func (x *Index) Evicted(id tables.TargetID, blocks []uint64) {
	h := x.targets[id]
	if h == nil {
		return
	}
	for _, b := range blocks {
		h.blocks.Remove(b)
	}
}

// Gap records that events of a target were lost.
func (x *Index) Gap(id tables.TargetID) { x.target(id).confidence *= gapFactor }

// Observed corrects the confidence in a target by the cached tokens that it
// reported against the expected ones.
func (x *Index) Observed(id tables.TargetID, expected, cached int) {
	if expected <= 0 {
		return
	}
	h := x.target(id)
	got := min(float64(cached)/float64(expected), 1)
	h.confidence += agreement * (got - h.confidence)
}

// Forget drops all that is known of a target, for example after its restart.
func (x *Index) Forget(id tables.TargetID) { delete(x.targets, id) }

// StoredShared records that a target holds a shared prompt part that ends in
// block.
func (x *Index) StoredShared(id tables.TargetID, block uint64) {
	if block != 0 {
		x.target(id).shared.Add(block, struct{}{})
	}
}

// Shared names the shared prompt parts that the target probably holds, by the
// low half of the hash of their last block.
func (x *Index) Shared(id tables.TargetID) []uint32 {
	h := x.targets[id]
	if h == nil {
		return nil
	}
	var out []uint32
	for _, block := range h.shared.Keys() {
		if h.blocks.Contains(block) {
			out = append(out, uint32(block))
		}
	}
	return out
}

// Match returns the tokens of chain that the target probably holds.
func (x *Index) Match(id tables.TargetID, chain []uint64) int {
	h := x.targets[id]
	if h == nil {
		return 0
	}
	low, high := 0, len(chain)/stride
	for low < high {
		mid := (low + high + 1) / 2
		if h.blocks.Contains(chain[mid*stride-1]) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return int(float64(low*stride*BlockTokens) * h.confidence)
}
