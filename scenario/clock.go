package scenario

import (
	"container/heap"
	"time"
)

// agenda orders what is to happen by time, and by order of entry at one time.
type agenda []happening

type happening struct {
	at  time.Time
	seq int
	do  func()
}

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].seq < a[j].seq
	}
	return a[i].at.Before(a[j].at)
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }

func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// after has do run when d has passed.
func (w *Simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.agenda, happening{at: w.now.Add(d), seq: w.seq, do: do})
}

// maxTurns bounds the turns at one time; a machine that asks for a tick again
// and again without time passing is broken.
const maxTurns = 1000

// runUntil lets time pass until done reports true or end is reached, and
// reports whether done did.
func (w *Simulation) runUntil(end time.Time, done func() bool) bool {
	turns := 0
	for !done() {
		next := w.nextAt()
		if next.IsZero() || next.After(end) {
			w.now = end
			return done()
		}
		turns++
		if next.After(w.now) {
			w.now = next
			turns = 0
		}
		if turns > maxTurns {
			w.violated("a machine asks for a tick again and again at %s", w.stamp())
			return false
		}
		w.turn()
	}
	return true
}

// turn does one thing that is due: the first of the agenda, else all ticks.
func (w *Simulation) turn() {
	if len(w.agenda) > 0 && !w.agenda[0].at.After(w.now) {
		heap.Pop(&w.agenda).(happening).do()
		return
	}
	w.pool.tick()
	for _, n := range w.nodes {
		n.tick()
	}
}

// nextAt is when something is to happen next, zero for never.
func (w *Simulation) nextAt() time.Time {
	next := w.pool.home.NextTick(w.now)
	for _, n := range w.nodes {
		next = earlier(next, n.nextTick())
	}
	if len(w.agenda) > 0 {
		next = earlier(next, w.agenda[0].at)
	}
	if !next.IsZero() && next.Before(w.now) {
		return w.now
	}
	return next
}

// earlier returns the earlier of two times, the zero time standing for never.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

func due(at, now time.Time) bool {
	return !at.IsZero() && !at.After(now)
}
