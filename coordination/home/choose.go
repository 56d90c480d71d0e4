package home

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// A replica believed to hold a request's prefix is taken in place of the best
// one only if it is at least affinitySpeed as fast and at most affinityLoad
// more loaded, as a share of its slots. So a belief made wrong by late or lost
// cache events costs one prefill and this much of speed and load, no more.
const (
	affinitySpeed = 0.7
	affinityLoad  = 0.25
)

// choose returns the replica for w, or nil: the fastest kind that has a free
// slot, its least loaded replica, unless prefix affinity prefers another.
func (p *pool) choose(w *wait, now time.Time) *replica {
	if w.alone {
		return p.chooseAlone(w, now)
	}
	var best *replica
	var speed, load float64
	for _, r := range p.order {
		if best != nil && r.speed < speed {
			break // sorted by speed, and a replica's effective speed is no higher
		}
		if !p.usable(r, w, now) {
			continue
		}
		s := r.effective(now, p.base, p.cfg.SpeedSampleTTL)
		if w.late(now, s) {
			continue
		}
		l := float64(r.used) / float64(r.slots)
		if best == nil || s > speed || s == speed && l < load {
			best, speed, load = r, s, l
		}
	}
	if best == nil {
		return nil
	}
	if r := p.affine(w, speed, load, now); r != nil {
		return r
	}
	return best
}

// usable reports whether w may get a slot of r now.
func (p *pool) usable(r *replica, w *wait, now time.Time) bool {
	if !r.offers(now) || r.held != nil || r.alone {
		return false
	}
	if r.failures > 0 && r.probing {
		return false
	}
	if len(w.exclude) > 0 && slices.Contains(w.exclude, r.id) {
		return false
	}
	return r.free(p.terms, w.class, p.grantable(r))
}

// affine returns the replica that is believed to hold the longest prefix of w
// and is not much worse than the best one.
func (p *pool) affine(w *wait, speed, load float64, now time.Time) *replica {
	for _, prefix := range w.prefixes {
		for _, claim := range p.cache.claims(prefix) {
			r := p.replicas[claim.replica]
			if r == nil || !p.cache.fresh(now, claim) || !p.usable(r, w, now) {
				continue
			}
			s := r.effective(now, p.base, p.cfg.SpeedSampleTTL)
			l := float64(r.used) / float64(r.slots)
			if s >= affinitySpeed*speed && l <= load+affinityLoad && !w.late(now, s) {
				return r
			}
		}
	}
	return nil
}

// chooseAlone returns an idle replica for w. Without one it holds the least
// loaded replica back from other work, one in a pool at a time, until it is
// idle; under full load w would otherwise never run.
func (p *pool) chooseAlone(w *wait, now time.Time) *replica {
	if p.holding != nil && p.holding.held != w {
		return nil
	}
	if p.holding != nil {
		if p.settled(p.holding, w, now) {
			return p.holding
		}
		return nil
	}
	var best *replica
	for _, r := range p.order {
		if !p.usableAlone(r, w, now) {
			continue
		}
		if p.settled(r, w, now) {
			return r
		}
		if best == nil || r.used < best.used {
			best = r
		}
	}
	if best != nil {
		best.held = w
		p.holding = best
		return nil
	}
	return p.chooseFailed(w, now)
}

// chooseFailed returns an idle replica that has failed, to be proved by w, where no
// replica in good standing is left for w. Elsewhere other requests prove it: a server
// that is not sound yet would have w taken for what ended it. Here nobody else may
// come, and w would wait for its deadline.
func (p *pool) chooseFailed(w *wait, now time.Time) *replica {
	var failed *replica
	for _, r := range p.order {
		if r.leaving || slices.Contains(w.exclude, r.id) {
			continue
		}
		if r.failures == 0 {
			return nil
		}
		if failed == nil && r.offers(now) && !r.probing && !r.alone && r.used == 0 {
			failed = r
		}
	}
	return failed
}

func (p *pool) usableAlone(r *replica, w *wait, now time.Time) bool {
	return r.offers(now) && r.failures == 0 && !r.alone && !slices.Contains(w.exclude, r.id)
}

// possible reports whether any replica could ever serve w.
func (p *pool) possible(exclude []state.ReplicaID) bool {
	for _, r := range p.order {
		if !r.leaving && !slices.Contains(exclude, r.id) {
			return true
		}
	}
	return false
}
