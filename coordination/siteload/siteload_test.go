package siteload_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/siteload"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("The load of all daemons", func() {
	start := time.Unix(1000, 0)
	part := siteload.Part{Service: "model", Domain: "a"}
	member := func(n int, incarnation uint64) state.Member {
		return state.Member{ID: state.DaemonID(fmt.Sprintf("d%d", n)), Incarnation: state.Incarnation(incarnation)}
	}
	report := func(number uint64, tokens uint32) siteload.Report {
		return siteload.Report{Part: part, Number: number, Loads: siteload.Loads{7: tokens}}
	}
	var a *siteload.Aggregator

	BeforeEach(func() { a = siteload.NewAggregator() })

	It("is the sum of their last reports, by part and group", func() {
		a.Receive(start, member(1, 1), report(1, 100))
		a.Receive(start, member(2, 1), siteload.Report{Part: part, Number: 1, Loads: siteload.Loads{7: 50, 8: 5}})
		a.Receive(start, member(3, 1), siteload.Report{Part: siteload.Part{Service: "model", Domain: "b"}, Number: 1, Loads: siteload.Loads{7: 9}})
		t := a.Receive(start, member(1, 1), report(2, 30))
		Expect(t.Daemons).To(Equal(2))
		Expect(t.Loads).To(Equal(siteload.Loads{7: 80, 8: 5}))
	})

	It("does not count a report again that is repeated or overtaken", Label("failure:load-report-repeated"), func() {
		a.Receive(start, member(1, 1), report(2, 100))
		Expect(a.Receive(start, member(1, 1), report(1, 900)).Loads[7]).To(BeEquivalentTo(100))
		Expect(a.Receive(start, member(1, 2), report(1, 10)).Loads[7]).To(BeEquivalentTo(10), "a restarted daemon counts anew")
		Expect(a.Receive(start, member(1, 1), report(3, 900)).Loads[7]).To(BeEquivalentTo(10), "its former incarnation")
	})

	It("forgets daemons that no longer report", Label("failure:load-of-dead-daemon"), func() {
		a.Receive(start, member(1, 1), report(1, 100))
		late := start.Add(4*siteload.Interval + time.Millisecond)
		t := a.Receive(late, member(2, 1), report(1, 1))
		Expect(t.Daemons).To(Equal(1))
		Expect(t.Loads[7]).To(BeEquivalentTo(1))
		a.Prune(late)
		Expect(a.Parts()).To(Equal(1))
		a.Prune(late.Add(time.Minute))
		Expect(a.Parts()).To(BeZero())
	})

	It("is used only while it is recent and includes most live daemons", Label("failure:load-of-few-daemons"), func() {
		v := siteload.NewView()
		_, ok := v.Of(start, part, 10)
		Expect(ok).To(BeFalse())
		v.Apply(start, siteload.Loads{7: 5}, siteload.Totals{Part: part, Daemons: 6, Loads: siteload.Loads{7: 60}})
		_, ok = v.Of(start, part, 10)
		Expect(ok).To(BeFalse(), "an aggregator that has just started, or is cut off")
		v.Apply(start, siteload.Loads{7: 5}, siteload.Totals{Part: part, Daemons: 8, Loads: siteload.Loads{7: 80}})
		v.Apply(start.Add(-time.Second), nil, siteload.Totals{Part: part, Daemons: 9})
		k, ok := v.Of(start, part, 10)
		Expect(ok).To(BeTrue())
		Expect(k.Loads[7]).To(BeEquivalentTo(80), "the earlier answer came later")
		late := start.Add(4*siteload.Interval + time.Millisecond)
		v.Prune(start)
		Expect(v.Parts()).To(Equal(1))
		_, ok = v.Of(late, part, 10)
		Expect(ok).To(BeFalse())
		v.Apply(start, nil, siteload.Totals{Part: part, Daemons: 9})
		v.Prune(late)
		Expect(v.Parts()).To(BeZero())
	})
})
