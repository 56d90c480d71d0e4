package storebudget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/coordination/storebudget"
)

var start = time.Unix(1000, 0)

// fleet runs the budgets of all daemons against one store in virtual time.
type cluster struct {
	now             time.Time
	budgets         []*storebudget.Budget
	rng             *rand.Rand
	up              bool
	latency         time.Duration
	limit           int // calls per second that the store accepts, 0 for no limit
	callsThisSecond int // calls in the current second
	nextID          uint64
	granted         int
	shed            int
	pending         []pendingResult
}

type pendingResult struct {
	at     time.Time
	daemon int
	ev     storebudget.Finished
}

func newCluster(n int, seed uint64) *cluster {
	f := &cluster{now: start, rng: rand.New(rand.NewPCG(seed, 1)), up: true, latency: 10 * time.Millisecond}
	for i := range n {
		roles := storebudget.Roles{Members: n, KeyHomes: 4, KeyHome: i < 4, Services: min(n, 15)}
		if i < roles.Services {
			roles.Leases = 1
		}
		f.budgets = append(f.budgets, storebudget.New(storebudget.DefaultConfig(), f.rng, roles, start))
	}
	return f
}

func (f *cluster) step(i int, ev storebudget.Event) {
	for _, a := range f.budgets[i].Step(f.now, ev) {
		switch a := a.(type) {
		case storebudget.Grant:
			f.granted++
			f.callsThisSecond++
			f.pending = append(f.pending, pendingResult{f.now.Add(f.latency), i, f.serve(a.ID)})
		case storebudget.Shed:
			f.shed++
		}
	}
}

func (f *cluster) serve(id uint64) storebudget.Finished {
	switch {
	case !f.up:
		return storebudget.Finished{ID: id, Took: f.latency}
	case f.limit > 0 && f.callsThisSecond > f.limit:
		return storebudget.Finished{ID: id, Status: store.NotSent, Throttled: true, Took: f.latency}
	}
	return storebudget.Finished{ID: id, Status: store.Done, Took: f.latency}
}

func (f *cluster) request(i int, class store.Class, kind storebudget.Kind) {
	f.nextID++
	f.step(i, storebudget.Request{ID: f.nextID, Class: class, Kind: kind})
}

// run advances the time in steps of 5 ms and calls load in each step.
func (f *cluster) run(span time.Duration, load func(step int)) {
	const step = 5 * time.Millisecond
	for n := range int(span / step) {
		f.now = f.now.Add(step)
		if n%int(time.Second/step) == 0 {
			f.callsThisSecond = 0
		}
		load(n)
		for len(f.pending) > 0 && !f.pending[0].at.After(f.now) {
			d := f.pending[0]
			f.pending = f.pending[1:]
			f.step(d.daemon, d.ev)
		}
		for i, b := range f.budgets {
			if t := b.NextTick(); !t.IsZero() && !t.After(f.now) {
				f.step(i, storebudget.Tick{})
			}
		}
	}
}

var _ = Describe("Budget", func() {
	// Calls of all classes come in bursts; none may wait forever, and in no period may a daemon
	// send more than its share and the tokens that it saved.
	It("never grants more than the share and one burst", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			cfg := storebudget.DefaultConfig()
			roles := storebudget.Roles{
				Members:  rapid.IntRange(1, 420).Draw(t, "members"),
				KeyHomes: 4, KeyHome: rapid.Bool().Draw(t, "home"),
				Services: 15, Leases: rapid.IntRange(0, 3).Draw(t, "leases"),
			}
			b := storebudget.New(cfg, rand.New(rand.NewPCG(1, 1)), roles, start)
			now := start
			granted, shed, wanted := 0, 0, 0
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
				for range rapid.IntRange(0, 30).Draw(t, "wants") {
					wanted++
					class := store.Class(rapid.IntRange(0, store.NumClasses-1).Draw(t, "class"))
					for _, a := range b.Step(now, storebudget.Request{ID: uint64(wanted), Class: class, Kind: storebudget.Write}) {
						switch a := a.(type) {
						case storebudget.Grant:
							granted++
							b.Step(now, storebudget.Finished{ID: a.ID, Status: store.Done})
						case storebudget.Shed:
							shed++
						}
					}
				}
				rate, burst := 0.0, 0.0
				for c := range store.NumClasses {
					r := cfg.Rate(roles, storebudget.Write, store.Class(c))
					rate += r
					burst += max(r, 1)
				}
				burst += max(1, rate/2)
				if got, most := float64(granted), rate*now.Sub(start).Seconds()+burst; got > most+1e-6 {
					t.Fatalf("granted %v writes, this daemon's share is at most %v", got, most)
				}
			}
			counted := b.Usage()
			total := 0
			for c := range store.NumClasses {
				total += counted.Granted[storebudget.Write][c]
			}
			if total+b.Waiting() > wanted {
				t.Fatalf("%d granted and %d waiting of %d", total, b.Waiting(), wanted)
			}
		})
	})

	It("has shares that add up to the site's rate over all daemons", func() {
		cfg := storebudget.DefaultConfig()
		for _, n := range []int{9, 50, 150, 420} {
			sum := 0.0
			for i := range n {
				roles := storebudget.Roles{Members: n, KeyHomes: 4, KeyHome: i < 4, Services: 5}
				if i < 5 {
					roles.Leases = 1
				}
				for c := range store.NumClasses {
					sum += cfg.Rate(roles, storebudget.Write, store.Class(c))
				}
			}
			Expect(sum).To(BeNumerically("~", cfg.WritesPerSecond, 1e-6))
		}
	})

	It("serves claims first and starves no class", func() {
		f := newCluster(1, 1)
		roles := storebudget.Roles{Members: 1, KeyHomes: 1, KeyHome: true, Services: 1, Leases: 1}
		f.run(20*time.Second, func(int) {
			for range 4 {
				f.request(0, store.ClassClaim, storebudget.Write)
				f.request(0, store.ClassPresence, storebudget.Write)
			}
		})
		u := f.budgets[0].Usage()
		presence := 20 * storebudget.DefaultConfig().Rate(roles, storebudget.Write, store.ClassPresence)
		Expect(u.Granted[storebudget.Write][store.ClassPresence]).To(BeNumerically("~", presence, presence/10))
		Expect(u.Granted[storebudget.Write][store.ClassClaim]).To(BeNumerically(">", 20*300*3/4))
	})

	// Guards against a second outage caused by the backlog: the store answers nothing for a minute,
	// every daemon has calls waiting, and all of them would be sent at once when it is recovered.
	It("ramps up slowly after an outage", Label("failure:store-down"), func() {
		f := newCluster(420, 3)
		busy := func(step int) {
			for i := step % 20; i < 420; i += 20 {
				f.request(i, store.ClassClaim, storebudget.Write)
			}
			for home := range 4 {
				f.request(home, store.ClassClaim, storebudget.Write)
			}
		}
		f.run(5*time.Second, busy)
		f.up = false
		f.run(20*time.Second, busy)
		f.granted = 0
		f.run(40*time.Second, busy)
		probes := float64(f.granted) / 40
		f.up = true
		f.granted = 0
		f.run(time.Second, busy)
		first := f.granted
		f.run(9*time.Second, busy)
		GinkgoWriter.Printf("probes %.0f/s, first second %d writes, ten seconds %d\n", probes, first, f.granted)
		Expect(probes).To(BeNumerically("<", 200))
		Expect(first).To(BeNumerically("<=", 300))
		// All of the load is claims; what the other classes do not use becomes spare only once
		// their buckets are full.
		Expect(f.granted).To(BeNumerically(">", 10*300*0.55*0.95))
		for _, b := range f.budgets {
			Expect(b.Usage().Down).To(BeFalse())
		}
	})

	// A slow store accepts a third of its configured rate and refuses the rest.
	It("reduces its rate when the store refuses calls, and recovers", Label("failure:store-slow"), func() {
		f := newCluster(9, 4)
		f.limit = 100
		busy := func(int) {
			for i := range 9 {
				f.request(i, store.ClassClaim, storebudget.Write)
			}
		}
		f.run(30*time.Second, busy)
		f.granted = 0
		f.run(30*time.Second, busy)
		reduced := float64(f.granted) / 30
		f.limit = 0
		f.run(30*time.Second, busy)
		f.granted = 0
		f.run(10*time.Second, busy)
		recovered := float64(f.granted) / 10
		GinkgoWriter.Printf("%.0f calls/s while the store takes 100, %.0f/s afterwards\n", reduced, recovered)
		Expect(reduced).To(BeNumerically("<", 150))
		Expect(recovered).To(BeNumerically(">", 240))
	})
})

func BenchmarkStep(b *testing.B) {
	m := storebudget.New(storebudget.DefaultConfig(), rand.New(rand.NewPCG(1, 1)),
		storebudget.Roles{Members: 1, KeyHomes: 1, KeyHome: true, Services: 1}, start)
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now = now.Add(10 * time.Millisecond)
		m.Step(now, storebudget.Request{ID: uint64(i), Kind: storebudget.Write})
		m.Step(now, storebudget.Finished{ID: uint64(i), Status: store.Done})
	}
}

// BenchmarkShares reports what one daemon may write, by role and number of daemons.
func BenchmarkShares(b *testing.B) {
	cfg := storebudget.DefaultConfig()
	for _, n := range []int{9, 50, 150, 420} {
		b.Run(fmt.Sprintf("daemons=%d", n), func(b *testing.B) {
			for b.Loop() {
				home := storebudget.Roles{Members: n, KeyHomes: 4, KeyHome: true, Services: 15}
				holder := storebudget.Roles{Members: n, KeyHomes: 4, Services: 15, Leases: 1}
				b.ReportMetric(cfg.Rate(home, storebudget.Write, store.ClassClaim), "home-claims/s")
				b.ReportMetric(cfg.Rate(holder, storebudget.Write, store.ClassClaim), "direct-claims/s")
				b.ReportMetric(cfg.Rate(holder, storebudget.Write, store.ClassLease), "holder-leases/s")
				b.ReportMetric(cfg.Rate(holder, storebudget.Write, store.ClassDocument), "documents/s")
				b.ReportMetric(cfg.Rate(holder, storebudget.Write, store.ClassPresence), "presence/s")
				b.ReportMetric(cfg.Rate(holder, storebudget.Read, store.ClassDocument), "document-reads/s")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}
