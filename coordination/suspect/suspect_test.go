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

// delayOf is a server's part of what answers took to begin, in ms, as its book tells it; 0
// for a server that the book does not know.
func delayOf(b *suspect.Tracker, now time.Time, server string) float64 {
	out := 0.0
	b.Each(now, func(address string, _ bool, delayMS float64) {
		if address == server {
			out = delayMS
		}
	})
	return out
}

var _ = Describe("Suspicion", func() {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	// Two streams share one hop, which goes dark. Another stream crosses the other
	// hops of the first. Only the dark hop is suspected of the first one's silence.
	It("falls on the hops that nothing shows alive", Label("failure:hop-dies"), func() {
		b := suspect.NewTracker()
		dark := b.TrackStream(at(0), path("a", "b", "c"))
		other := b.TrackStream(at(0), path("a", "c"))
		b.RecordProgress(at(10), dark)
		b.RecordProgress(at(110), other)
		hops := b.SilentHops(at(120), dark, 100*time.Millisecond, 100*time.Millisecond)
		Expect(hops).To(HaveLen(1))
		Expect(hops[0].Address).To(Equal("b"))
	})

	// A site is slow: every server is quiet for 80 ms at a time. Probing each of them
	// each time would cost more than a death; they are taken as they have been.
	It("knows how long a server is usually quiet", func() {
		b := suspect.NewTracker()
		s := b.TrackStream(at(0), path("a"))
		for ms := 0; ms <= 800; ms += 80 {
			b.RecordProgress(at(ms), s)
		}
		least, most := 40*time.Millisecond, 200*time.Millisecond
		Expect(b.SilentHops(at(900), s, least, most)).To(BeEmpty())
		Expect(b.SilentHops(at(970), s, least, most)).To(HaveLen(1))
	})

	// A card of one domain is slow. Answers through that domain begin late, and its
	// servers are held to account for it until other answers are faster, or some
	// seconds have passed.
	It("holds servers to account for answers that began late, for a while", func() {
		b := suspect.NewTracker()
		b.AnswerStarted(at(0), path("a", "b"), 600*time.Millisecond)
		b.AnswerStarted(at(0), path("c"), 60*time.Millisecond)
		Expect(delayOf(b, at(0), "a")).To(BeNumerically(">", delayOf(b, at(0), "c")))
		late := delayOf(b, at(0), "b")
		for range 20 {
			b.AnswerStarted(at(1), path("b", "c"), 20*time.Millisecond)
		}
		Expect(delayOf(b, at(1), "b")).To(BeNumerically("<", late/2))
		Expect(delayOf(b, at(10000), "a")).To(BeNumerically("<", 1))
		Expect(delayOf(b, at(0), "unknown")).To(BeZero())
	})

	It("grows with failures in a row and ends with an answer", func() {
		b := suspect.NewTracker()
		b.RecordFailure(at(0), "a")
		Expect(b.Avoided(at(100))).To(HaveKey("a"))
		Expect(b.Avoided(at(500))).To(BeEmpty())
		b.RecordFailure(at(500), "a")
		Expect(b.Avoided(at(1000))).To(HaveKey("a"))
		b.RecordAnswer(at(1000), "a")
		Expect(b.Avoided(at(1001))).To(BeEmpty())
	})

	It("forgets the failures of a server that another one has followed", func() {
		b := suspect.NewTracker()
		b.RecordFailure(at(0), "a")
		b.AnswerStarted(at(0), path("a"), time.Second)
		b.Forget("a")
		Expect(b.Avoided(at(1))).To(BeEmpty())
		Expect(delayOf(b, at(1), "a")).To(BeZero())
	})

	// A server leaves and is not listed so. It refuses each request, at each daemon. One
	// refusal is no proof, nor are several of what was sent at once.
	It("takes a server for leaving that refuses in a row", Label("failure:leaving-unlisted"), func() {
		b := suspect.NewTracker()
		b.RecordRefusal(at(0), "a")
		b.RecordRefusal(at(100), "a")
		Expect(b.RefusesRepeatedly("a")).To(BeFalse(), "both were sent at once")
		b.RecordRefusal(at(400), "a")
		Expect(b.RefusesRepeatedly("a")).To(BeTrue())
		b.AnswerStarted(at(500), path("a"), time.Millisecond)
		Expect(b.RefusesRepeatedly("a")).To(BeFalse(), "an answer has begun there")
		Expect(b.RefusesRepeatedly("unknown")).To(BeFalse())
	})

	It("avoids a server that is leaving for a while, and not its next life", func() {
		b := suspect.NewTracker()
		life := state.Life{ID: "i-1"}
		Expect(b.MarkLeaving(at(0), suspect.LeavingNotice{Server: life})).To(BeTrue())
		Expect(b.MarkLeaving(at(1), suspect.LeavingNotice{Server: life})).To(BeFalse())
		Expect(b.IsLeaving(at(9000), life)).To(BeTrue())
		Expect(b.IsLeaving(at(9000), state.Life{ID: "i-1", Born: 7})).To(BeFalse())
		Expect(b.IsLeaving(at(10000), life)).To(BeFalse())
	})

	It("goes by no entry that its server has contradicted, until the entry changes", func() {
		b := suspect.NewTracker()
		s := fleet.Server{ID: "i-1", Layers: fleet.Range{From: 0, To: 4}}
		o := suspect.OutdatedNotice{Server: s.Life(), Layers: s.Layers}
		now := time.Unix(1000, 0)
		Expect(b.MarkOutdated(now, o)).To(BeTrue())
		Expect(b.MarkOutdated(now, o)).To(BeFalse(), "it is told once")
		Expect(b.IsOutdated(now, &s)).To(BeTrue())
		restarted := s
		restarted.Born = 5
		Expect(b.IsOutdated(now, &restarted)).To(BeFalse(), "another life may hold what this one did not")
		moved := s
		moved.Layers = fleet.Range{From: 4, To: 8}
		Expect(b.IsOutdated(now, &moved)).To(BeFalse())
		Expect(b.IsOutdated(now.Add(5*time.Second), &s)).To(BeFalse(), "it is still listed, and may be true again")
		Expect(b.MarkOutdated(now.Add(5*time.Second), o)).To(BeTrue())
	})
})
