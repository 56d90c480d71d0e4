package suspect_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

var _ = Describe("A server that other daemons tell to be silent", func() {
	start := time.Unix(1000, 0)
	server := state.BackendIncarnation{ID: "e1", Born: 1}
	notice := suspect.SilentNotice{Server: server, Address: "e1", MS: 500}
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

	It("is told again once it has been probed again", func() {
		t := suspect.NewTracker()
		Expect(t.MarkSilent(at(0), notice)).To(BeTrue())
		Expect(t.MarkSilent(at(200), notice)).To(BeFalse())
		Expect(t.MarkSilent(at(900), notice)).To(BeTrue())
		Expect(t.ToldSilent(at(1800), server)).To(BeTrue())
		Expect(t.ToldSilent(at(1900), server)).To(BeFalse())
		Expect(t.MarkSilent(at(1900), notice)).To(BeTrue())
	})

	It("is believed until it shows a sign of life", func() {
		t := suspect.NewTracker()
		stream := t.TrackStream(at(0), fleet.Path{{Server: server, Address: "e1"}})
		t.RecordProgress(at(0), stream)
		t.MarkSilent(at(100), notice)
		Expect(t.ToldSilent(at(150), server)).To(BeTrue())
		t.RecordProgress(at(200), stream)
		Expect(t.ToldSilent(at(250), server)).To(BeFalse())
	})

	It("is believed again after an answer only if it is told later", func() {
		t := suspect.NewTracker()
		t.MarkSilent(at(100), notice)
		t.ContradictSilence(at(50), server)
		Expect(t.ToldSilent(at(150), server)).To(BeTrue(), "the probe was sent before the notice")
		t.ContradictSilence(at(150), server)
		Expect(t.ToldSilent(at(200), server)).To(BeFalse())
		t.MarkSilent(at(300), notice)
		Expect(t.ToldSilent(at(350), server)).To(BeTrue())
	})

	It("is another incarnation than the next process of its id", func() {
		t := suspect.NewTracker()
		t.MarkSilent(at(0), notice)
		Expect(t.ToldSilent(at(100), state.BackendIncarnation{ID: "e1", Born: 2})).To(BeFalse())
	})
})
