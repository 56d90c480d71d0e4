package home

import (
	"math"
	"time"
)

// tooSlow reports whether waiting for a faster kind beats taking r now. It is
// always false unless Config.SlowerThreshold is set.
//
// The rule is that of Şiş, "A mini-max approach for finding thresholds to
// control M/M/2 queues", formula (50), generalized to sorted kinds: all faster
// slots together are the fast server, one slot of r the slow one. The slow
// one is used only while more than K requests wait,
//
//	K = (mu1-lambda)/mu2 - 1 + 1/a1 + 1/(a1-1), a1 = mu1/lambda,
//
// and always where the fast ones alone can't carry the load.
func (p *pool) tooSlow(r *replica, speed float64) bool {
	if !p.cfg.SlowerThreshold {
		return false
	}
	fast := 0.0
	for _, o := range p.order {
		if o.speed > speed && o.failures == 0 && !o.leaving {
			fast += o.speed * float64(o.slots)
		}
	}
	load := p.work.rate
	if fast <= load || load == 0 {
		return false
	}
	a := fast / load
	k := (fast-load)/r.speed - 1 + 1/a + 1/(a-1)
	return float64(len(p.waits)) <= k
}

// arrivals measures the work that arrives, in seconds of a slot of speed 1 a
// second.
type arrivals struct {
	rate  float64
	sum   float64
	at    time.Time
	since time.Time
}

// arrivalMemory is the time constant of arrivals.
const arrivalMemory = 5 * time.Minute

// add counts one arrival of the given work.
func (a *arrivals) add(now time.Time, work float64) {
	if a.since.IsZero() {
		a.since, a.at = now, now
	}
	a.sum = a.sum*math.Exp(-now.Sub(a.at).Seconds()/arrivalMemory.Seconds()) + work
	a.at = now
	known := 1 - math.Exp(-now.Sub(a.since).Seconds()/arrivalMemory.Seconds())
	if known > 0.1 {
		a.rate = a.sum / arrivalMemory.Seconds() / known
	}
}
