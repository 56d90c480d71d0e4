package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/coordination/waitqueue"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// rooms fakes servers that have room for some requests.
type rooms struct {
	mu    sync.Mutex
	free  int
	tries int
	order []string // names of the requests that were served
}

// take is a request's try to get a server.
func (s *rooms) take(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tries++
	if s.free == 0 {
		return false
	}
	s.free--
	s.order = append(s.order, name)
	return true
}

func (s *rooms) release(g *Gateway) {
	s.mu.Lock()
	s.free++
	s.mu.Unlock()
	g.waits.released("app")
}

func (s *rooms) served() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.order...)
}

var _ = Describe("Requests that wait in the order of a queue", func() {
	const timeout = 20 * time.Second
	var (
		g  *Gateway
		v  *view
		s  *rooms
		wg sync.WaitGroup
	)

	BeforeEach(func() {
		g = newTestControl(GinkgoTB()).g
		set := *g.currentSettings()
		set.Contention = Contention{Queue: true}
		g.settings.Store(&set)
		v = &view{config: &fleet.Config{
			Hosts:    map[string][]fleet.Route{"h": {{Prefix: "/urgent", Rank: 0}, {Prefix: "/background", Rank: 3}}},
			Services: map[state.ServiceID]fleet.Service{"app": {ID: "app"}},
			Keys:     map[string]fleet.Customer{"large": {ID: "large"}, "small": {ID: "small"}},
		}, serversKnown: true, members: g.currentView.Load().members}
		g.currentView.Store(v)
		s = &rooms{}
	})

	handler := func(customer, path string) *requestHandler {
		now := time.Now()
		route, _ := v.config.Lookup("h", path)
		service := v.config.Services["app"]
		return &requestHandler{
			g: g, view: v, route: route, service: &service, customer: v.config.Keys[customer], deadline: now.Add(time.Hour),
			req: &Request{Host: "h", Path: path, Key: customer, Body: []byte("content"), Arrived: now}, attemptCount: 1, retrier: relay.Retrier{},
		}
	}
	// wait makes a request wait, and returns once it does.
	wait := func(customer, path string) {
		n, r := g.waits.waiting.Load(), handler(customer, path)
		wg.Go(func() {
			r.waitInOrder(context.Background(), time.Now().Add(timeout), func() bool { return s.take(customer + path) })
		})
		Eventually(g.waits.waiting.Load).WithTimeout(timeout).Should(Equal(n + 1))
	}

	It("are served by urgency, and in turns among customers", Label("failure:polled-in-no-order"), func() {
		for range 3 {
			wait("large", "/background")
		}
		wait("small", "/background")
		wait("large", "/urgent")
		for range 5 {
			n := len(s.served())
			s.release(g)
			Eventually(s.served).WithTimeout(timeout).Should(HaveLen(n + 1))
		}
		wg.Wait()
		Expect(s.served()[0]).To(Equal("large/urgent"))
		Expect(s.served()[1:3]).To(ConsistOf("large/background", "small/background"))
		Expect(g.waits.waiting.Load()).To(BeZero())
	})

	// Guards against a poll: 40 requests that are served one after the other would take 40 intervals.
	It("are woken by a release", Label("failure:polled-in-no-order"), func() {
		const n = 40
		for range n {
			wait("large", "/urgent")
		}
		began := time.Now()
		for i := range n {
			s.release(g)
			Eventually(s.served).WithTimeout(timeout).WithPolling(100 * time.Microsecond).Should(HaveLen(i + 1))
		}
		Expect(time.Since(began)).To(BeNumerically("<", n*waitPollInterval/2))
		wg.Wait()
	})

	It("search one after the other", Label("failure:all-wake-at-once"), func() {
		const n = 100
		for range n {
			wait("large", "/urgent")
		}
		s.mu.Lock()
		before := s.tries
		s.mu.Unlock()
		for range 10 {
			g.waits.released("app")
		}
		time.Sleep(2 * fallbackInterval)
		s.mu.Lock()
		tries := s.tries - before
		s.mu.Unlock()
		Expect(tries).To(BeNumerically("<", n))
		for range n {
			s.release(g)
		}
		wg.Wait()
	})

	// Guards against a request that waits although a server became available as it joined the queue.
	It("miss no event between their first try and their wait", Label("failure:lost-wake"), func() {
		r := handler("large", "/urgent")
		seen := g.waits.events.Load()
		s.release(g)
		t, rejection := g.waits.join(time.Now(), r, r.queued(time.Now().Add(timeout)), waitqueue.NoneAvailable, seen)
		Expect(rejection).To(BeNil())
		Expect(t.turn).To(Receive())
		g.waits.leave(time.Now(), t, false)
	})

	It("are woken by each event that may make a server available", func() {
		server := state.BackendIncarnation{ID: "limited", Born: 1}
		for name, event := range map[string]func(){
			"a view is published":         func() { g.control.changed = true; g.control.publish() },
			"a dead server answers again": func() { g.clearDead("address") },
			"a refusal's check ends":      func() { g.endRefusalCheck("address") },
			"a server names another limit": func() {
				g.observeLimit(server, &backend.Answer{Signed: true, Limit: fleet.RateLimit{Named: true, PerSecond: 1}}, time.Now())
			},
			"a plain server is released": func() { handler("large", "/urgent").releaseServer(server) },
			"a path is released":         func() { handler("large", "/urgent").releasePath(fleet.Path{{Server: server}}, 1) },
		} {
			r := handler("large", "/urgent")
			t, _ := g.waits.join(time.Now(), r, r.queued(time.Now().Add(timeout)), waitqueue.OwnReason, g.waits.events.Load())
			Expect(t.turn).NotTo(Receive())
			event()
			Expect(t.turn).To(Receive(), name)
			g.waits.leave(time.Now(), t, false)
		}
	})

	It("are ordered by the ranks of a new configuration", Label("failure:ranks-change-in-queue"), func() {
		wait("large", "/urgent")
		wait("large", "/background")
		later := *v
		config := *v.config
		config.Hosts = map[string][]fleet.Route{"h": {{Prefix: "/urgent", Rank: 3}, {Prefix: "/background", Rank: 0}}}
		later.config = &config
		g.waits.reclassify(&later)
		s.release(g)
		Eventually(s.served).WithTimeout(timeout).Should(HaveExactElements("large/background"))
		s.release(g)
		wg.Wait()
	})

	It("are served though their customer is removed meanwhile", Label("failure:customer-removed-in-queue"), func() {
		wait("large", "/urgent")
		later := *v
		config := *v.config
		config.Keys, config.Hosts = nil, nil
		later.config = &config
		g.waits.reclassify(&later)
		s.release(g)
		wg.Wait()
		Expect(s.served()).To(HaveLen(1))
	})

	It("cost the first try nothing while there are none", func() {
		s.free = 1
		r := handler("large", "/urgent")
		Expect(r.waitInOrder(context.Background(), time.Now().Add(timeout), func() bool { return s.take("x") })).To(BeTrue())
		Expect(g.waits.queues).To(BeEmpty())
		Expect(s.tries).To(Equal(1))
	})

	// Guards against callers that are overtaken each time that they return.
	It("keep the place of their first arrival if their callers return when they were told to", Label("failure:repeating-callers-first"), func() {
		first := handler("large", "/urgent")
		first.req.Arrived = time.Now().Add(-time.Second)
		first.rememberRefusal(Result{Outcome: Refused, Reason: string(relay.ReasonNoServer), RetryAfter: time.Nanosecond})
		again := handler("large", "/urgent")
		Expect(again.returnsEarly()).To(BeFalse())
		Expect(again.queued(time.Now()).Place).To(Equal(first.req.Arrived))
		Expect(g.waits.remembered.Load()).To(BeZero())
	})

	It("are told different times to return if they are denied a retry", func() {
		first, second := handler("large", "/urgent").deniedResult(relay.ReasonBudget), handler("large", "/urgent").deniedResult(relay.ReasonBudget)
		Expect(first.RetryAfter).To(And(BeNumerically(">=", admission.Busy.RetryAfter()), BeNumerically("<=", admission.Busy.RetryAfter()+100*time.Millisecond)))
		Expect(first.RetryAfter).NotTo(Equal(second.RetryAfter))
	})

	// Guards against callers that are rejected in place of others of their customer: requests without a
	// body are often equal.
	It("are not taken for those of other callers if they have no content", func() {
		other := handler("large", "/urgent")
		other.req.Body = nil
		other.rememberRefusal(Result{Outcome: Refused, Reason: string(relay.ReasonNoServer), RetryAfter: time.Minute})
		Expect(g.waits.remembered.Load()).To(BeZero())
	})

	It("are told to return later if they return too early and others are expected before", Label("failure:repeating-callers-first"), func() {
		other, early := handler("small", "/urgent"), handler("large", "/urgent")
		other.rememberRefusal(Result{Outcome: Refused, Reason: string(relay.ReasonNoServer), RetryAfter: time.Minute})
		early.rememberRefusal(Result{Outcome: Refused, Reason: string(relay.ReasonNoServer), RetryAfter: 2 * time.Minute})
		again := handler("large", "/urgent")
		s.free = 1
		Expect(again.waitInOrder(context.Background(), time.Now().Add(timeout), func() bool { return s.take("x") })).To(BeFalse())
		_, result := again.noServerResult(admission.Busy)
		Expect(result.Reason).To(Equal(string(waitqueue.ReasonEarly)))
		Expect(result.RetryAfter).To(BeNumerically("~", 2*time.Minute, time.Minute))
	})
})

var _ = Describe("Without contention.queue a request that waits", func() {
	It("polls, joins no queue and is told the usual time to return", func() {
		g := newTestControl(GinkgoTB()).g
		now, tries := time.Now(), 0
		r := &requestHandler{
			g: g, req: &Request{Arrived: now}, view: g.currentView.Load(), deadline: now.Add(10 * time.Second),
			service: &fleet.Service{ID: "app"}, route: &fleet.Route{},
		}
		Expect(r.waitFor(context.Background(), func() bool { tries++; return tries == 4 })).To(BeTrue())
		Expect(time.Since(now)).To(BeNumerically(">=", 3*waitPollInterval))
		_, result := r.noServerResult(admission.Busy)
		Expect(result.RetryAfter).To(Equal(admission.Busy.RetryAfter()))
		Expect(r.deniedResult(relay.ReasonBudget).RetryAfter).To(Equal(admission.Busy.RetryAfter()))
		r.rememberRefusal(result)
		Expect(g.waits.queues).To(BeEmpty())
		Expect(g.waits.remembered.Load()).To(BeZero())
	})
})

// BenchmarkFirstTry measures what the queue adds to a request that finds a server while none waits.
func BenchmarkFirstTry(b *testing.B) {
	g := newTestControl(b).g
	service := &fleet.Service{ID: "app"}
	for _, on := range []bool{false, true} {
		b.Run(map[bool]string{false: "poll", true: "queue"}[on], func(b *testing.B) {
			set := *g.currentSettings()
			set.Contention.Queue = on
			g.settings.Store(&set)
			now := time.Now()
			r := &requestHandler{g: g, req: &Request{Arrived: now}, view: g.currentView.Load(), deadline: now.Add(time.Hour), service: service, route: &fleet.Route{}}
			b.ReportAllocs()
			for b.Loop() {
				if !r.waitFor(context.Background(), func() bool { return true }) {
					b.Fatal("not found")
				}
				g.waits.released("app")
			}
		})
	}
}
