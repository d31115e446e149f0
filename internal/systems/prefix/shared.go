package prefix

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// DefaultSharedBlocks is the number of block hashes that a Shared remembers.
const DefaultSharedBlocks = 1 << 16

// Shared finds out which part of a prompt other prompts have in common with
// it. Hosts that see the same kinds of prompts come to the same parts without
// talking to each other.
type Shared struct {
	seen *simplelru.LRU[uint64, struct{}]
}

// NewShared returns a Shared that remembers a number of block hashes.
func NewShared(blocks int) *Shared {
	return &Shared{seen: newLRU(blocks)}
}

// Held returns the length in tokens of the longest prefix of chain that a
// target names in its summary.
func Held(chain []uint64, names []uint32) int {
	if len(names) == 0 {
		return 0
	}
	for i := len(chain) / stride * stride; i > 0; i -= stride {
		if slices.Contains(names, uint32(chain[i-1])) {
			return i * BlockTokens
		}
	}
	return 0
}

// Find returns the hash and length in tokens of the longest prefix of chain
// that an earlier chain had, and remembers chain. Without one, both are zero.
func (s *Shared) Find(chain []uint64) (hash uint64, tokens int) {
	for i := len(chain) / stride * stride; i > 0; i -= stride {
		block := chain[i-1]
		if hash == 0 && s.seen.Contains(block) {
			hash, tokens = block, i*BlockTokens
		}
		s.seen.Add(block, struct{}{})
	}
	return hash, tokens
}
