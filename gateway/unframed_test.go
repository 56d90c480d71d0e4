package gateway_test

import (
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

var _ = Describe("A plain answer that ends with its connection", func() {
	// answerOnce makes the first plain server answer without an end mark, and the others as usual.
	answerOnce := func(h *harness, body string, happens func(address string)) {
		first := make(chan struct{}, 1)
		first <- struct{}{}
		h.servers.plain = func(c backend.Call) (*backend.Answer, error) {
			select {
			case <-first:
				happens(c.Address)
				a := signedAnswer(http.StatusOK, body)
				a.Unframed = true
				return a, nil
			default:
				return signedAnswer(http.StatusOK, "whole"), nil
			}
		}
	}

	// Guards against half an answer that looks complete, since its server was killed.
	DescribeTable("is not delivered as complete if its server has ended", Label("failure:cut-answer-looks-complete"),
		func(path string, body string, want gateway.Outcome) {
			h := newHarness()
			h.populate()
			answerOnce(h, body, h.servers.markEnded)
			reply, result := h.serve(path)
			Expect(result.Outcome).To(Equal(want))
			if want == gateway.Answered {
				Expect(reply.body.String()).To(Equal("whole"))
			}
		},
		Entry("and runs again where it may", "/again/", "ha", gateway.Answered),
		Entry("and fails where it may not", "/once/", "ha", gateway.Failed),
		Entry("and is broken off where it has begun", "/once/", strings.Repeat("a", 300<<10), gateway.Truncated),
	)

	It("is delivered if its server lives", func() {
		h := newHarness()
		h.populate()
		answerOnce(h, "whole", func(string) {})
		reply, result := h.serve("/once/")
		Expect(result.Outcome).To(Equal(gateway.Answered))
		Expect(reply.body.String()).To(Equal("whole"))
		Expect(h.servers.sent()).To(HaveLen(1))
	})
})
