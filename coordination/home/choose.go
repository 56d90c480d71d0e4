package home

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// A replica that is estimated to have a request's prefix cached is preferred to the
// best replica only if it has at least affinityMinSpeed of its speed and at most
// affinityMaxExtraLoad more load, as a share of its slots. An estimate that late or
// lost cache events made wrong therefore costs no more than one prefill and this much
// speed and load.
const (
	affinityMinSpeed     = 0.7
	affinityMaxExtraLoad = 0.25
)

// choose returns the replica for w, or nil: the least loaded replica of the fastest
// kind that has a free slot, unless prefix affinity prefers another.
func (p *pool) choose(w *waiter, now time.Time) *replica {
	if w.exclusive {
		return p.chooseExclusive(w, now)
	}
	var best *replica
	var speed, load float64
	for _, r := range p.order {
		if best != nil && r.speed < speed {
			break // sorted by speed, and a replica's effective speed is never higher
		}
		if !p.usable(r, w, now) {
			continue
		}
		s := r.effectiveSpeed(now, p.baseRate, p.cfg.SpeedSampleTTL)
		if w.missesDeadline(now, s) {
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
	if r := p.chooseByPrefix(w, speed, load, now); r != nil {
		return r
	}
	return best
}

// usable reports whether w may get a slot of r now.
func (p *pool) usable(r *replica, w *waiter, now time.Time) bool {
	if !r.acceptsWork(now) || r.reservedFor != nil || r.exclusive {
		return false
	}
	if r.failures > 0 && r.probing {
		return false
	}
	if len(w.exclude) > 0 && slices.Contains(w.exclude, r.id) {
		return false
	}
	return r.hasFreeSlot(p.terms, w.rank, p.grantable(r))
}

// chooseByPrefix returns the replica that is estimated to have the longest prefix of w
// cached and is not much worse than the best one.
func (p *pool) chooseByPrefix(w *waiter, speed, load float64, now time.Time) *replica {
	for _, prefix := range w.prefixes {
		for _, entry := range p.cache.replicasOf(prefix) {
			r := p.replicas[entry.replica]
			if r == nil || !p.cache.fresh(now, entry) || !p.usable(r, w, now) {
				continue
			}
			s := r.effectiveSpeed(now, p.baseRate, p.cfg.SpeedSampleTTL)
			l := float64(r.used) / float64(r.slots)
			if s >= affinityMinSpeed*speed && l <= load+affinityMaxExtraLoad && !w.missesDeadline(now, s) {
				return r
			}
		}
	}
	return nil
}

// chooseExclusive returns an idle replica for w. If there is none, it reserves the
// least loaded replica, one per pool at a time, until that is idle. Under full load w
// would otherwise never run.
func (p *pool) chooseExclusive(w *waiter, now time.Time) *replica {
	if p.reserved != nil && p.reserved.reservedFor != w {
		return nil
	}
	if p.reserved != nil {
		if p.canStart(p.reserved, w, now) {
			return p.reserved
		}
		return nil
	}
	var best *replica
	for _, r := range p.order {
		if !p.usableExclusive(r, w, now) {
			continue
		}
		if p.canStart(r, w, now) {
			return r
		}
		if best == nil || r.used < best.used {
			best = r
		}
	}
	if best != nil {
		best.reservedFor = w
		p.reserved = best
		return nil
	}
	return p.chooseFailedReplica(w, now)
}

// chooseFailedReplica returns an idle replica that has failed, with w as its probe, if
// no replica in good standing is left for w. Otherwise other requests are used as
// probes: on a server that is still broken, w would be blamed for a failure that it did
// not cause. Here no other request may come, and w would wait until its deadline.
func (p *pool) chooseFailedReplica(w *waiter, now time.Time) *replica {
	var failed *replica
	for _, r := range p.order {
		if r.leaving || slices.Contains(w.exclude, r.id) {
			continue
		}
		if r.failures == 0 {
			return nil
		}
		if failed == nil && r.acceptsWork(now) && !r.probing && !r.exclusive && r.used == 0 {
			failed = r
		}
	}
	return failed
}

func (p *pool) usableExclusive(r *replica, w *waiter, now time.Time) bool {
	return r.acceptsWork(now) && r.failures == 0 && !r.exclusive && !slices.Contains(w.exclude, r.id)
}

// hasCandidate reports whether any replica outside exclude could ever serve a request.
func (p *pool) hasCandidate(exclude []state.ReplicaID) bool {
	for _, r := range p.order {
		if !r.leaving && !slices.Contains(exclude, r.id) {
			return true
		}
	}
	return false
}
