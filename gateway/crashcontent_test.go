package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// crashingServers is how many servers of each kind a crashing content may end.
const crashingServers = 8

const (
	// noticesForgotten is longer than a notice is told to daemons that join.
	noticesForgotten = 16 * time.Second
	// noticesArrive is longer than it takes to reach a daemon that has joined.
	noticesArrive = time.Second
)

// populateForCrashes lists plain servers and engines, a pair of which holds every layer.
func (h *harness) populateForCrashes() {
	for i := range crashingServers {
		plain, first, second := fmt.Sprintf("p%d", i), fmt.Sprintf("f%d", i), fmt.Sprintf("s%d", i)
		h.serverFeed.set(plain, fleet.Server{ID: state.BackendID(plain), Service: "app", Address: plain, Domain: "a"})
		engine := fleet.Server{ID: state.BackendID(first), Service: "llm", Address: first, Kind: "card", Domain: "a", Layers: fleet.Range{From: 0, To: 4}}
		h.serverFeed.set(first, engine)
		engine.ID, engine.Address, engine.Layers = state.BackendID(second), second, fleet.Range{From: 4, To: 8}
		h.serverFeed.set(second, engine)
	}
	h.configs.set("config", config(1))
	Eventually(h.gateway.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
}

// crashes counts the servers that a content has ended.
type crashes struct {
	mu    sync.Mutex
	ended map[string]bool
}

// end makes a server end, as a process does whose port then refuses connections.
func (c *crashes) end(h *harness, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended[address] = true
	h.servers.markEnded(address)
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ended)
}

// brokenBody is an answer's body that breaks off after some bytes.
type brokenBody struct {
	h       *harness
	c       *crashes
	address string
	rest    string
}

// Read implements io.Reader.
func (b *brokenBody) Read(p []byte) (int, error) {
	if b.rest != "" {
		n := copy(p, b.rest)
		b.rest = b.rest[n:]
		return n, nil
	}
	b.c.end(b.h, b.address)
	return 0, backend.ErrIncomplete
}

// Close implements io.Closer.
func (b *brokenBody) Close() error { return nil }

var _ = Describe("A content that ends the servers that run it", func() {
	// Guards against a crash loop: the caller of a content that ends each server which runs it
	// repeats it, and the daemon counts only some of the ways in which the server's end shows.
	DescribeTable("is refused after it has ended two of them", Label("failure:request-crashes-servers"),
		func(path string, plain func(*harness, *crashes), stream func(*harness, *crashes)) {
			h, c := newHarness(), &crashes{ended: make(map[string]bool)}
			if plain != nil {
				plain(h, c)
			}
			if stream != nil {
				stream(h, c)
			}
			h.populateForCrashes()
			for i := range 2 * crashingServers {
				req := request(path)
				req.ID, req.CallerTimeout = state.RequestID(fmt.Sprintf("r%d", i)), 2*time.Second
				res := h.gateway.Serve(context.Background(), req, &fakeReply{})
				Expect(res.Outcome).NotTo(Equal(gateway.Answered))
			}
			Expect(c.count()).To(BeNumerically("<=", 2))
		},
		Entry("plain, before the header", "/again/x", plainBeforeHeader, nil),
		Entry("plain, in the body", "/again/x", plainInBody, nil),
		Entry("plain, not to be repeated, in the body", "/once/x", plainInBody, nil),
		Entry("plain, an error's body", "/again/x", plainInErrorBody, nil),
		Entry("plain, in a body that is too long to be held back", "/again/x", plainInLongBody, nil),
		Entry("a stream, before the header", "/stream/x", nil, streamBeforeHeader),
		Entry("a stream, after the header", "/stream/x", nil, streamAfter("")),
		Entry("a stream, within its first event", "/stream/x", nil, streamAfter("id: 1\nda")),
		Entry("a stream, after an event", "/stream/x", nil, streamAfter(eventText(1))),
		Entry("a stream, whose connection ends without an error", "/stream/x", nil, streamEndsWithinEvent),
		Entry("a stream, whose second hop ends", "/stream/x", nil, streamSecondHop),
		Entry("a stream, whose second hop ends without a sign at the first", "/stream/x", nil, streamSecondHopSilently),
	)

	// Guards against a crash loop over several daemons, of which each counts its own crashes only.
	// Guards against a content that ends two servers for each path by which its callers send it.
	It("is refused by all paths to its engines", Label("failure:request-crashes-servers"), func() {
		h, c := newHarness(), &crashes{ended: make(map[string]bool)}
		streamBeforeHeader(h, c)
		h.populateForCrashes()
		for i := range 2 * crashingServers {
			req := request(fmt.Sprintf("/stream/%d", i))
			req.ID, req.CallerTimeout, req.Body = state.RequestID(fmt.Sprintf("r%d", i)), 2*time.Second, []byte("the same prompt")
			h.gateway.Serve(context.Background(), req, &fakeReply{})
		}
		Expect(c.count()).To(BeNumerically("<=", 2))
	})

	It("is refused by every daemon, and by one that joins later", Label("failure:request-crashes-servers"), func() {
		h, c := newHarness(), &crashes{ended: make(map[string]bool)}
		streamAfter(eventText(1))(h, c)
		h.populateForCrashes()
		second := h.start("g2")
		Eventually(second.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		serve := func(g *gateway.Gateway) gateway.Result {
			req := request("/stream/x")
			req.CallerTimeout = 2 * time.Second
			return g.Serve(context.Background(), req, &fakeReply{})
		}
		knows := func(g *gateway.Gateway) func() string {
			return func() string { return serve(g).Reason }
		}
		serve(h.gateway)
		Eventually(knows(second)).WithTimeout(eventuallyTimeout).Should(Equal("crashes_servers"))
		Expect(c.count()).To(BeNumerically("<=", 3))
		before := c.count()
		time.Sleep(noticesForgotten)
		third := h.start("g3")
		Eventually(third.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
		time.Sleep(noticesArrive)
		Eventually(knows(third)).WithTimeout(eventuallyTimeout).Should(Equal("crashes_servers"))
		Expect(c.count()).To(Equal(before))
	})

	// Guards against innocent contents that are refused since their server ended: they run elsewhere,
	// and a complete answer clears them.
	It("takes no other content along", Label("failure:innocent-content-refused"), func() {
		h, c := newHarness(), &crashes{ended: make(map[string]bool)}
		h.servers.stream = func(call backend.Call, out *io.PipeWriter) {
			if string(call.Body) == "crash" {
				c.end(h, call.Path[0].Address)
				_ = out.CloseWithError(backend.ErrIncomplete)
				return
			}
			writeSlowly(h, call, out)
		}
		h.populateForCrashes()
		var all sync.WaitGroup
		var answered atomic.Int64
		for i := range 40 {
			all.Go(func() {
				req := request("/stream/x")
				req.Body = fmt.Appendf(nil, "innocent %d", i)
				if h.gateway.Serve(context.Background(), req, &fakeReply{}).Reason != "crashes_servers" {
					answered.Add(1)
				}
			})
		}
		for range 10 {
			req := request("/stream/x")
			req.Body, req.CallerTimeout = []byte("crash"), 2*time.Second
			h.gateway.Serve(context.Background(), req, &fakeReply{})
		}
		all.Wait()
		Expect(c.count()).To(BeNumerically("<=", 3))
		Expect(answered.Load()).To(BeEquivalentTo(40))
	})
})

// writeSlowly writes five events, 20 ms apart, unless the engine ends meanwhile.
func writeSlowly(h *harness, call backend.Call, out *io.PipeWriter) {
	after, _ := strconv.Atoi(call.LastEventID)
	for id := after + 1; id <= 5; id++ {
		time.Sleep(20 * time.Millisecond)
		if h.servers.hasEnded(call.Path[0].Address) {
			_ = out.CloseWithError(backend.ErrIncomplete)
			return
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %d\n\n", id, id); err != nil {
			return
		}
	}
	_ = out.Close()
}

func plainBeforeHeader(h *harness, c *crashes) {
	h.servers.plain = func(call backend.Call) (*backend.Answer, error) {
		c.end(h, call.Address)
		return nil, backend.ErrIncomplete
	}
}

func plainInBody(h *harness, c *crashes) { breakBody(h, c, http.StatusOK, "part") }

func plainInErrorBody(h *harness, c *crashes) {
	breakBody(h, c, http.StatusInternalServerError, "part")
}

func plainInLongBody(h *harness, c *crashes) {
	breakBody(h, c, http.StatusOK, string(make([]byte, 300<<10)))
}

func breakBody(h *harness, c *crashes, status int, part string) {
	h.servers.plain = func(call backend.Call) (*backend.Answer, error) {
		body := &brokenBody{h: h, c: c, address: call.Address, rest: part}
		return &backend.Answer{Status: status, Header: http.Header{}, Body: body, Signed: true}, nil
	}
}

func streamBeforeHeader(h *harness, c *crashes) {
	h.servers.streamError = func(call backend.Call) error {
		c.end(h, call.Address)
		return backend.ErrIncomplete
	}
}

func streamAfter(events string) func(*harness, *crashes) {
	return func(h *harness, c *crashes) {
		h.servers.stream = func(call backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, events)
			c.end(h, call.Address)
			_ = out.CloseWithError(backend.ErrIncomplete)
		}
	}
}

func streamEndsWithinEvent(h *harness, c *crashes) {
	h.servers.stream = func(call backend.Call, out *io.PipeWriter) {
		_, _ = io.WriteString(out, eventText(1)+"id: 2\nda")
		c.end(h, call.Address)
		_ = out.Close()
	}
}

func streamSecondHop(h *harness, c *crashes) {
	h.servers.stream = func(call backend.Call, out *io.PipeWriter) {
		c.end(h, call.Path[1].Address)
		_ = out.CloseWithError(errors.Join(backend.ErrIncomplete, io.ErrUnexpectedEOF))
	}
}

func streamSecondHopSilently(h *harness, c *crashes) {
	h.servers.stream = func(call backend.Call, out *io.PipeWriter) {
		_, _ = io.WriteString(out, eventText(1))
		c.end(h, call.Path[1].Address)
	}
}
