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

	// Guards against a crash loop: a request crashes the only server of its service, which restarts
	// under the same name, and the caller repeats the request. The crashes were counted by the
	// server's name, so that they counted as one.
	It("are refused after they crashed two incarnations of one server", Label("failure:request-crashes-servers"), func() {
		t := crashes.NewTracker()
		t.Implicate(now, 7, state.BackendIncarnation{ID: "e1", Born: 100})
		t.Implicate(now, 7, state.BackendIncarnation{ID: "e1", Born: 100})
		Expect(t.IsBlocked(now, 7)).To(BeFalse())
		t.Implicate(now, 7, state.BackendIncarnation{ID: "e1", Born: 90})
		Expect(t.IsBlocked(now, 7)).To(BeTrue())
	})

	// Guards against a request that crashes each engine that starts it while its caller repeats it
	// at other daemons: it may crash two engines, but no third.
	It("are refused by every daemon after they crashed a second server", Label("failure:request-crashes-servers"), func() {
		here, there := crashes.NewTracker(), crashes.NewTracker()
		implication, isNew := here.Implicate(now, 7, state.BackendIncarnation{ID: "e1"})
		Expect(isNew).To(BeTrue())
		Expect(here.IsBlocked(now, 7)).To(BeFalse())
		there.Implicate(now, implication.Fingerprint, implication.Servers...)
		implication, isNew = there.Implicate(now, 7, state.BackendIncarnation{ID: "e2"})
		Expect(isNew).To(BeTrue())
		here.Implicate(now, implication.Fingerprint, implication.Servers...)
		Expect(here.IsBlocked(now, 7)).To(BeTrue())
		Expect(there.IsBlocked(now, 7)).To(BeTrue())
	})

	It("are not refused after one crash that several daemons saw", func() {
		t := crashes.NewTracker()
		t.Implicate(now, 7, state.BackendIncarnation{ID: "e1"})
		_, isNew := t.Implicate(now, 7, state.BackendIncarnation{ID: "e1"})
		Expect(isNew).To(BeFalse())
		Expect(t.IsBlocked(now, 7)).To(BeFalse())
	})

	It("are cleared when an answer starts, and expire", func() {
		t := crashes.NewTracker()
		t.Implicate(now, 7, state.BackendIncarnation{ID: "e1"})
		t.Clear(7)
		t.Implicate(now, 7, state.BackendIncarnation{ID: "e2"})
		Expect(t.IsBlocked(now, 7)).To(BeFalse())
		t.Implicate(now, 7, state.BackendIncarnation{ID: "e3"})
		Expect(t.IsBlocked(now, 7)).To(BeTrue())
		Expect(t.IsBlocked(now.Add(crashes.ImplicationTTL), 7)).To(BeFalse())
	})

	It("are remembered up to a bound", func() {
		t := crashes.NewTracker()
		for i := range 5000 {
			t.Implicate(now.Add(time.Duration(i)*time.Millisecond), crashes.Fingerprint(i), state.BackendIncarnation{ID: "e1"}, state.BackendIncarnation{ID: "e2"})
		}
		Expect(t.IsBlocked(now, 0)).To(BeFalse())
		Expect(t.IsBlocked(now, 4999)).To(BeTrue())
	})
})
