package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
)

// The score of a pool is the share of its slots in use, or 1 and the seconds
// that its queue takes where none is free.
const (
	scoreUnknown  = 0.5
	scoreNoSlots  = 1e6
	unknownRate   = 1.0  // slots a second that come free, where not known
	prefixBonus   = 0.25 // a worse score that a pool may have which may hold the prefix
	remotePenalty = 1.0  // a worse score that counts against a pool of another region
)

// lastSeen is a pool's last summary and what this daemon asked for since.
type lastSeen struct {
	summary home.Summary
	at      time.Time
	sent    int
}

// score tells how loaded a pool seems; lower is better.
func (s *lastSeen) score(now time.Time, maxAge time.Duration) float64 {
	if s.at.IsZero() || now.Sub(s.at) > maxAge {
		return scoreUnknown
	}
	if s.summary.Slots == 0 {
		return scoreNoSlots
	}
	slots := float64(s.summary.Slots)
	used := float64(s.summary.Used) + float64(s.sent)
	if used < slots && s.summary.Waiting == 0 {
		return used / slots
	}
	rate := float64(s.summary.Rate)
	if rate <= 0 {
		rate = unknownRate
	}
	return 1 + (float64(s.summary.Waiting)+float64(s.sent))/rate
}

// picker chooses a pool for an ask by the power of two choices over the last
// seen summaries. Taking the best of all would send every daemon to the same
// pool until its next summary.
type picker struct {
	rng    *rand.Rand
	maxAge time.Duration
}

// pick returns the pool to ask, or nil if all were tried. In the own region
// first; in others if that one has no free slot.
func (k picker) pick(now time.Time, s *serviceInfo, a *ask) *poolInfo {
	near := k.among(now, s.pools[:s.local], a)
	if near != nil && near.load.score(now, k.maxAge) < 1 {
		return near
	}
	distant := k.among(now, s.pools[s.local:], a)
	if near == nil || distant == nil {
		if near == nil {
			return distant
		}
		return near
	}
	if distant.load.score(now, k.maxAge)+remotePenalty < near.load.score(now, k.maxAge) {
		return distant
	}
	return near
}

// among returns the better of two pools that the ask has not tried. For an ask
// with prefixes the first of them is always the same pool, so that requests of
// one prefix meet where it is cached, and the second has to be clearly better.
func (k picker) among(now time.Time, pools []*poolInfo, a *ask) *poolInfo {
	first := k.preferred(pools, a)
	bonus := prefixBonus
	if first == nil {
		first, bonus = k.random(pools, a, nil), 0
	}
	second := k.random(pools, a, first)
	if second == nil {
		return first
	}
	if second.load.score(now, k.maxAge)+bonus < first.load.score(now, k.maxAge) {
		return second
	}
	return first
}

// preferred returns the pool of the ask's longest prefix, unless it was tried.
func (k picker) preferred(pools []*poolInfo, a *ask) *poolInfo {
	if len(a.want.Prefixes) == 0 || len(pools) == 0 {
		return nil
	}
	var best *poolInfo
	var top uint64
	for _, p := range pools {
		if w := rendezvous.Weight(string(p.spec.ID), "") ^ a.want.Prefixes[0]*prefixSpread; best == nil || w > top {
			best, top = p, w
		}
	}
	if slices.Contains(a.tried, best.spec.ID) {
		return nil
	}
	return best
}

// prefixSpread spreads prefix hashes over all bits.
const prefixSpread = 0x9e3779b97f4a7c15

// random returns a random untried pool other than not, or nil.
func (k picker) random(pools []*poolInfo, a *ask, not *poolInfo) *poolInfo {
	var chosen *poolInfo
	seen := 0
	for _, p := range pools {
		if p == not || slices.Contains(a.tried, p.spec.ID) {
			continue
		}
		seen++
		if k.rng.IntN(seen) == 0 {
			chosen = p
		}
	}
	return chosen
}
