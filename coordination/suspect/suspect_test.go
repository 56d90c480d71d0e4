package suspect_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

func path(addresses ...string) fleet.Path {
	var p fleet.Path
	for _, a := range addresses {
		p = append(p, fleet.Hop{Address: a})
	}
	return p
}

// delayOf returns a server's share of the time to the first event, in ms, as Each reports it; 0 for
// an unknown server.
func delayOf(t *suspect.Tracker, now time.Time, server string) float64 {
	out := 0.0
	t.Each(now, func(address string, _ bool, delayMS float64) {
		if address == server {
			out = delayMS
		}
	})
	return out
}

var _ = Describe("Tracker", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// Two streams share a hop that stops responding. Another stream crosses the remaining hops of
	// the first one. Only the unresponsive hop may be suspected when the first stream stalls.
	It("suspects the hops that nothing shows to be alive", Label("failure:hop-dies"), func() {
		t := suspect.NewTracker()
		dark := t.TrackStream(at(0), path("a", "b", "c"))
		other := t.TrackStream(at(0), path("a", "c"))
		t.RecordProgress(at(10), dark)
		t.RecordProgress(at(110), other)
		hops := t.SilentHops(at(120), dark, 100*time.Millisecond, 100*time.Millisecond)
		Expect(hops).To(HaveLen(1))
		Expect(hops[0].Address).To(Equal("b"))
	})

	// Guards against needless probes: the site is slow and every server sends nothing for 80 ms at
	// a time. Probing each of them each time would cost more than a crash; their usual gaps are
	// taken into account.
	It("learns how long the usual gaps of a server are", func() {
		t := suspect.NewTracker()
		s := t.TrackStream(at(0), path("a"))
		for ms := 0; ms <= 800; ms += 80 {
			t.RecordProgress(at(ms), s)
		}
		least, most := 40*time.Millisecond, 200*time.Millisecond
		Expect(t.SilentHops(at(900), s, least, most)).To(BeEmpty())
		Expect(t.SilentHops(at(970), s, least, most)).To(HaveLen(1))
	})

	// An engine of one domain is slow, and answers through that domain start late. Its servers keep
	// a share of the delay until other answers are faster or some seconds have passed.
	It("attributes late answers to the servers of their path for a while", func() {
		t := suspect.NewTracker()
		t.AnswerStarted(at(0), path("a", "b"), 600*time.Millisecond)
		t.AnswerStarted(at(0), path("c"), 60*time.Millisecond)
		Expect(delayOf(t, at(0), "a")).To(BeNumerically(">", delayOf(t, at(0), "c")))
		late := delayOf(t, at(0), "b")
		for range 20 {
			t.AnswerStarted(at(1), path("b", "c"), 20*time.Millisecond)
		}
		Expect(delayOf(t, at(1), "b")).To(BeNumerically("<", late/2))
		Expect(delayOf(t, at(10000), "a")).To(BeNumerically("<", 1))
		Expect(delayOf(t, at(0), "unknown")).To(BeZero())
	})

	It("avoids a server for longer after each consecutive failure, until it answers", func() {
		t := suspect.NewTracker()
		t.RecordFailure(at(0), "a")
		Expect(t.Avoided(at(100))).To(HaveKey("a"))
		Expect(t.Avoided(at(500))).To(BeEmpty())
		t.RecordFailure(at(500), "a")
		Expect(t.Avoided(at(1000))).To(HaveKey("a"))
		t.RecordAnswer(at(1000), "a")
		Expect(t.Avoided(at(1001))).To(BeEmpty())
	})

	It("forgets the failures of a server that another one has replaced", func() {
		t := suspect.NewTracker()
		t.RecordFailure(at(0), "a")
		t.AnswerStarted(at(0), path("a"), time.Second)
		t.Forget("a")
		Expect(t.Avoided(at(1))).To(BeEmpty())
		Expect(delayOf(t, at(1), "a")).To(BeZero())
	})

	// A server is shutting down but is not listed as such, and refuses each request of each daemon.
	// One refusal is no proof, nor are several refusals of requests that were sent at the same
	// time.
	It("treats a server that refuses several times in a row as leaving", Label("failure:leaving-unlisted"), func() {
		t := suspect.NewTracker()
		t.RecordRefusal(at(0), "a")
		t.RecordRefusal(at(100), "a")
		Expect(t.RefusesRepeatedly("a")).To(BeFalse(), "both were sent at the same time")
		t.RecordRefusal(at(400), "a")
		Expect(t.RefusesRepeatedly("a")).To(BeTrue())
		t.AnswerStarted(at(500), path("a"), time.Millisecond)
		Expect(t.RefusesRepeatedly("a")).To(BeFalse(), "an answer has started there")
		Expect(t.RefusesRepeatedly("unknown")).To(BeFalse())
	})

	It("avoids a leaving server for a while, but not its next incarnation", func() {
		t := suspect.NewTracker()
		incarnation := state.BackendIncarnation{ID: "i-1"}
		Expect(t.MarkLeaving(at(0), suspect.LeavingNotice{Server: incarnation})).To(BeTrue())
		Expect(t.MarkLeaving(at(1), suspect.LeavingNotice{Server: incarnation})).To(BeFalse())
		Expect(t.IsLeaving(at(9000), incarnation)).To(BeTrue())
		Expect(t.IsLeaving(at(9000), state.BackendIncarnation{ID: "i-1", Born: 7})).To(BeFalse())
		Expect(t.IsLeaving(at(10000), incarnation)).To(BeFalse())
	})

	It("ignores an entry that its server has contradicted until the entry changes", func() {
		t := suspect.NewTracker()
		s := fleet.Server{ID: "i-1", Layers: fleet.Range{From: 0, To: 4}}
		o := suspect.OutdatedNotice{Server: s.Incarnation(), Layers: s.Layers}
		now := time.Unix(1000, 0)
		Expect(t.MarkOutdated(now, o)).To(BeTrue())
		Expect(t.MarkOutdated(now, o)).To(BeFalse(), "it is announced once")
		Expect(t.IsOutdated(now, &s)).To(BeTrue())
		restarted := s
		restarted.Born = 5
		Expect(t.IsOutdated(now, &restarted)).To(BeFalse(), "another incarnation may hold other layers")
		moved := s
		moved.Layers = fleet.Range{From: 4, To: 8}
		Expect(t.IsOutdated(now, &moved)).To(BeFalse())
		Expect(t.IsOutdated(now.Add(5*time.Second), &s)).To(BeFalse(), "it is still listed and may be valid again")
		Expect(t.MarkOutdated(now.Add(5*time.Second), o)).To(BeTrue())
	})
})
