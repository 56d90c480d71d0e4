package waitqueue_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/waitqueue"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("A request that can't be served in time", func() {
	var w *world
	BeforeEach(func() { w = newWorld(waitqueue.DefaultConfig()) })

	// fill makes n requests of a class wait, and serves one per interval for a while.
	fill := func(n int, interval time.Duration) time.Time {
		for i := range n {
			r := request(at(0), state.CustomerID(fmt.Sprint(i%4)), usual)
			r.RejectAt = at(time.Minute)
			w.arrive(at(0), r)
		}
		now := at(0)
		for range 20 {
			now = now.Add(interval)
			w.depart(now)
		}
		return now
	}

	// Guards against callers that wait in vain: 100 requests wait, and 10 a second are served.
	It("is rejected at once with the time at which the queue will have drained", Label("failure:waits-in-vain"), func() {
		now := fill(120, 100*time.Millisecond)
		j := w.arrive(now, request(now, "new", background))
		Expect(j.Rejection).NotTo(BeNil())
		Expect(j.Rejection.Reason).To(Equal(waitqueue.ReasonTooLate))
		Expect(j.Rejection.Position).To(Equal(100))
		Expect(j.Rejection.ExpectedWait).To(BeNumerically("~", 10*time.Second, 2*time.Second))
		Expect(j.Rejection.RetryAfter).To(BeNumerically(">=", waitqueue.DefaultConfig().MaxRetryAfter))
		Expect(w.arrive(now, request(now, "new", urgent)).Rejection).To(BeNil(), "it goes before the others")
		Expect(w.arrive(now, request(now, "new", usual)).Rejection).To(BeNil(), "its customer has none that wait")
	})

	It("is not rejected while it is not known how fast requests leave", func() {
		for range 200 {
			Expect(w.arrive(at(0), request(at(0), "a", usual)).Rejection).To(BeNil())
		}
	})

	// Guards against memory that grows with the load, and against urgent requests that find the queue
	// full of others.
	It("displaces the least urgent, newest request of the largest customer from a full queue", Label("failure:queue-unbounded"), func() {
		cfg := waitqueue.DefaultConfig()
		cfg.MaxWaiting = 10
		w = newWorld(cfg)
		for i := range 10 {
			now := at(time.Duration(i) * time.Millisecond)
			w.arrive(now, request(now, map[bool]state.CustomerID{true: "large", false: "small"}[i < 8], background))
		}
		now := at(20 * time.Millisecond)
		j := w.arrive(now, request(now, "new", urgent))
		Expect(j.Displaced.Request()).To(And(HaveField("Customer", state.CustomerID("large")), HaveField("Place", at(7*time.Millisecond))))
		Expect(j.DisplacedBy.Reason).To(Equal(waitqueue.ReasonFull))
		j = w.arrive(now, request(now, "new", background))
		Expect(j.Displaced.Request().Customer).To(Equal(state.CustomerID("large")), "it has more than its share of the queue")
		j = w.arrive(now, request(now, "large", background))
		Expect(j.Rejection).To(HaveField("Reason", waitqueue.ReasonFull))
		Expect(j.Rejection.RetryAfter).To(BeNumerically(">=", 400*time.Millisecond))
		Expect(w.queue.Len()).To(Equal(10))
	})

	// Guards against callers that all come back at once.
	It("tells callers to return at different times, as fast as the queue drains", Label("failure:all-return-at-once"), func() {
		now := fill(150, 20*time.Millisecond)
		var times []time.Duration
		for i := range 40 {
			j := w.arrive(now, request(now, "new", background))
			Expect(j.Rejection).NotTo(BeNil())
			w.queue.Rejected(now, uint64(i+1), now, j.Rejection.RetryAfter, true)
			times = append(times, j.Rejection.RetryAfter)
		}
		slices.Sort(times)
		Expect(times[0]).To(BeNumerically(">", 2*time.Second), "130 requests wait, and 50 a second leave")
		Expect(times[39]-times[0]).To(BeNumerically(">", 700*time.Millisecond), "40 requests leave in 0.8 s")
	})

	It("remembers a bounded number of callers for a bounded time", func() {
		cfg := waitqueue.DefaultConfig()
		for i := range 2 * cfg.MaxRemembered {
			w.queue.Rejected(at(0), uint64(i+1), at(0), time.Second, true)
		}
		Expect(w.queue.Remembered()).To(Equal(cfg.MaxRemembered))
		w.queue.Rejected(at(cfg.ReturnWindow+2*time.Second), 1, at(0), time.Second, true)
		Expect(w.queue.Remembered()).To(Equal(1))
	})
})

var _ = Describe("A caller that returns", func() {
	place := func(q *waitqueue.Queue, in time.Duration, key uint64) time.Time {
		place, early := q.Place(at(in), key, at(in))
		Expect(early).To(BeZero())
		return place
	}

	It("has the place of its first arrival, once", func() {
		q := newQueue(waitqueue.DefaultConfig())
		q.Rejected(at(time.Second), 7, at(0), time.Second, true)
		Expect(place(q, 2*time.Second, 7)).To(Equal(at(0)))
		Expect(place(q, 2*time.Second, 7)).To(Equal(at(2 * time.Second)))
		Expect(place(q, 2*time.Second, 8)).To(Equal(at(2 * time.Second)))
	})

	It("gains nothing by returning early, and loses nothing once it returns in time", func() {
		q := newQueue(waitqueue.DefaultConfig())
		q.Rejected(at(0), 7, at(0), time.Second, true)
		Expect(place(q, 500*time.Millisecond, 7)).To(Equal(at(time.Second)), "nobody else is expected")
		q.Rejected(at(500*time.Millisecond), 7, at(time.Second), 2*time.Second, true)
		q.Rejected(at(500*time.Millisecond), 8, at(0), 200*time.Millisecond, true)
		_, early := q.Place(at(600*time.Millisecond), 7, at(600*time.Millisecond))
		Expect(early).To(Equal(400*time.Millisecond), "another one is expected before")
		Expect(place(q, time.Second, 7)).To(Equal(at(0)))
	})

	// Guards against callers that repeat at once and are served before those that return when they were
	// told to. Of each customer, half of the callers repeat every 50 ms and half wait; the servers
	// take 40 requests a second, and 100 callers want one answer each.
	It("is served as early as one that repeats at once", Label("failure:repeating-callers-first"), func() {
		w := newWorld(waitqueue.DefaultConfig())
		rng := rand.New(rand.NewPCG(3, 4))
		const callers, interval = 100, 50 * time.Millisecond
		next, done := make([]time.Time, callers), make([]time.Time, callers)
		inQueue := make(map[*waitqueue.Waiter]int)
		for i := range next {
			next[i] = at(time.Duration(rng.IntN(1000)) * time.Millisecond)
		}
		tell := func(now time.Time, i int, place time.Time, after time.Duration) {
			w.queue.Rejected(now, uint64(i+1), place, after, true)
			next[i] = now.Add(after)
			if i%2 == 0 {
				next[i] = now.Add(interval)
			}
		}
		for ms := range 10_000 {
			now := at(time.Duration(ms) * time.Millisecond)
			for i := range next {
				if next[i].IsZero() || now.Before(next[i]) {
					continue
				}
				next[i] = time.Time{}
				r := request(now, state.CustomerID(fmt.Sprint(i%3)), usual)
				r.Key, r.RejectAt = uint64(i+1), now.Add(200*time.Millisecond)
				place, early := w.queue.Place(now, r.Key, now)
				if early > 0 {
					tell(now, i, place, early)
					continue
				}
				r.Place = place
				j := w.arrive(now, r)
				if j.Rejection != nil {
					tell(now, i, r.Place, j.Rejection.RetryAfter)
					continue
				}
				inQueue[j.Waiter] = i
			}
			if ms%25 == 0 {
				w.depart(now)
			}
			for waiter, i := range inQueue {
				if _, ok := w.servedAt[waiter]; ok {
					done[i] = now
					delete(inQueue, waiter)
				} else if r := waiter.Request(); !now.Before(r.RejectAt) {
					w.queue.Leave(now, waiter, false)
					delete(inQueue, waiter)
					tell(now, i, r.Place, w.queue.RetryAfter(now, r, r.RetryAfter))
				}
			}
		}
		var means [2]time.Duration
		for i, t := range done {
			Expect(t).NotTo(BeZero(), "caller %d is served", i)
			means[i%2] += t.Sub(at(0)) / (callers / 2)
		}
		Expect(means[1]).To(BeNumerically("<", means[0]+200*time.Millisecond), "those that wait: %v, those that repeat: %v", means[1], means[0])
	})
})
