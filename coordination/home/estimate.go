package home

import (
	"math"
	"time"
)

// The estimate of holding times.
const (
	holdSmoothing  = 0.05
	minHoldSamples = 8
)

// holding is the mean time for which a class holds a slot.
type holding struct {
	mean    float64 // seconds
	samples int
}

// add takes the sample of one released grant.
func (h *holding) add(d time.Duration) {
	h.samples++
	weight := max(holdSmoothing, 1/float64(h.samples))
	h.mean += weight * (d.Seconds() - h.mean)
}

// rate estimates how many slots come free in a second: by Little's law, the
// slots in use over the mean time for which they are held, summed over the
// classes. It is 0 while a class in use has too few samples. Unlike a count of
// releases it is right at the first moment of a burst as well.
func (p *pool) rate() float64 {
	sum := 0.0
	for rank, used := range p.used {
		if used == 0 {
			continue
		}
		h := p.holds[rank]
		if h.samples < minHoldSamples || h.mean <= 0 {
			return 0
		}
		sum += float64(used) / h.mean
	}
	return sum
}

// estimate returns how long a new wait of f would take to its first token,
// behind those that go before it; false where that is not known. A request
// may wait for a slot of any kind or, where the slower kinds take too long to
// the first token, for one of the faster kinds only, which come free less
// often; the estimate is the smallest over these choices.
func (p *pool) estimate(w *wait, f *flow) (time.Duration, bool) {
	rate := p.rate()
	if rate == 0 {
		return 0, false
	}
	ahead := p.queues[w.class].ahead(f) + 1
	for i := range w.class {
		ahead += float64(p.queues[i].count)
	}
	total := 0.0
	for _, r := range p.order {
		total += float64(r.used) * r.speed
	}
	best, sum := math.Inf(1), 0.0
	for _, r := range p.order {
		sum += float64(r.used) * r.speed
		if sum > 0 {
			best = min(best, ahead/(rate*sum/total)+w.leadAt(r.speed).Seconds())
		}
	}
	if math.IsInf(best, 1) {
		return 0, false
	}
	return time.Duration(best * float64(time.Second)), true
}

// drain returns how long the whole queue takes to pass, for RetryAfter.
func (p *pool) drain() time.Duration {
	rate := p.rate()
	if rate == 0 {
		return time.Second
	}
	return time.Duration(float64(len(p.waits)) / rate * float64(time.Second))
}

// summary is the pool's word to entry daemons.
func (p *pool) summary(now time.Time) Summary {
	s := Summary{Waiting: clamp16(len(p.waits)), Rate: float32(p.rate())}
	slots, used := 0, 0
	for _, r := range p.order {
		if r.offers(now) && !r.alone {
			slots += r.slots
			used += r.used
		}
	}
	s.Slots, s.Used = clamp16(slots), clamp16(used)
	return s
}

func clamp16(n int) uint16 {
	return uint16(min(max(n, 0), 1<<16-1))
}
