package crashes_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
)

var _ = Describe("Runs that are unlikely to have ended their server", func() {
	now := time.Unix(1000, 0)
	var t *crashes.Tracker

	BeforeEach(func() { t = crashes.NewTracker() })

	starting := func(fp crashes.Fingerprint) crashes.Run {
		return crashes.Run{Content: fp, Phase: crashes.Starting}
	}
	fresh := func(fp crashes.Fingerprint) crashes.Run { return crashes.Run{Content: fp, Phase: crashes.Fresh} }

	It("are told at once by few daemons, kept back by many, and the likely ones are always told", func() {
		var alone, many crashes.Teller
		Expect(alone.Audience(now, 1, false)).To(Equal(crashes.All))
		Expect(many.Audience(now, 100, false)).To(Equal(crashes.Undecided))
		Expect(many.Audience(now, 100, true)).To(Equal(crashes.All))
	})

	It("are told at once up to a bound that all daemons share", func() {
		const daemons, seconds = 8, 10
		told := 0
		for d := range daemons {
			var teller crashes.Teller
			for i := range 100 * seconds {
				if teller.Audience(now.Add(time.Duration(d+10*i)*time.Millisecond), daemons, false) == crashes.All {
					told++
				}
			}
		}
		Expect(told).To(BeNumerically("<=", 32+4*seconds))
	})

	It("are told to the owner where another run was starting, else to all, and to nobody if cleared", func() {
		t.Implicate(now, server("e1"), starting(1), fresh(7))
		t.Implicate(now, server("e2"), fresh(7), fresh(8))
		Expect(t.Audience(server("e1"), 7)).To(Equal(crashes.Owner))
		Expect(t.Audience(server("e2"), 7)).To(Equal(crashes.All))
		t.Clear(now.Add(1), 8)
		Expect(t.Audience(server("e2"), 8)).To(Equal(crashes.Nobody))
		Expect(t.Audience(server("e2"), 9)).To(Equal(crashes.Nobody))
	})

	// Guards against an owner that hears of one of the many contents that ran on two servers, and refuses
	// it as the only one.
	It("are not refused as the only ones where another run was starting", Label("failure:innocent-content-refused"), func() {
		owner := crashes.NewTracker()
		t.Implicate(now, server("e1"), starting(1), fresh(7))
		t.Implicate(now, server("e2"), starting(2), fresh(7))
		for _, notice := range t.OwnerNotices(now, 7) {
			owner.Implicate(now.Add(-notice.Age()), notice.Server, notice.Runs()...)
		}
		Expect(owner.Judge(now.Add(settled), 7)).To(Equal(crashes.Verdict{Exclusive: true}))
		Expect(owner.NewlyBlocked(now.Add(settled), 7)).To(BeEmpty())
	})

	// Guards against a content whose runs are told to its owner only: once it is refused there, all
	// daemons refuse it.
	It("are told to all by the owner once their content is refused", Label("failure:request-crashes-servers"), func() {
		owner, other := crashes.NewTracker(), crashes.NewTracker()
		for i := range 3 {
			here := crashes.NewTracker() // each end is seen by another daemon
			here.Implicate(now, server(fmt.Sprint("e", i)), starting(crashes.Fingerprint(100+i)), fresh(7))
			for _, notice := range here.OwnerNotices(now, 7) {
				owner.Implicate(now.Add(-notice.Age()), notice.Server, notice.Runs()...)
			}
		}
		notices := owner.NewlyBlocked(now, 7)
		Expect(owner.NewlyBlocked(now, 7)).To(BeEmpty())
		for _, notice := range notices {
			other.Implicate(now.Add(-notice.Age()), notice.Server, notice.Runs()...)
		}
		Expect(other.Judge(now, 7).Blocked).To(BeTrue())
	})

	// Guards against a crash loop that is overlooked because a copy of the content waited on the server
	// which another copy of it ended.
	It("count as starting if a copy of their content was", Label("failure:request-crashes-servers"), func() {
		t.Implicate(now, server("e1"), fresh(7))
		Expect(t.Implicate(now, server("e1"), starting(7))).To(HaveLen(1))
		t.Implicate(now, server("e2"), starting(7))
		Expect(t.Judge(now.Add(settled), 7).Blocked).To(BeTrue())
		Expect(t.Implicate(now, server("e1"), fresh(7))).To(BeEmpty())
	})

	// Guards against ends that only the owner of a content counts, while another daemon answers it.
	It("are cleared by the daemon that has answered their content since, once it is told of them", Label("failure:innocent-content-refused"), func() {
		t.Implicate(now.Add(-1), server("e0"), fresh(1))
		t.Clear(now, 7)
		Expect(t.Implicate(now.Add(-1), server("e1"), fresh(7))).To(BeEmpty())
		t.Implicate(now, server("e1"), fresh(8))
		t.ClearedElsewhere(now, 8)
		Expect(t.Implicate(now, server("e2"), fresh(8))).To(BeEmpty())
		Expect(t.TakeStale()).To(Equal([]crashes.Fingerprint{7}))
		Expect(t.TakeStale()).To(BeEmpty())
		Expect(t.Implicate(now.Add(1), server("e2"), fresh(7))).To(HaveLen(1))
		Expect(t.TakeStale()).To(BeEmpty())
	})

	// Guards against ends that are forgotten everywhere: the notice that clears older ones is sent later.
	It("are not cleared if another one has come since the answer", Label("failure:newer-end-cleared"), func() {
		t.Implicate(now.Add(-1), server("e0"), fresh(1))
		t.Clear(now, 7)
		t.Implicate(now.Add(-1), server("e1"), fresh(7))
		t.Implicate(now.Add(1), server("e2"), fresh(7))
		Expect(t.TakeStale()).To(BeEmpty())
	})

	It("are decided on once those that were kept back are known", func() {
		t.Implicate(now, server("e1"), fresh(7))
		t.Implicate(now, server("e2"), fresh(7))
		Expect(t.Judge(now.Add(crashes.WithholdTime), 7).SettlesAt).To(BeTemporally(">", now.Add(crashes.WithholdTime)))
	})

	It("have no parts that are told where another run was starting", func() {
		p := crashes.NewParts(now)
		p.Ended(now, server("e1"), true, crashes.PartRun{Content: 7, Parts: []crashes.Fingerprint{8}})
		Expect(p.Audience(server("e1"))).To(Equal(crashes.All))
		p.Ended(now, server("e1"), false, crashes.PartRun{Content: 1, Parts: []crashes.Fingerprint{8}, Starting: true})
		Expect(p.Audience(server("e1"))).To(Equal(crashes.Nobody))
	})
})
