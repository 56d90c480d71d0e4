package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
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
})

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
