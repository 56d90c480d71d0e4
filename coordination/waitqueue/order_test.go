package waitqueue_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/coordination/waitqueue"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("The order of waiting requests", func() {
	var w *world
	BeforeEach(func() { w = newWorld(waitqueue.DefaultConfig()) })

	// Guards against small customers that wait behind all requests of a large one: 300 requests of one
	// customer arrive just before one request of each of twenty others, and one is served each 10 ms.
	It("serves twenty small customers beside a large one", Label("failure:large-customer-first"), func() {
		for range 300 {
			r := request(at(0), "large", usual)
			r.RejectAt = at(10 * time.Second)
			w.arrive(at(0), r)
		}
		for i := range 20 {
			w.arrive(at(time.Millisecond), request(at(time.Millisecond), state.CustomerID(fmt.Sprint("small", i)), usual))
		}
		for i := range 22 {
			w.depart(at(time.Duration(i+1) * 10 * time.Millisecond))
		}
		for i := range 20 {
			Expect(w.count(state.CustomerID(fmt.Sprint("small", i)))).To(Equal(1))
		}
		Expect(w.count("large")).To(Equal(2), "it has its own share")
	})

	It("charges customers by the size of their requests", func() {
		for i := range 60 {
			now := at(time.Duration(i) * time.Millisecond)
			long, short := request(now, "long", usual), request(now, "short", usual)
			long.Tokens, short.Tokens = 300, 100
			w.arrive(now, long)
			w.arrive(now, short)
		}
		for i := range 40 {
			w.depart(at(100*time.Millisecond + time.Duration(i)*time.Millisecond))
		}
		Expect(w.count("short")).To(BeNumerically("~", 30, 1))
	})

	// Guards against urgent requests that wait behind background work that came before them.
	It("serves a burst of urgent requests before background work", Label("failure:polled-in-no-order"), func() {
		for i := range 100 {
			w.arrive(at(0), request(at(0), state.CustomerID(fmt.Sprint(i%7)), background))
		}
		for i := range 50 {
			now := at(100 * time.Millisecond)
			w.arrive(now, request(now, state.CustomerID(fmt.Sprint(i%5)), urgent))
		}
		for i := range 60 {
			w.depart(at(time.Duration(100+i) * time.Millisecond))
		}
		for i, r := range w.served {
			Expect(r.Class).To(Equal(map[bool]urgency.Class{true: urgent, false: background}[i < 50]))
		}
	})

	It("serves answers that have begun before new ones of their class, not of more urgent ones", func() {
		w.arrive(at(0), request(at(0), "a", usual))
		w.arrive(at(0), request(at(0), "a", urgent))
		begun := request(at(1), "b", usual)
		begun.Begun = true
		w.arrive(at(1), begun)
		for range 3 {
			w.depart(at(10 * time.Millisecond))
		}
		Expect(w.served).To(HaveExactElements(HaveField("Class", urgent), HaveField("Begun", true), HaveField("Begun", false)))
	})

	// Guards against requests that wait behind one that can't be served, such as one that has tried all
	// of its servers.
	It("passes over requests that fail for reasons of their own", Label("failure:blocked-head-of-queue"), func() {
		blocked := request(at(0), "blocked", urgent)
		w.arrive(at(0), blocked)
		w.arrive(at(0), request(at(0), "other", background))
		tries := 0
		w.fails = func(r waitqueue.Request) (waitqueue.Outcome, bool) {
			if r.Customer == "blocked" {
				tries++
				return waitqueue.OwnReason, true
			}
			return 0, false
		}
		Expect(w.depart(at(time.Millisecond))).To(BeTrue())
		Expect(w.count("other")).To(Equal(1))
		Expect(tries).To(Equal(1))
		w.fails = nil
		Expect(w.depart(at(2*time.Millisecond))).To(BeTrue(), "it tries again at the next event")
	})

	// Guards against hundreds of searches for a server at each event.
	It("tries one request if no server is available", Label("failure:all-wake-at-once"), func() {
		for range 400 {
			w.arrive(at(0), request(at(0), "a", usual))
		}
		tries := 0
		w.fails = func(waitqueue.Request) (waitqueue.Outcome, bool) { tries++; return waitqueue.NoneAvailable, true }
		w.depart(at(time.Millisecond))
		Expect(tries).To(Equal(1))
		tries = 0
		w.fails = func(waitqueue.Request) (waitqueue.Outcome, bool) { tries++; return waitqueue.Limited, true }
		w.depart(at(2 * time.Millisecond))
		Expect(tries).To(BeNumerically("<=", 16))
	})

	// Guards against a wake that is lost because it comes while a request tries, and finds nothing.
	It("tries again after an event during a try", Label("failure:lost-wake"), func() {
		for _, o := range []waitqueue.Outcome{waitqueue.NoneAvailable, waitqueue.OwnReason, waitqueue.Limited} {
			q := newQueue(waitqueue.DefaultConfig())
			waiter := q.Join(at(0), request(at(0), "a", usual), waitqueue.NoneAvailable).Waiter
			Expect(q.Wake(at(1), waitqueue.Released)).To(Equal(waiter))
			Expect(q.Wake(at(2), waitqueue.Changed)).To(BeNil(), "it is trying")
			Expect(q.Tried(at(3), waiter, o)).To(Equal(waiter))
			Expect(q.Tried(at(4), waiter, o)).To(BeNil())
		}
	})

	It("lets a new request try at once if all others wait for reasons of their own", func() {
		w.queue.Join(at(0), request(at(0), "a", urgent), waitqueue.OwnReason)
		j := w.queue.Join(at(0), request(at(0), "b", background), waitqueue.Untried)
		Expect(j.Next).To(Equal(j.Waiter))
		Expect(j.Position).To(BeZero())
	})

	It("hands on the turn of a request that gives up", func() {
		q := w.queue
		first := q.Join(at(0), request(at(0), "a", urgent), waitqueue.NoneAvailable).Waiter
		second := q.Join(at(0), request(at(0), "b", usual), waitqueue.NoneAvailable).Waiter
		Expect(q.Wake(at(1), waitqueue.Released)).To(Equal(first))
		Expect(q.Leave(at(2), first, false)).To(Equal(second))
		Expect(q.Tried(at(3), second, waitqueue.Served)).To(BeNil())
		Expect(q.Leave(at(3), second, false)).To(BeNil())
		Expect(q.Len()).To(BeZero())
	})

	// Guards against an order of ranks that no longer hold.
	It("follows a configuration that changes ranks while the queue is full", Label("failure:ranks-change-in-queue"), func() {
		for i := range waitqueue.DefaultConfig().MaxWaiting {
			class := []urgency.Class{urgent, background}[i%2]
			w.arrive(at(0), request(at(0), state.CustomerID(fmt.Sprint(i%8)), class))
		}
		w.queue.Reclassify(func(waiter *waitqueue.Waiter) (urgency.Class, float64) {
			if waiter.Request().Class == urgent {
				return background, 1
			}
			return urgent, 0
		})
		half := waitqueue.DefaultConfig().MaxWaiting / 2
		Expect(w.queue.Waiting()).To(Equal(map[urgency.Class]int{urgent: half, background: half}))
		for range half {
			w.depart(at(time.Millisecond))
		}
		Expect(w.served).To(HaveEach(HaveField("Class", urgent)))
		Expect(w.queue.Waiting()).To(Equal(map[urgency.Class]int{background: half}))
	})

	// Guards against a queue that stands still, or keeps entries of customers that no longer exist: the
	// callers of one leave while its requests wait, set aside and try.
	It("forgets a customer that is removed while it waits", Label("failure:customer-removed-in-queue"), func() {
		q := w.queue
		aside := q.Join(at(0), request(at(0), "removed", urgent), waitqueue.OwnReason).Waiter
		ordered := q.Join(at(0), request(at(0), "removed", urgent), waitqueue.NoneAvailable).Waiter
		tries := q.Join(at(0), request(at(0), "removed", urgent), waitqueue.Untried).Next
		Expect(tries).To(Equal(ordered), "it came before")
		other := q.Join(at(0), request(at(0), "other", background), waitqueue.NoneAvailable).Waiter
		last := q.Join(at(0), request(at(0), "removed", urgent), waitqueue.NoneAvailable).Waiter
		q.Leave(at(1), aside, false)
		q.Leave(at(1), last, false)
		Expect(q.Leave(at(1), tries, false)).NotTo(BeNil())
		Expect(q.Waiting()).To(Equal(map[urgency.Class]int{urgent: 1, background: 1}))
		Expect(q.Wake(at(2), waitqueue.Released)).To(BeNil(), "the third one tries")
		for waiter := range map[*waitqueue.Waiter]bool{other: true} {
			q.Leave(at(3), waiter, false)
		}
		Expect(q.Waiting()).To(HaveLen(1))
	})
})
