package gateway_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// settleTime is how long requests that were assigned before may still reach a server
	// after it has asked for none.
	settleTime = 500 * time.Millisecond
	// maxUnwanted is how many requests a daemon may send to a server that wants none.
	maxUnwanted = 2
	// drainTime is how long a server that leaves may still get new requests.
	drainTime = 2 * time.Second
	// lastSecond is the end of a time without requests in which callers' deadlines allow to
	// wait for a server.
	lastSecond = time.Second
	// requestInterval is the time between two requests of the loads below.
	requestInterval = 15 * time.Millisecond
)

var _ = Describe("A server that asks for no requests for a while", func() {
	var h *harness

	BeforeEach(func() {
		h = newHarness()
		h.populate()
	})

	// A daemon goes on sending requests to a server that has turned one away and stated for
	// how long it wants none: that server answers sooner than all others, and looks like the
	// best one to each new request.
	DescribeTable("gets none from a daemon that it has told", Label("failure:retry-after-ignored"), func(address, path string) {
		const rest = 3 * time.Second
		h.servers.plain = func(backend.Call) (*backend.Answer, error) {
			time.Sleep(2 * requestInterval) // requests overlap, so that each server gets some
			return signedAnswer(http.StatusOK, "ok"), nil
		}
		h.servers.startShedding(address, rest)
		results := sendLoad([]*gateway.Gateway{h.gateway}, path, requestInterval, rest)
		Expect(h.servers.turnAways(address)).To(BeNumerically(">", 0))
		Expect(h.servers.unwantedRequests(address)).To(BeNumerically("<=", maxUnwanted))
		for _, res := range results {
			Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		}
	},
		Entry("as a plain server", "p0", "/again/x"),
		Entry("as the first hop of streams", "e0", "/stream/x"),
	)

	// All servers of a service ask for no requests. They must get none, although there is no
	// other server, and callers must be refused at once, as not run and with the time until
	// a server accepts requests again.
	DescribeTable("has callers refused at once if there is no other", Label("failure:retry-after-ignored"), func(path string, addresses ...string) {
		const rest = 3 * time.Second
		for _, address := range addresses {
			h.servers.startShedding(address, rest)
		}
		began := time.Now()
		results := sendLoad([]*gateway.Gateway{h.gateway}, path, requestInterval, rest-lastSecond)
		for _, res := range results {
			Expect(res.Outcome).To(Equal(gateway.Refused))
			Expect(res.RetryAfter).To(And(BeNumerically(">", 0), BeNumerically("<", rest+settleTime)))
		}
		sent := time.Now()
		_, last := h.serve(path)
		Expect(time.Since(sent)).To(BeNumerically("<", settleTime/2))
		Expect(last.Reason).To(Equal("server_retry_after"))
		Expect(last.RetryAfter).To(BeNumerically("~", began.Add(rest).Sub(sent), settleTime))
		sendLoad([]*gateway.Gateway{h.gateway}, path, requestInterval, time.Until(began.Add(rest)))
		for _, address := range addresses {
			Expect(h.servers.unwantedRequests(address)).To(BeNumerically("<=", maxUnwanted), address)
		}
	},
		Entry("for a plain service", "/again/x", "p0", "p1"),
		Entry("for streams", "/stream/x", "e0", "e2"),
	)
})

var _ = Describe("A server that states that it is leaving", func() {
	// A server says in its answers that it is leaving while the list still shows it as
	// ready: the daemon goes on sending it requests until it is gone.
	DescribeTable("gets no further requests from a daemon that it has told", Label("failure:leaving-ignored"), func(address, path string) {
		h := newHarness()
		h.populate()
		h.servers.startLeaving(address)
		h.servers.plain = func(backend.Call) (*backend.Answer, error) {
			time.Sleep(5 * time.Millisecond) // requests overlap, so that each server gets some
			return signedAnswer(http.StatusOK, "ok"), nil
		}
		Eventually(func() []time.Time {
			sendLoad([]*gateway.Gateway{h.gateway}, path, time.Millisecond, 50*time.Millisecond)
			return h.servers.requestTimes(address)
		}).WithTimeout(eventuallyTimeout).ShouldNot(BeEmpty())
		told := time.Now()
		results := sendLoad([]*gateway.Gateway{h.gateway}, path, requestInterval, drainTime+time.Second)
		for _, at := range h.servers.requestTimes(address) {
			Expect(at).To(BeTemporally("<", told.Add(drainTime)))
		}
		for _, res := range results {
			Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		}
	},
		Entry("as a plain server", "p0", "/again/x"),
		Entry("as the first hop of streams", "e0", "/stream/x"),
	)
})

var _ = Describe("A request for a server that wants none by now", func() {
	var h *harness

	BeforeEach(func() {
		h = newHarness()
		h.populate()
	})

	// A request was assigned to a server and waits for a connection. Another one is turned away
	// meanwhile, with a time for which the server wants none. The first one must not reach it.
	DescribeTable("is withdrawn and answered by another server", Label("failure:assigned-before"), func(path string) {
		const rest = 3 * time.Second
		var first atomic.Pointer[string]
		h.servers.connect = func(c backend.Call) {
			if !first.CompareAndSwap(nil, &c.Address) {
				return
			}
			h.servers.startShedding(c.Address, rest)
			until := time.Now().Add(2 * settleTime)
			for time.Now().Before(until) {
				sendLoad([]*gateway.Gateway{h.gateway}, path, requestInterval, settleTime)
			}
		}
		_, res := h.serve(path)
		Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		Expect(h.servers.turnAways(*first.Load())).To(Equal(1))
		Expect(h.servers.unwantedRequests(*first.Load())).To(BeZero())
	},
		Entry("as a plain request", "/again/x"),
		Entry("as a stream", "/stream/x"),
	)

	// A stream breaks off while the engine that could continue it wants no requests. The rest
	// must wait for it, and the caller gets all events.
	It("waits for the server as the rest of a stream", Label("failure:retry-after-ignored"), func() {
		const rest = 1500 * time.Millisecond
		var first atomic.Bool
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if first.CompareAndSwap(false, true) {
				_, _ = io.WriteString(out, eventText(2))
				for i := range 4 {
					h.servers.startShedding(fmt.Sprintf("e%d", i), rest)
				}
				_ = out.CloseWithError(backend.ErrIncomplete)
				return
			}
			writeEvents(out, c.LastEventID, 5)
		}
		got, res := h.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		Expect(got.body.String()).To(Equal(eventText(5)))
		for _, address := range []string{"e0", "e2"} {
			Expect(h.servers.unwantedRequests(address)).To(BeNumerically("<=", maxUnwanted), address)
		}
	})

	// Requests wait for the only server, and the time for which it wants none ends. They must
	// not reach it all at once.
	It("waits for the answer to the first one after the time is over", Label("failure:return-at-once"), func() {
		const rest, answerTime, waiting = 400 * time.Millisecond, 100 * time.Millisecond, 40
		var running, most atomic.Int32
		h.servers.plain = func(backend.Call) (*backend.Answer, error) {
			now := running.Add(1)
			defer running.Add(-1)
			for old := most.Load(); now > old && !most.CompareAndSwap(old, now); old = most.Load() {
			}
			time.Sleep(answerTime)
			return signedAnswer(http.StatusOK, "ok"), nil
		}
		h.servers.startShedding("p0", rest)
		h.servers.startShedding("p1", time.Hour)
		Expect(h.serveAt("/again/x", 0).Outcome).To(Equal(gateway.Answered))
		h.servers.startShedding("p0", rest)
		go h.serve("/again/x")
		Eventually(func() int { return h.servers.turnAways("p0") }).WithTimeout(eventuallyTimeout).Should(Equal(2))
		most.Store(0)
		results := make(chan gateway.Result, waiting)
		for range waiting {
			go func() { _, res := h.serve("/again/x"); results <- res }()
		}
		time.Sleep(rest + rest/10 + answerTime/2)
		Expect(most.Load()).To(BeNumerically("<=", 1))
		for range waiting {
			Eventually(results).WithTimeout(eventuallyTimeout).Should(Receive())
		}
	})

	// A stream that has run on each engine that may run it is resumed on one of these, and a request
	// whose answer was lost returns to its server. A late copy of what the server sent before may come
	// on the connection that carried it.
	It("is sent a stream that returns to it on another connection", Label("failure:late-second-answer"), func() {
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			from, _ := strconv.Atoi(c.LastEventID)
			_, _ = fmt.Fprintf(out, "id: %d\ndata: x\n\n", from+1)
			_ = out.CloseWithError(backend.ErrIncomplete)
		}
		h.serve("/stream/x")
		calls := h.servers.sent()
		Expect(len(calls)).To(BeNumerically(">", 2))
		seen := make(map[string]bool)
		for _, c := range calls {
			Expect(c.Resent).To(Equal(seen[c.Address]), c.Address)
			seen[c.Address] = true
		}
		Expect(len(seen)).To(BeNumerically("<", len(calls)), "it has returned")
	})

	// Guards against a late copy of the first answer that is taken for the answer to the second send.
	It("is sent a request that it has turned away on another connection", Label("failure:late-second-answer"), func() {
		h.servers.startShedding("p0", 100*time.Millisecond)
		h.servers.startShedding("p1", time.Hour)
		Expect(h.serveAt("/once/x", 0).Outcome).To(Equal(gateway.Answered))
		seen := make(map[string]bool)
		for _, call := range h.servers.sent() {
			Expect(call.Resent).To(Equal(seen[call.Address]))
			seen[call.Address] = true
		}
		Expect(len(h.servers.sent())).To(BeNumerically(">", len(seen)))
	})

	// Another process starts at the address of a server that has asked for no requests. It has
	// asked for nothing.
	It("reaches another incarnation at its address at once", func() {
		for _, id := range []string{"p0", "p1"} {
			h.servers.startShedding(id, time.Hour)
		}
		Expect(h.serveAt("/again/x", 0).Outcome).To(Equal(gateway.Refused))
		for _, id := range []string{"p0", "p1"} {
			h.servers.startShedding(id, 0)
			h.serverFeed.remove(id)
			h.serverFeed.set(id+"-new", fleet.Server{ID: state.BackendID(id + "-new"), Service: "app", Address: id, Domain: "a"})
		}
		Eventually(func() gateway.Outcome { return h.serveAt("/again/x", 0).Outcome }).
			WithTimeout(eventuallyTimeout).Should(Equal(gateway.Answered))
	})
})

var _ = Describe("A first hop that passes on another one's wish for no requests", func() {
	// A hop behind the first one turns a request away. The first hop passes that on, and must
	// get no request from the daemon either, nor must others forward requests to the blamed
	// one.
	It("gets no requests, and the blamed one runs no part of a path", Label("failure:retry-after-ignored"), func() {
		h := newHarness()
		h.populate()
		const rest = 2 * time.Second
		h.servers.startSheddingFor("e0", "e1", rest)
		began := time.Now()
		for _, res := range sendLoad([]*gateway.Gateway{h.gateway}, "/stream/x", requestInterval, rest) {
			Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		}
		Expect(h.servers.unwantedRequests("e0")).To(BeNumerically("<=", maxUnwanted))
		for _, c := range h.servers.sent() {
			if c.Path != nil && time.Since(began) > settleTime {
				Expect(c.Path[len(c.Path)-1].Address == "e1" && c.Address != "e0").To(BeFalse())
			}
		}
	})
})
