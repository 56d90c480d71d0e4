package suspect

import (
	"math"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// delayGain is the weight of a new sample in a server's delay average.
	delayGain = 0.2
	// delayMemory is the time constant with which a delay decays if no sample confirms it (to a
	// third of its value), so that a server that was slow is tried again.
	delayMemory = 2 * time.Second
)

// delay is a server's share of the time to the first event of answers, as a decaying average.
type delay struct {
	ms float64
	at time.Time
}

// AnswerStarted records how long the first event of an answer along a path took. Which hop was slow
// is not visible: each hop gets an equal share, and hops that are also part of faster paths lose
// theirs again.
func (t *Tracker) AnswerStarted(now time.Time, path fleet.Path, took time.Duration) {
	part := float64(took) / float64(time.Millisecond) / float64(len(path))
	for _, h := range path {
		r := t.record(now, h.Address)
		r.refusals = refusals{}
		have := r.delay.decayed(now)
		r.delay = delay{ms: have + delayGain*(part-have), at: now}
	}
}

// decayed returns the decayed delay at now, in ms.
func (d delay) decayed(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.ms * math.Exp(-float64(now.Sub(d.at))/float64(delayMemory))
}
