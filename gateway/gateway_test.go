package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// eventText returns the text of events 1 to n.
func eventText(n int) string {
	var b strings.Builder
	for id := 1; id <= n; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", id, id)
	}
	return b.String()
}

var _ = Describe("A gateway", func() {
	var h *harness

	BeforeEach(func() {
		h = newHarness()
	})

	It("refuses requests as not run while it knows no configuration", func() {
		_, res := h.serve("/again/x")
		Expect(res.Outcome).To(Equal(gateway.Refused))
		Expect(res.RetryAfter).To(BeNumerically(">", 0))
		Expect(h.gateway.Ready()).To(BeFalse())
	})

	It("forwards a plain server's answer", func() {
		h.populate()
		got, res := h.serve("/again/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(got.status).To(Equal(http.StatusOK))
		Expect(got.body.String()).To(Equal("ok"))
		Expect(h.servers.sent()[0].Customer).To(BeEquivalentTo("bank"))
	})

	It("rejects routes and API keys that are not in the configuration", func() {
		h.populate()
		_, res := h.serve("/nowhere/x")
		Expect(res.Outcome).To(Equal(gateway.NoRoute))
		req := request("/again/x")
		req.Key = "wrong"
		Expect(h.gateway.Serve(context.Background(), req, &fakeReply{}).Outcome).To(Equal(gateway.UnknownKey))
		Expect(h.servers.sent()).To(BeEmpty())
	})

	It("sends a stream along a path that runs every layer", func() {
		h.populate()
		got, res := h.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(got.body.String()).To(Equal(eventText(5)))
		path := h.servers.sent()[0].Path
		Expect(path.Complete(8)).To(BeTrue())
		Expect(path[0].Domain).To(BeEquivalentTo("a"))
	})

	// An engine breaks off a stream and all others refuse the rest of it for 1.2 s. The
	// stream must not be truncated after the time for which a request that has not begun
	// would wait.
	It("resumes a stream once an engine has capacity, however long that takes", Label("failure:begun-answer-cut"), func() {
		h.populate()
		var first atomic.Bool
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if first.CompareAndSwap(false, true) {
				_, _ = io.WriteString(out, eventText(2))
				h.servers.refuseAll(true)
				time.AfterFunc(1200*time.Millisecond, func() { h.servers.refuseAll(false) })
				_ = out.CloseWithError(backend.ErrIncomplete)
				return
			}
			writeEvents(out, c.LastEventID, 5)
		}
		got, res := h.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		Expect(got.body.String()).To(Equal(eventText(5)))
	})

	// An engine dies in the middle of an event. The partial event is dropped, and the next
	// engine continues after the last complete one, so that the caller gets one answer with
	// each event once.
	It("resumes after the last complete event", Label("failure:stream-breaks-off"), func() {
		h.populate()
		var first atomic.Bool
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if first.CompareAndSwap(false, true) {
				_, _ = io.WriteString(out, eventText(2)+"id: 3\nda")
				_ = out.CloseWithError(backend.ErrIncomplete)
				return
			}
			writeEvents(out, c.LastEventID, 5)
		}
		got, res := h.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(got.body.String()).To(Equal(eventText(5)))
		Expect(h.servers.sent()[1].LastEventID).To(Equal("2"))
	})

	It("truncates a stream that no further engine may run", Label("failure:stream-breaks-off"), func() {
		h.populate()
		h.servers.stream = func(_ backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, eventText(1))
			_ = out.CloseWithError(backend.ErrIncomplete)
		}
		got, res := h.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Truncated))
		Expect(got.aborted).To(BeTrue())
		began := make(map[string]bool)
		for _, c := range h.servers.sent() {
			began[c.Address] = true
		}
		Expect(began).To(HaveLen(2), "the route allows attempts on two engines")
		Expect(len(h.servers.sent())).To(BeNumerically("<=", 4))
	})

	// A stream pauses, and an engine of its path answers the probe with 503, as one does that
	// turns requests away. The answer proves that it is alive: the stream must not be ended.
	It("takes a server that refuses to report for alive", Label("failure:refused-report"), func() {
		h.populate()
		h.servers.mu.Lock()
		h.servers.reportErr["e1"] = backend.ErrNoReport
		h.servers.mu.Unlock()
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, eventText(2))
			time.Sleep(600 * time.Millisecond)
			writeEvents(out, "2", 5)
		}
		_, res := h.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		Expect(h.servers.sent()).To(HaveLen(1))
		Expect(h.servers.reportCount("e1")).To(BeNumerically(">", 0))
	})

	// A server in the middle of a path loses power: the stream stalls while its connection
	// stays open. The caller should see a short pause and then the rest.
	It("detects a dead hop by its stalled streams", Label("failure:hop-dies"), func() {
		h.populate()
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if c.LastEventID == "" {
				_, _ = io.WriteString(out, eventText(2))
				h.servers.markDead(c.Path[1].Address)
				return // stalled forever
			}
			writeEvents(out, c.LastEventID, 5)
		}
		got, res := h.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(got.body.String()).To(Equal(eventText(5)))
		sent := h.servers.sent()
		for _, hop := range sent[1].Path {
			Expect(hop.Address).NotTo(Equal(sent[0].Path[1].Address))
		}
	})

	// The first engine of a stream dies, and the second one loses its answer although it is
	// alive. No third engine may run the request, so the stream has to resume on the second
	// one, which was avoided because its answer had been lost.
	It("retries an engine that has lost an answer if no other may run the request", Label("failure:answer-lost"), func() {
		h.populate()
		for range 30 { // until latencies are known and one answer may be abandoned
			h.serve("/stream/x")
		}
		before := len(h.servers.sent())
		var run atomic.Int32
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			switch run.Add(1) {
			case 1:
				_, _ = io.WriteString(out, eventText(2))
				h.servers.markDead(c.Address)
			case 2: // stalled forever
			default:
				writeEvents(out, c.LastEventID, 5)
			}
		}
		got, res := h.serve("/stream/x")
		sent := h.servers.sent()[before:]
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(got.body.String()).To(Equal(eventText(5)))
		Expect(sent).To(HaveLen(3))
		Expect(sent[1].Address).NotTo(Equal(sent[0].Address))
		Expect(sent[2].Address).To(Equal(sent[1].Address))
	})

	// Guards against an answer that is waited for until its caller leaves: no stream has shown recently
	// how long events take.
	It("gives up a lost answer although no other stream is served", Label("failure:quiet-daemon-answer-lost"), func() {
		h.populate()
		for range 30 { // until one answer may be abandoned
			h.serve("/stream/x")
		}
		time.Sleep(2500 * time.Millisecond) // until their latencies are forgotten
		var run atomic.Int32
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if run.Add(1) == 1 {
				_, _ = io.WriteString(out, eventText(2)) // and nothing more
				return
			}
			writeEvents(out, c.LastEventID, 5)
		}
		got, res := h.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(got.body.String()).To(Equal(eventText(5)))
	})

	// A server runs a request that may run only once, and its answer is lost. The caller
	// must be told that the request failed, not that it did not run, and no other server
	// may get it.
	It("neither repeats nor refuses a run-once request that may have run", Label("failure:answer-lost"), func() {
		h.populate()
		h.servers.plain = func(backend.Call) (*backend.Answer, error) { return nil, backend.ErrIncomplete }
		_, res := h.serve("/once/x")
		Expect(res.Outcome).To(Equal(gateway.Failed))
		Expect(h.servers.sent()).To(HaveLen(1))
	})

	It("tries another server if the first one proves that it did not run the request", func() {
		h.populate()
		var first atomic.Bool
		h.servers.plain = func(backend.Call) (*backend.Answer, error) {
			if first.CompareAndSwap(false, true) {
				a := signedAnswer(http.StatusServiceUnavailable, "")
				a.NotRun = true
				return a, nil
			}
			return signedAnswer(http.StatusOK, "ok"), nil
		}
		_, res := h.serve("/once/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(h.servers.sent()).To(HaveLen(2))
	})

	// A server answers with an error of its own, and no other server takes the request. The
	// caller must get that answer, not a failure of the daemon.
	It("passes a server's failure on if no other server can take the request", Label("failure:ready-answer-replaced"), func() {
		h.populate()
		var first atomic.Bool
		h.servers.plain = func(backend.Call) (*backend.Answer, error) {
			if first.CompareAndSwap(false, true) {
				return signedAnswer(http.StatusInternalServerError, "no luck"), nil
			}
			a := signedAnswer(http.StatusServiceUnavailable, "")
			a.NotRun = true
			return a, nil
		}
		got, res := h.serve("/again/x")
		Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		Expect(got.status).To(Equal(http.StatusInternalServerError))
		Expect(got.body.String()).To(Equal("no luck"))
	})

	It("never forwards a success that no server signed", func() {
		h.populate()
		h.servers.plain = func(backend.Call) (*backend.Answer, error) {
			a := signedAnswer(http.StatusOK, "someone else's")
			a.Signed = false
			return a, nil
		}
		got, res := h.serve("/once/x")
		Expect(res.Outcome).To(Equal(gateway.Failed))
		Expect(got.status).To(BeZero())
	})

	It("sends no request to a server that is leaving", Label("failure:backend-leaving"), func() {
		h.populate()
		h.serverFeed.set("p0", fleet.Server{ID: "p0", Service: "app", Address: "p0", Domain: "a", Draining: true})
		Eventually(func(g Gomega) {
			before := len(h.servers.sent())
			for range 20 { // one of two servers is chosen at random
				h.serve("/again/x")
			}
			for _, c := range h.servers.sent()[before:] {
				g.Expect(c.Address).To(Equal("p1"))
			}
		}).WithTimeout(eventuallyTimeout).Should(Succeed())
	})

	// A request crashes each engine that runs it, and its caller repeats it. After two
	// crashes the request must fail without being sent again.
	It("blocks a request content that has crashed two servers", Label("failure:request-crashes-servers"), func() {
		h.populate()
		h.servers.plain = func(c backend.Call) (*backend.Answer, error) {
			h.servers.markDead(c.Address)
			return nil, backend.ErrIncomplete
		}
		_, res := h.serve("/again/x")
		Expect(res.Outcome).To(Equal(gateway.Failed))
		Expect(h.servers.sent()).To(HaveLen(2))
		_, res = h.serve("/again/x")
		Expect(res.Outcome).To(Equal(gateway.Failed))
		Expect(h.servers.sent()).To(HaveLen(2))
	})

	It("ends a request whose caller disconnects", func() {
		h.populate()
		ctx, cancel := context.WithCancel(context.Background())
		h.servers.stream = func(_ backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, eventText(1))
			cancel()
		}
		res := h.gateway.Serve(ctx, request("/stream/x"), &fakeReply{})
		Expect(res.Outcome).To(Equal(gateway.CallerLeft))
		Expect(h.servers.sent()).To(HaveLen(1))
	})

	// A store that has lost its history answers a read from a lagging replica. Callers must
	// not see an older configuration again.
	It("never reverts to an older configuration", Label("failure:store-behind"), func() {
		h.populate()
		newer := config(9)
		newer.Hosts["h"] = append(newer.Hosts["h"], fleet.Route{Prefix: "/nine/", Repeat: fleet.Idempotent, MaxAttempts: 1, Split: []fleet.Share{{Service: "app", Weight: 1}}})
		h.configs.set("config", newer)
		Eventually(func() gateway.Outcome { _, res := h.serve("/nine/x"); return res.Outcome }).
			WithTimeout(eventuallyTimeout).Should(Equal(gateway.Answered), "the newer one is active")
		old := config(2)
		old.Hosts = nil
		h.configs.mu.Lock()
		h.configs.outdated = &site.Batch[*fleet.Config]{Revision: 1, Items: []site.Item[*fleet.Config]{{Key: "config", Value: old}}}
		h.configs.mu.Unlock()
		h.configs.set("other", config(9))
		Consistently(func() gateway.Outcome { _, res := h.serve("/again/x"); return res.Outcome }).
			WithTimeout(300 * time.Millisecond).Should(Equal(gateway.Answered))
	})

	// The store is down, and entries of servers that are alive expire meanwhile. Callers
	// must still be served; servers that are not listed again in time are removed.
	It("keeps servers whose entries expired during a store outage", Label("failure:entries-lapse"), func() {
		h.populate()
		h.serverFeed.fail(errors.New("down"))
		h.serverFeed.remove("p0")
		h.serverFeed.remove("p1")
		Eventually(h.serverFeed.failures.Load).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 0))
		h.serverFeed.fail(nil)
		Consistently(func() gateway.Outcome { _, res := h.serve("/again/x"); return res.Outcome }).
			WithTimeout(time.Second).Should(Equal(gateway.Answered))
		Eventually(func() gateway.Outcome { _, res := h.serve("/again/x"); return res.Outcome }).
			WithTimeout(eventuallyTimeout).Should(Equal(gateway.Refused))
	})

	// An engine crashes while it can't reach the store and restarts at its address, so that
	// both of its incarnations are listed for a few seconds. Only the later one may be used:
	// a path over both would contain one address twice.
	It("uses the later of two incarnations at one address", Label("failure:two-lives-listed"), func() {
		h.populate()
		for i := range 4 {
			h.serverFeed.remove(fmt.Sprintf("e%d", i))
		}
		old, later := engineNamed("old"), engineNamed("later")
		old.Address, old.Layers = "e", fleet.Range{From: 0, To: 4}
		later.Address, later.Layers = "e", fleet.Range{From: 4, To: 8}
		first := engineNamed("first")
		first.Layers = fleet.Range{From: 0, To: 4}
		h.serverFeed.set("old", old)
		h.serverFeed.set("later", later)
		// From here on a path over both incarnations would make the request panic.
		Eventually(func() gateway.Outcome { return h.serveAt("/stream/x", -9*time.Second).Outcome }).
			WithTimeout(eventuallyTimeout).Should(Equal(gateway.Refused))
		h.serverFeed.set("first", first)
		Eventually(func() gateway.Outcome { _, res := h.serve("/stream/x"); return res.Outcome }).
			WithTimeout(eventuallyTimeout).Should(Equal(gateway.Answered))
		sent := h.servers.sent()
		Expect(sent[len(sent)-1].Path.String()).To(Equal("first=0-4 e=4-8"))
	})

	It("assigns layers to empty engines from one gateway only", func() {
		second := h.start("g2")
		for i := range 4 {
			id := fmt.Sprintf("e%d", i)
			h.serverFeed.set(id, engineNamed(id))
		}
		h.configs.set("config", config(1))
		Eventually(func() gateway.Outcome { _, res := h.serve("/stream/x"); return res.Outcome }).
			WithTimeout(eventuallyTimeout).Should(Equal(gateway.Answered))
		Expect(second.Ready()).To(BeTrue())
		h.servers.mu.Lock()
		defer h.servers.mu.Unlock()
		Expect(h.servers.orders).To(HaveLen(4))
	})

	It("is removed from the addresses and accepts no new stream during a planned stop", Label("failure:planned-stop"), func() {
		h.populate()
		second := h.start("g2")
		Eventually(func() []string { a, _ := second.Addresses("a"); return a }).WithTimeout(eventuallyTimeout).
			Should(ConsistOf("front-g1", "front-g2"))
		h.gateway.Drain()
		Expect(h.gateway.Draining()).To(BeTrue())
		Eventually(func() []string { a, _ := second.Addresses("a"); return a }).WithTimeout(eventuallyTimeout).
			Should(ConsistOf("front-g2"))
		Eventually(h.gateway.Ready).Should(BeFalse())
		Expect(h.serveAt("/stream/x", 5*time.Second).Outcome).To(Equal(gateway.Refused))
		Expect(h.serveAt("/again/x", 5*time.Second).Outcome).To(Equal(gateway.Answered))
	})
})

var _ = Describe("A site whose gateways are all in a planned stop", func() {
	// All daemons of a site are restarted, each a second after the other, so that all of
	// them are stopping at the same time. A stopping daemon sends new streams to other
	// daemons, but there is none: callers must be served all the same.
	It("accepts streams if no other gateway does", Label("failure:planned-stop"), func() {
		h := newHarness()
		h.populate()
		second := h.start("g2")
		Eventually(func() []string { a, _ := h.gateway.Addresses("a"); return a }).WithTimeout(eventuallyTimeout).Should(HaveLen(2))
		second.Drain()
		Eventually(func() []string { a, _ := h.gateway.Addresses("a"); return a }).WithTimeout(eventuallyTimeout).Should(HaveLen(1))
		h.gateway.Drain()
		Expect(h.serveAt("/stream/x", 5*time.Second).Outcome).To(Equal(gateway.Answered), "after the fifth of the time, from which on it would be sent to other daemons")
		res := h.serveAt("/stream/x", 10*time.Second)
		Expect(res.Outcome).To(Equal(gateway.Refused), "it would be truncated at the end")
		Expect(res.RetryAfter).To(BeNumerically(">=", time.Second))
	})

	// Guards against requests that are cut off at the end of a stop while their servers are at work.
	It("refuses a request unrun that may last longer than the stop", Label("failure:lost-in-stops"), func() {
		h := newHarness()
		h.populate()
		h.gateway.Drain()
		Expect(h.serveAt("/once/x", 5*time.Second).Outcome).To(Equal(gateway.Answered))
		res := h.serveAt("/once/x", 17*time.Second)
		Expect(res.Outcome).To(Equal(gateway.Refused))
		Expect(res.RetryAfter).To(BeNumerically(">=", time.Second), "no other daemon accepts it")
		Expect(h.servers.sent()).To(HaveLen(1))
	})

	It("stops once no request is left", Label("failure:planned-stop"), func() {
		const grace = 5 * time.Second
		h := newHarnessWithGrace(grace)
		h.populate()
		began := time.Now()
		h.gateway.Drain()
		h.gateway.WaitDrained()
		Expect(time.Since(began)).To(BeNumerically("<", 9*grace/10))
	})
})

// engineNamed returns an engine without layers.
func engineNamed(id string) fleet.Server {
	return fleet.Server{ID: state.BackendID(id), Service: "llm", Address: id, Kind: "card", Domain: "a"}
}

var _ = Describe("A gateway that has just started", func() {
	// All daemons are restarted. Callers that come back within the next 0.2 s would be
	// refused for a second if a daemon refused requests that arrive just before it has read
	// the configuration.
	It("answers requests that arrived before it knew the configuration", Label("failure:all-start-at-once"), func() {
		h := newHarness()
		h.populate()
		n := 1
		Eventually(func() gateway.Outcome { // repeated if the machine delays the start
			n++
			g := h.start(state.DaemonID(fmt.Sprint("g", n)))
			defer g.Close()
			return g.Serve(context.Background(), request("/again/x"), &fakeReply{}).Outcome
		}).WithTimeout(eventuallyTimeout).Should(Equal(gateway.Answered))
	})
})

var _ = Describe("A request whose body could not be read for want of memory", func() {
	// Guards against a daemon that is ended for its memory with all requests that it holds.
	It("is refused unrun, or for another reason that holds anywhere", Label("failure:bodies-exceed-memory"), func() {
		h := newHarness()
		h.populate()
		h.serve("/once/")
		unread := func(path string) gateway.Result {
			req := request(path)
			req.Unread = true
			return h.gateway.Serve(context.Background(), req, &fakeReply{})
		}
		result := unread("/once/")
		Expect(result.Outcome).To(Equal(gateway.Refused))
		Expect(result.RetryAfter).To(BeNumerically(">", 0))
		Expect(unread("/elsewhere/").Outcome).To(Equal(gateway.NoRoute))
		Expect(h.servers.sent()).To(HaveLen(1))
	})
})
