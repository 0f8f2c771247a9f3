// Package prefix computes the chain of block hashes of a prompt.
//
// A block is about a thousand tokens long. The chain is seeded with the client
// account, the model and its weights version, so that equal hashes never come from
// different accounts, models or weights. The hash of a block covers all blocks
// before it.
//
// # Usage
//
//	chain := prefix.Seed("school-7", "ledger", "w3").Chain(prompt, buffer[:0])
package prefix

import "encoding/binary"

const (
	// BytesPerToken is the typical length of a token in UTF-8 text.
	BytesPerToken = 4
	// BlockTokens is the size of a cache block, in tokens.
	BlockTokens = 1000
	// BlockBytes is the size of a block, in bytes of the prompt.
	BlockBytes = BlockTokens * BytesPerToken
	// MaxBlocks is the maximum length of a chain. The part of a longer prompt that
	// follows is not hashed.
	MaxBlocks = 64
)

// Hash identifies a block together with all blocks before it and the seed.
type Hash uint64

// Seed returns the hash with which a chain starts.
func Seed(account, model, weights string) Hash {
	hash := uint64(initialState)
	for _, part := range []string{account, model, weights} {
		hash = mixString(hash, part)
		hash = Mix(hash ^ uint64(len(part)))
	}
	return Hash(hash)
}

// Chain appends the hash of each full block of the prompt to chain. It skips a
// partial block at the end, since engines cache only full blocks.
func (hash Hash) Chain(prompt []byte, chain []Hash) []Hash {
	state := uint64(hash)
	for len(prompt) >= BlockBytes && len(chain) < MaxBlocks {
		state = mixBytes(state, prompt[:BlockBytes])
		chain = append(chain, Hash(state))
		prompt = prompt[BlockBytes:]
	}
	return chain
}

// Digest hashes a text that needs no chain, such as an ID.
func Digest(text string) uint64 {
	return mixString(initialState, text)
}

// Tokens estimates the number of tokens in a text of the given length.
func Tokens(bytes int) int {
	return (bytes + BytesPerToken - 1) / BytesPerToken
}

const (
	initialState = 0x9e3779b97f4a7c15
	multiplier   = 0xd6e8feb86659fd93
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
