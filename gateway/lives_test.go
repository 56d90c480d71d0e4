package gateway_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// serverStatus returns a server's entry in the gateway's status.
func (h *harness) serverStatus(id state.BackendID) (gateway.ServerStatus, bool) {
	status, err := h.gateway.Status(context.Background())
	Expect(err).NotTo(HaveOccurred())
	for _, svc := range status.Services {
		for _, s := range svc.Servers {
			if s.ID == id {
				return s, true
			}
		}
	}
	return gateway.ServerStatus{}, false
}

// awaitUsed waits until a server is used, or is not.
func (h *harness) awaitUsed(id state.BackendID, want bool) {
	Eventually(func() bool { _, ok := h.serverStatus(id); return ok }).WithTimeout(eventuallyTimeout).Should(Equal(want))
}

// awaitLayers waits until a server is listed with some layers.
func (h *harness) awaitLayers(id state.BackendID, want string) {
	Eventually(func() string { s, _ := h.serverStatus(id); return s.Layers }).WithTimeout(eventuallyTimeout).Should(Equal(want))
}

var _ = Describe("Entries of servers", func() {
	var h *harness
	plain := fleet.Server{ID: "p0", Service: "app", Address: "p0", Domain: "a"}
	BeforeEach(func() {
		h = newHarness()
		h.serverFeed.keepHistory()
		h.populate()
		h.awaitUsed("p0", true)
	})

	// Another program overwrites a valid entry. If the unreadable entry is ignored, the one
	// before it stays in use, and callers get answers of a server that no longer belongs to
	// the service, or wait for one.
	It("that can't be decoded remove the server of a valid entry before them", Label("failure:foreign-entry"), func() {
		h.serverFeed.setUnreadable("p0", errors.New("not an entry"))
		h.awaitUsed("p0", false)
		_, others := h.serverStatus("p1")
		Expect(others).To(BeTrue())
		h.serverFeed.set("p0", plain)
		h.awaitUsed("p0", true)
	})

	// Another program writes an entry with the address of a service's only server and an
	// unknown service. If the later of two entries at one address is used, that server is
	// missing from all choices.
	It("with an unknown service or accelerator kind leave the others in use", Label("failure:foreign-entry"), func() {
		h.serverFeed.set("x0", fleet.Server{ID: "x0", Service: "no such service", Address: "p0", Domain: "a"})
		h.serverFeed.set("x1", fleet.Server{ID: "x1", Service: "llm", Address: "e0", Domain: "a", Kind: "no such card"})
		h.serverFeed.set("x2", fleet.Server{ID: "x2", Service: "llm", Address: "e1", Domain: "a", Kind: "card", Layers: fleet.Range{From: 0, To: 99}})
		h.serverFeed.set("p2", fleet.Server{ID: "p2", Service: "app", Address: "p2", Domain: "a"})
		h.awaitUsed("p2", true)
		for _, id := range []state.BackendID{"p0", "e0", "e1"} {
			_, ok := h.serverStatus(id)
			Expect(ok).To(BeTrue(), string(id))
		}
	})

	// An engine dies and is listed again under its name, without layers. If its name alone
	// identifies the incarnation, nothing seems to have changed, and streams stall for the
	// seconds after which engines give up on a dead hop.
	It("of a new incarnation reset the state of the former one", Label("failure:restarts-under-its-name"), func() {
		hop := make(chan string, 1)
		var answered atomic.Int64
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if answered.Add(1) > 1 {
				writeEvents(out, c.LastEventID, 5)
				return
			}
			_, _ = io.WriteString(out, "id: 1\ndata: 1\n\n")
			hop <- string(c.Path[1].Server.ID)
		}
		ended := make(chan gateway.Result, 1)
		got := &fakeReply{}
		go func() { ended <- h.gateway.Serve(context.Background(), request("/stream/x"), got) }()
		var id string
		Eventually(hop).WithTimeout(eventuallyTimeout).Should(Receive(&id))
		restarted := fleet.Server{ID: state.BackendID(id), Born: 2, Service: "llm", Address: id, Kind: "card", Domain: "a"}
		h.serverFeed.set(id, restarted)
		Eventually(ended).WithTimeout(eventuallyTimeout).Should(Receive(HaveField("Outcome", gateway.Answered)))
		Expect(got.body.String()).To(ContainSubstring("id: 5"))
		h.awaitLayers(state.BackendID(id), "4-8")
		h.servers.mu.Lock()
		defer h.servers.mu.Unlock()
		Expect(h.servers.orders).To(ContainElement(And(HaveField("Server", state.BackendID(id)), HaveField("OrderCount", BeZero()))))
	})

	// A delayed write of a server's former incarnation takes effect after the write of its
	// new one. If the later write counts as the later incarnation, the restarted server is
	// given paths over layers that it has lost.
	It("of a former incarnation that arrive late are ignored", Label("failure:restarts-under-its-name"), func() {
		old := fleet.Server{ID: "p0", Born: 9, Service: "app", Address: "p0", Domain: "a"}
		now := old
		now.Born = 5 // its clock went back
		h.serverFeed.set("p0", old)
		h.serverFeed.set("p0", now)
		late := old
		late.Draining = true
		h.serverFeed.set("p0", late)
		h.serverFeed.set("p2", fleet.Server{ID: "p2", Service: "app", Address: "p2", Domain: "a"})
		h.awaitUsed("p2", true)
		s, _ := h.serverStatus("p0")
		Expect(s.Draining).To(BeFalse())
	})

	// An engine restarts under its name and is listed as such, and a report of its former
	// incarnation arrives after that. If every start time other than the listed one counts
	// as a later incarnation, paths lose a working engine, and it is ordered to load its
	// layers again.
	It("stay valid despite a late report of a former incarnation", Label("failure:restarts-under-its-name"), func() {
		before := fleet.Server{ID: "e0", Born: 3, Service: "llm", Address: "e0", Kind: "card", Domain: "a", Layers: fleet.Range{From: 0, To: 4}}
		now := before
		now.Born = 7
		h.serverFeed.set("e0", before)
		h.serverFeed.set("e0", now)
		h.serverFeed.set("p2", fleet.Server{ID: "p2", Service: "app", Address: "p2", Domain: "a"})
		h.awaitUsed("p2", true)
		h.servers.setStartTime("e0", before.Born)
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, "id: 1\ndata: 1\n\n")
			for h.servers.reportCount("e0") == 0 { // its stream stalls until it is probed
				time.Sleep(time.Millisecond)
			}
			writeEvents(out, "1", 5)
		}
		_, res := h.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		s, listed := h.serverStatus("e0")
		Expect(listed).To(BeTrue())
		Expect(s.Layers).To(Equal("0-4"))
		Expect(s.Outdated).To(BeFalse())
	})

	// An engine has restarted under its name, and its former incarnation is still listed
	// with all layers. If the start time in the engine's own answers is ignored, callers
	// are refused until it is listed anew, a heartbeat later.
	It("are contradicted by a server's own report of its start time", Label("failure:restarts-under-its-name"), func() {
		h.servers.setStartTime("e0", 7)
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if c.Path[0].Server.ID == "e0" && c.Path[0].Server.Born == 0 {
				return // stalled: it knows nothing of the path
			}
			writeEvents(out, c.LastEventID, 5)
		}
		Eventually(func(g Gomega) {
			_, res := h.serve("/stream/x")
			g.Expect(res.Outcome).To(Equal(gateway.Answered))
			h.servers.mu.Lock()
			defer h.servers.mu.Unlock()
			g.Expect(h.servers.orders).To(ContainElement(HaveField("Server", state.BackendID("e0"))))
		}).WithTimeout(eventuallyTimeout).Should(Succeed())
	})
})
