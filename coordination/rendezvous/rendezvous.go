// Package rendezvous assigns keys to members by highest random weight (rendezvous
// hashing). Every daemon with the same member list computes the same owner, and when a
// member joins or leaves, only the keys that it gains or owned move.
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

// Weight returns the weight of member for key. It depends on nothing else, so all
// daemons and all versions of the program compute the same value.
func Weight(key, member string) uint64 {
	h := xxhash.Sum64String(key) ^ (xxhash.Sum64String(member) * mixMultiplier1)
	h ^= h >> 30
	h *= mixMultiplier1
	h ^= h >> 27
	h *= mixMultiplier2
	return h ^ h>>31
}

// Owner returns the member with the highest weight for key, or false if there are no
// members. The order of members does not matter. Owner does not allocate.
func Owner[M ~string](key string, members []M) (M, bool) {
	var best M
	var top uint64
	for i, m := range members {
		w := Weight(key, string(m))
		if i == 0 || ranksBefore(w, m, top, best) {
			best, top = m, w
		}
	}
	return best, len(members) > 0
}

// Rank returns up to n members in descending order of weight for key: the owner first,
// then the member that would own key without it, and so on.
func Rank[M ~string](key string, members []M, n int) []M {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b M) int {
		if ranksBefore(Weight(key, string(a)), a, Weight(key, string(b)), b) {
			return -1
		}
		return 1
	})
	return ranked[:min(n, len(ranked))]
}

// ranksBefore reports whether (w, m) ranks before (v, o). Equal weights are ordered by
// name so that all daemons agree.
func ranksBefore[M ~string](w uint64, m M, v uint64, o M) bool {
	if w != v {
		return w > v
	}
	return m < o
}
