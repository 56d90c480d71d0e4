package shares_test

import (
	"math"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/shares"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// viewDelay is how long a daemon may take to learn of a change of the members.
	viewDelay = time.Second
	// longestPause is the longest pause of a daemon in properties.
	longestPause = 2 * time.Second
	customers    = 6
	// rounding allows for the tokens that are lost and gained by whole numbers in messages.
	rounding = 100
)

// transit is the longest time that a use spends in messages on its way to a daemon's table, if no
// daemon is paused.
func (w *world) transit() time.Duration {
	return time.Duration(2*shares.DepthFor(len(w.daemons), w.fanout)) * w.delay
}

// settleTime is how long after the last fault each daemon of a partition has a table of all of it.
func (w *world) settleTime() time.Duration {
	depth := time.Duration(shares.DepthFor(len(w.daemons), w.fanout))
	return viewDelay + shares.Lease + depth*(shares.ReportInterval+shares.GatherTime) + w.transit()
}

// upperBound is the largest part of a customer's true use that daemons may count.
func (w *world) upperBound(c shares.Customer, transit time.Duration) float64 {
	t := w.admitted[c]
	if t == nil {
		return rounding
	}
	return t.value(w.now)*math.Exp(transit.Seconds()/shares.Window.Seconds()) + rounding
}

// fault is one of the troubles of the property.
type fault struct {
	name  string
	apply func(w *world, t *rapid.T)
}

func anyDaemon(w *world, t *rapid.T) *daemon {
	return w.daemons[rapid.IntRange(0, len(w.daemons)-1).Draw(t, "daemon")]
}

func restart(w *world, d *daemon) {
	d.down = true
	d.tickAt = time.Time{}
	w.updateMembersLate(viewDelay)
	w.at(w.now.Add(500*time.Millisecond), func() {
		w.start(d)
		w.updateView(d)
		w.updateMembersLate(viewDelay)
	})
}

var faults = []fault{
	{"cut", func(w *world, t *rapid.T) {
		for _, d := range w.daemons {
			d.group = rapid.IntRange(0, 2).Draw(t, "group")
		}
		w.updateMembersLate(viewDelay)
	}},
	{"heal", func(w *world, _ *rapid.T) {
		for _, d := range w.daemons {
			d.group = 0
		}
		w.updateMembersLate(viewDelay)
	}},
	{"pause", func(w *world, t *rapid.T) {
		d := anyDaemon(w, t)
		pause := time.Duration(rapid.Int64Range(0, int64(longestPause)).Draw(t, "pause"))
		d.pausedUntil = later(d.pausedUntil, w.now.Add(pause))
		w.paused += pause
	}},
	{"restart", func(w *world, t *rapid.T) { restart(w, anyDaemon(w, t)) }},
	{"restart all", func(w *world, _ *rapid.T) {
		for _, d := range w.daemons {
			restart(w, d)
		}
	}},
	{"lossy", func(w *world, _ *rapid.T) { w.loss, w.twice = 0.3, 0.2 }},
	{"late", func(w *world, _ *rapid.T) { w.delay = 200 * time.Millisecond }},
}

// contendedLoad lets random customers send requests at their daemons until a time.
func contendedLoad(w *world, t *rapid.T, until time.Time) {
	for i := range customers {
		home := rapid.IntRange(-1, len(w.daemons)-1).Draw(t, "home") // -1 for all
		interval := time.Duration(rapid.IntRange(10, 200).Draw(t, "interval")) * time.Millisecond
		w.load(until, interval, func() {
			d := w.daemons[w.rng.IntN(len(w.daemons))]
			if home >= 0 {
				d = w.daemons[home]
			}
			w.charge(d, customer(i), requestTokens)
		})
	}
	w.load(until, 500*time.Millisecond, func() {
		for _, d := range w.daemons {
			w.mark(d)
		}
	})
}

// checkNeverMore checks that no daemon counts more of a customer's use than there is.
func checkNeverMore(w *world, t *rapid.T, transit time.Duration) {
	for _, d := range w.daemons {
		for i := range customers {
			c := customer(i)
			if used, ok := w.used(d, c); ok && !d.down && used > w.upperBound(c, transit) {
				t.Fatalf("%s counts %.0f of customer %d, more than %.0f", d.id, used, i, w.upperBound(c, transit))
			}
			if x := d.machine.Excess(w.now, model, c); x < 0 || x > 1 || math.IsNaN(x) {
				t.Fatalf("excess of %f", x)
			}
		}
	}
}

// checkSettled checks the tables of daemons that have not been disturbed for settleTime: each has one
// of all daemons of its partition, with a share for each customer, and all partitions together count
// no more than there is.
func checkSettled(w *world, t *rapid.T) {
	counted := make(map[shares.Customer]float64)
	for _, group := range lo.GroupBy(w.daemons, func(d *daemon) int { return d.group }) {
		most := make(map[shares.Customer]float64)
		for _, d := range group {
			st, ok := d.machine.Standing(w.now, model)
			if !ok || st.Daemons != len(group) || !st.Contended {
				t.Fatalf("%s knows the use of %d daemons of %d", d.id, st.Daemons, len(group))
			}
			if equal := st.Total / customers; st.Share < equal-rounding || st.Share <= 0 {
				t.Fatalf("%s has a share of %.0f, less than %.0f", d.id, st.Share, equal)
			}
			for _, s := range st.Customers {
				most[s.Customer] = max(most[s.Customer], s.Used)
			}
		}
		for c, used := range most {
			counted[c] += used
		}
	}
	for c, used := range counted {
		if bound := w.upperBound(c, w.transit()); used > bound {
			t.Fatalf("partitions count %.0f, more than %.0f", used, bound)
		}
		if least := w.lowerBound(c); used < least {
			t.Fatalf("partitions count %.0f, less than %.0f", used, least)
		}
	}
}

// lowerBound is the part of a customer's use that daemons count at least, if its use has been the
// same since the last fault. Processes that ended in one are not counted.
func (w *world) lowerBound(c shares.Customer) float64 {
	hops := time.Duration(shares.DepthFor(len(w.daemons), w.fanout) + 1)
	age := hops*(shares.ReportInterval+shares.GatherTime) + w.transit()
	ended := math.Exp(-w.settleTime().Seconds() / shares.Window.Seconds())
	return w.admitted[c].value(w.now)*math.Exp(-age.Seconds()/shares.Window.Seconds())*(1-ended) - rounding
}

var _ = Describe("The use that daemons count", func() {
	// Guards against customers that are charged twice, or not at all, because daemons are cut off
	// from each other, paused or restarted, and messages are late, lost or delivered twice.
	It("is never more than the use, and whole once a fault has ended", Label("failure:use-counted-twice"), func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 12).Draw(t, "daemons"), 2)
			end := epoch.Add(15 * time.Second)
			contendedLoad(w, t, end.Add(time.Minute))
			watch := func(until time.Time) {
				for w.now.Before(until) {
					w.run(w.now.Add(100 * time.Millisecond))
					checkNeverMore(w, t, w.transit()+w.paused)
				}
			}
			for range rapid.IntRange(0, 6).Draw(t, "faults") {
				watch(w.now.Add(time.Duration(rapid.IntRange(1, 30).Draw(t, "after")) * 100 * time.Millisecond))
				rapid.SampledFrom(faults).Draw(t, "fault").apply(w, t)
			}
			watch(end)
			w.loss, w.delay = 0, 5*time.Millisecond
			w.run(w.now.Add(longestPause + w.settleTime() + 200*time.Millisecond))
			for range 8 {
				w.run(w.now.Add(250 * time.Millisecond))
				checkSettled(w, t)
			}
		})
	})

	// Guards against a customer's standing that is lost with one daemon.
	It("is known again after the owner of the sum has died", Label("failure:share-owner-dies"), func() {
		w := newWorld(9, 9, 8)
		largeBesideSmall(w, 30*time.Second, func() *daemon { return w.daemons[w.rng.IntN(9)] })
		w.run(epoch.Add(5 * time.Second))
		for range 3 {
			w.run(w.now.Add(time.Second))
			most := lo.MaxBy(w.daemons, func(a, b *daemon) bool { return a.bytes > b.bytes && !a.down || b.down })
			most.down = true
			w.updateMembersLate(viewDelay)
			w.run(w.now.Add(w.settleTime()))
			live := lo.Filter(w.daemons, func(d *daemon, _ int) bool { return !d.down })
			for _, d := range live {
				st, ok := d.machine.Standing(w.now, model)
				Expect(ok).To(BeTrue())
				Expect(st.Daemons).To(Equal(len(live)))
			}
		}
	})

	// Guards against a daemon without contact that holds customers to a share of nothing, or that
	// goes on with what it knew of the others.
	It("is a daemon's own once it is cut off", Label("failure:cut-off-daemon-share"), func() {
		w := newWorld(10, 9, 8)
		alone := w.daemons[4]
		largeBesideSmall(w, 30*time.Second, func() *daemon { return w.daemons[0] })
		for i := range 4 {
			w.load(w.now.Add(30*time.Second), 50*time.Millisecond, func() { w.charge(alone, customer(100+i), requestTokens) })
		}
		w.load(w.now.Add(30*time.Second), 500*time.Millisecond, func() { w.mark(alone) })
		w.run(epoch.Add(6 * time.Second))
		Expect(alone.machine.Excess(w.now, model, customer(0))).To(BeNumerically(">", 0))
		alone.group = 1
		w.updateMembersLate(viewDelay)
		w.run(w.now.Add(viewDelay + shares.Lease + shares.ReportInterval))
		Expect(alone.machine.Excess(w.now, model, customer(0))).To(BeZero())
		st, ok := alone.machine.Standing(w.now, model)
		Expect(ok).To(BeTrue())
		Expect(st.Daemons).To(Equal(1))
		for i := range 4 {
			Expect(alone.machine.Excess(w.now, model, customer(100+i))).To(BeZero())
		}
	})

	// Guards against a daemon that applies, after a pause, what was true before it.
	It("is unknown after a pause longer than the lease", Label("failure:share-table-outdated"), func() {
		w := newWorld(11, 9, 8)
		largeBesideSmall(w, 20*time.Second, func() *daemon { return w.daemons[0] })
		w.run(epoch.Add(5 * time.Second))
		d := w.daemons[4]
		Expect(d.machine.Excess(w.now, model, customer(0))).To(BeNumerically(">", 0))
		Expect(d.machine.Excess(w.now.Add(shares.Lease+shares.ReportInterval), model, customer(0))).To(BeZero())
	})

	It("accepts a restarted daemon's lower numbers and none of its former process", func() {
		m := shares.New(shares.Config{Self: state.Member{ID: "a", Incarnation: 1}})
		m.Step(epoch, shares.Membership{Daemons: []state.DaemonID{"a"}})
		m.MarkContended(epoch, model)
		report := func(incarnation state.Incarnation, number uint64, tokens uint32) {
			m.Step(epoch, shares.Received{From: state.Member{ID: "b", Incarnation: incarnation}, Msg: shares.Report{
				Service: model, Depth: 1, Leaf: true, Number: number, Daemons: 1, ContendedMS: 3000,
				Customers: []shares.Customer{1}, Admitted: []uint32{tokens}, Rejected: []uint32{0},
			}})
		}
		report(1, 7, 5000)
		report(2, 1, 3000)
		report(1, 8, 9000)
		report(2, 1, 9000)
		m.Step(epoch.Add(shares.GatherTime), shares.Tick{})
		st, ok := m.Standing(epoch.Add(shares.GatherTime), model)
		Expect(ok).To(BeTrue())
		Expect(st.Total).To(BeNumerically("~", 3000, 200))
	})
})
