package target

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellseam/bluebellseam/internal/systems/prefix"
)

// bytesPerToken is the length of a prompt token in bytes.
const bytesPerToken = 4

// PromptTokens returns the length of a prompt in tokens.
func PromptTokens(prompt string) int {
	return (len(prompt) + bytesPerToken - 1) / bytesPerToken
}

// PrefixChain returns one hash per whole block of prefix.BlockTokens tokens of
// the prompt. Each hash covers the model, the adapter and the prompt up to
// the end of its block, as in the engines' cache events.
func PrefixChain(model, adapter, prompt string) []uint64 {
	const blockBytes = prefix.BlockTokens * bytesPerToken
	chain := make([]uint64, 0, len(prompt)/blockBytes)
	hash := xxhash.Sum64String(model + "\x00" + adapter)
	for start := 0; start+blockBytes <= len(prompt); start += blockBytes {
		hash = nextHash(hash, prompt[start:start+blockBytes])
		chain = append(chain, hash)
	}
	return chain
}

func nextHash(previous uint64, block string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(block)
	return d.Sum64()
}
