// Package prefix turns a prompt into a chain of block hashes.
//
// A block stands for about a thousand tokens. The chain is seeded with the
// client account, the model and its weights version, so that equal hashes can
// never come from different accounts or weights. The hash of a block covers
// all blocks before it.
//
// # Usage
//
//	chain := prefix.Seed("school-7", "ledger", "w3").Chain(prompt, buffer[:0])
package prefix

import "encoding/binary"

const (
	// BytesPerToken is the usual length of a token in UTF-8 text.
	BytesPerToken = 4
	// BlockTokens is the size of a cache block, in tokens.
	BlockTokens = 1000
	// BlockBytes is the size of a block, in bytes of prompt.
	BlockBytes = BlockTokens * BytesPerToken
	// MaxBlocks bounds a chain; what follows in a longer prompt is not hashed.
	MaxBlocks = 64
)

// Hash identifies a block together with all that precedes it.
type Hash uint64

// Seed returns the hash from which a chain starts.
func Seed(account, model, weights string) Hash {
	hash := uint64(offset)
	for _, part := range []string{account, model, weights} {
		hash = mixString(hash, part)
		hash = Mix(hash ^ uint64(len(part)))
	}
	return Hash(hash)
}

// Chain appends to chain the hash of each full block of the prompt. The last,
// partial block is left out, since engines cache full blocks only.
func (hash Hash) Chain(prompt []byte, chain []Hash) []Hash {
	state := uint64(hash)
	for len(prompt) >= BlockBytes && len(chain) < MaxBlocks {
		state = mixBytes(state, prompt[:BlockBytes])
		chain = append(chain, Hash(state))
		prompt = prompt[BlockBytes:]
	}
	return chain
}

// Digest hashes any text, for identities that need no chain.
func Digest(text string) uint64 {
	return mixString(offset, text)
}

// Tokens estimates the number of tokens in a text of the given length.
func Tokens(bytes int) int {
	return (bytes + BytesPerToken - 1) / BytesPerToken
}

const (
	offset     = 0x9e3779b97f4a7c15
	multiplier = 0xd6e8feb86659fd93
)

// Mix is a bijective 64-bit finalizer with full avalanche (Stafford's Mix13).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	x ^= x >> 31
	return x
}

func mixString(state uint64, text string) uint64 {
	for len(text) >= 8 {
		word := uint64(text[0]) | uint64(text[1])<<8 | uint64(text[2])<<16 | uint64(text[3])<<24 |
			uint64(text[4])<<32 | uint64(text[5])<<40 | uint64(text[6])<<48 | uint64(text[7])<<56
		state = Mix(state ^ word*multiplier)
		text = text[8:]
	}
	word := uint64(len(text)) << 56
	for i := range len(text) {
		word |= uint64(text[i]) << (8 * i)
	}
	return Mix(state ^ word*multiplier)
}

func mixBytes(state uint64, text []byte) uint64 {
	for len(text) >= 8 {
		state = Mix(state ^ binary.LittleEndian.Uint64(text)*multiplier)
		text = text[8:]
	}
	word := uint64(len(text)) << 56
	for i, b := range text {
		word |= uint64(b) << (8 * i)
	}
	return Mix(state ^ word*multiplier)
}
