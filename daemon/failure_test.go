package daemon_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/protocol/caller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const slowStep = 4 * time.Millisecond

var _ = Describe("A request", func() {
	// A clerk reads a summary; halfway the second stage of its chain dies. The
	// clerk sees a pause, then the rest, each token once and in order. Cause:
	// the KV cache of the attempt is lost with the stage, so that a new attempt
	// has to begin from the tokens that the clerk already has.
	It("gives the whole answer after a stage died mid-stream", Label("failure:stage-dies-mid-stream"), func() {
		r := newRig(2, slowStep)
		stream := r.submit(0, summary("a"))
		first, _ := r.read(stream, 5)
		r.Engines[chains.Engine(r.replicaOf(stream.ID()), 2)].Kill()
		rest, outcome := r.read(stream, -1)
		expectWhole(append(first, rest...), outcome, "a")
		r.expectSound()
	})

	// An advocate's note is half written when a stage of its chain dies. The
	// advocate's office is told that the note failed, and nothing writes it a
	// second time. Cause: it had begun, and may not be repeated.
	It("is never begun again once a stage died under a never-repeat one", Label("failure:stage-dies-mid-stream"), func() {
		r := newRig(2, slowStep)
		stream := r.submit(0, note("a"))
		first, _ := r.read(stream, 5)
		r.Engines[chains.Engine(r.replicaOf(stream.ID()), 2)].Kill()
		rest, outcome := r.read(stream, -1)
		Expect(outcome).To(BeAssignableToTypeOf(state.Failed{}))
		Expect(len(first) + len(rest)).To(BeNumerically("<", noteTokens))
		Expect(r.runs("a")).To(Equal(1))
		r.expectSound()
	})

	// A customer reads a renewal explanation; the daemon behind the connection
	// dies. The customer's client comes back to another daemon with the last
	// index that it has, and reads on from there. Cause: the owner of the
	// stream is gone; its record and the stages still have the rest.
	It("goes on at another daemon after its own died", Label("failure:daemon-dies-mid-stream"), func() {
		r := newRig(3, slowStep)
		for _, submission := range []caller.Submission{summary("s"), note("n")} {
			stream := r.submit(1, submission)
			first, _ := r.read(stream, 5)
			r.Daemons[1].Kill()
			again, outcome := r.Daemons[0].Attach(r.ctx, stream.ID(), first[len(first)-1].Index)
			Expect(outcome).To(BeNil())
			rest, outcome := r.read(again, -1)
			expectWhole(append(first, rest...), outcome, string(submission.IdempotencyKey))
			Expect(r.runs(string(submission.IdempotencyKey))).To(Equal(1), "the stages were resumed, nothing ran again")
			r.replaceDaemon(1, nil)
		}
		r.expectSound()
	})

	// A caller's connection to a daemon breaks although the daemon lives. The
	// caller comes back to another one and reads on; nothing runs twice.
	// Cause: a network between them forgot the connection.
	It("is read on through another daemon while its own lives", Label("failure:silent-connection"), func() {
		r := newRig(3, slowStep)
		stream := r.submit(1, note("a"))
		first, _ := r.read(stream, 3)
		again, outcome := r.Daemons[2].Attach(r.ctx, stream.ID(), 2)
		Expect(outcome).To(BeNil())
		rest, outcome := r.read(again, -1)
		expectWhole(append(first, rest...), outcome, "a")
		Expect(r.runs("a")).To(Equal(1))
	})

	// The connections between the daemons and one engine go silent for good;
	// new ones work. The clerk sees a pause of about the progress timeout and
	// then the rest. Cause: something between the two lost track of them.
	It("survives connections to a stage that went silent", Label("failure:silent-connection"), func() {
		r := newRig(2, slowStep)
		stream := r.submit(0, note("a"))
		first, _ := r.read(stream, 5)
		r.Engines[chains.Engine(r.replicaOf(stream.ID()), 1)].SilenceConnections()
		rest, outcome := r.read(stream, -1)
		expectWhole(append(first, rest...), outcome, "a")
		Expect(r.runs("a")).To(Equal(1), "the stage was asked, not sent the step again")
		r.expectSound()
	})

	// An advocate's office sends one note through two daemons at once, since
	// its first connection seemed dead. Both callers read the same note; it
	// was written once. Cause: both daemons hold the request at one time.
	It("runs once when it is repeated at two daemons", Label("failure:repeat-at-two-daemons"), func() {
		r := newRig(3, time.Millisecond)
		for i := range 10 {
			key := fmt.Sprintf("k%d", i)
			a := r.submit(0, note(key))
			b := r.submit(1, note(key))
			tokens, outcome := r.read(a, -1)
			expectWhole(tokens, outcome, key)
			tokens, outcome = r.read(b, -1)
			expectWhole(tokens, outcome, key)
			Expect(r.runs(key)).To(Equal(1))
		}
	})

	// A dairy cooperative's alert is sent while the table service takes writes
	// but loses the answers. The alert goes out once. Cause: the claim was
	// written, and the daemon can't know it until it reads the row.
	It("is claimed once when the store's answers are lost", Label("failure:store-answer-lost"), func() {
		r := newRig(2, time.Millisecond)
		r.Platform.LoseAnswers(2)
		_, outcome := r.read(r.submit(0, alert("a")), -1)
		Expect(outcome).To(Equal(state.Completed{Tokens: 1}))
		Expect(r.runs("a")).To(Equal(1))
	})

	// The table service is down. Summaries and running answers go on; a note
	// waits and is written once the store is back. Cause: only what may not be
	// repeated needs a claim.
	It("needs the store only where it may not be repeated", Label("failure:store-down"), func() {
		r := newRig(2, slowStep)
		running := r.submit(0, note("running"))
		r.read(running, 2)
		r.Platform.Down(true)
		tokens, outcome := r.read(r.submit(1, summary("s")), -1)
		expectWhole(tokens, outcome, "s")
		waiting := r.submit(1, note("waiting"))
		_, outcome = r.read(running, -1)
		Expect(outcome).To(Equal(state.Completed{Tokens: noteTokens}))
		Expect(r.runs("waiting")).To(Equal(0))
		r.Platform.Down(false)
		tokens, outcome = r.read(waiting, -1)
		expectWhole(tokens, outcome, "waiting")
		Expect(r.runs("waiting")).To(Equal(1))
	})
})
