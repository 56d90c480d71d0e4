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

	// run takes the load of a request, forwards an answer and releases the load, which it returns.
	run := func(r *requestHandler, body io.Reader) float64 {
		path := fleet.Path{hop}
		req := r.pathRequest()
		g.shared.addPathLoad(path, req.ExpectedTokens(), 1)
		load := held()
		s := newStream(r, path, &backend.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(body)}, func() {})
		s.forward()
		s.close()
		g.shared.releasePath(path, req.ExpectedTokens())
		Expect(g.shared.loads).To(BeEmpty(), "what was taken is released")
		return load
	}
	It("is the fixed share of the longest answer, whatever its hint and length, if the setting is off", func() {
		for _, hint := range []int{0, 7, 900} {
			Expect(run(handler(hint, ""), complete(150))).To(Equal(prompt + pathing.AnswerShare*longest))
		}
		Expect(expectedOf(handler(7, ""))).To(Equal(prompt + pathing.AnswerShare*longest))
	})

	It("is the fixed share after a start, and then follows hints and earlier answers", func() {
		turnOn()
		Expect(run(handler(50, ""), complete(8))).To(Equal(prompt + pathing.AnswerShare*longest))
		for range 200 {
			run(handler(50, ""), complete(8))
			run(handler(0, ""), complete(20))
		}
		Expect(expectedOf(handler(50, ""))).To(BeNumerically("~", prompt+8*stride, 20))
		Expect(expectedOf(handler(0, ""))).To(BeNumerically("~", prompt+20*stride, 20))
	})

	It("of an answer that goes on after a long part is that of the longer ones", func() {
		turnOn()
		for i := range 200 {
			run(handler(0, ""), complete([]int{10, 10, 10, 100}[i%4]))
		}
		Expect(run(handler(0, ""), complete(1))).To(BeNumerically("~", prompt+32.5*stride, 30))
		Expect(run(handler(0, "60"), complete(40))).To(BeNumerically("~", prompt+100*stride, 0.2*100*stride))
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
		for _, id := range []string{"no number", "-7", "2000000000", "1e9", "99999999999999999999"} {
			for range 300 {
				run(handler(0, id), complete(10))
			}
			Expect(expectedOf(handler(0, ""))).To(BeNumerically("~", prompt+100*stride, 5), id)
			Expect(expectedOf(handler(0, id))).To(BeNumerically("<=", prompt+longest), id)
		}
	})

	It("counts the events of all runs of a resumed answer", func() {
		turnOn()
		r := handler(0, "")
		run(r, cut(70))
		Expect(run(r, complete(30))).To(Equal(prompt + pathing.AnswerShare*longest))
		Expect(g.shared.answerSizes.Expected(answersize.Request{Route: "r", Longest: longest}).Tokens).To(BeNumerically(">", pathing.AnswerShare*longest))
		Expect(r.answerTokens()).To(Equal(100.0 * stride))
	})
})
