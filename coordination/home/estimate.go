package home

import (
	"math"
	"time"
)

// Parameters of the estimate of hold times.
const (
	holdSmoothing  = 0.05
	minHoldSamples = 8
)

// holdTime is the mean time for which a class holds a slot.
type holdTime struct {
	mean    float64 // seconds
	samples int
}

// add adds the sample of one released grant.
func (h *holdTime) add(d time.Duration) {
	h.samples++
	weight := max(holdSmoothing, 1/float64(h.samples))
	h.mean += weight * (d.Seconds() - h.mean)
}

// releaseRate estimates the number of slots released per second. By Little's law it is
// the number of slots in use over the mean hold time, summed over the classes. It is 0
// while a class in use has too few samples. Unlike a count of releases it is correct
// from the start of a burst.
func (p *pool) releaseRate() float64 {
	sum := 0.0
	for rank, used := range p.usedByClass {
		if used == 0 {
			continue
		}
		h := p.holdTimes[rank]
		if h.samples < minHoldSamples || h.mean <= 0 {
			return 0
		}
		sum += float64(used) / h.mean
	}
	return sum
}

// estimateFirstToken returns the expected time to the first token of a new waiter of f,
// behind those ahead of it, or false if it is unknown. A request may wait for a slot of
// any kind or, if the slower kinds take too long to the first token, only for one of
// the faster kinds, which are released less often. The estimate is the minimum over
// these choices.
func (p *pool) estimateFirstToken(w *waiter, f *flow) (time.Duration, bool) {
	rate := p.releaseRate()
	if rate == 0 {
		return 0, false
	}
	ahead := p.queues[w.rank].estimateAhead(f) + 1
	for i := range w.rank {
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
			best = min(best, ahead/(rate*sum/total)+w.firstTokenLatencyAt(r.speed).Seconds())
		}
	}
	if math.IsInf(best, 1) {
		return 0, false
	}
	return time.Duration(best * float64(time.Second)), true
}

// drainTime returns how long the whole queue takes to drain, for RetryAfter.
func (p *pool) drainTime() time.Duration {
	rate := p.releaseRate()
	if rate == 0 {
		return time.Second
	}
	return time.Duration(float64(len(p.waiters)) / rate * float64(time.Second))
}

// summary returns the summary of the pool for entry daemons.
func (p *pool) summary(now time.Time) Summary {
	s := Summary{Waiting: clamp16(len(p.waiters)), Rate: float32(p.releaseRate())}
	slots, used := 0, 0
	for _, r := range p.order {
		if r.acceptsWork(now) && !r.exclusive {
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
