package suspect_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("A server that reports to be slow", func() {
	start := time.Unix(1000, 0)
	server := state.BackendIncarnation{ID: "e1", Born: 1}
	slow := suspect.PaceNotice{Server: server, Pace: 12}
	paceAt := func(t *suspect.Tracker, now time.Time) float64 {
		found := 1.0
		t.EachSlow(now, func(_ state.BackendIncarnation, pace float64) { found = pace })
		return found
	}

	It("is announced once, and again before it is forgotten", func() {
		t := suspect.NewTracker()
		Expect(t.RecordPace(start, slow)).To(BeTrue())
		Expect(t.RecordPace(start.Add(time.Second), slow)).To(BeFalse())
		Expect(t.RecordPace(start.Add(2*time.Second), slow)).To(BeTrue())
		Expect(paceAt(t, start.Add(4*time.Second))).To(Equal(12.0))
	})

	// Guards against servers that stay unused because they were slow once.
	It("is forgotten unless it reports so again, or reports that it is not", Label("failure:slow-for-ever"), func() {
		t := suspect.NewTracker()
		t.RecordPace(start, slow)
		Expect(paceAt(t, start.Add(2*time.Second))).To(Equal(12.0))
		Expect(paceAt(t, start.Add(3*time.Second))).To(Equal(1.0))
		t.RecordPace(start, slow)
		Expect(t.RecordPace(start.Add(time.Second), suspect.PaceNotice{Server: server, Pace: 1})).To(BeTrue())
		Expect(paceAt(t, start.Add(time.Second))).To(Equal(1.0))
		Expect(t.RecordPace(start.Add(time.Second), suspect.PaceNotice{Server: server, Pace: 1})).To(BeFalse())
		Expect(t.RecordPace(start.Add(500*time.Millisecond), slow)).To(BeFalse(), "a notice that comes late")
		Expect(paceAt(t, start.Add(time.Second))).To(Equal(1.0))
	})
})
