package gateway_test

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

var _ = Describe("A stream that no further engine may run", func() {
	// Guards against a stream that finds no server until its deadline, since it has left its last first engine for
	// the silence of a later one.
	It("goes on at its last engine along another path", Label("failure:last-engine-excluded"), func() {
		h := newHarness()
		h.listEngines("a", "a", "b")
		var late backend.Call
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if c.LastEventID != "" {
				writeEvents(out, c.LastEventID, 5)
				return
			}
			_, _ = io.WriteString(out, eventText(2))
			h.servers.setSilent(c.Address, true)
		}
		h.servers.delay = func(c backend.Call) time.Duration {
			if c.LastEventID == "" || late.Address != "" {
				return 0
			}
			late = c
			h.servers.setSilent(c.Path[1].Address, true)
			return time.Minute
		}
		req, reply := request("/stream/x"), &fakeReply{}
		req.CallerTimeout = 8 * time.Second
		result := h.gateway.Serve(context.Background(), req, reply)
		Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		Expect(reply.body.String()).To(Equal(eventText(5)))
		sent := h.servers.sent()
		Expect(sent).To(HaveLen(3))
		Expect(sent[2].Address).To(Equal(late.Address))
		Expect(sent[2].Path[1].Address).NotTo(Equal(late.Path[1].Address))
	})
})
