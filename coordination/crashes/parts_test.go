package crashes_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
)

var _ = Describe("Parts of prompts that end servers", func() {
	const (
		first  crashes.Fingerprint = 0xf1 // shared by all requests
		deadly crashes.Fingerprint = 0xdd
		other  crashes.Fingerprint = 0x0e
	)
	now := time.Unix(1000, 0)
	var t *crashes.Parts
	var ends int

	BeforeEach(func() { t, ends = crashes.NewParts(now.Add(-time.Hour)), 0 })

	run := func(content crashes.Fingerprint, parts ...crashes.Fingerprint) crashes.PartRun {
		return crashes.PartRun{Content: content, Parts: parts}
	}
	tried := func(r crashes.PartRun, part crashes.Fingerprint) crashes.PartRun {
		r.Tried = []crashes.Fingerprint{part}
		return r
	}
	end := func(at time.Time, runs ...crashes.PartRun) {
		ends++
		t.Ended(at, server(fmt.Sprintf("e%d", ends)), true, runs...)
	}
	suspect := func(part crashes.Fingerprint) bool { return t.Judge(now, part).Exclusive }
	blocked := func(part crashes.Fingerprint) bool { return t.Judge(now, part).Blocked }

	// Guards against requests of which no two are alike: each is the first of its content.
	It("run one at a time after three ends, and are refused after two that ran alone", Label("failure:prompt-part-crashes-servers"), func() {
		t.Answered(now.Add(-1), first)
		end(now, run(1, first, deadly), run(2, first, other))
		end(now, run(1, first, deadly))
		Expect(suspect(deadly)).To(BeFalse())
		end(now, run(3, first, deadly))
		Expect(suspect(deadly)).To(BeTrue())
		end(now, tried(run(4, first, deadly), deadly))
		end(now, tried(run(4, first, deadly), deadly))
		Expect(blocked(deadly)).To(BeFalse())
		end(now, tried(run(5, first, deadly), deadly))
		Expect(blocked(deadly)).To(BeTrue())
		for _, sound := range []crashes.Fingerprint{first, other} {
			Expect(t.Judge(now, sound)).To(Equal(crashes.Verdict{}))
		}
	})

	// Guards against a part that is refused for one content with it, which is refused by itself.
	It("are not suspected for the ends of one content", Label("failure:innocent-content-refused"), func() {
		for range 6 {
			end(now, run(1, first, other))
		}
		Expect(suspect(first)).To(BeFalse())
		Expect(suspect(other)).To(BeFalse())
	})

	// Guards against a sound part that is refused because a whole failure domain lost power while
	// nobody answered: requests that were sent before are no strikes.
	It("are not refused for servers that end together", Label("failure:innocent-content-refused"), func() {
		for i := range crashes.Fingerprint(20) {
			end(now, run(10+i, first), run(50+i, first, other))
		}
		Expect(blocked(first)).To(BeFalse())
		Expect(blocked(other)).To(BeFalse())
		t.Answered(now.Add(1), first)
		Expect(suspect(first)).To(BeFalse())
	})

	It("are told apart from those that ran along: two at once, and a deadly first part", Label("failure:prompt-part-crashes-servers"), func() {
		t.Answered(now.Add(-1), first)
		for i := range crashes.Fingerprint(4) {
			end(now, run(10+i, first, deadly))
			end(now, run(20+i, first, other))
		}
		Expect(suspect(deadly)).To(BeTrue())
		Expect(suspect(other)).To(BeTrue())
		Expect(suspect(first)).To(BeFalse())
		t.Answered(now.Add(1), deadly)
		t.Answered(now.Add(1), other)
		Expect(suspect(first)).To(BeTrue())
	})

	It("are cleared by an answer here or elsewhere, also by one that is known before the ends", Label("failure:innocent-content-refused"), func() {
		t.Answered(now.Add(time.Second), first)
		t.Cleared(now.Add(time.Second), other)
		for i := range crashes.Fingerprint(4) {
			end(now, run(10+i, first, other))
		}
		Expect(suspect(first)).To(BeFalse())
		Expect(suspect(other)).To(BeFalse())
		Expect(t.TakeUntold(now)).To(Equal([]crashes.Fingerprint{first}))
		Expect(t.TakeUntold(now)).To(BeEmpty())
		end(now.Add(2*time.Second), run(20, first, other))
		Expect(suspect(first)).To(BeFalse())
	})

	It("may be tried again once after a minute, then after two", func() {
		for i := range crashes.Fingerprint(5) {
			end(now, tried(run(10+i, deadly), deadly))
		}
		at := func(after time.Duration) crashes.Verdict { return t.Judge(now.Add(after), deadly) }
		last := time.Minute << 3 // five strikes
		Expect(at(last - 1).Blocked).To(BeTrue())
		Expect(at(last - 1).TrialAt).To(Equal(now.Add(last)))
		Expect(at(last)).To(Equal(crashes.Verdict{Exclusive: true}))
		Expect(at(crashes.ImplicationTTL)).To(Equal(crashes.Verdict{}))
	})

	It("are known to daemons that join and to processes that start", Label("failure:prompt-part-crashes-servers"), func() {
		for i := range crashes.Fingerprint(5) {
			end(now, tried(run(10+i, first, deadly), deadly))
		}
		Expect(t.NeedsRecord()).To(BeTrue())
		record := t.NewRecord(now.Add(time.Second), time.Hour)
		Expect(t.NeedsRecord()).To(BeFalse())
		joined, started := crashes.NewParts(now.Add(-time.Hour)), crashes.NewParts(now.Add(-time.Hour))
		for _, n := range t.SuspectNotices(now.Add(time.Second)) {
			joined.Ended(now.Add(time.Second-n.Age()), n.Server, false, n.Runs...)
		}
		started.Restore(now.Add(time.Second), time.Hour, record, true)
		for _, other := range []*crashes.Parts{joined, started} {
			Expect(other.Judge(now.Add(time.Second), deadly)).To(Equal(t.Judge(now.Add(time.Second), deadly)))
		}
	})

	// Guards against ends that are not recorded because the part was suspected only after them.
	It("are recorded once they are suspected for ends that other daemons saw", Label("failure:prompt-part-crashes-servers"), func() {
		end(now, run(1, deadly))
		Expect(t.NeedsRecord()).To(BeFalse())
		for i := range crashes.Fingerprint(3) {
			t.Ended(now, server(fmt.Sprint("there ", i)), false, run(10+i, deadly))
		}
		Expect(t.NeedsRecord()).To(BeTrue())
		Expect(t.NewRecord(now, time.Hour)).To(HaveLen(1))
		Expect(t.NeedsRecord()).To(BeFalse())
		t.Answered(now.Add(1), deadly)
		t.SetUnrecorded()
		Expect(t.NeedsRecord()).To(BeFalse())
	})

	It("take bounded memory, though each request has parts of its own", func() {
		for i := range crashes.Fingerprint(20000) {
			t.Ended(now.Add(time.Duration(i)), server(fmt.Sprint(i%500)), true, run(i, i, i+1, i+2))
			t.Answered(now, i)
		}
		Expect(len(t.SuspectNotices(now))).To(BeNumerically("<=", 128))
		Expect(len(t.NewRecord(now, time.Hour))).To(BeNumerically("<=", 16))
	})

	It("are told in notices that fit a gossip message", func() {
		var runs []crashes.PartRun
		for i := range crashes.Fingerprint(100) {
			runs = append(runs, tried(run(i, 1000+i, 2000+i), 1000+i))
		}
		var told []crashes.PartRun
		for _, n := range crashes.PartsNotices(server("e1"), runs) {
			fingerprints := 0
			for _, r := range n.Runs {
				fingerprints += 1 + len(r.Parts) + len(r.Tried)
			}
			Expect(fingerprints).To(BeNumerically("<=", 64))
			told = append(told, n.Runs...)
		}
		Expect(told).To(Equal(runs))
	})
})
