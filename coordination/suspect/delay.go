package suspect

import (
	"math"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// delayGain is the weight of one more sample of a server's delay.
	delayGain = 0.2
	// delayMemory is the time in which a delay that nothing confirms fades to a
	// third, so that a server which was slow is tried again.
	delayMemory = 2 * time.Second
)

// delay is a server's part of what answers took to begin.
type delay struct {
	ms float64
	at time.Time
}

// Began notes how long an answer took to begin along a path. Which hop was slow
// does not show: each takes an equal part, and those that other paths cross faster
// lose it again.
func (b *Tracker) AnswerStarted(now time.Time, path fleet.Path, took time.Duration) {
	part := float64(took) / float64(time.Millisecond) / float64(len(path))
	for _, h := range path {
		r := b.record(now, h.Address)
		r.refusals = refusals{}
		have := r.delay.fade(now)
		r.delay = delay{ms: have + delayGain*(part-have), at: now}
	}
}

// fade is the delay as of now, in ms.
func (d delay) fade(now time.Time) float64 {
	if d.at.IsZero() {
		return 0
	}
	return d.ms * math.Exp(-float64(now.Sub(d.at))/float64(delayMemory))
}
