package prefix

import (
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// DefaultSharedHashes is the default number of prefix hashes remembered for the
// detection of shared prefixes.
const DefaultSharedHashes = 1 << 16

// SharedPrefixes detects prompt prefixes that several requests have in common.
// Hosts that receive similar prompts detect the same prefixes without any
// coordination.
type SharedPrefixes struct {
	seen *simplelru.LRU[uint64, struct{}]
}

// NewSharedPrefixes returns a detector that remembers the given number of prefix
// hashes.
func NewSharedPrefixes(hashes int) *SharedPrefixes {
	return &SharedPrefixes{seen: newLRU(hashes)}
}

// MatchShared returns the length in tokens of the longest prefix of chain whose
// hash is among the hashes in a target's summary.
func MatchShared(chain []uint64, hashes []uint32) int {
	if len(hashes) == 0 {
		return 0
	}
	for i := len(chain) / indexStride * indexStride; i > 0; i -= indexStride {
		if slices.Contains(hashes, uint32(chain[i-1])) {
			return i * BlockTokens
		}
	}
	return 0
}

// Find returns the hash and the length in tokens of the longest prefix of chain
// that an earlier chain also had, or zeros if there is none. It also records
// chain for later calls.
func (s *SharedPrefixes) Find(chain []uint64) (hash uint64, tokens int) {
	for i := len(chain) / indexStride * indexStride; i > 0; i -= indexStride {
		prefixHash := chain[i-1]
		if hash == 0 && s.seen.Contains(prefixHash) {
			hash, tokens = prefixHash, i*BlockTokens
		}
		s.seen.Add(prefixHash, struct{}{})
	}
	return hash, tokens
}
