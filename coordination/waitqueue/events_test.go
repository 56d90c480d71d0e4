package waitqueue_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/coordination/waitqueue"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("A queue whose requests come, try, fail and leave at any time", func() {
	// Guards against a request that is never asked to try again, and against a queue that asks two at
	// once: callers leave while they try, the daemon is paused, and the configuration changes ranks.
	It("asks one request at a time, and serves all once there are servers", Label("failure:queue-stands-still"), func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) { newEvents(t).run() })
	})
})

// events plays random events on a queue.
type events struct {
	t       *rapid.T
	queue   *waitqueue.Queue
	now     time.Time
	waiting []*waitqueue.Waiter
	trying  *waitqueue.Waiter
}

func newEvents(t *rapid.T) *events {
	cfg := waitqueue.DefaultConfig()
	cfg.MaxWaiting = rapid.IntRange(1, 40).Draw(t, "max")
	cfg.MaxRemembered = 8
	return &events{t: t, queue: newQueue(cfg), now: at(0)}
}

func (e *events) run() {
	for range rapid.IntRange(1, 120).Draw(e.t, "steps") {
		e.now = e.now.Add(time.Duration(rapid.IntRange(0, 20).Draw(e.t, "ms")) * time.Millisecond)
		e.step(rapid.IntRange(0, 9).Draw(e.t, "event"))
		e.check()
	}
	if e.trying != nil {
		e.tried(waitqueue.NoneAvailable)
	}
	e.asked(e.queue.Wake(e.now, waitqueue.Changed))
	for e.trying != nil {
		e.tried(waitqueue.Served)
		e.check()
	}
	if e.queue.Len() > 0 {
		e.t.Fatalf("%d requests are not asked to try", e.queue.Len())
	}
}

func (e *events) step(kind int) {
	switch kind {
	case 0, 1, 2:
		e.join()
	case 3:
		e.asked(e.queue.Wake(e.now, waitqueue.Released))
	case 4:
		e.asked(e.queue.Wake(e.now, waitqueue.Changed))
	case 5, 6:
		if e.trying != nil {
			e.tried(waitqueue.Outcome(rapid.IntRange(int(waitqueue.Served), int(waitqueue.OwnReason)).Draw(e.t, "outcome")))
		}
	case 7:
		e.leave()
	case 8:
		if len(e.waiting) > 0 {
			e.asked(e.queue.Poll(e.now, rapid.SampledFrom(e.waiting).Draw(e.t, "polls")))
		}
	default:
		e.now = e.now.Add(time.Duration(rapid.IntRange(0, 30).Draw(e.t, "pause")) * time.Second)
		rank := rapid.IntRange(0, 2).Draw(e.t, "rank")
		e.queue.Reclassify(func(w *waitqueue.Waiter) (urgency.Class, float64) {
			return urgency.Class{Customer: rank, Route: w.Request().Class.Route}, float64(rank) / 2
		})
	}
}

func (e *events) join() {
	class := []urgency.Class{urgent, usual, background}[rapid.IntRange(0, 2).Draw(e.t, "class")]
	r := request(e.now, state.CustomerID(fmt.Sprint(rapid.IntRange(0, 3).Draw(e.t, "customer"))), class)
	r.Begun = rapid.Bool().Draw(e.t, "begun")
	r.Key = uint64(rapid.IntRange(1, 20).Draw(e.t, "key"))
	r.Place, _ = e.queue.Place(e.now, r.Key, e.now)
	tried := waitqueue.Outcome(rapid.IntRange(int(waitqueue.NoneAvailable), int(waitqueue.Untried)).Draw(e.t, "tried"))
	j := e.queue.Join(e.now, r, tried)
	if j.Rejection != nil {
		if r.Begun {
			e.t.Fatalf("an answer that has begun is rejected")
		}
		e.queue.Rejected(e.now, r.Key, r.Place, j.Rejection.RetryAfter, true)
		return
	}
	if j.Displaced != nil {
		e.gone(j.Displaced)
	}
	e.waiting = append(e.waiting, j.Waiter)
	e.asked(j.Next)
}

func (e *events) leave() {
	if len(e.waiting) == 0 {
		return
	}
	w := rapid.SampledFrom(e.waiting).Draw(e.t, "leaves")
	next := e.queue.Leave(e.now, w, rapid.Bool().Draw(e.t, "served"))
	e.gone(w)
	e.asked(next)
}

func (e *events) tried(o waitqueue.Outcome) {
	w := e.trying
	e.trying = nil
	next := e.queue.Tried(e.now, w, o)
	if o == waitqueue.Served {
		e.gone(w)
	}
	e.asked(next)
}

// asked records that a waiter is asked to try.
func (e *events) asked(w *waitqueue.Waiter) {
	if w == nil {
		return
	}
	if e.trying != nil {
		e.t.Fatalf("two requests are asked to try")
	}
	e.trying = w
}

func (e *events) gone(w *waitqueue.Waiter) {
	if e.trying == w {
		e.trying = nil
	}
	for i := range e.waiting {
		if e.waiting[i] == w {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

func (e *events) check() {
	sum := 0
	for _, n := range e.queue.Waiting() {
		sum += n
	}
	if sum != len(e.waiting) || e.queue.Len() != len(e.waiting) {
		e.t.Fatalf("%d requests wait, of all classes %d, want %d", e.queue.Len(), sum, len(e.waiting))
	}
}
