package daemon_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("Two faults at once", func() {
	// One replica's link is degraded, so that its answers crawl; a stage of the
	// other dies. A reader of the dead chain sees a pause, then a slower rest.
	// Cause: the only replica left is the slow one; it is avoided while there
	// is a better one, and used when there is none.
	It("finishes over a degraded link when a stage dies", Label("failure:stage-dies-mid-stream", "failure:link-degrades"), func() {
		r := newRig(2, time.Millisecond)
		r.Engines[chains.Engine(1, 1)].Slow(8)
		stream := r.submit(0, summary("a"))
		first, _ := r.read(stream, 3)
		r.Engines[chains.Engine(r.replicaOf(stream.ID()), 2)].Kill()
		rest, outcome := r.read(stream, -1)
		expectWhole(append(first, rest...), outcome, "a")
		r.expectSound()
	})

	// A whole failure domain is lost, daemon and replica, at the moment at
	// which a new replica joins in another one. Callers of the lost daemon come
	// back elsewhere and get whole answers.
	It("goes on when a failure domain is lost while an instance joins",
		Label("failure:daemon-dies-mid-stream", "failure:instance-joins-under-load"), func() {
			r := newRig(3, slowStep)
			var streams []caller.Stream
			for i := range 6 {
				streams = append(streams, r.submit(1, summary(fmt.Sprintf("k%d", i))))
			}
			first := make([][]caller.Token, len(streams))
			for i, s := range streams {
				first[i], _ = r.read(s, 3)
			}
			r.Daemons[1].Kill()
			r.Engines[chains.Engine(2, 1)].Kill()
			r.Engines[chains.Engine(2, 2)].Kill()
			r.addReplica(3)
			for i, s := range streams {
				again, outcome := r.Daemons[i%2*2].Attach(r.ctx, s.ID(), 2)
				Expect(outcome).To(BeNil())
				rest, outcome := r.read(again, -1)
				expectWhole(append(first[i], rest...), outcome, fmt.Sprintf("k%d", i))
			}
			r.expectSound()
		})

	// A daemon is being stopped as planned when its connections to the engines
	// go silent. The note that it is writing still comes whole, written once,
	// and the process ends. Cause: a drain waits for its streams, and those
	// ask their stages on new connections.
	It("drains to the end over connections that went silent", Label("failure:planned-stop", "failure:silent-connection"), func() {
		r := newRig(3, slowStep)
		stream := r.submit(1, note("a"))
		first, _ := r.read(stream, 3)
		r.Daemons[1].Drain(r.ctx)
		for _, e := range r.Engines {
			e.SilenceConnections()
		}
		rest, outcome := r.read(stream, -1)
		expectWhole(append(first, rest...), outcome, "a")
		Expect(r.runs("a")).To(Equal(1))
		Eventually(r.Daemons[1].Done()).WithTimeout(patience).Should(BeClosed())
		r.expectSound()
	})

	// The daemon that writes a note dies while the table service is down. The
	// caller comes back to another daemon and waits; when the store is back
	// the note goes on from where it was, and was written once. Cause: taking
	// a never-repeat request over needs its claim row.
	It("takes a note over once the store is back", Label("failure:daemon-dies-mid-stream", "failure:store-down"), func() {
		r := newRig(3, slowStep)
		stream := r.submit(1, note("a"))
		first, _ := r.read(stream, 3)
		r.Platform.Down(true)
		r.Daemons[1].Kill()
		again, outcome := r.Daemons[0].Attach(r.ctx, stream.ID(), 2)
		Expect(outcome).To(BeNil())
		time.AfterFunc(700*time.Millisecond, func() { r.Platform.Down(false) })
		rest, outcome := r.read(again, -1)
		expectWhole(append(first, rest...), outcome, "a")
		Expect(r.runs("a")).To(Equal(1))
		r.expectSound()
	})

	// A note is sent again through another daemon while the one that writes it
	// dies. Whoever reads on gets the one note. Cause: the repeat joins an
	// owner that dies under it.
	It("gives the repeat of a note its answer when the first daemon dies",
		Label("failure:repeat-at-two-daemons", "failure:daemon-dies-mid-stream"), func() {
			r := newRig(3, slowStep)
			stream := r.submit(1, note("a"))
			r.read(stream, 3)
			repeat := r.submit(2, note("a"))
			r.read(repeat, 2)
			r.Daemons[1].Kill()
			rest, outcome := r.read(repeat, -1)
			Expect(outcome).To(Equal(state.Completed{Tokens: noteTokens}))
			Expect(rest).To(HaveLen(noteTokens - 2))
			Expect(r.runs("a")).To(Equal(1))
			r.expectSound()
		})
})
