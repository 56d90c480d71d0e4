package gateway_test

import (
	"io"
	"strings"
	"sync"
	"sync/atomic"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

const (
	// offeredBytes is how much an endless engine writes if it isn't stopped.
	offeredBytes = 64 << 20
	// acceptedBytes is the most that a gateway may take of an event that doesn't end: its bound of
	// 64 KB, and what it reads at once.
	acceptedBytes = 128 << 10
)

// writeEndless writes a beginning and then the same text until the answer is closed, and returns
// the number of bytes written.
func writeEndless(out *io.PipeWriter, begin, repeated string) int64 {
	var written int64
	text, block := begin, strings.Repeat(repeated, max(1, 1024/len(repeated)))
	for written < offeredBytes {
		n, err := io.WriteString(out, text)
		written += int64(n)
		if err != nil {
			return written
		}
		text = block
	}
	_ = out.Close()
	return written
}

// An engine sends an event that never ends.
var _ = Describe("An event without end", Label("failure:endless-answer"), func() {
	DescribeTable("breaks its answer, which goes on elsewhere",
		func(begin, repeated string) {
			h := newHarness()
			h.populate()
			var first atomic.Bool
			var written atomic.Int64
			var others sync.WaitGroup
			h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
				if !first.CompareAndSwap(false, true) {
					writeEvents(out, c.LastEventID, 5)
					return
				}
				others.Go(func() {
					defer GinkgoRecover()
					_, res := h.serve("/again/x")
					Expect(res.Outcome).To(Equal(gateway.Answered))
				})
				written.Store(writeEndless(out, begin, repeated))
			}
			got, res := h.serve("/stream/x")
			others.Wait()
			Expect(res.Outcome).To(Equal(gateway.Answered))
			Expect(got.body.String()).To(Equal(eventText(5)))
			sent := h.servers.sent()
			Expect(sent[len(sent)-1].Address).NotTo(Equal(sent[0].Address), "the engine is blamed")
			Eventually(written.Load).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 0))
			Expect(written.Load()).To(BeNumerically("<", acceptedBytes))
		},
		Entry("in the first line", "", "x"),
		Entry("in a line after complete events", eventText(2)+"id: 3\ndata: ", "x"),
		Entry("in many lines", eventText(2)+"id: 3\n", "data: x\n"),
	)

	It("from all engines ends the request", func() {
		h := newHarness()
		h.populate()
		var most atomic.Int64
		h.servers.stream = func(_ backend.Call, out *io.PipeWriter) {
			most.Store(max(most.Load(), writeEndless(out, eventText(1)+"id: 2\ndata: ", "x")))
		}
		_, res := h.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Truncated))
		Eventually(most.Load).WithTimeout(eventuallyTimeout).Should(And(BeNumerically(">", 0), BeNumerically("<", acceptedBytes)))
	})
})
