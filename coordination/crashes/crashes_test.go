package crashes_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// settled is longer than notices of the other daemons may take.
const settled = time.Second

func server(id string) state.BackendIncarnation {
	return state.BackendIncarnation{ID: state.BackendID(id)}
}

func fresh(fp crashes.Fingerprint) crashes.Run { return crashes.Run{Content: fp, Phase: crashes.Fresh} }

func starting(fp crashes.Fingerprint) crashes.Run {
	return crashes.Run{Content: fp, Phase: crashes.Starting}
}

func lasting(fp crashes.Fingerprint) crashes.Run {
	return crashes.Run{Content: fp, Phase: crashes.Lasting}
}

func waiting(fp crashes.Fingerprint) crashes.Run {
	return crashes.Run{Content: fp, Phase: crashes.Waiting}
}

var _ = Describe("Contents that crash servers", func() {
	now := time.Unix(1000, 0)
	var t *crashes.Tracker

	BeforeEach(func() { t = crashes.NewTracker() })

	isBlocked := func(fp crashes.Fingerprint) bool { return t.Judge(now.Add(settled), fp).Blocked }

	// Guards against a crash loop: a request crashes the only server of its service, which restarts
	// under the same name, and the caller repeats the request. The crashes were counted by the
	// server's name, so that they counted as one.
	It("are refused after they crashed two incarnations of one server", Label("failure:request-crashes-servers"), func() {
		t.Implicate(now, state.BackendIncarnation{ID: "e1", Born: 100}, fresh(7))
		t.Implicate(now, state.BackendIncarnation{ID: "e1", Born: 100}, fresh(7))
		Expect(isBlocked(7)).To(BeFalse())
		t.Implicate(now, state.BackendIncarnation{ID: "e1", Born: 90}, fresh(7))
		Expect(isBlocked(7)).To(BeTrue())
	})

	// Guards against a request that crashes each engine that starts it while its caller repeats it
	// at other daemons: it may crash two engines, but no third.
	It("are refused by every daemon after they crashed a second server", Label("failure:request-crashes-servers"), func() {
		here, there := crashes.NewTracker(), crashes.NewTracker()
		tell := func(to *crashes.Tracker, server state.BackendIncarnation, runs []crashes.Run) {
			Expect(runs).To(HaveLen(1))
			for _, notice := range crashes.EndNotices(server, runs) {
				to.Implicate(now, notice.Server, notice.Runs()...)
			}
		}
		tell(there, server("e1"), here.Implicate(now, server("e1"), fresh(7)))
		Expect(here.Judge(now.Add(settled), 7).Blocked).To(BeFalse())
		tell(here, server("e2"), there.Implicate(now, server("e2"), fresh(7)))
		Expect(here.Judge(now.Add(settled), 7).Blocked).To(BeTrue())
		Expect(there.Judge(now.Add(settled), 7).Blocked).To(BeTrue())
	})

	It("are not refused after one crash that several daemons saw", func() {
		t.Implicate(now, server("e1"), fresh(7))
		Expect(t.Implicate(now, server("e1"), fresh(7))).To(BeEmpty())
		Expect(isBlocked(7)).To(BeFalse())
	})

	It("wait after a second crash until other daemons have reported it", func() {
		t.Implicate(now, server("e1"), fresh(7))
		t.Implicate(now, server("e2"), fresh(7))
		verdict := t.Judge(now, 7)
		Expect(verdict.Blocked).To(BeFalse())
		Expect(verdict.SettlesAt).To(BeTemporally(">", now))
		Expect(t.Judge(verdict.SettlesAt, 7)).To(Equal(crashes.Verdict{Blocked: true}))
	})

	// Guards against innocent contents that are refused because they moved with a crashing one from
	// its first server to its second.
	It("are told apart by a third crash if they ran on the same two servers", Label("failure:innocent-content-refused"), func() {
		t.Implicate(now, server("e1"), fresh(7), fresh(8))
		t.Implicate(now, server("e2"), fresh(7), fresh(8))
		Expect(isBlocked(7)).To(BeFalse())
		Expect(isBlocked(8)).To(BeFalse())
		t.Implicate(now, server("e3"), fresh(7))
		Expect(t.Judge(now, 7).Blocked).To(BeTrue())
		Expect(isBlocked(8)).To(BeFalse())
	})

	// Guards against a third crash that tells nothing new: of the contents that moved along, only one
	// was starting on both servers.
	It("are told apart by two crashes if only one of them was starting on both", Label("failure:request-crashes-servers"), func() {
		t.Implicate(now, server("e1"), starting(7), fresh(8), starting(9))
		t.Implicate(now.Add(settled), server("e2"), starting(7), starting(8), fresh(9))
		now = now.Add(settled)
		Expect(isBlocked(7)).To(BeTrue())
		Expect(isBlocked(8)).To(BeFalse())
		Expect(isBlocked(9)).To(BeFalse())
	})

	// Guards against innocent contents that are refused since servers end of themselves one after the
	// other while answers of some seconds move between them.
	It("are refused after a fifth crash if their runs had lasted", Label("failure:innocent-content-refused"), func() {
		for i := range 5 {
			Expect(isBlocked(7)).To(BeFalse())
			t.Implicate(now.Add(time.Duration(i)*time.Second), server(fmt.Sprintf("e%d", i)), lasting(7))
		}
		Expect(isBlocked(7)).To(BeTrue())
	})

	// Guards against innocent contents that are refused since a server ended soon after an answer had
	// moved there from another one that ended.
	It("are not refused if one of their runs has lasted", Label("failure:innocent-content-refused"), func() {
		t.Implicate(now, server("e1"), fresh(7))
		t.Implicate(now, server("e2"), lasting(7))
		t.Implicate(now, server("e3"), fresh(7))
		Expect(isBlocked(7)).To(BeFalse())
	})

	// Guards against a crash loop that is overlooked because a repeat of the content waited at a
	// server that another repeat of it ended.
	It("are refused although some of their runs had waited", Label("failure:request-crashes-servers"), func() {
		t.Implicate(now, server("e1"), fresh(7))
		t.Implicate(now, server("e2"), waiting(7))
		Expect(isBlocked(7)).To(BeFalse())
		t.Implicate(now, server("e3"), fresh(7))
		Expect(isBlocked(7)).To(BeTrue())
	})

	It("had waited, had just begun or had lasted", func() {
		Expect(crashes.PhaseOf(crashes.NotBegun, crashes.FreshRun)).To(Equal(crashes.Fresh))
		Expect(crashes.PhaseOf(crashes.Begun, crashes.FreshRun)).To(Equal(crashes.Starting))
		Expect(crashes.PhaseOf(crashes.Answering, crashes.FreshRun)).To(Equal(crashes.Fresh))
		Expect(crashes.PhaseOf(crashes.NotBegun, 2*crashes.FreshRun)).To(Equal(crashes.Waiting))
		Expect(crashes.PhaseOf(crashes.Begun, 2*crashes.FreshRun)).To(Equal(crashes.Lasting))
		Expect(crashes.PhaseOf(crashes.Answering, 2*crashes.FreshRun)).To(Equal(crashes.Lasting))
	})

	// Guards against innocent contents that are refused while a failure domain fails.
	It("are not refused for servers that end among many others", Label("failure:innocent-content-refused"), func() {
		for i := range 12 {
			t.Implicate(now, server(fmt.Sprintf("e%d", i)), lasting(crashes.Fingerprint(100+i)))
		}
		t.Implicate(now, server("e0"), fresh(7))
		t.Implicate(now, server("e1"), fresh(7))
		t.Implicate(now, server("e2"), fresh(7))
		Expect(isBlocked(7)).To(BeFalse())
	})

	// Guards against contents that hide each other: several of them end servers at the same time, and
	// the ends of the others look like a burst.
	It("are refused after three crashes each if several of them end servers at once", Label("failure:request-crashes-servers"), func() {
		const contents = 6
		at := now
		for round := range 3 {
			for fp := range crashes.Fingerprint(contents) {
				at = at.Add(50 * time.Millisecond)
				t.Implicate(at, server(fmt.Sprintf("e%d-%d", round, fp)), fresh(fp))
			}
		}
		for fp := range crashes.Fingerprint(contents) {
			Expect(t.Judge(at.Add(settled), fp).Blocked).To(BeTrue())
		}
	})

	// Guards against a crash loop that is overlooked because servers end for other reasons too.
	It("are refused after five crashes whatever else ends", Label("failure:request-crashes-servers"), func() {
		for i := range 12 {
			t.Implicate(now, server(fmt.Sprintf("e%d", i)), lasting(crashes.Fingerprint(100+i)))
		}
		for i := range 5 {
			Expect(isBlocked(7)).To(BeFalse())
			t.Implicate(now, server(fmt.Sprintf("e%d", i)), lasting(7))
		}
		Expect(isBlocked(7)).To(BeTrue())
	})

	It("are cleared by a complete answer, and expire", func() {
		t.Implicate(now, server("e1"), fresh(7))
		Expect(t.Clear(now, 7)).To(Equal(1))
		t.Implicate(now.Add(time.Millisecond), server("e2"), fresh(7))
		Expect(isBlocked(7)).To(BeFalse())
		t.Implicate(now.Add(time.Millisecond), server("e3"), fresh(7))
		Expect(isBlocked(7)).To(BeTrue())
		Expect(t.Judge(now.Add(time.Millisecond+crashes.ImplicationTTL), 7).Blocked).To(BeFalse())
	})

	// Guards against innocent contents that are refused since a notice overtakes the one before.
	It("stay cleared when an older implication arrives later", Label("failure:innocent-content-refused"), func() {
		t.Implicate(now, server("e1"), fresh(7))
		t.Clear(now.Add(time.Second), 7)
		Expect(t.Implicate(now, server("e2"), fresh(7))).To(BeEmpty())
		Expect(t.EndCount(7)).To(BeZero())
	})

	// Guards against a crash loop that starts anew at each daemon that starts.
	It("are told to a daemon that knows nothing of them", Label("failure:request-crashes-servers"), func() {
		t.Implicate(now, server("e1"), fresh(7), lasting(8))
		t.Implicate(now, server("e2"), fresh(7))
		late := now.Add(time.Minute)
		newcomer := crashes.NewTracker()
		for _, notice := range t.BlockedNotices(late) {
			newcomer.Implicate(late.Add(-notice.Age()), notice.Server, notice.Runs()...)
		}
		Expect(newcomer.Judge(late, 7).Blocked).To(BeTrue())
		Expect(newcomer.EndCount(8)).To(BeZero())
	})

	// Guards against a successor that counts anew: what a daemon has seen is kept in its row.
	It("are counted on by the processes after this one", Label("failure:request-crashes-servers"), func() {
		t.Implicate(now, server("e1"), fresh(7), fresh(8), lasting(9))
		for fp := range crashes.Fingerprint(10) {
			t.Keep(fp)
		}
		t.Implicate(now, server("e2"), fresh(8))
		Expect(t.Clear(now.Add(1), 8)).To(Equal(2))
		Expect(t.NeedsRecord()).To(BeTrue())
		record := t.NewRecord(now.Add(time.Minute), time.Hour)
		Expect(t.NeedsRecord()).To(BeFalse())
		Expect(record.Ends).To(HaveLen(1))

		after := crashes.NewTracker()
		after.Restore(now.Add(2*time.Minute), time.Hour+time.Minute, record, true)
		after.Restore(now.Add(2*time.Minute), time.Hour+time.Minute, record, true)
		Expect(after.EndCount(7)).To(Equal(1))
		Expect(after.EndCount(8)).To(BeZero())
		Expect(after.NewRecord(now.Add(2*time.Minute), time.Hour+time.Minute)).To(Equal(record))
		after.Implicate(now.Add(2*time.Minute), server("e2"), fresh(7))
		Expect(after.Judge(now.Add(3*time.Minute), 7).Blocked).To(BeTrue())
		Expect(after.Judge(now.Add(2*time.Minute+crashes.ImplicationTTL), 7).Blocked).To(BeFalse())
	})

	It("are remembered up to a bound, those with more crashes for longer", func() {
		t.Implicate(now, server("e1"), fresh(0))
		t.Implicate(now, server("e2"), fresh(0))
		for i := range 10000 {
			t.Implicate(now.Add(time.Duration(i)*time.Millisecond), server("e1"), lasting(crashes.Fingerprint(i+1)))
		}
		Expect(t.EndCount(1)).To(BeZero())
		Expect(t.EndCount(10000)).To(Equal(1))
		Expect(t.EndCount(0)).To(Equal(2))
	})

	It("are told in notices that fit a gossip message", func() {
		var runs []crashes.Run
		for i := range 200 {
			runs = append(runs, crashes.Run{Content: crashes.Fingerprint(i), Phase: crashes.Phase(i % 4)})
		}
		var told []crashes.Run
		for _, notice := range crashes.EndNotices(server("e1"), runs) {
			Expect(len(notice.Fresh) + len(notice.Starting) + len(notice.Lasting) + len(notice.Waiting)).To(BeNumerically("<=", 64))
			told = append(told, notice.Runs()...)
		}
		Expect(told).To(ConsistOf(runs))
	})
})
