package gateway_test

import (
	"context"
	"io"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

// The caller has closed its connection, and the request's context has not ended yet: the
// process has had no time for it.
var _ = Describe("A request whose caller has left", func() {
	var (
		h    *harness
		left atomic.Bool
	)

	BeforeEach(func() {
		h = newHarness()
		h.populate()
		left.Store(false)
	})

	serve := func(path string) gateway.Result {
		req := request(path)
		req.CallerLeft = left.Load
		return h.gateway.Serve(context.Background(), req, &fakeReply{})
	}

	DescribeTable("is sent to no server", Label("failure:caller-left-unread"),
		func(path string) {
			left.Store(true)
			Expect(serve(path).Outcome).To(Equal(gateway.CallerLeft))
			Expect(h.servers.sent()).To(BeEmpty())
		},
		Entry("to a plain server", "/again/x"),
		Entry("that may run once", "/once/x"),
		Entry("along a path", "/stream/x"),
	)

	It("is not resumed elsewhere", Label("failure:caller-left-unread"), func() {
		h.servers.stream = func(_ backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, eventText(2))
			left.Store(true)
			_ = out.CloseWithError(backend.ErrIncomplete)
		}
		Expect(serve("/stream/x").Outcome).To(Equal(gateway.CallerLeft))
		Expect(h.servers.sent()).To(HaveLen(1))
	})
})
