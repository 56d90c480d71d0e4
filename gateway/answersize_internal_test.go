package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing/iotest"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/answersize"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// discardReply is the reply of a caller that reads all and keeps nothing.
type discardReply struct{}

// WriteHeader implements Reply.
func (discardReply) WriteHeader(int, http.Header) {}

// Write implements Reply.
func (discardReply) Write([]byte) error { return nil }

// Abort implements Reply.
func (discardReply) Abort() {}

// eventsText returns the text of n events.
func eventsText(n int) string { return strings.Repeat("id: 1\ndata: x\n\n", n) }

var _ = Describe("The load of a stream", func() {
	const stride, prompt, longest = 5, 100, 1000
	var g *Gateway

	hop := fleet.Hop{Server: state.BackendIncarnation{ID: "e"}, Address: "e"}

	BeforeEach(func() { g = newTestControl(GinkgoTB()).g })

	turnOn := func() {
		set := *g.currentSettings()
		set.Contention.AnswerSize = true
		g.settings.Store(&set)
	}
	expectedOf := func(r *requestHandler) float64 {
		req := r.pathRequest()
		return req.ExpectedTokens()
	}
	held := func() float64 { return g.shared.loadOn(hop.Server).Tokens }
	complete := func(events int) io.Reader { return strings.NewReader(eventsText(events)) }
	cut := func(events int) io.Reader {
		return io.MultiReader(strings.NewReader(eventsText(events)), iotest.ErrReader(context.Canceled))
	}

	handler := func(hint int, lastEventID string) *requestHandler {
		return &requestHandler{
			g: g, reply: discardReply{}, view: g.currentView.Load(), retrier: relay.Retrier{MaxAttempts: 2}, lastEventID: lastEventID,
			req:     &Request{Arrived: time.Now(), PromptTokens: prompt, MaxAnswerTokens: longest, LengthHint: hint, LastEventID: lastEventID},
			route:   &fleet.Route{Name: "r", Stream: true},
			service: &fleet.Service{ID: "llm", Engine: &fleet.Engine{Layers: 1, Stride: stride}},
		}
	}

	// run takes the load of a request, forwards an answer and releases the load. It returns what the
	// request held at the beginning and at the end.
	run := func(r *requestHandler, body io.Reader) (first, last float64) {
		path := fleet.Path{hop}
		req := r.pathRequest()
		g.shared.addPathLoad(path, req.ExpectedTokens(), 1)
		r.holdLoad(path, &req)
		first = held()
		s := newStream(r, path, &backend.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}, func() {})
		s.forward()
		s.close()
		last = held()
		r.releaseLoad()
		Expect(g.shared.loads).To(BeEmpty(), "what was taken is released")
		return first, last
	}
	It("is the fixed share of the longest answer, whatever its hint and length, if the setting is off", func() {
		for _, hint := range []int{0, 7, 900} {
			first, last := run(handler(hint, ""), complete(150))
			Expect(first).To(Equal(prompt + pathing.AnswerShare*longest))
			Expect(last).To(Equal(first))
		}
		Expect(expectedOf(handler(7, ""))).To(Equal(prompt + pathing.AnswerShare*longest))
	})

	It("is the fixed share after a start, and then follows hints and earlier answers", func() {
		turnOn()
		first, _ := run(handler(50, ""), complete(8))
		Expect(first).To(Equal(prompt + pathing.AnswerShare*longest))
		for range 200 {
			run(handler(50, ""), complete(8))
			run(handler(0, ""), complete(20))
		}
		Expect(expectedOf(handler(50, ""))).To(BeNumerically("~", prompt+8*stride, 20))
		Expect(expectedOf(handler(0, ""))).To(BeNumerically("~", prompt+20*stride, 20))
	})

	It("follows a running answer that is longer than expected", func() {
		turnOn()
		for i := range 200 {
			run(handler(0, ""), complete([]int{10, 10, 10, 100}[i%4]))
		}
		first, last := run(handler(0, ""), cut(60))
		Expect(first).To(BeNumerically("~", prompt+32.5*stride, 30))
		Expect(last).To(BeNumerically("~", prompt+100*stride, 0.2*100*stride))
	})

	// Answers that are cut are shorter than they would have been.
	It("doesn't learn from answers that were cut", func() {
		turnOn()
		for range 50 {
			run(handler(0, ""), cut(3))
		}
		Expect(expectedOf(handler(0, ""))).To(Equal(prompt + pathing.AnswerShare*longest))
	})

	It("counts the events that a caller has received from an earlier answer", func() {
		turnOn()
		for range 300 {
			run(handler(0, "90"), complete(10))
		}
		Expect(expectedOf(handler(0, ""))).To(BeNumerically("~", prompt+100*stride, 5))
		for range 300 {
			run(handler(0, "no number"), complete(10))
		}
		Expect(expectedOf(handler(0, ""))).To(BeNumerically("~", prompt+100*stride, 5))
	})

	It("counts the events of all runs of a resumed answer", func() {
		turnOn()
		r := handler(0, "")
		run(r, cut(70))
		first, _ := run(r, complete(30))
		Expect(first).To(Equal(prompt + pathing.AnswerShare*longest))
		Expect(g.shared.answerSizes.Expected(answersize.Request{Route: "r", Longest: longest}).Tokens).To(BeNumerically(">", pathing.AnswerShare*longest))
		Expect(r.answerTokens()).To(Equal(100.0 * stride))
	})
})
