package gateway_test

import (
	"context"
	"fmt"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// listEngines lists engines e0, e2 and so on with the lower half of the layers, and e1, e3 and so on with the
// upper half, one of each in each of some domains.
func (h *harness) listEngines(domains ...state.FailureDomain) {
	for i, domain := range domains {
		for half := range 2 {
			id := fmt.Sprintf("e%d", 2*i+half)
			h.serverFeed.set(id, fleet.Server{
				ID: state.BackendID(id), Service: "llm", Address: id, Kind: "card", Domain: domain, Layers: fleet.Range{From: 4 * half, To: 4*half + 4},
			})
		}
	}
	h.configs.set("config", config(1))
	Eventually(h.gateway.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
}

var _ = Describe("A stream whose engine stands still", func() {
	var h *harness
	// stopWith makes some engines stand still once a stream has two events.
	stopWith := func(addresses ...string) {
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if c.LastEventID != "" {
				writeEvents(out, c.LastEventID, 5)
				return
			}
			_, _ = io.WriteString(out, eventText(2))
			for _, a := range addresses {
				h.servers.setSilent(a, true)
			}
		}
	}
	serve := func() (*fakeReply, gateway.Result) {
		req, reply := request("/stream/x"), &fakeReply{}
		req.CallerTimeout = 3 * time.Second
		return reply, h.gateway.Serve(context.Background(), req, reply)
	}
	BeforeEach(func() { h = newHarness() })

	// Guards against streams that wait at a second engine that stands still, which reads them late.
	It("goes on at none of those that stand still as well", Label("failure:resumed-at-silent-engines"), func() {
		h.listEngines("a", "a", "b")
		stopWith("e0", "e2")
		reply, result := serve()
		Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		Expect(reply.body.String()).To(Equal(eventText(5)))
		sent := h.servers.sent()
		Expect(sent).To(HaveLen(2))
		Expect(sent[1].Address).To(Equal("e4"))
	})

	// Guards against the same where an engine after the first one of the path stands still.
	It("goes on along no path through those that stand still as well", Label("failure:resumed-at-silent-engines"), func() {
		h.listEngines("a", "a", "b")
		stopWith("e1", "e3")
		reply, result := serve()
		Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		Expect(reply.body.String()).To(Equal(eventText(5)))
		sent := h.servers.sent()
		Expect(sent[len(sent)-1].Path[1].Address).To(Equal("e5"))
		Expect(sent).To(HaveLen(2))
	})
})

var _ = Describe("An engine that stands still while no stream runs there", func() {
	// Guards against streams that are sent there one after the other, each until its answer counts as lost.
	It("gets one stream", Label("failure:idle-silent-engine"), func() {
		h := newHarness()
		h.listEngines("a", "b")
		for range 5 {
			_, result := h.serve("/stream/x")
			Expect(result.Outcome).To(Equal(gateway.Answered))
		}
		h.servers.setSilent("e0", true)
		before := len(h.servers.sent())
		for range 4 {
			_, result := h.serve("/stream/x")
			Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		}
		first := 0
		for _, c := range h.servers.sent()[before:] {
			if c.Address == "e0" {
				first++
			}
		}
		Expect(first).To(Equal(1))
	})

	// Guards against streams that wait there until their callers leave, where no answer shows how long one takes.
	It("is left by a stream that has never had another one to compare with", Label("failure:idle-silent-engine"), func() {
		h := newHarness()
		h.listEngines("a", "b")
		h.servers.setSilent("e0", true)
		req, reply := request("/stream/x"), &fakeReply{}
		req.CallerTimeout = 3 * time.Second
		result := h.gateway.Serve(context.Background(), req, reply)
		Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		Expect(reply.body.String()).To(Equal(eventText(5)))
	})

	// Guards against streams that leave an engine which is slow to begin, but answers probes.
	It("is told from one that takes long to begin an answer", Label("failure:idle-silent-engine"), func() {
		h := newHarness()
		h.listEngines("a", "b")
		h.servers.connect = func(backend.Call) { time.Sleep(1500 * time.Millisecond) }
		_, result := h.serve("/stream/x")
		Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		Expect(h.servers.sent()).To(HaveLen(1))
		Expect(h.servers.reportCount("e0")).To(BeNumerically(">", 0))
	})
})

var _ = Describe("Several gateways before an engine that stands still", func() {
	// Guards against a stream of each gateway that such an engine reads late.
	It("send it one stream", Label("failure:silent-engines-found-by-each"), func() {
		h := newHarness()
		others := []*gateway.Gateway{h.start("g2"), h.start("g3")}
		h.listEngines("a", "b")
		for _, g := range others {
			Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		}
		h.servers.setSilent("e0", true)
		_, result := h.serve("/stream/x")
		Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		time.Sleep(time.Second) // it is told again and again meanwhile
		before := len(h.servers.sent())
		for _, g := range others {
			Expect(g.Serve(context.Background(), request("/stream/x"), &fakeReply{}).Outcome).To(Equal(gateway.Answered))
		}
		for _, c := range h.servers.sent()[before:] {
			Expect(c.Address).NotTo(Equal("e0"))
		}
	})

	// Guards against engines that are left out because one gateway has lost its link to them.
	It("use it if it answers their probes", Label("failure:silent-engines-found-by-each"), func() {
		h := newHarness()
		other := h.start("g2")
		h.listEngines("a", "b")
		Eventually(other.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		h.servers.setSilent("e0", true)
		_, result := h.serve("/stream/x")
		Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		time.Sleep(300 * time.Millisecond) // told by then
		h.servers.setSilent("e0", false)
		before := len(h.servers.sent())
		Expect(other.Serve(context.Background(), request("/stream/x"), &fakeReply{}).Outcome).To(Equal(gateway.Answered))
		Expect(h.servers.sent()[before].Address).To(Equal("e0"))
	})
})
