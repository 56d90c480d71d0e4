package crashes_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
)

var _ = Describe("Turns to run a suspect content", func() {
	now := time.Unix(1000, 0)
	a, b := crashes.TurnHolder{Daemon: "a", Number: 1}, crashes.TurnHolder{Daemon: "b", Number: 1}
	var turns *crashes.Turns

	BeforeEach(func() { turns = crashes.NewTurns() })

	It("are held by one request at a time", func() {
		Expect(turns.Take(now, 7, a)).To(BeTrue())
		Expect(turns.Take(now, 7, a)).To(BeTrue())
		Expect(turns.Take(now, 7, b)).To(BeFalse())
		Expect(turns.Take(now, 8, b)).To(BeTrue())
		turns.Release(7, b)
		Expect(turns.Take(now, 7, b)).To(BeFalse())
		turns.Release(7, a)
		Expect(turns.Take(now, 7, b)).To(BeTrue())
	})

	// Guards against a holder that ends without a release: its content could never run again.
	It("expire", Label("failure:innocent-content-refused"), func() {
		Expect(turns.Take(now, 7, a)).To(BeTrue())
		Expect(turns.Take(now.Add(crashes.TurnTTL-1), 7, b)).To(BeFalse())
		Expect(turns.Take(now.Add(crashes.TurnTTL), 7, b)).To(BeTrue())
	})
})
