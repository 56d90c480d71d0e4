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

// whole is the text of events 1 to n.
func whole(n int) string {
	var b strings.Builder
	for id := 1; id <= n; id++ {
		fmt.Fprintf(&b, "id: %d\ndata: %d\n\n", id, id)
	}
	return b.String()
}

var _ = Describe("A gateway", func() {
	var r *rig

	BeforeEach(func() {
		r = newRig()
	})

	It("refuses as not run while it knows no configuration", func() {
		_, res := r.serve("/again/x")
		Expect(res.Outcome).To(Equal(gateway.Refused))
		Expect(res.RetryAfter).To(BeNumerically(">", 0))
		Expect(r.gateway.Ready()).To(BeFalse())
	})

	It("passes a plain server's answer on", func() {
		r.fill()
		to, res := r.serve("/again/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(to.status).To(Equal(http.StatusOK))
		Expect(to.body.String()).To(Equal("ok"))
		Expect(r.servers.sent()[0].Customer).To(BeEquivalentTo("bank"))
	})

	It("knows no route or key that the configuration lacks", func() {
		r.fill()
		_, res := r.serve("/nowhere/x")
		Expect(res.Outcome).To(Equal(gateway.NoRoute))
		req := request("/again/x")
		req.Key = "wrong"
		Expect(r.gateway.Serve(context.Background(), req, &reply{}).Outcome).To(Equal(gateway.UnknownKey))
		Expect(r.servers.sent()).To(BeEmpty())
	})

	It("sends a stream along a path that runs every layer", func() {
		r.fill()
		to, res := r.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(to.body.String()).To(Equal(whole(5)))
		path := r.servers.sent()[0].Path
		Expect(path.Whole(8)).To(BeTrue())
		Expect(path[0].Domain).To(BeEquivalentTo("a"))
	})

	// A draft ends in the middle, although engines have room a moment later. Order: its engine
	// breaks off, and all others refuse the rest for 1.2 s. Cause: it was cut when a request
	// that has not begun is turned away.
	It("goes on once an engine has room, however long that takes", Label("failure:begun-answer-cut"), func() {
		r.fill()
		var first atomic.Bool
		r.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if first.CompareAndSwap(false, true) {
				_, _ = io.WriteString(out, whole(2))
				r.servers.refuseAll(true)
				time.AfterFunc(1200*time.Millisecond, func() { r.servers.refuseAll(false) })
				_ = out.CloseWithError(backend.ErrBroken)
				return
			}
			events(out, c.After, 5)
		}
		to, res := r.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered), res.Reason)
		Expect(to.body.String()).To(Equal(whole(5)))
	})

	// An engine breaks off in the middle of an event. The caller sees one answer
	// with each event once. Cause: the engine died; the part of an event is dropped
	// and the next engine goes on after the last whole one.
	It("goes on after the last whole event", Label("failure:stream-breaks-off"), func() {
		r.fill()
		var first atomic.Bool
		r.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if first.CompareAndSwap(false, true) {
				_, _ = io.WriteString(out, whole(2)+"id: 3\nda")
				_ = out.CloseWithError(backend.ErrBroken)
				return
			}
			events(out, c.After, 5)
		}
		to, res := r.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(to.body.String()).To(Equal(whole(5)))
		Expect(r.servers.sent()[1].After).To(Equal("2"))
	})

	It("cuts a stream that no further engine may run", Label("failure:stream-breaks-off"), func() {
		r.fill()
		r.servers.stream = func(_ backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, whole(1))
			_ = out.CloseWithError(backend.ErrBroken)
		}
		to, res := r.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Truncated))
		Expect(to.cut).To(BeTrue())
		began := make(map[string]bool)
		for _, c := range r.servers.sent() {
			began[c.Address] = true
		}
		Expect(began).To(HaveLen(2), "the route lets two engines run it")
		Expect(len(r.servers.sent())).To(BeNumerically("<=", 4))
	})

	// A server in the middle of a path loses power. The stream falls silent, its
	// connection stays open. The caller sees a short pause and the rest.
	It("finds a dead hop by the silence of its streams", Label("failure:hop-dies"), func() {
		r.fill()
		r.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if c.After == "" {
				_, _ = io.WriteString(out, whole(2))
				r.servers.kill(c.Path[1].Address)
				return // silent for good
			}
			events(out, c.After, 5)
		}
		to, res := r.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(to.body.String()).To(Equal(whole(5)))
		sent := r.servers.sent()
		for _, h := range sent[1].Path {
			Expect(h.Address).NotTo(Equal(sent[0].Path[1].Address))
		}
	})

	// The first engine of a stream dies, and the second one loses its answer although it
	// lives. The caller's stream goes on there. Cause: no third engine may run it, and
	// the second one was avoided since its answer had been lost.
	It("asks an engine again that has lost an answer, where no other may run it", Label("failure:answer-lost"), func() {
		r.fill()
		for range 30 { // until it is known how long answers take, and one may be given up
			r.serve("/stream/x")
		}
		before := len(r.servers.sent())
		var run atomic.Int32
		r.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			switch run.Add(1) {
			case 1:
				_, _ = io.WriteString(out, whole(2))
				r.servers.kill(c.Address)
			case 2: // silent for good
			default:
				events(out, c.After, 5)
			}
		}
		to, res := r.serve("/stream/x")
		sent := r.servers.sent()[before:]
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(to.body.String()).To(Equal(whole(5)))
		Expect(sent).To(HaveLen(3))
		Expect(sent[1].Address).NotTo(Equal(sent[0].Address))
		Expect(sent[2].Address).To(Equal(sent[1].Address))
	})

	// A server runs a request that may run once, and its answer is lost. The caller
	// is told that it failed, not that it did not run, and no other server gets it.
	It("neither repeats nor refuses what may have run once", Label("failure:answer-lost"), func() {
		r.fill()
		r.servers.plain = func(backend.Call) (*backend.Answer, error) { return nil, backend.ErrBroken }
		_, res := r.serve("/once/x")
		Expect(res.Outcome).To(Equal(gateway.Failed))
		Expect(r.servers.sent()).To(HaveLen(1))
	})

	It("tries another server after a proof that the first did not run it", func() {
		r.fill()
		var first atomic.Bool
		r.servers.plain = func(backend.Call) (*backend.Answer, error) {
			if first.CompareAndSwap(false, true) {
				a := answer(http.StatusServiceUnavailable, "")
				a.NotRun = true
				return a, nil
			}
			return answer(http.StatusOK, "ok"), nil
		}
		_, res := r.serve("/once/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		Expect(r.servers.sent()).To(HaveLen(2))
	})

	It("never passes a success on that no server signed", func() {
		r.fill()
		r.servers.plain = func(backend.Call) (*backend.Answer, error) {
			a := answer(http.StatusOK, "someone else's")
			a.Signed = false
			return a, nil
		}
		to, res := r.serve("/once/x")
		Expect(res.Outcome).To(Equal(gateway.Failed))
		Expect(to.status).To(BeZero())
	})

	It("gives a server that is leaving no request", Label("failure:backend-leaving"), func() {
		r.fill()
		r.listed.set("p0", fleet.Server{ID: "p0", Service: "app", Address: "p0", Domain: "a", Draining: true})
		Eventually(func(g Gomega) {
			before := len(r.servers.sent())
			for range 4 {
				r.serve("/again/x")
			}
			for _, c := range r.servers.sent()[before:] {
				g.Expect(c.Address).To(Equal("p1"))
			}
		}).WithTimeout(patience).Should(Succeed())
	})

	// A request crashes each engine that begins it, and its caller sends it again
	// and again. Two engines die, and the request is failed from then on.
	It("refuses a content that has crashed two servers", Label("failure:request-crashes-servers"), func() {
		r.fill()
		r.servers.plain = func(c backend.Call) (*backend.Answer, error) {
			r.servers.kill(c.Address)
			return nil, backend.ErrBroken
		}
		_, res := r.serve("/again/x")
		Expect(res.Outcome).To(Equal(gateway.Failed))
		Expect(r.servers.sent()).To(HaveLen(2))
		_, res = r.serve("/again/x")
		Expect(res.Outcome).To(Equal(gateway.Failed))
		Expect(r.servers.sent()).To(HaveLen(2))
	})

	It("ends a request whose caller leaves", func() {
		r.fill()
		ctx, cancel := context.WithCancel(context.Background())
		r.servers.stream = func(_ backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, whole(1))
			cancel()
		}
		res := r.gateway.Serve(ctx, request("/stream/x"), &reply{})
		Expect(res.Outcome).To(Equal(gateway.CallerLeft))
		Expect(r.servers.sent()).To(HaveLen(1))
	})

	// A store that has lost its history answers a read from a copy that is behind.
	// Callers must not see an older configuration again.
	It("never goes back to an older configuration", Label("failure:store-behind"), func() {
		r.fill()
		newer := config(9)
		newer.Hosts["h"] = append(newer.Hosts["h"], fleet.Route{Prefix: "/nine/", Repeat: fleet.RunAgain, MaxAttempts: 1, Split: []fleet.Share{{Service: "app", Weight: 1}}})
		r.configs.set("config", newer)
		Eventually(func() gateway.Outcome { _, res := r.serve("/nine/x"); return res.Outcome }).
			WithTimeout(patience).Should(Equal(gateway.Answered), "the newer one is in force")
		old := config(2)
		old.Hosts = nil
		r.configs.mu.Lock()
		r.configs.behind = &site.Batch[*fleet.Config]{Revision: 1, Items: []site.Item[*fleet.Config]{{Key: "config", Value: old}}}
		r.configs.mu.Unlock()
		r.configs.set("other", config(9))
		Consistently(func() gateway.Outcome { _, res := r.serve("/again/x"); return res.Outcome }).
			WithTimeout(300 * time.Millisecond).Should(Equal(gateway.Answered))
	})

	// The store is down for a while, and entries of living servers lapse meanwhile.
	// Callers are served all the same; who is not listed again in time is gone.
	It("keeps servers whose entries lapsed with the store", Label("failure:entries-lapse"), func() {
		r.fill()
		r.listed.fail(errors.New("down"))
		r.listed.remove("p0")
		r.listed.remove("p1")
		Eventually(r.listed.failures.Load).WithTimeout(patience).Should(BeNumerically(">", 0))
		r.listed.fail(nil)
		Consistently(func() gateway.Outcome { _, res := r.serve("/again/x"); return res.Outcome }).
			WithTimeout(time.Second).Should(Equal(gateway.Answered))
		Eventually(func() gateway.Outcome { _, res := r.serve("/again/x"); return res.Outcome }).
			WithTimeout(patience).Should(Equal(gateway.Refused))
	})

	// An engine crashes where the store can't be reached and starts again at its
	// address. Both of its lives are listed for some seconds. Callers are served by
	// the later one. Cause: a path over both lives names one address twice.
	It("uses the later of two lives at one address", Label("failure:two-lives-listed"), func() {
		r.fill()
		for i := range 4 {
			r.listed.remove(fmt.Sprintf("e%d", i))
		}
		old, later := engineNamed("old"), engineNamed("later")
		old.Address, old.Layers = "e", fleet.Range{From: 0, To: 4}
		later.Address, later.Layers = "e", fleet.Range{From: 4, To: 8}
		first := engineNamed("first")
		first.Layers = fleet.Range{From: 0, To: 4}
		r.listed.set("old", old)
		r.listed.set("later", later)
		// From here on a path over both lives would stop the request with a panic.
		Eventually(func() gateway.Outcome { return r.serveAt("/stream/x", -9*time.Second).Outcome }).
			WithTimeout(patience).Should(Equal(gateway.Refused))
		r.listed.set("first", first)
		Eventually(func() gateway.Outcome { _, res := r.serve("/stream/x"); return res.Outcome }).
			WithTimeout(patience).Should(Equal(gateway.Answered))
		sent := r.servers.sent()
		Expect(sent[len(sent)-1].Path.String()).To(Equal("first=0-4 e=4-8"))
	})

	It("lays out layers where engines hold none, one gateway for all", func() {
		second := r.start("g2")
		for i := range 4 {
			id := fmt.Sprintf("e%d", i)
			r.listed.set(id, engineNamed(id))
		}
		r.configs.set("config", config(1))
		Eventually(func() gateway.Outcome { _, res := r.serve("/stream/x"); return res.Outcome }).
			WithTimeout(patience).Should(Equal(gateway.Answered))
		Expect(second.Ready()).To(BeTrue())
		r.servers.mu.Lock()
		defer r.servers.mu.Unlock()
		Expect(r.servers.orders).To(HaveLen(4))
	})

	It("leaves the addresses and takes no new stream when it is stopped as planned", Label("failure:planned-stop"), func() {
		r.fill()
		second := r.start("g2")
		Eventually(func() []string { a, _ := second.Addresses("a"); return a }).WithTimeout(patience).
			Should(ConsistOf("front-g1", "front-g2"))
		r.gateway.Drain()
		Expect(r.gateway.Draining()).To(BeTrue())
		Eventually(func() []string { a, _ := second.Addresses("a"); return a }).WithTimeout(patience).
			Should(ConsistOf("front-g2"))
		Eventually(r.gateway.Ready).Should(BeFalse())
		Expect(r.serveAt("/stream/x", 5*time.Second).Outcome).To(Equal(gateway.Refused))
		Expect(r.serveAt("/again/x", 5*time.Second).Outcome).To(Equal(gateway.Answered))
	})
})

var _ = Describe("A site whose gateways are all stopped as planned", func() {
	// Every daemon of a site is restarted, each a second after the other, so that all
	// of them are stopping at one time. Callers are served all the same. Cause: a
	// daemon that stops sends new streams elsewhere, and there was no elsewhere.
	It("takes streams where no other gateway does", Label("failure:planned-stop"), func() {
		r := newRig()
		r.fill()
		second := r.start("g2")
		Eventually(func() []string { a, _ := r.gateway.Addresses("a"); return a }).WithTimeout(patience).Should(HaveLen(2))
		second.Drain()
		Eventually(func() []string { a, _ := r.gateway.Addresses("a"); return a }).WithTimeout(patience).Should(HaveLen(1))
		r.gateway.Drain()
		Expect(r.serveAt("/stream/x", 5*time.Second).Outcome).To(Equal(gateway.Answered), "past the fifth after which it is sent elsewhere")
		res := r.serveAt("/stream/x", 10*time.Second)
		Expect(res.Outcome).To(Equal(gateway.Refused), "it would be cut at the end")
		Expect(res.RetryAfter).To(BeNumerically(">=", time.Second))
	})

	It("ends once no request is left", Label("failure:planned-stop"), func() {
		const grace = 5 * time.Second
		r := newRigWith(grace)
		r.fill()
		began := time.Now()
		r.gateway.Drain()
		r.gateway.WaitDrained()
		Expect(time.Since(began)).To(BeNumerically("<", 9*grace/10))
	})
})

// engineNamed is an engine without layers.
func engineNamed(id string) fleet.Server {
	return fleet.Server{ID: state.BackendID(id), Service: "llm", Address: id, Kind: "card", Domain: "a"}
}

var _ = Describe("A gateway that has just started", func() {
	// All daemons are ended and start again; callers that come back within the next 0.2 s
	// are sent away for a second. Cause: a daemon that was about to read the
	// configuration refused what came before it had.
	It("answers what came before it knew the configuration", Label("failure:all-start-at-once"), func() {
		r := newRig()
		r.fill()
		n := 1
		Eventually(func() gateway.Outcome { // a start that this machine holds up is tried again
			n++
			g := r.start(state.DaemonID(fmt.Sprint("g", n)))
			defer g.Close()
			return g.Serve(context.Background(), request("/again/x"), &reply{}).Outcome
		}).WithTimeout(patience).Should(Equal(gateway.Answered))
	})
})
