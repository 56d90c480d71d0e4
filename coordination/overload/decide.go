package overload

import (
	"math"
	"math/rand/v2"
	"time"
)

// Reason is why a stream is turned away.
type Reason string

// The values of Reason; the empty one means that the stream may start.
const (
	Admitted   Reason = ""
	LateEvent  Reason = "first_event_late" // its first event would be late
	LongPauses Reason = "pauses_too_long"  // its pauses, or those of more urgent streams, would be too long
	NoMemory   Reason = "memory_reserved"  // the free memory is kept for more urgent streams
)

// Stream is a stream that may start.
type Stream struct {
	// MoreUrgent is the share of the demand that is more urgent (Demand.MoreUrgent).
	MoreUrgent float64
	// Excess is by how much its customer exceeds its fair share: 0 for not at all, 1 for twice the
	// share.
	Excess float64
	// FirstTarget and PauseTarget are what its route promises; 0 for no target.
	FirstTarget, PauseTarget time.Duration
	// Waited is how long its caller has waited so far.
	Waited time.Duration
}

// Outlook is the corrected prediction for a stream.
type Outlook struct {
	Times
	// Idle is the prediction for engines without any load: no waiting makes it better.
	Idle Times
}

// Times are what a stream may expect of its engines.
type Times struct {
	First   time.Duration // to the first event
	Pause   time.Duration // the longest between two events
	KVShare float64       // used share of the fullest engine's KV-cache capacity
}

const (
	// timeReserve is the share of a target that a stream leaves to others if all demand is more urgent.
	timeReserve = 0.5
	// memoryReserve is the share of KV-cache capacity that it leaves to them.
	memoryReserve = 0.25
	// memoryLimit is the share of KV-cache capacity at which the most urgent streams are turned away:
	// beyond it, engines preempt streams that have begun. It is above 1, since the shares count each
	// stream with the size that it has at its end.
	memoryLimit = 1.3
	// excessWeight is the share of the demand by which a customer at twice its fair share is moved
	// back.
	excessWeight = 0.25
)

// reserved returns the part of what could be used that the stream leaves to others, from 0 to 1.
func (s Stream) reserved() float64 { return min(s.MoreUrgent+excessWeight*s.Excess, 1) }

// Decide reports whether the stream may start, or why not.
func (s Stream) Decide(o Outlook) Reason {
	switch limit := s.limits(o.Idle); {
	case o.KVShare > limit.KVShare:
		return NoMemory
	case s.PauseTarget > 0 && o.Pause > limit.Pause:
		return LongPauses
	case s.FirstTarget > 0 && o.First+s.Waited > limit.First:
		return LateEvent
	}
	return Admitted
}

// idleSlack is by how much a stream may exceed what it would take on engines without load, where that
// is above its limits: a long prompt is late whenever it starts.
const idleSlack = 1.25

// limits returns up to which times and used share of KV-cache capacity the stream may start.
func (s Stream) limits(idle Times) Times {
	share := 1 - timeReserve*s.reserved()
	scale := func(factor float64, d time.Duration) time.Duration { return time.Duration(factor * float64(d)) }
	return Times{
		First:   max(scale(share, s.FirstTarget), scale(idleSlack, idle.First)),
		Pause:   max(scale(share, s.PauseTarget), scale(idleSlack, idle.Pause)),
		KVShare: max(memoryLimit-memoryReserve*s.reserved(), idleSlack*idle.KVShare),
	}
}

const (
	// minRetry and maxRetry bound the time after which a caller may return.
	minRetry = 400 * time.Millisecond
	maxRetry = 4 * time.Second
	// retrySpread is the part of that time over which those who return are spread.
	retrySpread = 0.5
)

// RetryAfter returns when the load will probably have fallen far enough for the stream, spread at
// random. life is the usual duration of a stream: streams end at a rate of one in that time, and
// while no others start the load falls exponentially.
func (s Stream) RetryAfter(o Outlook, life time.Duration, rng *rand.Rand) time.Duration {
	limit := s.limits(o.Idle)
	over := max(o.KVShare/limit.KVShare, 1)
	if s.PauseTarget > 0 {
		over = max(over, float64(o.Pause)/float64(limit.Pause))
	}
	if s.FirstTarget > 0 {
		over = max(over, float64(o.First)/float64(limit.First))
	}
	wait := time.Duration(math.Log(over) * float64(life))
	wait = min(max(wait, minRetry), maxRetry)
	return wait + time.Duration(rng.Float64()*retrySpread*float64(wait))
}
