package gateway_test

import (
	"bytes"
	"context"
	"io"
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

// page is where gateways write their lines.
type page struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (p *page) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.b.Write(b)
}

// story reads what was written so far, and nothing else.
func (p *page) story(request string) explain.Story {
	p.mu.Lock()
	defer p.mu.Unlock()
	var log explain.Log
	Expect(log.Read(bytes.NewReader(p.b.Bytes()))).To(Succeed())
	Expect(log.Other).To(BeZero())
	s, err := log.Find(request)
	Expect(err).NotTo(HaveOccurred())
	return s
}

var _ = Describe("The logs alone explain", func() {
	var (
		r    *rig
		logs *page
	)

	BeforeEach(func() {
		logs = &page{}
		r = newRigLogging(20*time.Second, telemetry.NewLog(telemetry.LogConfig{Output: logs}))
	})

	// A caller's stream ends in its middle. Cause: a server of its path went dark, and
	// where it went on the answer broke off again.
	It("a stream that was cut midway by a dark hop", func() {
		r.fill()
		r.servers.stream = func(c backend.Call, out *io.PipeWriter) {
			if c.After == "" {
				_, _ = io.WriteString(out, whole(2))
				r.servers.kill(c.Path[1].Address)
				return
			}
			_ = out.CloseWithError(backend.ErrBroken)
		}
		_, res := r.serve("/stream/x")
		Expect(res.Outcome).To(Equal(gateway.Truncated))
		hop := r.servers.sent()[0].Path[1]
		s := logs.story("r1")
		Expect(s.Daemon).To(Equal("g1"))
		Expect(s.Cause.Kind).To(Equal(explain.KindHopDied))
		Expect(s.Cause.Summary).To(ContainSubstring(string(hop.Server.ID)))
		Expect(s.Steps[0].Beliefs).To(ContainElement(HaveField("About", "configuration")))
		Expect(s.Steps[0].Beliefs).To(ContainElement(HaveField("About", "server "+hop.Address)))
	})

	// A caller gets 502 for a request that may run once. Cause: its answer was lost.
	It("a request that may run once and whose answer was lost", func() {
		r.fill()
		r.servers.plain = func(backend.Call) (*backend.Answer, error) { return nil, backend.ErrBroken }
		_, res := r.serve("/once/x")
		Expect(res.Outcome).To(Equal(gateway.Failed))
		s := logs.story("r1")
		Expect(s.Cause.Kind).To(Equal(explain.KindAnswerLost))
		Expect(s.Cause.Summary).To(ContainSubstring(r.servers.sent()[0].Address))
	})

	// A caller gets 503. Cause: the store does not answer a daemon that has just
	// started.
	It("a refusal while the store was away", func() {
		configs, servers := &door[*fleet.Config]{feed: r.configs}, &door[fleet.Server]{feed: r.listed}
		configs.shut.Store(true)
		servers.shut.Store(true)
		late := r.startAt("g2", configs, servers)
		Eventually(func() int64 { return configs.calls.Load() }).WithTimeout(patience).Should(BeNumerically(">", 1))
		res := late.Serve(context.Background(), request("/again/x"), &reply{})
		Expect(res.Outcome).To(Equal(gateway.Refused))
		s := logs.story("r1")
		Expect(s.Daemon).To(Equal("g2"))
		Expect(s.Cause.Kind).To(Equal(explain.KindStoreAway))
		Expect(s.Cause.Summary).To(ContainSubstring("after its start"))
	})
})
