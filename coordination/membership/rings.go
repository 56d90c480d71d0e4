package membership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Constants of the 64-bit mix function of splitmix64.
const (
	mixStep = 0x9e3779b97f4a7c15
	mixMul1 = 0xbf58476d1ce4e5b9
	mixMul2 = 0x94d049bb133111eb
)

func mix(x uint64) uint64 {
	x = (x ^ x>>30) * mixMul1
	x = (x ^ x>>27) * mixMul2
	return x ^ x>>31
}

func hashID(id state.DaemonID) uint64 {
	return xxhash.Sum64String(string(id))
}

// ringPosition returns the position on a ring of the daemon whose ID hashes to h.
func ringPosition(h uint64, ring int) uint64 {
	return mix(h + uint64(ring+1)*mixStep)
}

// maxFullMesh is the number of live members up to which all are neighbours. With few members, a
// few rings leave some members with hardly any working neighbour when others fail, and a
// suspect may then not be notified of its suspicion in time.
const maxFullMesh = 17

// neighbours returns self's successor and predecessor among the live members on each ring,
// without duplicates, or all live members up to maxFullMesh. The relation is symmetric between
// two daemons with equal views, so one connection serves both directions.
func neighbours(t *table, self *entry, rings int) []*entry {
	var out []*entry
	seen := map[state.DaemonID]bool{self.id: true}
	add := func(e *entry) {
		if e != nil && !seen[e.id] {
			seen[e.id] = true
			out = append(out, e)
		}
	}
	if t.live() <= maxFullMesh {
		for _, e := range t.sorted {
			if e.state.live() {
				add(e)
			}
		}
		return out
	}
	for r := range rings {
		next, prev := adjacent(t, self, r)
		add(next)
		add(prev)
	}
	return out
}

// adjacent finds the live members directly after and before self on one ring; nil if there are
// none. Distances wrap around in uint64 arithmetic.
func adjacent(t *table, self *entry, ring int) (next, prev *entry) {
	at := ringPosition(self.hash, ring)
	var ahead, behind uint64
	for _, e := range t.sorted {
		if e == self || !e.state.live() {
			continue
		}
		d := ringPosition(e.hash, ring) - at
		if next == nil || d < ahead {
			next, ahead = e, d
		}
		if prev == nil || -d < behind {
			prev, behind = e, -d
		}
	}
	return next, prev
}
