package shares_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/shares"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const requestTokens = 800

func customer(i int) shares.Customer {
	return shares.CustomerOf(state.CustomerID(fmt.Sprint("customer-", i)))
}

// largeBesideSmall adds load for a while: of one large customer at daemons that largeAt chooses, and of
// 20 small ones at the last daemon. The first daemon finds the service overloaded.
func largeBesideSmall(w *world, duration time.Duration, largeAt func() *daemon) {
	last := w.daemons[len(w.daemons)-1]
	w.load(w.now.Add(duration), 10*time.Millisecond, func() {
		w.charge(largeAt(), customer(0), requestTokens)
		w.mark(w.daemons[0])
	})
	for i := 1; i <= 20; i++ {
		w.load(w.now.Add(duration), 200*time.Millisecond, func() { w.charge(last, customer(i), requestTokens) })
	}
}

var _ = Describe("The fair share of a customer", func() {
	It("is what remains for those that want more than it", func() {
		Expect(shares.FairShare([]float64{70, 20, 10}, []float64{1, 1, 1}, 100)).To(BeNumerically("~", 50))
	})

	It("is an equal part if all want the same", func() {
		Expect(shares.FairShare([]float64{25, 25, 25, 25}, []float64{1, 1, 1, 1}, 100)).To(BeNumerically("~", 25))
	})

	It("grows with the weight", func() {
		share := shares.FairShare([]float64{80, 80}, []float64{3, 1}, 100)
		Expect(3 * share).To(BeNumerically("~", 75))
	})

	It("is never less than an equal part, whatever others ask for", func() {
		Expect(shares.FairShare([]float64{1000, 1000, 40}, []float64{1, 1, 1}, 90)).To(BeNumerically(">=", 30))
	})

	It("is everything for a customer that is alone", func() {
		Expect(shares.FairShare([]float64{100}, []float64{1}, 100)).To(BeNumerically("~", 100))
	})
})

var _ = Describe("The standing of customers", func() {
	// Guards against small customers that wait behind a large one, and against shares that are
	// kept by each daemon for itself.
	It("is the same whether callers sit at one daemon or at all", Label("failure:large-customer-crowds-out"), func() {
		for _, daemons := range []int{9, 70} {
			concentrated, spread := newWorld(1, daemons, 8), newWorld(2, daemons, 8)
			largeBesideSmall(concentrated, 10*time.Second, func() *daemon { return concentrated.daemons[0] })
			largeBesideSmall(spread, 10*time.Second, func() *daemon { return spread.daemons[spread.rng.IntN(daemons)] })
			for _, w := range []*world{concentrated, spread} {
				w.run(epoch.Add(9 * time.Second))
				for _, d := range w.daemons {
					Expect(d.machine.Excess(w.now, model, customer(0))).To(BeNumerically("~", 0.6, 0.2), string(d.id))
					for i := 1; i <= 20; i++ {
						Expect(d.machine.Excess(w.now, model, customer(i))).To(BeZero())
					}
				}
			}
		}
	})

	// Two customers have the same use; the callers of one are spread, those of the other use one daemon.
	It("does not depend on where callers sit, as it does if each daemon is on its own", func() {
		const daemons, spreadCustomer, localCustomer = 9, 50, 51
		excessOf := func(alone bool) (spread, local float64) {
			w := newWorld(16, daemons, 8)
			for i, d := range w.daemons {
				if alone {
					d.group = i
				}
				w.load(epoch.Add(10*time.Second), 500*time.Millisecond, func() { w.mark(d) })
				w.load(epoch.Add(10*time.Second), 90*time.Millisecond, func() {
					w.charge(d, customer(w.rng.IntN(10)), requestTokens)
					w.charge(d, customer(spreadCustomer), requestTokens)
				})
			}
			w.load(epoch.Add(10*time.Second), 10*time.Millisecond, func() { w.charge(w.daemons[0], customer(localCustomer), requestTokens) })
			w.updateMembers()
			w.run(epoch.Add(9 * time.Second))
			for _, d := range w.daemons {
				spread += d.machine.Excess(w.now, model, customer(spreadCustomer)) / daemons
			}
			return spread, w.daemons[0].machine.Excess(w.now, model, customer(localCustomer))
		}
		spread, local := excessOf(false)
		GinkgoWriter.Printf("all daemons: spread %.2f, at one daemon %.2f\n", spread, local)
		Expect(local).To(BeNumerically("~", spread, 0.2))
		spread, local = excessOf(true)
		GinkgoWriter.Printf("each daemon on its own: spread %.2f, at one daemon %.2f\n", spread, local)
		Expect(spread - local).To(BeNumerically(">", 0.2))
	})

	It("is known to all daemons within 3 s of the overload", func() {
		w := newWorld(3, 70, 8)
		largeBesideSmall(w, 10*time.Second, func() *daemon { return w.daemons[w.rng.IntN(70)] })
		w.run(epoch.Add(3 * time.Second))
		for _, d := range w.daemons {
			Expect(d.machine.Excess(w.now, model, customer(0))).To(BeNumerically(">", 0.25), string(d.id))
		}
	})

	It("lends unused shares and gives them back when they are wanted", func() {
		w := newWorld(4, 9, 8)
		share := func() float64 {
			st, ok := w.daemons[3].machine.Standing(w.now, model)
			Expect(ok).To(BeTrue())
			return st.Share / st.Total
		}
		largeBesideSmall(w, 20*time.Second, func() *daemon { return w.daemons[0] })
		w.run(epoch.Add(9 * time.Second))
		Expect(share()).To(BeNumerically(">", 0.25)) // an equal part is 1/21
		for i := 1; i <= 20; i++ {
			w.load(w.now.Add(10*time.Second), 100*time.Millisecond, func() {
				d := w.daemons[8]
				d.machine.Reject(w.now, model, customer(i), 4*requestTokens)
			})
		}
		w.run(epoch.Add(18 * time.Second))
		Expect(share()).To(BeNumerically("<", 0.06))
		Expect(w.daemons[5].machine.Excess(w.now, model, customer(0))).To(Equal(1.0))
	})

	It("ends with the contention, and then nothing is sent", func() {
		w := newWorld(5, 9, 8)
		largeBesideSmall(w, 5*time.Second, func() *daemon { return w.daemons[0] })
		w.run(epoch.Add(4 * time.Second))
		Expect(w.daemons[3].machine.Excess(w.now, model, customer(0))).To(BeNumerically(">", 0))
		w.run(epoch.Add(5*time.Second + shares.MarkTTL + 100*time.Millisecond))
		for _, d := range w.daemons {
			Expect(d.machine.Contended(w.now, model)).To(BeFalse())
			Expect(d.machine.Excess(w.now, model, customer(0))).To(BeZero())
		}
		w.run(w.now.Add(shares.NoticeTTL + shares.ReportInterval))
		for _, d := range w.daemons {
			d.messages = 0
		}
		w.run(w.now.Add(20 * time.Second))
		for _, d := range w.daemons {
			Expect(d.messages).To(BeZero())
		}
	})

	It("is not computed, and nothing is sent, while no daemon finds the service overloaded", func() {
		w := newWorld(6, 9, 8)
		w.load(epoch.Add(5*time.Second), 10*time.Millisecond, func() { w.charge(w.daemons[0], customer(0), requestTokens) })
		w.run(epoch.Add(10 * time.Second))
		for _, d := range w.daemons {
			Expect(d.messages).To(BeZero())
			Expect(d.machine.Excess(w.now, model, customer(0))).To(BeZero())
		}
	})

	It("changes once for a customer that exceeds its share and returns within it", func() {
		w := newWorld(7, 9, 8)
		largeBesideSmall(w, 5*time.Second, func() *daemon { return w.daemons[0] })
		w.run(epoch.Add(20 * time.Second))
		Expect(w.standing).To(HaveLen(2))
		Expect(w.standing[0].Customer).To(Equal(customer(0)))
		Expect(w.standing[0].Over).To(BeTrue())
		Expect(w.standing[1].Over).To(BeFalse())
	})

	// Guards against counters that grow with each customer that has ever sent a request.
	It("forgets a customer that was removed", Label("failure:removed-customer-kept"), func() {
		w := newWorld(8, 3, 8)
		largeBesideSmall(w, 5*time.Second, func() *daemon { return w.daemons[0] })
		w.run(epoch.Add(3 * time.Minute))
		for _, d := range w.daemons {
			Expect(d.machine.NextTick()).To(BeZero())
		}
	})

	It("ignores messages whose lists do not match", func() {
		m := shares.New(shares.Config{Self: state.Member{ID: "a", Incarnation: 1}})
		from := state.Member{ID: "b", Incarnation: 1}
		for _, msg := range []shares.Message{
			shares.Report{Service: model, Depth: 1, Customers: []shares.Customer{1}},
			shares.Report{Service: model, Depth: 0, Level: 0},
			shares.Report{Service: model, Depth: 2, Level: -1},
			shares.Table{Service: model, Customers: []shares.Customer{1}},
		} {
			Expect(m.Step(epoch, shares.Received{From: from, Msg: msg})).To(BeEmpty())
			Expect(m.NextTick()).To(BeZero())
		}
	})
})
