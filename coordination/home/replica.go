package home

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Parameters of the observed speed of a replica.
const (
	minSampleTokens = 8    // shorter answers say little about the speed
	rateSmoothing   = 0.3  // weight of a new sample of one replica
	baseSmoothing   = 0.05 // weight of a new sample of the whole pool
	slowFraction    = 0.7  // below this fraction of its own speed a replica is slow
)

// probeDuration is how long the probe of a replica must run without a reported failure
// to clear the replica. It is longer than the detection of an unresponsive connection
// takes.
const probeDuration = 2 * time.Second

// replica tracks the slots of one replica exactly.
type replica struct {
	id      state.ReplicaID
	speed   float64 // relative decode speed, from the document
	slots   int
	leaving bool
	spec    state.Replica // as last received

	used        int
	usedByRank  []int   // slots in use by class rank
	reservedFor *waiter // waiter that the replica is reserved for, to run exclusively
	exclusive   bool    // in use by an exclusive grant

	lastStart time.Time // when a request that is not staggered was last granted

	// A replica that failed a call gets no request until backoffUntil, then one grant
	// at a time as a probe. failures is 0 for a replica in good standing.
	failures     int
	suspectedAt  time.Time
	backoffUntil time.Time
	probing      bool
	probe        SlotRequestID
	probeAt      time.Time

	tokenRate   float64 // observed tokens per second; 0 if unknown
	tokenRateAt time.Time
}

// processesReplaced reports whether spec shows that the processes of r that were
// leaving or had failed have been replaced.
func (r *replica) processesReplaced(spec state.Replica) bool {
	return r.spec.Leaving && !spec.Leaving || len(r.spec.Stages) > 0 && !slices.Equal(r.spec.Stages, spec.Stages)
}

// inBackoff reports whether r is in its back-off.
func (r *replica) inBackoff(now time.Time) bool {
	return r.failures > 0 && now.Before(r.backoffUntil)
}

// acceptsWork reports whether r accepts new requests at all.
func (r *replica) acceptsWork(now time.Time) bool {
	return !r.leaving && !r.inBackoff(now)
}

// hasFreeSlot reports whether a request of the given rank may use a slot of r if at
// most slots of them may be in use. The requests of rank numbers i and above may
// together use all slots except those reserved for rank numbers below i. Every class
// may always use one slot: otherwise a document whose reservations exceed a replica's
// slots would lock a class out for good.
func (r *replica) hasFreeSlot(t *terms, rank, slots int) bool {
	if r.used >= slots {
		return false
	}
	after := r.used
	for i := 0; i <= rank; i++ {
		if after >= max(slots-t.classes[i].reservedAbove, 1) {
			return false
		}
		after -= r.usedByRank[i]
	}
	return true
}

// recordFailure records the failed call of a grant given at granted. It returns false,
// and does not count the call, if the call was in flight when an earlier failure was
// recorded: one crash ends all calls at once.
func (r *replica) recordFailure(now, granted time.Time, cfg Config) bool {
	if r.failures > 0 && granted.Before(r.suspectedAt) {
		return false
	}
	backoff := cfg.MinBackoff << min(r.failures, 16)
	backoff = min(backoff, cfg.MaxBackoff)
	r.failures++
	r.suspectedAt = now
	r.backoffUntil = now.Add(backoff)
	r.probing = false
	return true
}

// isProbe reports whether a request is the probe of r.
func (r *replica) isProbe(requestID SlotRequestID) bool {
	return r.probing && r.probe == requestID
}

// probePassed reports whether the running probe has cleared r.
func (r *replica) probePassed(now time.Time) bool {
	return r.probing && now.Sub(r.probeAt) >= probeDuration
}

// clearFailures returns r to good standing.
func (r *replica) clearFailures() {
	r.failures = 0
	r.probing = false
}

// observe adds a sample of the replica's tokens per second.
func (r *replica) observe(now time.Time, rate float64) {
	if r.tokenRate == 0 {
		r.tokenRate = rate
	} else {
		r.tokenRate += rateSmoothing * (rate - r.tokenRate)
	}
	r.tokenRateAt = now
}

// effectiveSpeed returns the speed by which r is chosen: that of its document, unless r
// was recently observed to be far slower. base is the pool's tokens per second at speed
// 1. Once the sample has expired, one request is tried on the replica when it is idle:
// the answer of a slow replica takes long to show that it is slow, and by then all of
// its slots would be filled.
func (r *replica) effectiveSpeed(now time.Time, base float64, ttl time.Duration) float64 {
	if r.tokenRate == 0 || base == 0 {
		return r.speed
	}
	seen := r.tokenRate / base
	if seen >= slowFraction*r.speed || now.Sub(r.tokenRateAt) > ttl && r.used == 0 {
		return r.speed
	}
	return seen
}
