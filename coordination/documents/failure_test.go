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

// started returns a cluster in which every daemon is ready and has version 1 of service s.
func started(n int, seed uint64) *cluster {
	c := newCluster(n, seed, ginkgoFail)
	c.run(3 * time.Second)
	Expect(c.edit(c.daemons[0], "s").Status).To(Equal(documents.EditAccepted))
	_, ok := c.runUntil(8*time.Second, func() bool { return c.allHave("s", 1) })
	Expect(ok).To(BeTrue())
	return c
}

var _ = Describe("Documents", func() {
	// Two operators change the same document at the same time through two daemons. One edit is
	// accepted; the answer to the other is a conflict with the current document.
	It("accepts one of two concurrent edits and reports a conflict for the other", Label("failure:concurrent-edits"), func() {
		c := started(9, 1)
		a := c.apply(c.daemons[1], "s", 1, "ea", `{"n":"a"}`)
		b := c.apply(c.daemons[2], "s", 1, "eb", `{"n":"b"}`)
		c.run(time.Second)
		won, lost, text := c.answers[a], c.answers[b], `{"n":"a"}`
		if won.Status != documents.EditAccepted {
			won, lost, text = lost, won, `{"n":"b"}`
		}
		Expect(won.Status).To(Equal(documents.EditAccepted))
		Expect(lost.Status).To(Equal(documents.EditConflict))
		Expect(lost.Version).To(Equal(won.Version))
		Expect(string(lost.Current.Text)).To(Equal(text))
	})

	// The edit commits, but the store's answer is lost, and the store goes down at the same
	// time. The answer to the operator is "unknown"; the same edit ID, sent again through
	// another daemon, is accepted once.
	It("resolves a lost answer by the edit ID", Label("failure:store-answer-lost"), func() {
		c := started(9, 2)
		c.loseCommitAnswers = true
		id := c.apply(c.daemons[1], "s", 1, "e-lost", `{"n":2}`)
		c.run(300 * time.Millisecond)
		c.storeUp = false
		c.run(6 * time.Second)
		Expect(c.answers[id].Status).To(Equal(documents.EditUnknown))
		c.storeUp, c.loseCommitAnswers = true, false
		c.run(3 * time.Second)
		again := c.apply(c.daemons[2], "s", 1, "e-lost", `{"n":2}`)
		c.run(time.Second)
		Expect(c.answers[again].Status).To(Equal(documents.EditAccepted))
		Expect(c.answers[again].Version).To(BeEquivalentTo(2))
		Expect(c.store.version("s")).To(BeEquivalentTo(2))
	})

	// The store is down for a minute. Edits are refused, no daemon is isolated because all
	// reach each other, and the first edit afterwards becomes active everywhere.
	It("keeps serving while the store is down", Label("failure:store-down"), func() {
		c := started(9, 3)
		c.storeUp = false
		c.run(30 * time.Second)
		Expect(c.edit(c.daemons[0], "s").Status).NotTo(Equal(documents.EditAccepted))
		c.run(30 * time.Second)
		for _, d := range c.daemons {
			Expect(d.Isolated()).To(BeFalse())
		}
		c.storeUp = true
		c.run(3 * time.Second)
		Expect(c.edit(c.daemons[4], "s").Status).To(Equal(documents.EditAccepted))
		took, ok := c.runUntil(8*time.Second, func() bool { return c.allHave("s", c.store.version("s")) })
		Expect(ok).To(BeTrue())
		GinkgoWriter.Printf("active everywhere %v after acceptance\n", took)
	})

	// The store takes 800 ms per call. An edit is slow, but becomes active everywhere as soon
	// after its acceptance as usual.
	It("propagates edits while the store is slow", Label("failure:store-slow"), func() {
		c := started(9, 4)
		c.storeLatency = 800 * time.Millisecond
		a := c.edit(c.daemons[0], "s")
		Expect(a.Status).To(Equal(documents.EditAccepted))
		took, ok := c.runUntil(2*time.Second, func() bool { return c.allHave("s", a.Version) })
		Expect(ok).To(BeTrue())
		GinkgoWriter.Printf("active everywhere %v after acceptance\n", took)
	})

	// At the moment when an edit is accepted, the store goes down and every message that
	// announces the edit is lost. Only the differing digests on heartbeats can propagate it.
	It("propagates an accepted edit without store and gossip", Label("failure:store-down"), func() {
		c := started(9, 10)
		c.messageLoss = 1
		Expect(c.edit(c.daemons[6], "s").Status).To(Equal(documents.EditAccepted))
		c.storeUp = false
		c.run(200 * time.Millisecond)
		c.messageLoss = 0
		took, ok := c.runUntil(8*time.Second, func() bool { return c.allHave("s", 2) })
		Expect(ok).To(BeTrue())
		GinkgoWriter.Printf("active everywhere %v after the messages were lost\n", took)
	})

	// One daemon reaches neither its peers nor the store while edits continue. It must report
	// isolation before an edit has been active elsewhere for 8 s, and be current soon after it
	// reaches them again.
	It("isolates a daemon that can't know whether it is current", Label("failure:isolated-daemon"), func() {
		c := started(9, 5)
		d := c.daemons[3]
		d.partitioned, d.storeUnreachable = true, true
		cutAt := c.now
		Expect(c.edit(c.daemons[0], "s").Status).To(Equal(documents.EditAccepted))
		_, ok := c.runUntil(8*time.Second, d.Isolated)
		Expect(ok).To(BeTrue())
		isolatedIn := d.isolatedAt.Sub(cutAt)
		Expect(isolatedIn).To(BeNumerically("<=", 8*time.Second))
		d.partitioned, d.storeUnreachable = false, false
		took, ok := c.runUntil(8*time.Second, func() bool { return !d.Isolated() && c.allHave("s", 2) })
		Expect(ok).To(BeTrue())
		GinkgoWriter.Printf("isolated after %v, current again after %v\n", isolatedIn, took)
	})

	// A daemon is replaced while the store is down. The new one has no documents and no disk;
	// it may serve only after its peers have sent it the newest versions, not those of an old
	// snapshot.
	It("bootstraps a new daemon from its peers", Label("failure:daemon-replaced-during-store-outage"), func() {
		c := started(9, 6)
		Expect(c.edit(c.daemons[1], "s").Status).To(Equal(documents.EditAccepted))
		c.run(2 * time.Second)
		c.storeUp = false
		c.daemons[2].dead = true
		d := c.add("d002", 2, 2)
		took, ok := c.runUntil(8*time.Second, d.Ready)
		Expect(ok).To(BeTrue())
		Expect(d.applied["s"]).To(BeEquivalentTo(2))
		GinkgoWriter.Printf("ready after %v\n", took)
	})

	// As above, but no peer is reachable: the daemon must not serve.
	It("does not serve while it reaches neither store nor peers", Label("failure:daemon-replaced-during-store-outage"), func() {
		c := started(9, 7)
		c.storeUp = false
		c.daemons[2].dead = true
		d := c.add("d002", 2, 2)
		d.partitioned = true
		c.run(20 * time.Second)
		Expect(d.Ready()).To(BeFalse())
	})

	// A region is partitioned from the others for two minutes, once with the store reachable
	// and once without. With the store it receives edits by polling; without it, it stops
	// accepting requests within 8 s. Afterwards all daemons agree within seconds.
	It("stays consistent while regions are partitioned", Label("failure:regions-parted"), func() {
		for _, reach := range []bool{true, false} {
			c := started(12, 8)
			c.regionPartitioned = true
			for _, d := range c.daemons {
				d.storeUnreachable = !reach && d.region == 0
			}
			c.run(20 * time.Second)
			a := c.edit(c.daemons[1], "s")
			Expect(a.Status).To(Equal(documents.EditAccepted))
			if reach {
				took, ok := c.runUntil(8*time.Second, func() bool { return c.allHave("s", a.Version) })
				Expect(ok).To(BeTrue())
				GinkgoWriter.Printf("active in the partitioned region after %v by polling\n", took)
			}
			c.run(100 * time.Second)
			for _, d := range c.daemons {
				Expect(d.Isolated()).To(Equal(!reach && d.region == 0))
			}
			c.regionPartitioned = false
			for _, d := range c.daemons {
				d.storeUnreachable = false
			}
			took, ok := c.runUntil(8*time.Second, func() bool { return c.allHave("s", c.store.version("s")) })
			Expect(ok).To(BeTrue())
			GinkgoWriter.Printf("all agree %v after the partition healed\n", took)
		}
	})

	// "apply --wait" names the daemons that lag, here one that is partitioned.
	It("names the daemons that lag", func() {
		c := started(9, 9)
		c.daemons[5].partitioned = true
		c.daemons[5].storeUnreachable = true
		a := c.edit(c.daemons[0], "s")
		c.run(2 * time.Second)
		var members []state.Member
		for _, d := range c.daemons[1:] {
			members = append(members, d.member)
		}
		r := documents.NewRollout(documents.DefaultRolloutConfig(), "s", a.Version, members)
		for _, request := range r.NextRequests(c.now) {
			to := c.find(request.To)
			if to.partitioned {
				continue
			}
			for _, act := range to.Step(c.now, documents.Received{From: c.daemons[0].member, Msg: request.Msg}) {
				r.HandleResponse(to.member, act.(documents.Send).Msg.(documents.VersionResponse))
			}
		}
		Expect(r.Lagging()).To(ConsistOf(c.daemons[5].member))
	})
})

// BenchmarkSpread measures, in virtual time, edits arriving at the given rate at random
// daemons: the time until each is active everywhere, the bytes that a daemon sends, and the
// load on the store.
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

// measure runs edits that change one number, or that rewrite the complete document.
func measure(b *testing.B, n int, rate float64, rewrite bool) {
	const services, edits = 15, 120
	c := newCluster(n, 1, func(format string, args ...any) { b.Fatalf(format, args...) })
	c.run(3 * time.Second)
	for s := range services {
		c.edit(c.daemons[s%n], fmt.Sprintf("s%d", s))
	}
	c.run(10 * time.Second)
	c.countBytes = true
	for _, d := range c.daemons {
		d.sentBytes = 0
	}
	c.store.reads = 0
	from := c.now
	var times []time.Duration
	type acceptedEdit struct {
		service string
		a       documents.EditAnswered
		at      time.Time
	}
	var propagating []acceptedEdit
	pending := map[uint64]string{}
	next := c.now
	for e := 0; e < edits || len(propagating)+len(pending) > 0; {
		if e < edits && !c.now.Before(next) {
			s := fmt.Sprintf("s%d", e%services)
			d := c.daemons[c.rng.IntN(n)]
			txt := text(1000 + e)
			if rewrite {
				txt = fmt.Sprintf("%d%s%d", e, txt, e)
			}
			pending[c.apply(d, s, d.ActiveVersions()[state.ServiceID(s)], fmt.Sprintf("b%d", e), txt)] = s
			next = next.Add(time.Duration(c.rng.ExpFloat64() / rate * float64(time.Second)))
			e++
		}
		c.run(tick)
		for id, s := range pending {
			if a, ok := c.answers[id]; ok {
				delete(pending, id)
				if a.Status == documents.EditAccepted {
					propagating = append(propagating, acceptedEdit{s, a, c.now})
				}
			}
		}
		for i := 0; i < len(propagating); i++ {
			if c.allHave(propagating[i].service, propagating[i].a.Version) {
				times = append(times, c.now.Sub(propagating[i].at))
				propagating = append(propagating[:i], propagating[i+1:]...)
				i--
			}
		}
	}
	span := c.now.Sub(from).Seconds()
	total, worst, most := time.Duration(0), time.Duration(0), 0
	for _, t := range times {
		total += t
		worst = max(worst, t)
	}
	sent := 0
	for _, d := range c.daemons {
		sent += d.sentBytes
		most = max(most, d.sentBytes)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(len(times)), "mean-ms")
	b.ReportMetric(float64(worst.Milliseconds()), "worst-ms")
	b.ReportMetric(float64(sent)/float64(n)/span, "B/s/daemon")
	b.ReportMetric(float64(most)/span, "B/s/busiest")
	b.ReportMetric(float64(c.store.reads)/span, "store-reads/s")
	b.ReportMetric(float64(len(times)), "accepted")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkStep applies and announces one edit of a 6 KB document.
func BenchmarkStep(b *testing.B) {
	c := newCluster(9, 1, func(format string, args ...any) { b.Fatalf(format, args...) })
	c.run(3 * time.Second)
	c.edit(c.daemons[0], "s")
	c.run(3 * time.Second)
	d, to := c.daemons[1], c.daemons[0].member
	old, _ := d.Doc("s")
	b.ReportAllocs()
	for v := old.Version + 1; b.Loop(); v++ {
		b.StopTimer()
		msg := documents.Announce{Service: "s", Version: v, Patch: documents.MakePatch(v-1, string(old.Text), text(int(v)))}
		old.Text = []byte(text(int(v)))
		b.StartTimer()
		d.Step(c.now, documents.Received{From: to, Msg: msg})
	}
	if d.ActiveVersions()["s"] != old.Version+state.DocumentVersion(b.N) {
		b.Fatal("the announced versions were not applied")
	}
}
