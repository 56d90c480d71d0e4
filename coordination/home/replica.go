package home

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// The observed speed of a replica.
const (
	minSampleTokens = 8    // a shorter answer says little about the speed
	rateSmoothing   = 0.3  // weight of a new sample of one replica
	baseSmoothing   = 0.05 // weight of a new sample of the whole pool
	slowShare       = 0.7  // below this share of its own speed a replica is slow
)

// probeFor is how long a suspected replica's probe must run without a report
// of failure to clear it: longer than a silent connection takes to be found.
const probeFor = 2 * time.Second

// replica is the exact count of one replica's slots.
type replica struct {
	id      state.ReplicaID
	speed   float64
	slots   int
	leaving bool
	spec    state.Replica // as last told

	used  int
	rank  []int // slots in use by class rank
	held  *wait // its next and only use is this wait, which runs alone
	alone bool  // in use by a request that runs alone

	begunAt time.Time // when a request that is not apart was last granted

	// A replica that failed a call gets nothing until `until`, then one grant
	// at a time as a probe. failures is 0 for a replica in good standing.
	failures    int
	suspectedAt time.Time
	until       time.Time
	probing     bool
	probe       SlotRequestID
	probeAt     time.Time

	rate   float64 // tokens a second as observed; 0 not known
	rateAt time.Time
}

// renewed reports whether spec shows that r's processes are others than those
// that r was told to be leaving, or that failed.
func (r *replica) renewed(spec state.Replica) bool {
	return r.spec.Leaving && !spec.Leaving || len(r.spec.Stages) > 0 && !slices.Equal(r.spec.Stages, spec.Stages)
}

// suspected reports whether r is in its back-off.
func (r *replica) suspected(now time.Time) bool {
	return r.failures > 0 && now.Before(r.until)
}

// offers reports whether r takes new work at all.
func (r *replica) offers(now time.Time) bool {
	return !r.leaving && !r.suspected(now)
}

// free reports whether a request of the rank may use a slot of r, given how
// many of its slots may be used. Requests of rank i and after may together use
// all slots but those reserved for the ranks before i. One slot is always left
// to every class: a document whose reservations exceed a replica would
// otherwise shut a class out for good.
func (r *replica) free(t *terms, rank, slots int) bool {
	if r.used >= slots {
		return false
	}
	after := r.used
	for i := 0; i <= rank; i++ {
		if after >= max(slots-t.classes[i].above, 1) {
			return false
		}
		after -= r.rank[i]
	}
	return true
}

// suspect notes a failed call of a grant given at granted. Calls that were
// under way when an earlier failure was seen don't count again: one crash ends
// them all at once.
func (r *replica) suspect(now, granted time.Time, cfg Config) bool {
	if r.failures > 0 && granted.Before(r.suspectedAt) {
		return false
	}
	backoff := cfg.MinBackoff << min(r.failures, 16)
	backoff = min(backoff, cfg.MaxBackoff)
	r.failures++
	r.suspectedAt = now
	r.until = now.Add(backoff)
	r.probing = false
	return true
}

// probeOK reports whether the running probe has cleared r.
func (r *replica) probeOK(now time.Time) bool {
	return r.probing && now.Sub(r.probeAt) >= probeFor
}

// clear ends suspicion.
func (r *replica) clear() {
	r.failures = 0
	r.probing = false
}

// observe takes a sample of the replica's tokens a second.
func (r *replica) observe(now time.Time, rate float64) {
	if r.rate == 0 {
		r.rate = rate
	} else {
		r.rate += rateSmoothing * (rate - r.rate)
	}
	r.rateAt = now
}

// effective is the speed to choose r by: its document's, unless it was lately
// seen to be far slower than that, base being the pool's tokens a second at
// speed 1. When the memory of that has run out, one request tries a replica
// that is idle: the answer of a slow one takes long to show that it is slow,
// and by then all its slots would be filled.
func (r *replica) effective(now time.Time, base float64, memory time.Duration) float64 {
	if r.rate == 0 || base == 0 {
		return r.speed
	}
	seen := r.rate / base
	if seen >= slowShare*r.speed || now.Sub(r.rateAt) > memory && r.used == 0 {
		return r.speed
	}
	return seen
}
