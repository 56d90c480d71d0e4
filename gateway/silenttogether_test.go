package gateway_test

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
)

// togetherSilence is how long the engines of these specs are silent together: longer than it takes to find that
// out, shorter than callers wait.
const togetherSilence = 1200 * time.Millisecond

var _ = Describe("Engines that fall silent together", func() {
	var h *harness
	setSilent := func(silent bool) {
		for i := range 6 {
			h.servers.setSilent(fmt.Sprintf("e%d", i), silent)
		}
	}
	serve := func() (*fakeReply, gateway.Result) {
		req, reply := request("/stream/x"), &fakeReply{}
		req.CallerTimeout = 5 * time.Second
		return reply, h.gateway.Serve(context.Background(), req, reply)
	}
	// writeAcrossSilence writes the events after the last one that the caller has, all but two of them once the
	// engines have been silent.
	writeAcrossSilence := func(c backend.Call, out *io.PipeWriter) {
		if c.LastEventID != "" {
			writeEvents(out, c.LastEventID, 5)
			return
		}
		_, _ = io.WriteString(out, eventText(2))
		setSilent(true)
		time.Sleep(togetherSilence)
		setSilent(false)
		writeEvents(out, strconv.Itoa(2), 5)
	}
	BeforeEach(func() {
		h = newHarness()
		h.listEngines("a", "a", "b")
	})

	// Guards against streams that leave an engine for others of which none answers, and are read late there.
	It("keep the streams that run there", Label("failure:repeats-among-silent-servers"), func() {
		h.servers.stream = writeAcrossSilence
		reply, result := serve()
		Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		Expect(reply.body.String()).To(Equal(eventText(5)))
		Expect(h.servers.sent()).To(HaveLen(1))
	})

	// Guards against the same where the daemon knows how long events take, and takes the silence for a lost answer.
	It("keep the streams of a daemon that has served others", Label("failure:repeats-among-silent-servers"), func() {
		for range 20 {
			_, result := serve()
			Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		}
		before := len(h.servers.sent())
		h.servers.stream = writeAcrossSilence
		reply, result := serve()
		Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		Expect(reply.body.String()).To(Equal(eventText(5)))
		Expect(h.servers.sent()[before:]).To(HaveLen(1))
	})

	// Guards against requests that fail, or are sent to one silent engine after the other, before an answer begins.
	It("keep the requests whose answers have not begun", Label("failure:repeats-among-silent-servers"), func() {
		for range 20 {
			_, result := serve()
			Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		}
		before := len(h.servers.sent())
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if len(h.servers.sent()) == before+1 {
				setSilent(true)
				time.Sleep(togetherSilence)
				setSilent(false)
			}
			writeEvents(out, "", 5)
		}
		reply, result := serve()
		Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		Expect(reply.body.String()).To(Equal(eventText(5)))
		Expect(h.servers.sent()[before:]).To(HaveLen(1))
	})

	// Guards against a stream that is sent to a silent engine once the connection to its own has broken.
	It("are sent nothing until one of them answers", Label("failure:repeats-among-silent-servers"), func() {
		var answersAgain time.Time
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if c.LastEventID != "" {
				writeEvents(out, c.LastEventID, 5)
				return
			}
			_, _ = io.WriteString(out, eventText(2))
			setSilent(true)
			answersAgain = time.Now().Add(togetherSilence)
			time.AfterFunc(togetherSilence, func() { setSilent(false) })
			_ = out.CloseWithError(backend.ErrIncomplete)
		}
		reply, result := serve()
		Expect(result.Outcome).To(Equal(gateway.Answered), result.Reason)
		Expect(reply.body.String()).To(Equal(eventText(5)))
		sent := h.servers.sent()
		Expect(sent).To(HaveLen(2))
		Expect(h.servers.requestTimes(sent[1].Address)).To(HaveEach(Or(BeTemporally(">=", answersAgain), BeTemporally("<", answersAgain.Add(-togetherSilence)))))
	})
})
