package documents_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/documents"
	"github.com/hibiscuswick/hibiscuswick/state"
)

func ginkgoFail(format string, args ...any) {
	GinkgoHelper()
	Fail(fmt.Sprintf(format, args...))
}

// started returns a fleet in which every daemon is ready and holds version 1 of
// service s.
func started(n int, seed uint64) *fleet {
	f := newFleet(n, seed, ginkgoFail)
	f.run(3 * time.Second)
	Expect(f.edit(f.daemons[0], "s").Status).To(Equal(documents.EditAccepted))
	_, ok := f.until(8*time.Second, func() bool { return f.all("s", 1) })
	Expect(ok).To(BeTrue())
	return f
}

var _ = Describe("Documents", func() {
	// Two operators change the same document at the same moment through two
	// daemons. One is accepted; the other is told so and shown what stands.
	It("lets one of two edits win and tells the other", Label("failure:concurrent-edits"), func() {
		f := started(9, 1)
		a := f.apply(f.daemons[1], "s", 1, "ea", `{"n":"a"}`)
		b := f.apply(f.daemons[2], "s", 1, "eb", `{"n":"b"}`)
		f.run(time.Second)
		won, lost, text := f.answers[a], f.answers[b], `{"n":"a"}`
		if won.Status != documents.EditAccepted {
			won, lost, text = lost, won, `{"n":"b"}`
		}
		Expect(won.Status).To(Equal(documents.EditAccepted))
		Expect(lost.Status).To(Equal(documents.EditConflict))
		Expect(lost.Version).To(Equal(won.Version))
		Expect(string(lost.Current.Text)).To(Equal(text))
	})

	// The edit commits, but the store's answer never comes, and the store is
	// down just then. The operator is told "unknown"; the same edit id, sent
	// again through another daemon, is accepted once.
	It("settles a lost answer by the edit id", Label("failure:store-answer-lost"), func() {
		f := started(9, 2)
		f.loseCommits = true
		id := f.apply(f.daemons[1], "s", 1, "e-lost", `{"n":2}`)
		f.run(300 * time.Millisecond)
		f.up = false
		f.run(6 * time.Second)
		Expect(f.answers[id].Status).To(Equal(documents.EditUnknown))
		f.up, f.loseCommits = true, false
		f.run(3 * time.Second)
		again := f.apply(f.daemons[2], "s", 1, "e-lost", `{"n":2}`)
		f.run(time.Second)
		Expect(f.answers[again].Status).To(Equal(documents.EditAccepted))
		Expect(f.answers[again].Version).To(BeEquivalentTo(2))
		Expect(f.store.version("s")).To(BeEquivalentTo(2))
	})

	// The store is down for a minute. Edits are refused, nothing is isolated
	// since all daemons see each other, and the first edit after it is in
	// force everywhere.
	It("keeps serving while the store is down", Label("failure:store-down"), func() {
		f := started(9, 3)
		f.up = false
		f.run(30 * time.Second)
		Expect(f.edit(f.daemons[0], "s").Status).NotTo(Equal(documents.EditAccepted))
		f.run(30 * time.Second)
		for _, d := range f.daemons {
			Expect(d.Isolated()).To(BeFalse())
		}
		f.up = true
		f.run(3 * time.Second)
		Expect(f.edit(f.daemons[4], "s").Status).To(Equal(documents.EditAccepted))
		took, ok := f.until(8*time.Second, func() bool { return f.all("s", f.store.version("s")) })
		Expect(ok).To(BeTrue())
		GinkgoWriter.Printf("in force %v after acceptance\n", took)
	})

	// The store takes 800 ms a call. An edit is slow, and in force as soon as
	// ever after it was accepted.
	It("spreads edits while the store is slow", Label("failure:store-slow"), func() {
		f := started(9, 4)
		f.latency = 800 * time.Millisecond
		a := f.edit(f.daemons[0], "s")
		Expect(a.Status).To(Equal(documents.EditAccepted))
		took, ok := f.until(2*time.Second, func() bool { return f.all("s", a.Version) })
		Expect(ok).To(BeTrue())
		GinkgoWriter.Printf("in force %v after acceptance\n", took)
	})

	// An edit is accepted, and at that moment the store goes down and every
	// message that tells of it is lost. Differing digests on heartbeats are
	// what is left to carry it.
	It("spreads an accepted edit without store and gossip", Label("failure:store-down"), func() {
		f := started(9, 10)
		f.lossy = 1
		Expect(f.edit(f.daemons[6], "s").Status).To(Equal(documents.EditAccepted))
		f.up = false
		f.run(200 * time.Millisecond)
		f.lossy = 0
		took, ok := f.until(8*time.Second, func() bool { return f.all("s", 2) })
		Expect(ok).To(BeTrue())
		GinkgoWriter.Printf("in force %v after the messages were lost\n", took)
	})

	// One daemon loses its peers and the store while edits go on. It says
	// that it is isolated before an edit has been out for 8 s, and is current
	// again soon after it is back.
	It("isolates a daemon that can't know that it is current", Label("failure:isolated-daemon"), func() {
		f := started(9, 5)
		d := f.daemons[3]
		d.cut, d.noStore = true, true
		cutAt := f.now
		Expect(f.edit(f.daemons[0], "s").Status).To(Equal(documents.EditAccepted))
		_, ok := f.until(8*time.Second, d.Isolated)
		Expect(ok).To(BeTrue())
		isolatedIn := d.isolated.Sub(cutAt)
		Expect(isolatedIn).To(BeNumerically("<=", 8*time.Second))
		d.cut, d.noStore = false, false
		took, ok := f.until(8*time.Second, func() bool { return !d.Isolated() && f.all("s", 2) })
		Expect(ok).To(BeTrue())
		GinkgoWriter.Printf("isolated after %v, current again after %v\n", isolatedIn, took)
	})

	// A daemon is replaced while the store is down. The new one knows nothing
	// and has no disk; it serves only once its peers told it the newest
	// versions, not those of some snapshot.
	It("starts a new daemon from its peers", Label("failure:daemon-replaced-during-store-outage"), func() {
		f := started(9, 6)
		Expect(f.edit(f.daemons[1], "s").Status).To(Equal(documents.EditAccepted))
		f.run(2 * time.Second)
		f.up = false
		f.daemons[2].dead = true
		d := f.add("d002", 2, 2)
		took, ok := f.until(8*time.Second, d.Ready)
		Expect(ok).To(BeTrue())
		Expect(d.adopted["s"]).To(BeEquivalentTo(2))
		GinkgoWriter.Printf("ready after %v\n", took)
	})

	// The same, with every peer out of reach: it must not serve.
	It("does not serve while it can ask nobody", Label("failure:daemon-replaced-during-store-outage"), func() {
		f := started(9, 7)
		f.up = false
		f.daemons[2].dead = true
		d := f.add("d002", 2, 2)
		d.cut = true
		f.run(20 * time.Second)
		Expect(d.Ready()).To(BeFalse())
	})

	// A region loses the others for two minutes, once with the store in reach
	// and once without. With the store it follows edits by polling; without
	// it, it stops taking work within 8 s. Afterwards all agree in seconds.
	It("holds over parted regions", Label("failure:regions-parted"), func() {
		for _, reach := range []bool{true, false} {
			f := started(12, 8)
			f.parted = true
			for _, d := range f.daemons {
				d.noStore = !reach && d.region == 0
			}
			f.run(20 * time.Second)
			a := f.edit(f.daemons[1], "s")
			Expect(a.Status).To(Equal(documents.EditAccepted))
			if reach {
				took, ok := f.until(8*time.Second, func() bool { return f.all("s", a.Version) })
				Expect(ok).To(BeTrue())
				GinkgoWriter.Printf("in force in the parted region after %v by polling\n", took)
			}
			f.run(100 * time.Second)
			for _, d := range f.daemons {
				Expect(d.Isolated()).To(Equal(!reach && d.region == 0))
			}
			f.parted = false
			for _, d := range f.daemons {
				d.noStore = false
			}
			took, ok := f.until(8*time.Second, func() bool { return f.all("s", f.store.version("s")) })
			Expect(ok).To(BeTrue())
			GinkgoWriter.Printf("all agree %v after the parting\n", took)
		}
	})

	// "apply --wait" names the daemons that lag: one that is cut off.
	It("names the daemons that lag", func() {
		f := started(9, 9)
		f.daemons[5].cut = true
		f.daemons[5].noStore = true
		a := f.edit(f.daemons[0], "s")
		f.run(2 * time.Second)
		var members []state.Member
		for _, d := range f.daemons[1:] {
			members = append(members, d.member)
		}
		r := documents.NewRollout(documents.DefaultRolloutConfig(), "s", a.Version, members)
		for _, ask := range r.NextRequests(f.now) {
			to := f.find(ask.To)
			if to.cut {
				continue
			}
			for _, act := range to.Step(f.now, documents.Received{From: f.daemons[0].member, Msg: ask.Msg}) {
				r.HandleResponse(to.member, act.(documents.Send).Msg.(documents.VersionResponse))
			}
		}
		Expect(r.Lagging()).To(ConsistOf(f.daemons[5].member))
	})
})

// BenchmarkSpread measures, in virtual time, edits arriving at the given rate at
// random daemons: the time until each is in force everywhere, what a daemon
// sends, and what the store serves.
func BenchmarkSpread(b *testing.B) {
	for _, n := range []int{9, 50, 150, 420} {
		for _, rate := range []float64{0.6, 6} {
			for _, rewrite := range []bool{false, true} {
				b.Run(fmt.Sprintf("daemons=%d/edits=%v/rewrite=%v", n, rate, rewrite), func(b *testing.B) {
					for b.Loop() {
						measure(b, n, rate, rewrite)
					}
				})
			}
		}
	}
}

// measure has edits change one number, or rewrite the document from end to end.
func measure(b *testing.B, n int, rate float64, rewrite bool) {
	const services, edits = 15, 120
	f := newFleet(n, 1, func(format string, args ...any) { b.Fatalf(format, args...) })
	f.run(3 * time.Second)
	for s := range services {
		f.edit(f.daemons[s%n], fmt.Sprintf("s%d", s))
	}
	f.run(10 * time.Second)
	f.count = true
	for _, d := range f.daemons {
		d.sent = 0
	}
	f.store.reads = 0
	from := f.now
	var times []time.Duration
	type out struct {
		service string
		a       documents.EditAnswered
		at      time.Time
	}
	var open []out
	pending := map[uint64]string{}
	next := f.now
	for e := 0; e < edits || len(open)+len(pending) > 0; {
		if e < edits && !f.now.Before(next) {
			s := fmt.Sprintf("s%d", e%services)
			d := f.daemons[f.rng.IntN(n)]
			txt := text(1000 + e)
			if rewrite {
				txt = fmt.Sprintf("%d%s%d", e, txt, e)
			}
			pending[f.apply(d, s, d.ActiveVersions()[state.ServiceID(s)], fmt.Sprintf("b%d", e), txt)] = s
			next = next.Add(time.Duration(f.rng.ExpFloat64() / rate * float64(time.Second)))
			e++
		}
		f.run(tick)
		for id, s := range pending {
			if a, ok := f.answers[id]; ok {
				delete(pending, id)
				if a.Status == documents.EditAccepted {
					open = append(open, out{s, a, f.now})
				}
			}
		}
		for i := 0; i < len(open); i++ {
			if f.all(open[i].service, open[i].a.Version) {
				times = append(times, f.now.Sub(open[i].at))
				open = append(open[:i], open[i+1:]...)
				i--
			}
		}
	}
	span := f.now.Sub(from).Seconds()
	total, worst, most := time.Duration(0), time.Duration(0), 0
	for _, t := range times {
		total += t
		worst = max(worst, t)
	}
	sent := 0
	for _, d := range f.daemons {
		sent += d.sent
		most = max(most, d.sent)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(len(times)), "mean-ms")
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
	b.ReportMetric(float64(sent)/float64(n)/span, "B/s/daemon")
	b.ReportMetric(float64(most)/span, "B/s/busiest")
	b.ReportMetric(float64(f.store.reads)/span, "store-reads/s")
	b.ReportMetric(float64(len(times)), "accepted")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStep is one announced edit of a 6 KB document, adopted and told on.
func BenchmarkStep(b *testing.B) {
	f := newFleet(9, 1, func(format string, args ...any) { b.Fatalf(format, args...) })
	f.run(3 * time.Second)
	f.edit(f.daemons[0], "s")
	f.run(3 * time.Second)
	d, to := f.daemons[1], f.daemons[0].member
	old, _ := d.Doc("s")
	b.ReportAllocs()
	for v := old.Version + 1; b.Loop(); v++ {
		b.StopTimer()
		msg := documents.Announce{Service: "s", Version: v, Patch: documents.MakePatch(v-1, string(old.Text), text(int(v)))}
		old.Text = []byte(text(int(v)))
		b.StartTimer()
		d.Step(f.now, documents.Received{From: to, Msg: msg})
	}
	if d.ActiveVersions()["s"] != old.Version+state.DocumentVersion(b.N) {
		b.Fatal("not adopted")
	}
}
