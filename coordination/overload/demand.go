package overload

import (
	"math"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
)

// demandMemory is the time constant with which demand is averaged.
const demandMemory = 10 * time.Second

// Demand is what the streams of a service have asked for lately, by urgency, whether they were
// admitted or not.
type Demand struct {
	tokens map[urgency.Class]float64 // decayed to at
	at     time.Time
}

// NewDemand returns a demand of nothing.
func NewDemand() *Demand { return &Demand{tokens: make(map[urgency.Class]float64)} }

// Add adds a new stream of a class.
func (d *Demand) Add(now time.Time, c urgency.Class, tokens float64) {
	d.decay(now)
	d.tokens[c] += tokens
}

// decay forgets demand by the time that has passed, and classes of which nothing is left.
func (d *Demand) decay(now time.Time) {
	if d.at.IsZero() {
		d.at = now
	}
	if !now.After(d.at) {
		return
	}
	factor := math.Exp(-float64(now.Sub(d.at)) / float64(demandMemory))
	d.at = now
	for c := range d.tokens {
		if d.tokens[c] *= factor; d.tokens[c] < 1 {
			delete(d.tokens, c)
		}
	}
}

// MoreUrgent returns the share of the demand that is more urgent than a class, from 0 to 1.
func (d *Demand) MoreUrgent(now time.Time, c urgency.Class) float64 {
	d.decay(now)
	more, all := 0.0, 0.0
	for other, tokens := range d.tokens {
		all += tokens
		if other.Compare(c) < 0 {
			more += tokens
		}
	}
	if all <= 0 {
		return 0
	}
	return more / all
}
