package state

import "github.com/cespare/xxhash/v2"

const (
	// PrefixBlock is how many bytes of a prompt one cached block covers.
	PrefixBlockSize = 64
	// MaxPrefixes bounds the blocks of one prompt that are looked at.
	MaxPrefixes = 16
)

// Prefixes returns the names of a prompt's whole blocks, shortest prefix first:
// element i is the xxhash of the first (i+1)*PrefixBlock bytes. Engines use the
// same names in their cache events.
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
