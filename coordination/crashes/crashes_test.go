package crashes_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("Contents that crash servers", func() {
	now := time.Unix(1000, 0)

	// A request crashes the one server of its service, which starts again under its
	// name, and its caller sends it again: the server crashes each time. Cause: the
	// deaths were told apart by the server's name.
	It("are refused once two lives of one server died under them", Label("failure:request-crashes-servers"), func() {
		b := crashes.NewTracker()
		b.Implicate(now, 7, state.Life{ID: "e1", Born: 100})
		b.Implicate(now, 7, state.Life{ID: "e1", Born: 100})
		Expect(b.IsBlocked(now, 7)).To(BeFalse())
		b.Implicate(now, 7, state.Life{ID: "e1", Born: 90})
		Expect(b.IsBlocked(now, 7)).To(BeTrue())
	})

	// A request crashes each engine that begins it, and its caller sends it again at
	// other daemons. Two engines die of it, no third.
	It("are refused once a second server died under them, at every daemon", Label("failure:request-crashes-servers"), func() {
		here, there := crashes.NewTracker(), crashes.NewTracker()
		told, news := here.Implicate(now, 7, state.Life{ID: "e1"})
		Expect(news).To(BeTrue())
		Expect(here.IsBlocked(now, 7)).To(BeFalse())
		there.Implicate(now, told.Fingerprint, told.Servers...)
		told, news = there.Implicate(now, 7, state.Life{ID: "e2"})
		Expect(news).To(BeTrue())
		here.Implicate(now, told.Fingerprint, told.Servers...)
		Expect(here.IsBlocked(now, 7)).To(BeTrue())
		Expect(there.IsBlocked(now, 7)).To(BeTrue())
	})

	It("are not convicted by one death that several daemons saw", func() {
		b := crashes.NewTracker()
		b.Implicate(now, 7, state.Life{ID: "e1"})
		_, news := b.Implicate(now, 7, state.Life{ID: "e1"})
		Expect(news).To(BeFalse())
		Expect(b.IsBlocked(now, 7)).To(BeFalse())
	})

	It("are cleared by an answer that begins, and forgotten in time", func() {
		b := crashes.NewTracker()
		b.Implicate(now, 7, state.Life{ID: "e1"})
		b.Clear(7)
		b.Implicate(now, 7, state.Life{ID: "e2"})
		Expect(b.IsBlocked(now, 7)).To(BeFalse())
		b.Implicate(now, 7, state.Life{ID: "e3"})
		Expect(b.IsBlocked(now, 7)).To(BeTrue())
		Expect(b.IsBlocked(now.Add(crashes.ImplicationTTL), 7)).To(BeFalse())
	})

	It("are remembered within bounds", func() {
		b := crashes.NewTracker()
		for i := range 5000 {
			b.Implicate(now.Add(time.Duration(i)*time.Millisecond), crashes.Fingerprint(i), state.Life{ID: "e1"}, state.Life{ID: "e2"})
		}
		Expect(b.IsBlocked(now, 0)).To(BeFalse())
		Expect(b.IsBlocked(now, 4999)).To(BeTrue())
	})
})
