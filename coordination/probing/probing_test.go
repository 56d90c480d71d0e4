package probing_test

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/probing"
	"github.com/hibiscuswick/hibiscuswick/state"
)

func daemons(n int) []state.DaemonID {
	var out []state.DaemonID
	for i := range n {
		out = append(out, state.DaemonID(fmt.Sprint("d", i)))
	}
	return out
}

var _ = Describe("The owners of servers", func() {
	It("are the same for all daemons, and few", func() {
		all := daemons(420)
		owners := probing.Owners(all)
		Expect(owners).To(HaveLen(21))
		slices.Reverse(all)
		Expect(probing.Owners(all)).To(Equal(owners))
		Expect(probing.Owners(daemons(1))).To(HaveLen(1))
		Expect(probing.Owners(nil)).To(BeEmpty())
	})

	It("share the servers", func() {
		owners := probing.Owners(daemons(420))
		count := make(map[state.DaemonID]int)
		for i := range 12000 {
			owner, ok := probing.Owner(fmt.Sprintf("10.0.%d.%d:80", i/250, i%250), owners)
			Expect(ok).To(BeTrue())
			count[owner]++
		}
		for _, id := range owners {
			Expect(count[id]).To(BeNumerically("~", 12000/21, 12000/21/2))
		}
	})

	It("are witnesses, those of the same failure domain first, without the daemon itself", func() {
		owners := probing.Owners(daemons(100))
		near := owners[3:5]
		got := probing.Witnesses(owners, near[0], func(id state.DaemonID) bool { return slices.Contains(near, id) })
		Expect(got).To(HaveLen(3))
		Expect(got[0]).To(Equal(near[1]))
		Expect(got).NotTo(ContainElement(near[0]))
		Expect(probing.Witnesses(probing.Owners(daemons(1)), "d0", func(state.DaemonID) bool { return true })).To(BeEmpty())
	})
})

var _ = Describe("A sign of life", func() {
	now := time.Unix(1000, 0)

	// Guards against a server that dies after another daemon has seen it alive.
	It("counts as if the stream had shown it", Label("failure:probes-in-overload"), func() {
		sign := probing.Sign{Alive: true, AgeMS: 30}
		Expect(settlesUntil(sign, now, 50*time.Millisecond)).To(Equal(now.Add(20 * time.Millisecond)))
		Expect(settlesUntil(probing.Sign{}, now, time.Hour)).To(BeZero())
		Expect(settlesUntil(probing.Sign{Alive: true, AgeMS: -1}, now, time.Hour)).To(BeZero())
	})
})

var _ = Describe("The interval of probes of a dead server", func() {
	It("grows to four times the shortest one, and is as long from the start once its process has ended", Label("failure:probes-kept-alone"), func() {
		var got []time.Duration
		for i := range 5 {
			got = append(got, probing.RecoveryInterval(time.Second, i, false))
		}
		Expect(got).To(Equal([]time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second, 4 * time.Second}))
		Expect(probing.RecoveryInterval(time.Second, 0, true)).To(Equal(4 * time.Second))
		Expect(probing.RecoveryInterval(time.Second, 1000, false)).To(Equal(4 * time.Second))
	})
})

// settlesUntil returns until when a sign makes a probe needless of a server that may be silent for allowed.
func settlesUntil(sign probing.Sign, askedAt time.Time, allowed time.Duration) time.Time {
	at, ok := sign.ShownAt(askedAt)
	if !ok {
		return time.Time{}
	}
	return at.Add(allowed)
}
