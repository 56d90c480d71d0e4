package gateway_test

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// The caller has closed its connection, and the request's context has not ended yet: the
// process has had no time for it.
var _ = Describe("A request whose caller has left", func() {
	var (
		h    *harness
		logs *logBuffer
		left atomic.Bool
	)

	BeforeEach(func() {
		logs = &logBuffer{}
		h = newHarnessWithLog(20*time.Second, telemetry.NewLog(telemetry.LogConfig{Output: logs}))
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
			Expect(logs.lines("caller_left")).To(ConsistOf(ContainSubstring(`"detail":"caller_left_unsent"`)))
		},
		Entry("to a plain server", "/again/x"),
		Entry("that may run once", "/once/x"),
		Entry("along a path", "/stream/x"),
	)

	It("is logged with its server if it was sent", func() {
		ctx, cancel := context.WithCancel(context.Background())
		h.servers.stream = func(_ backend.Call, out *io.PipeWriter) {
			_, _ = io.WriteString(out, eventText(2))
			cancel()
		}
		Expect(h.gateway.Serve(ctx, request("/stream/x"), &fakeReply{}).Outcome).To(Equal(gateway.CallerLeft))
		Expect(logs.lines("caller_left")).To(ConsistOf(And(ContainSubstring(`"detail":"caller_left"`), ContainSubstring(`"address":"`+h.servers.sent()[0].Address+`"`))))
	})

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
