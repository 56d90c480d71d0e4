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

// server finds a server in a gateway's status.
func (r *rig) server(id state.BackendID) (gateway.ServerStatus, bool) {
	status, err := r.gateway.Status(context.Background())
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

// used waits until a server is used, or is not.
func (r *rig) used(id state.BackendID, want bool) {
	Eventually(func() bool { _, ok := r.server(id); return ok }).WithTimeout(patience).Should(Equal(want))
}

// layersOf waits until a server is listed with layers.
func (r *rig) layersOf(id state.BackendID, want string) {
	Eventually(func() string { s, _ := r.server(id); return s.Layers }).WithTimeout(patience).Should(Equal(want))
}

var _ = Describe("Entries of servers", func() {
	var r *rig
	plain := fleet.Server{ID: "p0", Service: "app", Address: "p0", Domain: "a"}
	BeforeEach(func() {
		r = newRig()
		r.listed.keep()
		r.fill()
		r.used("p0", true)
	})

	// Callers get answers of a server that its service no longer has, or wait for one.
	// Order: a good entry stands, another program writes over it. Cause: an entry that
	// can't be read was passed over, and the one before it stood.
	It("that can't be read name no server, also where a good one stood before", Label("failure:foreign-entry"), func() {
		r.listed.spoil("p0", errors.New("not an entry"))
		r.used("p0", false)
		_, others := r.server("p1")
		Expect(others).To(BeTrue())
		r.listed.set("p0", plain)
		r.used("p0", true)
	})

	// The one server of a service is missing from all answers. Order: another program
	// writes an entry at its address for a service that nobody knows. Cause: of two
	// entries at one address the later was taken.
	It("of a service or a card that nobody knows leave the others in use", Label("failure:foreign-entry"), func() {
		r.listed.set("x0", fleet.Server{ID: "x0", Service: "no such service", Address: "p0", Domain: "a"})
		r.listed.set("x1", fleet.Server{ID: "x1", Service: "llm", Address: "e0", Domain: "a", Kind: "no such card"})
		r.listed.set("x2", fleet.Server{ID: "x2", Service: "llm", Address: "e1", Domain: "a", Kind: "card", Layers: fleet.Range{From: 0, To: 99}})
		r.listed.set("p2", fleet.Server{ID: "p2", Service: "app", Address: "p2", Domain: "a"})
		r.used("p2", true)
		for _, id := range []state.BackendID{"p0", "e0", "e1"} {
			_, ok := r.server(id)
			Expect(ok).To(BeTrue(), string(id))
		}
	})

	// Streams stand still for the seconds after which engines give up a dead hop.
	// Order: an engine dies and is listed again, under its name, holding nothing. Cause:
	// its name alone was taken for its life, so that nothing seemed to have changed.
	It("of another life end what was believed of the former one", Label("failure:restarts-under-its-name"), func() {
		hop := make(chan string, 1)
		var answered atomic.Int64
		r.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if answered.Add(1) > 1 {
				events(out, c.After, 5)
				return
			}
			_, _ = io.WriteString(out, "id: 1\ndata: 1\n\n")
			hop <- string(c.Path[1].Server.ID)
		}
		ended := make(chan gateway.Result, 1)
		to := &reply{}
		go func() { ended <- r.gateway.Serve(context.Background(), request("/stream/x"), to) }()
		var id string
		Eventually(hop).WithTimeout(patience).Should(Receive(&id))
		restarted := fleet.Server{ID: state.BackendID(id), Born: 2, Service: "llm", Address: id, Kind: "card", Domain: "a"}
		r.listed.set(id, restarted)
		Eventually(ended).WithTimeout(patience).Should(Receive(HaveField("Outcome", gateway.Answered)))
		Expect(to.body.String()).To(ContainSubstring("id: 5"))
		r.layersOf(state.BackendID(id), "4-8")
		r.servers.mu.Lock()
		defer r.servers.mu.Unlock()
		Expect(r.servers.orders).To(ContainElement(And(HaveField("Server", state.BackendID(id)), HaveField("Orders", BeZero()))))
	})

	// A server that has started again is given paths over layers that it lost. Order: a
	// write of its former life was held up and is done after its own. Cause: the later
	// write was taken for the later life.
	It("of a former life that come late are passed over", Label("failure:restarts-under-its-name"), func() {
		old := fleet.Server{ID: "p0", Born: 9, Service: "app", Address: "p0", Domain: "a"}
		now := old
		now.Born = 5 // its clock went back
		r.listed.set("p0", old)
		r.listed.set("p0", now)
		late := old
		late.Draining = true
		r.listed.set("p0", late)
		r.listed.set("p2", fleet.Server{ID: "p2", Service: "app", Address: "p2", Domain: "a"})
		r.used("p2", true)
		s, _ := r.server("p0")
		Expect(s.Draining).To(BeFalse())
	})

	// Paths lose an engine that works, and it is ordered to load its layers again. Order:
	// an engine starts again under its name and is listed so, and a report that its former
	// life gave comes after that. Cause: any other start than the listed one was taken for
	// a later life.
	It("stand against what a former life says late", Label("failure:restarts-under-its-name"), func() {
		before := fleet.Server{ID: "e0", Born: 3, Service: "llm", Address: "e0", Kind: "card", Domain: "a", Layers: fleet.Range{From: 0, To: 4}}
		now := before
		now.Born = 7
		r.listed.set("e0", before)
		r.listed.set("e0", now)
		r.listed.set("p2", fleet.Server{ID: "p2", Service: "app", Address: "p2", Domain: "a"})
		r.used("p2", true)
		r.servers.reborn("e0", before.Born)
		r.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, "id: 1\ndata: 1\n\n")
			for r.servers.reported("e0") == 0 { // its stream is silent until it is asked
				time.Sleep(time.Millisecond)
			}
			events(out, "1", 5)
		}
		_, res := r.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Answered))
		s, listed := r.server("e0")
		Expect(listed).To(BeTrue())
		Expect(s.Layers).To(Equal("0-4"))
		Expect(s.Outdated).To(BeFalse())
	})

	// An engine has started again under its name, and the list still has its former
	// life with all layers. Callers are refused until it is listed anew, a heartbeat
	// later. Cause: what its own answers say of its start was not read.
	It("are contradicted by a server's own word of its start", Label("failure:restarts-under-its-name"), func() {
		r.servers.reborn("e0", 7)
		r.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if c.Path[0].Server.ID == "e0" && c.Path[0].Server.Born == 0 {
				return // silent: it knows nothing of the path
			}
			events(out, c.After, 5)
		}
		Eventually(func(g Gomega) {
			_, res := r.serve("/stream/x")
			g.Expect(res.Outcome).To(Equal(gateway.Answered))
			r.servers.mu.Lock()
			defer r.servers.mu.Unlock()
			g.Expect(r.servers.orders).To(ContainElement(HaveField("Server", state.BackendID("e0"))))
		}).WithTimeout(patience).Should(Succeed())
	})
})
