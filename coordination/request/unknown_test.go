package request_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("A request at a daemon that lacks the newest replicas", func() {
	// A caller is refused, although replicas are free, while a new version is rolled out.
	// Order: the home of a pool has heard of its new replicas, this daemon has not; the home
	// grants one of them, the daemon does not know it and asks again, nine times within
	// milliseconds. Cause: a slot that this daemon could not use yet counted as one whose
	// replica is broken.
	It("waits until it knows the replica that it is granted", Label("failure:replica-not-known-yet"), func() {
		const lag = 300 * time.Millisecond // of the list of replicas, on a busy machine
		start := time.Unix(0, 0)
		r := request.New(request.Spec{
			ID: "r", Service: "drafts", Customer: "bank", Class: "note", NeverRepeat: true, Prompt: "p",
			MaxTokens: 1, Owner: 7, FirstTokenDeadline: start.Add(10 * time.Second),
		})
		asked, now := 0, start
		actions := r.Step(now, request.Start{})
		for !now.After(start.Add(lag)) {
			Expect(r.Ended()).To(BeFalse(), "after %v", now.Sub(start))
			Expect(r.Queued()).To(BeTrue(), "nothing was sent")
			now = now.Add(time.Millisecond) // of an answer by the home
			if ask, ok := last[request.RequestSlot](actions); ok {
				asked++
				actions = r.Step(now, request.SlotUnusable{Grant: ask.Attempt, Replica: "new", UnknownReplica: true})
				continue
			}
			actions = nil
			if next := r.NextTick(); !now.Before(next) {
				actions = r.Step(now, request.Tick{})
			}
		}
		Expect(asked).To(And(BeNumerically(">", 5), BeNumerically("<", 30)), "it neither sleeps nor storms")
		for {
			if ask, ok := last[request.RequestSlot](actions); ok {
				actions = r.Step(now, request.SlotGranted{Grant: ask.Attempt, Replica: chain(1)})
				break
			}
			now = r.NextTick()
			actions = r.Step(now, request.Tick{})
		}
		_, claims := last[request.PutClaim](actions)
		Expect(claims).To(BeTrue(), "it goes on as any other")
	})

	It("ends at its deadline, and when its caller leaves", func() {
		start := time.Unix(0, 0)
		for _, ev := range []request.Event{request.Tick{}, request.Cancel{}} {
			r := request.New(request.Spec{ID: "r", Service: "drafts", MaxTokens: 1, Owner: 7, FirstTokenDeadline: start.Add(time.Second)})
			ask, _ := last[request.RequestSlot](r.Step(start, request.Start{}))
			r.Step(start, request.SlotUnusable{Grant: ask.Attempt, Replica: "new", UnknownReplica: true})
			end, ok := last[request.End](r.Step(start.Add(time.Second), ev))
			Expect(ok).To(BeTrue())
			Expect(end.Outcome).To(BeAssignableToTypeOf(state.Refused{}))
		}
	})
})

// last is the last action of a kind.
func last[A request.Action](actions []request.Action) (A, bool) {
	for i := len(actions) - 1; i >= 0; i-- {
		if a, ok := actions[i].(A); ok {
			return a, true
		}
	}
	var none A
	return none, false
}
