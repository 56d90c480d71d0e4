package gateway_test

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/gateway"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// partSite is a site whose engines end as they begin to answer a request with a deadly part.
type partSite struct {
	*harness
	c        *crashes
	gateways []*gateway.Gateway
	sent     atomic.Int64
}

func newPartSite(gateways int, deadly ...string) *partSite {
	s := &partSite{harness: newHarness(), c: &crashes{ended: make(map[string]bool)}}
	s.servers.stream = func(call backend.Call, out *io.PipeWriter) {
		if slices.ContainsFunc(deadly, func(part string) bool { return call.Header.Get("Part") == part }) {
			s.c.end(s.harness, call.Path[0].Address)
			s.serverFeed.remove(call.Path[0].Address)
			_ = out.CloseWithError(backend.ErrIncomplete)
			return
		}
		writeSlowly(s.harness, call, out)
	}
	s.gateways = []*gateway.Gateway{s.gateway}
	for i := 1; i < gateways; i++ {
		s.gateways = append(s.gateways, s.start(state.DaemonID(fmt.Sprintf("g%d", i+1))))
	}
	s.populateForCrashes()
	for _, g := range s.gateways {
		Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
	}
	return s
}

// send sends a request that is like no other, with a first part that all share and another one.
func (s *partSite) send(g *gateway.Gateway, part string) gateway.Result {
	n := s.sent.Add(1)
	req := request("/stream/x")
	req.ID, req.Body, req.CallerTimeout = state.RequestID(fmt.Sprint("r", n)), fmt.Append(nil, n), 2*time.Second
	req.PromptParts = []string{"all", part}
	req.Header.Set("Part", part)
	return g.Serve(context.Background(), req, &fakeReply{})
}

// restartAll restarts all gateways at the same time.
func (s *partSite) restartAll() {
	for _, g := range s.gateways {
		g.Close()
	}
	for i := range s.gateways {
		s.gateways[i] = s.start(state.DaemonID(fmt.Sprintf("g%d", i+1)))
	}
	for _, g := range s.gateways {
		Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
	}
}

var _ = Describe("A part of prompts that ends engines", func() {
	// Guards against a part that each daemon counts by itself.
	It("is refused at every daemon, after restarts of all, and by one that joins", Label("failure:prompt-part-crashes-servers"), func() {
		s := newPartSite(3, "deadly")
		refused := func(g *gateway.Gateway) func() string {
			return func() string { return s.send(g, "deadly").Reason }
		}
		for i := range 12 {
			s.send(s.gateways[i%3], "deadly")
			Expect(s.send(s.gateways[(i+1)%3], "sound").Outcome).To(Equal(gateway.Answered))
			time.Sleep(200 * time.Millisecond)
		}
		before := s.c.count()
		Expect(before).To(BeNumerically("<=", 8))
		for _, g := range s.gateways {
			Eventually(refused(g)).WithTimeout(eventuallyTimeout).Should(Equal("part_crashes_servers"))
		}
		time.Sleep(noticesArrive) // also the time in which a record is written
		s.restartAll()
		time.Sleep(noticesArrive)
		for _, g := range append(s.gateways, s.start("g9")) {
			Eventually(g.Ready).WithTimeout(eventuallyTimeout).Should(BeTrue())
			time.Sleep(noticesArrive)
			res := s.send(g, "deadly")
			Expect(res.Reason).To(Equal("part_crashes_servers"))
			Expect(res.RetryAfter).To(BeNumerically(">", 30*time.Second))
			Expect(s.send(g, "sound").Outcome).To(Equal(gateway.Answered))
		}
		Expect(s.c.count()).To(Equal(before))
	})

	// Guards against a part that is counted anew by each process.
	It("is counted across restarts of all daemons", Label("failure:prompt-part-crashes-servers"), func() {
		s := newPartSite(2, "deadly")
		for i := range 8 {
			s.send(s.gateways[i%2], "deadly")
			time.Sleep(noticesArrive)
			if i%2 == 1 {
				s.restartAll()
				time.Sleep(noticesArrive)
			}
		}
		Expect(s.c.count()).To(BeNumerically("<=", 8))
		Expect(s.send(s.gateways[0], "deadly").Reason).To(Equal("part_crashes_servers"))
	})

	// Guards against sound parts that are refused since servers end by themselves.
	It("is none if engines end by themselves, together and one after the other", Label("failure:innocent-content-refused"), func() {
		s := newPartSite(3)
		var answered, sent atomic.Int64
		done := make(chan struct{})
		for k := range 12 {
			go func() {
				defer GinkgoRecover()
				for sent.Load() < 400 {
					sent.Add(1)
					if s.send(s.gateways[k%3], fmt.Sprint("part ", k%4)).Reason != "part_crashes_servers" {
						answered.Add(1)
					}
				}
				done <- struct{}{}
			}()
		}
		for i := range crashingServers - 2 {
			if i >= 3 {
				time.Sleep(150 * time.Millisecond)
			}
			s.c.end(s.harness, fmt.Sprintf("f%d", i))
		}
		for range 12 {
			<-done
		}
		Expect(answered.Load()).To(Equal(sent.Load()))
		for _, g := range s.gateways {
			Expect(s.send(g, "part 0").Outcome).To(Equal(gateway.Answered))
		}
	})
})
