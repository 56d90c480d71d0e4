package compare

import (
	"container/heap"
	"time"
)

// Loop is an event loop that runs functions in the order of virtual time.
type Loop struct {
	now    time.Time
	events eventHeap
	seq    uint64
}

// NewLoop returns a loop whose clock is set to start.
func NewLoop(start time.Time) *Loop {
	return &Loop{now: start}
}

// Now returns the virtual time.
func (l *Loop) Now() time.Time {
	return l.now
}

// After runs f after d. Functions due at the same time run in the order of scheduling.
func (l *Loop) After(d time.Duration, f func()) {
	l.seq++
	heap.Push(&l.events, event{at: l.now.Add(max(d, 0)), seq: l.seq, f: f})
}

// Run runs all functions that are due within d and advances the clock by d.
func (l *Loop) Run(d time.Duration) {
	end := l.now.Add(d)
	for len(l.events) > 0 && !l.events[0].at.After(end) {
		e := heap.Pop(&l.events).(event)
		l.now = e.at
		e.f()
	}
	l.now = end
}

type event struct {
	at  time.Time
	seq uint64
	f   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }

func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].seq < h[j].seq
	}
	return h[i].at.Before(h[j].at)
}

func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) {
	*h = append(*h, x.(event))
}

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := len(old) - 1
	e := old[last]
	old[last] = event{}
	*h = old[:last]
	return e
}
