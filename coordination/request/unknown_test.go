package request_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/request"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("A request at a daemon that does not know the newest replicas", func() {
	// A request is refused although replicas are free while a new version is rolled
	// out. The pool's home has learned of the new replicas and grants one of them. This
	// daemon does not know it yet and requests again, nine times within milliseconds,
	// because a slot that it could not use yet counted as one whose replica is broken.
	It("waits until the granted replica is known", Label("failure:replica-not-known-yet"), func() {
		const lag = 300 * time.Millisecond // delay of the replica list on a busy machine
		start := time.Unix(0, 0)
		r := request.New(request.Spec{
			ID: "r", Service: "drafts", Customer: "bank", Class: "note", NeverRepeat: true, Prompt: "p",
			MaxTokens: 1, Owner: 7, FirstTokenDeadline: start.Add(10 * time.Second),
		})
		requests, now := 0, start
		actions := r.Step(now, request.Start{})
		for !now.After(start.Add(lag)) {
			Expect(r.Ended()).To(BeFalse(), "after %v", now.Sub(start))
			Expect(r.Queued()).To(BeTrue(), "nothing was sent")
			now = now.Add(time.Millisecond) // latency of an answer of the home
			if req, ok := last[request.AcquireSlot](actions); ok {
				requests++
				actions = r.Step(now, request.SlotUnusable{Grant: req.Attempt, Replica: "new", UnknownReplica: true})
				continue
			}
			actions = nil
			if next := r.NextTick(); !now.Before(next) {
				actions = r.Step(now, request.Tick{})
			}
		}
		Expect(requests).To(And(BeNumerically(">", 5), BeNumerically("<", 30)), "it keeps asking at a bounded rate")
		for {
			if req, ok := last[request.AcquireSlot](actions); ok {
				actions = r.Step(now, request.SlotGranted{Grant: req.Attempt, Replica: chain(1)})
				break
			}
			now = r.NextTick()
			actions = r.Step(now, request.Tick{})
		}
		_, claims := last[request.PutClaim](actions)
		Expect(claims).To(BeTrue(), "it proceeds like any other request")
	})

	It("ends at its deadline and when its caller cancels", func() {
		start := time.Unix(0, 0)
		for _, ev := range []request.Event{request.Tick{}, request.Cancel{}} {
			r := request.New(request.Spec{ID: "r", Service: "drafts", MaxTokens: 1, Owner: 7, FirstTokenDeadline: start.Add(time.Second)})
			req, _ := last[request.AcquireSlot](r.Step(start, request.Start{}))
			r.Step(start, request.SlotUnusable{Grant: req.Attempt, Replica: "new", UnknownReplica: true})
			end, ok := last[request.End](r.Step(start.Add(time.Second), ev))
			Expect(ok).To(BeTrue())
			Expect(end.Outcome).To(BeAssignableToTypeOf(state.Refused{}))
		}
	})
})

// last returns the last action of type A.
func last[A request.Action](actions []request.Action) (A, bool) {
	for i := len(actions) - 1; i >= 0; i-- {
		if a, ok := actions[i].(A); ok {
			return a, true
		}
	}
	var none A
	return none, false
}
