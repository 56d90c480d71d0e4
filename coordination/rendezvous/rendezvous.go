// Package rendezvous assigns keys to members by highest random weight. Every
// daemon with the same members computes the same owner, and a member that
// comes or goes moves only the keys that it gains or held.
package rendezvous

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The multipliers of the splitmix64 finalizer.
const (
	mixMultiplier1 = 0xbf58476d1ce4e5b9
	mixMultiplier2 = 0x94d049bb133111eb
)

// Weight is the weight of member for key. It depends on nothing else, so it
// is the same on every daemon and in every version of the program.
func Weight(key, member string) uint64 {
	h := xxhash.Sum64String(key) ^ (xxhash.Sum64String(member) * mixMultiplier1)
	h ^= h >> 30
	h *= mixMultiplier1
	h ^= h >> 27
	h *= mixMultiplier2
	return h ^ h>>31
}

// Owner returns the member with the highest weight for key; false without
// members. The order of members does not matter. It does not allocate.
func Owner[M ~string](key string, members []M) (M, bool) {
	var best M
	var top uint64
	for i, m := range members {
		w := Weight(key, string(m))
		if i == 0 || before(w, m, top, best) {
			best, top = m, w
		}
	}
	return best, len(members) > 0
}

// Rank returns up to n members by falling weight for key: the owner first,
// then the one that would own key without it, and so on.
func Rank[M ~string](key string, members []M, n int) []M {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b M) int {
		if before(Weight(key, string(a)), a, Weight(key, string(b)), b) {
			return -1
		}
		return 1
	})
	return ranked[:min(n, len(ranked))]
}

// before reports whether (w, m) ranks before (v, o); equal weights are
// ordered by name so that all daemons agree.
func before[M ~string](w uint64, m M, v uint64, o M) bool {
	if w != v {
		return w > v
	}
	return m < o
}
