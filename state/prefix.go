package state

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBlockSize is the number of bytes of a prompt that one cached block covers.
	PrefixBlockSize = 64
	// MaxPrefixes is the maximum number of blocks of one prompt that are hashed.
	MaxPrefixes = 16
)

// Prefixes returns the hashes of the prompt's block-aligned prefixes, shortest
// first: element i is the xxhash of the first (i+1)*PrefixBlockSize bytes. An
// incomplete last block is ignored. Engines use the same hashes in their cache
// events.
func Prefixes(prompt string) []uint64 {
	n := min(len(prompt)/PrefixBlockSize, MaxPrefixes)
	if n == 0 {
		return nil
	}
	out := make([]uint64, 0, n)
	d := xxhash.New()
	for i := range n {
		_, _ = d.WriteString(prompt[i*PrefixBlockSize : (i+1)*PrefixBlockSize])
		out = append(out, d.Sum64())
	}
	return out
}
