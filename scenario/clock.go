package scenario

import (
	"container/heap"
	"time"
)

// eventQueue is a heap of scheduled events, ordered by time and then by insertion.
type eventQueue []event

type event struct {
	at  time.Time
	seq int
	run func()
}

func (a eventQueue) Len() int { return len(a) }

func (a eventQueue) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}

func (a eventQueue) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *eventQueue) Push(x any) { *a = append(*a, x.(event)) }

func (a *eventQueue) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// after schedules do to run when d has passed.
func (sim *Simulation) after(d time.Duration, do func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now.Add(d), seq: sim.seq, run: do})
}

// maxStepsPerInstant bounds the steps at one point in virtual time. A state machine
// that keeps requesting a tick without time passing is faulty.
const maxStepsPerInstant = 1000

// runUntil advances time until done reports true or end is reached, and returns
// the last result of done.
func (sim *Simulation) runUntil(end time.Time, done func() bool) bool {
	turns := 0
	for !done() {
		next := sim.nextAt()
		if next.IsZero() || next.After(end) {
			sim.now = end
			return done()
		}
		turns++
		if next.After(sim.now) {
			sim.now = next
			turns = 0
		}
		if turns > maxStepsPerInstant {
			sim.reportViolation("a state machine keeps requesting a tick at %s", sim.timestamp())
			return false
		}
		sim.processNext()
	}
	return true
}

// processNext runs the first queued event if it is due, or else all ticks that are due.
func (sim *Simulation) processNext() {
	if len(sim.events) > 0 && !sim.events[0].at.After(sim.now) {
		heap.Pop(&sim.events).(event).run()
		return
	}
	sim.pool.tick()
	for _, n := range sim.nodes {
		n.tick()
	}
}

// nextAt returns the time of the next event or tick, or the zero time if there is none.
func (sim *Simulation) nextAt() time.Time {
	next := sim.pool.home.NextTick(sim.now)
	for _, n := range sim.nodes {
		next = earlier(next, n.nextTick())
	}
	if len(sim.events) > 0 {
		next = earlier(next, sim.events[0].at)
	}
	if !next.IsZero() && next.Before(sim.now) {
		return sim.now
	}
	return next
}

// earlier returns the earlier of two times, where the zero time means never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func due(at, now time.Time) bool {
	return !at.IsZero() && !at.After(now)
}
