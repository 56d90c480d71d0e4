package gateway

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/state"
	transport "github.com/hibiscuswick/hibiscuswick/transport/peer"
)

const (
	spreadDaemons = 66
	// runsPerDaemon is how many runs of other contents each daemon has on an engine that ends.
	runsPerDaemon = 4
	// endsBefore is how many engines end, endInterval apart, before the one of the content in question.
	endsBefore  = 12
	endInterval = 500 * time.Millisecond
	// maxSpreadTime is how long all daemons may take to know of the content.
	maxSpreadTime = time.Second
)

// spreadSite is a site of many daemons in virtual time that tell each other of ended engines.
type spreadSite struct {
	*quietSite
	trackers []*crashes.Tracker
	tellers  []crashes.Teller
	contents crashes.Fingerprint // last one of the contents that no other run has
}

func newSpreadSite(n int) *spreadSite {
	s := &spreadSite{quietSite: newQuietSite(n), tellers: make([]crashes.Teller, n)}
	for _, d := range s.daemons {
		t := crashes.NewTracker()
		s.trackers = append(s.trackers, t)
		d.learned = func(f membership.Fact) {
			msg, err := decodeNotice(s.registry, f.Subject)
			Expect(err).NotTo(HaveOccurred())
			notice := msg.(crashes.EndNotice)
			t.Implicate(s.now.Add(-time.Duration(f.AgeMS)*time.Millisecond-notice.Age()), notice.Server, notice.Runs()...)
		}
	}
	s.run(time.Minute)
	return s
}

// end ends an engine under runs of all daemons, and under one of the first daemon that was starting.
func (s *spreadSite) end(name string, starting crashes.Fingerprint) {
	server := state.BackendIncarnation{ID: state.BackendID(name)}
	for i := range s.daemons {
		var runs []crashes.Run
		if i == 0 {
			runs = append(runs, crashes.Run{Content: starting, Phase: crashes.Starting})
		}
		for k := range runsPerDaemon {
			s.contents++
			runs = append(runs, crashes.Run{Content: s.contents, Phase: []crashes.Phase{crashes.Fresh, crashes.Lasting, crashes.Waiting}[k%3]})
		}
		s.tell(i, server, s.trackers[i].Implicate(s.now, server, runs...))
	}
}

// tell does what Gateway.tellEnd does.
func (s *spreadSite) tell(daemon int, server state.BackendIncarnation, runs []crashes.Run) {
	var atOnce []crashes.Run
	for _, run := range runs {
		if s.tellers[daemon].Audience(s.now, len(s.daemons), run.Phase == crashes.Starting) == crashes.All {
			atOnce = append(atOnce, run)
			continue
		}
		s.after(crashes.WithholdTime, func() {
			if s.trackers[daemon].Audience(server, run.Content) == crashes.All {
				s.broadcast(daemon, server, run)
			}
		})
	}
	s.broadcast(daemon, server, atOnce...)
}

func (s *spreadSite) broadcast(daemon int, server state.BackendIncarnation, runs ...crashes.Run) {
	for _, notice := range crashes.EndNotices(server, runs) {
		text, err := encodeNotice(s.registry, notice)
		Expect(err).NotTo(HaveOccurred())
		s.step(s.daemons[daemon], membership.Notify{Text: text})
		s.tick(s.daemons[daemon])
	}
}

// knowing returns how many daemons know that a server ended under a content.
func (s *spreadSite) knowing(fp crashes.Fingerprint) int {
	n := 0
	for _, t := range s.trackers {
		if t.EndCount(fp) > 0 {
			n++
		}
	}
	return n
}

var _ = Describe("A run that has most likely ended its engine", func() {
	// Guards against notices of other runs, hundreds for each engine, that fill the gossip queues: the
	// daemons that learn last send the content again.
	It("is known to all daemons at once, however many others ran there", Label("failure:request-crashes-servers"), func() {
		s := newSpreadSite(spreadDaemons)
		const others, content = 1 << 40, 1 << 41
		for i := range crashes.Fingerprint(endsBefore) {
			s.end(fmt.Sprint("e", i), others+i)
			s.run(endInterval)
		}
		s.end("last", content)
		s.run(maxSpreadTime)
		Expect(s.knowing(content)).To(Equal(spreadDaemons))
	})
})

var _ = Describe("A daemon that was cut off", func() {
	// Guards against a daemon that has missed the notices of refused contents and is live again: notices
	// are not sent to daemons that are held for dead.
	It("is told what is refused when it returns", Label("failure:request-crashes-servers"), func() {
		c, returned := newTestControl(GinkgoTB()), state.Member{ID: "e1", Incarnation: 1}
		told := make(chan crashes.TurnRelease, 10)
		node := transport.New(transport.Config{Self: returned, Registry: newRegistry(), Handler: transport.Handler{
			HandleMessage: func(_ state.Member, msg any) {
				if m, ok := msg.(crashes.TurnRelease); ok {
					told <- m
				}
			},
		}})
		DeferCleanup(node.Close)
		address, err := node.Listen("127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		update := membership.Update{ID: returned.ID, Incarnation: 1, Meta: &membership.Meta{PeerAddress: address.String(), Domain: "a"}}
		c.members.step(membership.Received{From: returned, Msg: membership.ExchangeRequest{Self: update}})
		for i := range 3 {
			server := state.BackendIncarnation{ID: state.BackendID(fmt.Sprint("s", i))}
			c.g.shared.implicate(c.now, server, crashes.Run{Content: 7, Phase: crashes.Starting})
		}
		c.members.perform(membership.MemberChanged{Member: returned, From: membership.Dead, To: membership.Alive})
		other := crashes.NewTracker()
		for range 3 {
			var m crashes.TurnRelease
			Eventually(told).WithTimeout(10 * time.Second).Should(Receive(&m))
			for _, n := range m.Ends {
				other.Implicate(c.now, n.Server, n.Runs()...)
			}
		}
		Expect(other.Judge(c.now, 7).Blocked).To(BeTrue())
	})
})
