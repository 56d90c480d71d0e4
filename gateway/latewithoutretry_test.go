package gateway_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

// Guards against answers that are given up as lost although no retry is left, so that their callers get a failure.
var _ = DescribeTable("An answer that is late while the retry budget is used up is waited for", Label("failure:late-without-retry"), func(path string) {
	h := newHarness()
	h.budgetRatio, h.budgetSlack = 0, 0
	g := h.start("g2")
	h.populate()
	Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
	serve := func() gateway.Result {
		req := request(path)
		req.CallerTimeout = 5 * time.Second
		return g.Serve(context.Background(), req, &fakeReply{})
	}
	for range 30 { // until latencies are known and one answer may be abandoned
		Expect(serve().Outcome).To(Equal(gateway.Answered))
	}
	h.servers.delay = func(backend.Call) time.Duration { return 1500 * time.Millisecond }
	result := serve()
	Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
},
	Entry("from a plain server", "/again/x"),
	Entry("from an engine", "/stream/x"),
)
