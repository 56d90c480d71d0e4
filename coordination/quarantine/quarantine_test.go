package quarantine_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscuswick/hibiscuswick/coordination/quarantine"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// sendRepeatedly sends content at random daemons, again as soon as the caller learns
// that it failed, and two seconds later if it was refused.
func (w *simulation) sendRepeatedly(content string, crashes bool, count map[string]int) {
	w.request(w.rng.IntN(len(w.entryDaemons)), content, crashes, func(outcome string) {
		count[outcome]++
		switch outcome {
		case "completed":
		case "refused":
			w.schedule(w.now.Add(2*time.Second), func() { w.sendRepeatedly(content, crashes, count) })
		default:
			w.sendRepeatedly(content, crashes, count)
		}
	})
}

// background keeps n harmless requests in flight, each with its own content.
func (w *simulation) background(n int) *int {
	completed := new(int)
	serial := 0
	var next func()
	next = func() {
		serial++
		content := fmt.Sprint("innocent ", serial)
		var again func(string)
		again = func(outcome string) {
			switch outcome {
			case "completed":
				*completed++
				next()
				return
			case "refused":
				w.falseRefusals++
				next()
				return
			}
			w.request(w.rng.IntN(len(w.entryDaemons)), content, false, again)
		}
		w.request(w.rng.IntN(len(w.entryDaemons)), content, false, again)
	}
	for range n {
		w.schedule(w.now, next)
	}
	return completed
}

func TestNoContentCrashesTwiceAlone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(rapid.Uint64().Draw(t, "seed"), 5, 8, 2, quarantine.Config{})
		w.loss = rapid.SampledFrom([]float64{0, 0, 0.3}).Draw(t, "loss")
		callers := rapid.IntRange(1, 3).Draw(t, "callers")
		w.background(8)
		count := make(map[string]int)
		for range callers {
			w.schedule(epoch.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "at ms"))*time.Millisecond), func() { w.sendRepeatedly("bad", true, count) })
		}
		kills := rapid.IntRange(0, 2).Draw(t, "kills")
		for range kills {
			i := rapid.IntRange(0, 4).Draw(t, "daemon")
			w.schedule(epoch.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "kill ms"))*time.Millisecond), func() { w.kill(i) })
		}
		pauses := rapid.IntRange(0, 2).Draw(t, "pauses")
		for range pauses {
			i := rapid.IntRange(0, 4).Draw(t, "daemon")
			d := time.Duration(rapid.IntRange(10, 4000).Draw(t, "pause for ms")) * time.Millisecond
			w.schedule(epoch.Add(time.Duration(rapid.IntRange(0, 9000).Draw(t, "pause ms"))*time.Millisecond), func() { w.entryDaemons[i].pausedUntil = w.now.Add(d) })
		}
		if rapid.Bool().Draw(t, "outage") {
			from := time.Duration(rapid.IntRange(0, 5000).Draw(t, "down ms")) * time.Millisecond
			w.schedule(epoch.Add(from), func() { w.storeDown = true })
			w.schedule(epoch.Add(from+4*time.Second), func() { w.storeDown = false })
		}
		w.run(40 * time.Second)
		if w.exclusiveCrashes["bad"] > 1 {
			t.Fatalf("%d exclusive crashes", w.exclusiveCrashes["bad"])
		}
		if w.sharedExclusiveRuns > 0 {
			t.Fatalf("%d exclusive runs shared their replica", w.sharedExclusiveRuns)
		}
		// Each caller can have one run start before its daemon knows of the crash, and
		// one more each time that its daemon dies: the caller is disconnected while the
		// run goes on, and repeats it. A daemon that is paused may keep one more daemon
		// uninformed.
		if bound := callers + 1 + count["disconnected"] + pauses; w.loss == 0 && w.crashes["bad"] > bound {
			t.Fatalf("%d crashes, at most %d expected", w.crashes["bad"], bound)
		}
	})
}

var _ = Describe("A request crashes each replica that runs it", Label("failure:request-crashes-servers"), func() {
	// A caller's request crashes the replica that runs it, and other callers lose their
	// answers there. The caller repeats it for a minute with other idempotency keys and
	// through other daemons.
	It("is refused everywhere after its second crash while other requests continue", func() {
		worst, stillSuspected := 0, 0
		for seed := range uint64(8) {
			w := newSimulation(seed, 9, 12, 3, quarantine.Config{})
			completed := w.background(20)
			count := make(map[string]int)
			w.sendRepeatedly("bad", true, count)
			w.run(time.Minute)
			worst = max(worst, w.crashes["bad"])
			Expect(w.crashes["bad"]).To(BeNumerically("<=", 2))
			Expect(count["refused"]).To(BeNumerically(">", 5))
			Expect(*completed).To(BeNumerically(">", 2000))
			for i := range *completed {
				harmless := fp(fmt.Sprint("innocent ", i))
				for _, n := range w.entryDaemons {
					if n.machine.Suspected(harmless) {
						stillSuspected++
					}
				}
			}
		}
		AddReportEntry(fmt.Sprintf("8 runs of a minute: at most %d crashes each; harmless contents still suspected at the end: %d",
			worst, stillSuspected), ReportEntryVisibilityAlways)
		Expect(stillSuspected).To(BeZero())
	})

	// Five callers send the content at the same moment through five daemons. The runs
	// that start before any daemon knows crash; after that only one exclusive run does.
	It("crashes at most once more than the number of first runs when many callers send it at once", func() {
		for seed := range uint64(20) {
			w := newSimulation(seed, 9, 12, 3, quarantine.Config{})
			w.background(10)
			count := make(map[string]int)
			for range 5 {
				w.sendRepeatedly("bad", true, count)
			}
			w.run(30 * time.Second)
			Expect(w.exclusiveCrashes["bad"]).To(BeNumerically("<=", 1))
			Expect(w.crashes["bad"]).To(BeNumerically("<=", 6))
		}
	})

	// The daemon that runs the suspected content exclusively dies, so the result of the
	// run is unknown.
	It("is not run again after the daemon that held the lock died", Label("failure:daemon-dies-mid-stream"), func() {
		for seed := range uint64(20) {
			w := newSimulation(seed, 5, 12, 3, quarantine.Config{})
			count := make(map[string]int)
			w.sendRepeatedly("bad", true, count)
			for w.crashes["bad"] < 1 || !w.anyExclusive() {
				w.run(10 * time.Millisecond)
			}
			for i, n := range w.entryDaemons {
				for _, r := range w.replicas {
					for _, j := range r.runs {
						if r.exclusive && j.daemon == n {
							w.kill(i)
						}
					}
				}
			}
			w.run(40 * time.Second)
			Expect(w.exclusiveCrashes["bad"]).To(BeNumerically("<=", 1))
			Expect(w.crashes["bad"]).To(BeNumerically("<=", 2))
			Expect(count["refused"]).To(BeNumerically(">", 0))
		}
	})

	// The table service is down when the suspected content arrives again. Daemons
	// cannot agree on an exclusive run, so it waits while all other work goes on.
	It("waits while the store is down", Label("failure:store-down"), func() {
		w := newSimulation(3, 9, 12, 3, quarantine.Config{})
		completed := w.background(10)
		count := make(map[string]int)
		w.storeDown = true
		w.sendRepeatedly("bad", true, count)
		w.run(20 * time.Second)
		Expect(w.crashes["bad"]).To(Equal(1))
		Expect(*completed).To(BeNumerically(">", 200))
		w.storeDown = false
		w.run(20 * time.Second)
		Expect(w.crashes["bad"]).To(Equal(2))
		Expect(count["refused"]).To(BeNumerically(">", 0))
	})
})

var _ = Describe("Backend servers die independently of requests", Label("failure:request-crashes-servers"), func() {
	// One of twelve replicas dies every five seconds, thousands of times as often as
	// planned for, without any content that causes it. Contents that ran there are
	// repeated and must not be refused, unless their replica dies once more during the
	// exclusive run.
	It("hardly ever quarantines a harmless content", func() {
		deaths, completed, refused := 0, 0, 0
		for seed := range uint64(5) {
			w := newSimulation(seed, 9, 12, 3, quarantine.Config{})
			done := w.background(20)
			for range 24 {
				w.run(5 * time.Second)
				w.crash(w.replicas[w.rng.IntN(len(w.replicas))])
				deaths++
			}
			completed += *done
			refused += w.falseRefusals
		}
		AddReportEntry(fmt.Sprintf("%d deaths, %d requests completed, %d refused", deaths, completed, refused),
			ReportEntryVisibilityAlways)
		Expect(refused).To(BeNumerically("<=", 2))
	})
})

var _ = Describe("The report of a death", func() {
	DescribeTable("reaches every daemon within seconds", func(daemons int) {
		w := newSimulation(4, daemons, 4, 1, quarantine.Config{})
		w.run(2 * time.Second)
		w.request(0, "bad", true, func(string) {})
		for w.crashes["bad"] == 0 {
			w.run(time.Millisecond)
		}
		w.messages = 0
		from := w.now
		missing := func() int {
			n := 0
			for _, other := range w.entryDaemons {
				if !other.machine.Suspected(fp("bad")) {
					n++
				}
			}
			return n
		}
		for missing() > daemons/100 {
			w.run(time.Millisecond)
		}
		most := w.now.Sub(from)
		sent := w.messages
		for missing() > 0 && w.now.Sub(from) < time.Minute {
			w.run(time.Millisecond)
		}
		AddReportEntry(fmt.Sprintf("%d daemons: 99 in 100 after %v and %d messages, all after %v", daemons, most, sent, w.now.Sub(from)),
			ReportEntryVisibilityAlways)
		Expect(missing()).To(BeZero())
	}, Entry("9", 9), Entry("50", 50), Entry("150", 150), Entry("420", 420))
})

var _ = Describe("A rack fails", Label("failure:request-crashes-servers"), func() {
	// Twenty replicas of a failure domain die within a second. Each ran ten contents,
	// one of which ran everywhere. No content caused the deaths.
	DescribeTable("implicates few of what ran there", func(burst, most int) {
		w := newSimulation(8, 9, 40, 2, quarantine.Config{BurstReplicas: burst})
		var contents []string
		for i, r := range w.replicas {
			for k := range 10 {
				c := fmt.Sprintf("c%d-%d", i, k)
				if k == 0 {
					c = "popular"
				}
				contents = append(contents, c)
				n := w.entryDaemons[w.rng.IntN(9)]
				w.seq++
				j := &job{content: c, daemon: n, run: quarantine.RunID(w.seq), target: r}
				r.runs[j.run] = j
				w.step(n, quarantine.RunStarted{Run: j.run, Fingerprint: fp(c), Replica: r.id})
			}
		}
		for _, r := range w.replicas {
			if r.domain == "d0" {
				w.schedule(w.now.Add(w.randomDelay(0, 1000)), func() { w.crash(r) })
			}
		}
		w.run(3 * time.Second)
		suspected := 0
		for _, c := range contents {
			if w.entryDaemons[0].machine.Suspected(fp(c)) {
				suspected++
			}
		}
		AddReportEntry(fmt.Sprintf("burst of %d: %d of %d requests suspected after 20 of 40 replicas died", burst, suspected, len(contents)),
			ReportEntryVisibilityAlways)
		Expect(suspected).To(BeNumerically("<=", most))
	},
		Entry("with burst detection", 4, 40),
		Entry("without burst detection", 1000, 220),
	)
})

func (w *simulation) anyExclusive() bool {
	for _, r := range w.replicas {
		if r.exclusive {
			return true
		}
	}
	return false
}

func BenchmarkAskUnsuspected(b *testing.B) {
	m := quarantine.New(quarantine.Config{Self: state.Member{ID: "a", Incarnation: 1}}, epoch, rand.New(rand.NewPCG(1, 2)))
	m.Step(epoch.Add(2*time.Second), quarantine.Tick{})
	b.ReportAllocs()
	for i := range b.N {
		m.Step(epoch, quarantine.RunRequested{Call: uint64(i), Fingerprint: quarantine.Fingerprint{1}})
	}
}

func BenchmarkBeganEnded(b *testing.B) {
	m := quarantine.New(quarantine.Config{Self: state.Member{ID: "a", Incarnation: 1}}, epoch, rand.New(rand.NewPCG(1, 2)))
	b.ReportAllocs()
	for i := range b.N {
		id := quarantine.RunID(i + 1)
		m.Step(epoch, quarantine.RunStarted{Run: id, Fingerprint: quarantine.Fingerprint{1}, Replica: "r"})
		m.Step(epoch, quarantine.RunEnded{Run: id, Result: quarantine.RunCompleted})
	}
}

func BenchmarkFingerprint(b *testing.B) {
	content := string(make([]byte, 4096))
	b.SetBytes(4096)
	b.ReportAllocs()
	for range b.N {
		quarantine.FingerprintOf("s", "m", "v", content)
	}
}
