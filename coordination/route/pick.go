package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
)

// Parameters of a pool's score. The score is the share of its slots in use or, if none
// is free, 1 plus the seconds until its queue drains.
const (
	scoreUnknown       = 0.5
	scoreNoSlots       = 1e6
	assumedReleaseRate = 1.0  // slots released per second, if unknown
	prefixBonus        = 0.25 // score disadvantage that is tolerated for the pool that may have the prefix cached
	remotePenalty      = 1.0  // score penalty of a pool in another region
)

// poolLoad is a pool's last summary and the number of requests that this daemon has
// sent there since.
type poolLoad struct {
	summary    home.Summary
	receivedAt time.Time
	sentSince  int
}

// score estimates the load of a pool; lower is better.
func (s *poolLoad) score(now time.Time, maxAge time.Duration) float64 {
	if s.receivedAt.IsZero() || now.Sub(s.receivedAt) > maxAge {
		return scoreUnknown
	}
	if s.summary.Slots == 0 {
		return scoreNoSlots
	}
	slots := float64(s.summary.Slots)
	used := float64(s.summary.Used) + float64(s.sentSince)
	if used < slots && s.summary.Waiting == 0 {
		return used / slots
	}
	rate := float64(s.summary.Rate)
	if rate <= 0 {
		rate = assumedReleaseRate
	}
	return 1 + (float64(s.summary.Waiting)+float64(s.sentSince))/rate
}

// picker chooses a pool for a request by the power of two choices over the last
// received summaries. If all daemons chose the best of all pools, they would all send
// to the same pool until its next summary.
type picker struct {
	rng    *rand.Rand
	maxAge time.Duration
}

// pick returns the pool to try next, or nil if all have been tried. Pools of the
// daemon's own region come first, and those of other regions if it has no free slot.
func (k picker) pick(now time.Time, s *serviceInfo, req *slotRequest) *poolInfo {
	inRegion := k.pickFrom(now, s.pools[:s.local], req)
	if inRegion != nil && inRegion.load.score(now, k.maxAge) < 1 {
		return inRegion
	}
	outOfRegion := k.pickFrom(now, s.pools[s.local:], req)
	if inRegion == nil || outOfRegion == nil {
		if inRegion == nil {
			return outOfRegion
		}
		return inRegion
	}
	if outOfRegion.load.score(now, k.maxAge)+remotePenalty < inRegion.load.score(now, k.maxAge) {
		return outOfRegion
	}
	return inRegion
}

// pickFrom returns the better of two pools that the request has not tried. For a
// request with prefixes the first candidate is always the same pool, so that requests
// with one prefix meet where it is cached, and the second has to be clearly better.
func (k picker) pickFrom(now time.Time, pools []*poolInfo, req *slotRequest) *poolInfo {
	first := k.preferredByPrefix(pools, req)
	bonus := prefixBonus
	if first == nil {
		first, bonus = k.random(pools, req, nil), 0
	}
	second := k.random(pools, req, first)
	if second == nil {
		return first
	}
	if second.load.score(now, k.maxAge)+bonus < first.load.score(now, k.maxAge) {
		return second
	}
	return first
}

// preferredByPrefix returns the pool of the request's longest prefix, unless it was
// tried.
func (k picker) preferredByPrefix(pools []*poolInfo, req *slotRequest) *poolInfo {
	if len(req.acquire.Prefixes) == 0 || len(pools) == 0 {
		return nil
	}
	var best *poolInfo
	var top uint64
	for _, p := range pools {
		if w := rendezvous.Weight(string(p.spec.ID), "") ^ req.acquire.Prefixes[0]*prefixMultiplier; best == nil || w > top {
			best, top = p, w
		}
	}
	if slices.Contains(req.triedPools, best.spec.ID) {
		return nil
	}
	return best
}

// prefixMultiplier spreads prefix hashes over all bits.
const prefixMultiplier = 0x9e3779b97f4a7c15

// random returns a random pool, other than except, that has not been tried, or nil.
func (k picker) random(pools []*poolInfo, req *slotRequest, except *poolInfo) *poolInfo {
	var chosen *poolInfo
	seen := 0
	for _, p := range pools {
		if p == except || slices.Contains(req.triedPools, p.spec.ID) {
			continue
		}
		seen++
		if k.rng.IntN(seen) == 0 {
			chosen = p
		}
	}
	return chosen
}
