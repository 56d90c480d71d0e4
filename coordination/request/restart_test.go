package request_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
)

var _ = Describe("A request on a replica with a restarted stage", func() {
	// Guards against a live server that is taken for dead: a daemon that knows the boot
	// ID of the stage's former process sends its first step there, and the new process
	// declines it.
	It("sends the declined first step to the new process", Label("failure:stale-boot-id"), func() {
		for stage := range 2 {
			now := time.Unix(0, 0)
			r := request.New(request.Spec{
				ID: "r", Service: "drafts", Customer: "bank", Class: "draft", Prompt: "p",
				MaxTokens: 1, Owner: 7, FirstTokenDeadline: now.Add(time.Hour),
			})
			slot, _ := last[request.AcquireSlot](r.Step(now, request.Start{}))
			replica := chain(2)
			actions := r.Step(now, request.SlotGranted{Grant: slot.Attempt, Replica: replica})
			for range stage {
				step, _ := last[request.RunStep](actions)
				actions = r.Step(now, request.StepDone{Step: step.Step, Output: []byte("activation")})
			}
			declined, _ := last[request.RunStep](actions)
			actions = r.Step(now, request.StepNotRun{Step: declined.Step, BootID: "new"})

			_, released := last[request.ReleaseSlot](actions)
			Expect(released).To(BeFalse(), "stage %d: the slot is kept", stage)
			_, retried := last[request.DecideRetry](actions)
			Expect(retried).To(BeFalse(), "stage %d: no retry is used", stage)
			again, sent := last[request.RunStep](actions)
			Expect(sent).To(BeTrue(), "stage %d", stage)
			Expect(again.Stage.BootID).To(Equal("new"))
			Expect(again.Input).To(Equal(declined.Input))
			Expect(again.Prompt).To(Equal(declined.Prompt))
			Expect(replica.Stages[stage].BootID).To(BeEmpty(), "the granted replica is shared")
		}
	})

	// Guards against an answer that is refused a slot to go on because its first token's
	// deadline has passed.
	It("says that the caller has tokens when it asks for another slot", Label("failure:begun-answer-past-its-deadline"), func() {
		now := time.Unix(0, 0)
		r := request.New(request.Spec{ID: "r", Service: "drafts", MaxTokens: 2, Owner: 7, FirstTokenDeadline: now.Add(time.Second)})
		slot, _ := last[request.AcquireSlot](r.Step(now, request.Start{}))
		Expect(slot.Begun).To(BeFalse())
		step, _ := last[request.RunStep](r.Step(now, request.SlotGranted{Grant: slot.Attempt, Replica: chain(1)}))
		step, _ = last[request.RunStep](r.Step(now, request.StepDone{Step: step.Step}))
		now = now.Add(time.Minute)
		r.Step(now, request.StepUnanswered{Step: step.Step, NotSent: true})
		slot, asked := last[request.AcquireSlot](r.Step(now, request.RetryDecided{Allowed: true, At: now}))
		Expect(asked).To(BeTrue())
		Expect(slot.Begun).To(BeTrue())
	})

	// Guards against an answer that stalls for good: a home grants it a replica that this
	// daemon does not know yet, after its first token's deadline.
	It("asks for another slot after the grant of a replica that is not known yet", Label("failure:begun-answer-past-its-deadline"), func() {
		now := time.Unix(0, 0)
		r := request.New(request.Spec{ID: "r", Service: "drafts", MaxTokens: 2, Owner: 7, FirstTokenDeadline: now.Add(time.Second)})
		slot, _ := last[request.AcquireSlot](r.Step(now, request.Start{}))
		step, _ := last[request.RunStep](r.Step(now, request.SlotGranted{Grant: slot.Attempt, Replica: chain(1)}))
		step, _ = last[request.RunStep](r.Step(now, request.StepDone{Step: step.Step}))
		now = now.Add(time.Minute)
		r.Step(now, request.StepUnanswered{Step: step.Step, NotSent: true})
		slot, _ = last[request.AcquireSlot](r.Step(now, request.RetryDecided{Allowed: true, At: now}))
		r.Step(now, request.SlotUnusable{Grant: slot.Attempt, Replica: "new", UnknownReplica: true})
		next := r.NextTick()
		Expect(next).To(BeTemporally("~", now, time.Second))
		_, asked := last[request.AcquireSlot](r.Step(next, request.Tick{}))
		Expect(asked).To(BeTrue())
	})

	// Guards against an answer that must not be repeated and ends as failed because a step
	// could not be sent: the daemon was paused while it connected, and the stage lives.
	It("continues an answer that must not be repeated after a step that was not sent", Label("failure:unsent-step-ends-the-answer"), func() {
		now := time.Unix(0, 0)
		r := request.New(request.Spec{ID: "r", Service: "drafts", MaxTokens: 2, Owner: 7, NeverRepeat: true, FirstTokenDeadline: now.Add(time.Hour)})
		slot, _ := last[request.AcquireSlot](r.Step(now, request.Start{}))
		r.Step(now, request.SlotGranted{Grant: slot.Attempt, Replica: chain(1)})
		step, _ := last[request.RunStep](r.Step(now, request.ClaimSettled{Result: request.ClaimWon}))
		step, _ = last[request.RunStep](r.Step(now, request.StepDone{Step: step.Step}))
		query, queried := last[request.QueryStage](r.Step(now, request.StepUnanswered{Step: step.Step, NotSent: true}))
		Expect(queried).To(BeTrue())
		again, sent := last[request.RunStep](r.Step(now, request.StageState{Step: query.Step, Known: true, NextToken: 1}))
		Expect(sent).To(BeTrue())
		Expect(again.Step.Token).To(Equal(step.Step.Token))
	})

	It("gives up a stage that keeps declining", func() {
		now := time.Unix(0, 0)
		r := request.New(request.Spec{ID: "r", Service: "drafts", MaxTokens: 1, Owner: 7, FirstTokenDeadline: now.Add(time.Hour)})
		slot, _ := last[request.AcquireSlot](r.Step(now, request.Start{}))
		actions := r.Step(now, request.SlotGranted{Grant: slot.Attempt, Replica: chain(1)})
		for i := range 10 {
			step, sent := last[request.RunStep](actions)
			if !sent {
				break
			}
			actions = r.Step(now, request.StepNotRun{Step: step.Step, BootID: string(rune('a' + i))})
		}
		_, retried := last[request.DecideRetry](actions)
		Expect(retried).To(BeTrue())
	})
})
