package gateway_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/explain"
	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// logBuffer collects the log lines of gateways.
type logBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(b)
}

// lines returns the lines of an event.
func (l *logBuffer) lines(event string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for line := range strings.Lines(l.b.String()) {
		if strings.Contains(line, `"event":"`+event+`"`) {
			out = append(out, line)
		}
	}
	return out
}

// storyOf returns the story of a request from the collected lines alone.
func (l *logBuffer) storyOf(request string) explain.Timeline {
	l.mu.Lock()
	defer l.mu.Unlock()
	var log explain.Log
	Expect(log.Read(bytes.NewReader(l.b.Bytes()))).To(Succeed())
	Expect(log.Skipped).To(BeZero())
	s, err := log.Find(request)
	Expect(err).NotTo(HaveOccurred())
	return s
}

var _ = Describe("The logs alone explain the cause of", func() {
	var (
		h    *harness
		logs *logBuffer
	)

	BeforeEach(func() {
		logs = &logBuffer{}
		h = newHarnessWithLog(20*time.Second, telemetry.NewLog(telemetry.LogConfig{Output: logs}))
	})

	// A caller's stream ends midway: a server of its path becomes unreachable, and on the
	// engine that resumes the stream the answer breaks off again.
	It("a stream truncated midway by an unreachable hop", func() {
		h.populate()
		h.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if c.LastEventID == "" {
				_, _ = io.WriteString(out, eventText(2))
				h.servers.markDead(c.Path[1].Address)
				return
			}
			_ = out.CloseWithError(backend.ErrIncomplete)
		}
		_, res := h.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Truncated))
		hop := h.servers.sent()[0].Path[1]
		s := logs.storyOf("r1")
		Expect(s.Daemon).To(Equal("g1"))
		Expect(s.Cause.Kind).To(Equal(explain.KindHopDied))
		Expect(s.Cause.Summary).To(ContainSubstring(string(hop.Server.ID)))
		Expect(s.Steps[0].CachedState).To(ContainElement(HaveField("Subject", "configuration")))
		Expect(s.Steps[0].CachedState).To(ContainElement(HaveField("Subject", "server "+hop.Address)))
	})

	// A caller gets 502 for a request that may run only once, because its answer was lost.
	It("the failure of a request that may run only once and whose answer was lost", func() {
		h.populate()
		h.servers.plain = func(backend.Call) (*backend.Answer, error) { return nil, backend.ErrIncomplete }
		_, res := h.serve("/once/x")
		Expect(res.Outcome).To(Equal(gateway.Failed))
		s := logs.storyOf("r1")
		Expect(s.Cause.Kind).To(Equal(explain.KindAnswerLost))
		Expect(s.Cause.Summary).To(ContainSubstring(h.servers.sent()[0].Address))
	})

	// A caller gets 503, because the store does not answer a daemon that has just started.
	It("a refusal while the store was unavailable", func() {
		configs, servers := &gatedFeed[*fleet.Config]{feed: h.configs}, &gatedFeed[fleet.Server]{feed: h.serverFeed}
		configs.refusing.Store(true)
		servers.refusing.Store(true)
		late := h.startAt("g2", configs, servers)
		Eventually(func() int64 { return configs.calls.Load() }).WithTimeout(eventuallyTimeout).Should(BeNumerically(">", 1))
		res := late.Serve(context.Background(), request("/again/x"), &fakeReply{})
		Expect(res.Outcome).To(Equal(gateway.Refused))
		s := logs.storyOf("r1")
		Expect(s.Daemon).To(Equal("g2"))
		Expect(s.Cause.Kind).To(Equal(explain.KindStoreUnavailable))
		Expect(s.Cause.Summary).To(ContainSubstring("after its start"))
	})
})
