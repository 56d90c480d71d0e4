package route_test

import (
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/home"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("a request that its pool cannot serve", func() {
	// Guards against an answer that is lost although it may wait, because the other pool's
	// queue is estimated to be longer than that.
	It("moves to a pool with a long queue only if its answer has begun", Label("failure:begun-answer-refused-by-an-estimate"), func() {
		now := time.Time{}.Add(time.Second)
		self := state.Member{ID: "entry-1", Incarnation: 1}
		e := route.ReplicasChanged{Service: "drafting", Capacity: 2, Replicas: replicasOf(2, "a")}
		for _, begun := range []bool{false, true} {
			r := route.New(route.Config{Self: self, PoolSize: 1}, rand.New(rand.NewPCG(1, 1)))
			r.Step(now, e)
			r.Step(now, route.ViewChanged{Live: []route.Peer{{Member: self}}})
			id := home.SlotRequestID{Request: "entry-1-1", Attempt: 1}
			first := sentRequest(r.Step(now, route.AcquireSlot{
				ID: id, Service: "drafting", Class: "draft", Customer: "a", Deadline: now.Add(10 * time.Second), Begun: begun,
			}))
			Expect(first).To(HaveField("Begun", begun))
			for _, p := range route.Partition(e, nil, 1) {
				r.Step(now, route.Received{From: self, Msg: home.SlotRefusal{
					Pool: p.ID, Summary: home.Summary{Slots: 1, Used: 1, Waiting: 100, Rate: 1},
				}})
			}
			actions := r.Step(now, route.Received{From: self, Msg: home.SlotRefusal{ID: id, Pool: first.Pool, Reason: state.ReasonNoReplica}})
			if !begun {
				Expect(actions).To(ContainElement(HaveField("Reason", state.ReasonNoReplica)))
				continue
			}
			second := sentRequest(actions)
			Expect(second).NotTo(BeNil())
			Expect(second.Pool).NotTo(Equal(first.Pool))
		}
	})
})

// sentRequest returns the slot request among actions, or nil.
func sentRequest(actions []route.Action) *home.SlotRequest {
	for _, a := range actions {
		if send, ok := a.(route.Send); ok {
			if m, ok := send.Msg.(home.SlotRequest); ok {
				return &m
			}
		}
	}
	return nil
}
