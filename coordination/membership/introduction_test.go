package membership_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
)

var _ = Describe("a daemon that another one does not know", func() {
	var c *cluster
	full := func(n *node) membership.Update {
		return membership.Update{ID: n.id, Incarnation: 1, Meta: &n.self.Meta}
	}

	BeforeEach(func() {
		c = newCluster(uint64(GinkgoRandomSeed()), membership.Config{})
	})

	// Guards against a daemon that is suspected although it lives: it can't answer the probe of
	// one that asks on behalf of another, because it has not learned of that one yet.
	It("is answered if it probes on behalf of another", Label("failure:unknown-relay"), func() {
		asking, helping, probed := c.add(0, 3, 1), c.add(1, 3, 1), c.add(2, 3, 1)
		c.blocked = func(from, to *node) bool {
			return from == asking && to == probed || from == probed && to == asking
		}
		asking.dead = true
		answered := false
		c.onStep = func(n *node, as []membership.Action) {
			for _, a := range as {
				s, ok := a.(membership.Send)
				if !ok {
					continue
				}
				if r, ok := s.Msg.(membership.PingResult); ok && n == helping && r.Answered {
					answered = true
				}
			}
		}
		c.step(helping, membership.Received{From: asking.self.Member, Msg: membership.PingRequest{
			Seq: 1, Self: full(asking), Target: probed.id, Address: probed.self.Meta.PeerAddress,
		}})
		c.run(250 * time.Millisecond)
		Expect(answered).To(BeTrue())
	})

	// Guards against the same after a lost message: a daemon that asked a listed address whose
	// daemon it does not know, and did not get the answer, does not know who probes it.
	It("is answered by one that asked its address", Label("failure:unknown-prober"), func() {
		asking, asked := c.add(0, 2, 1), c.add(1, 2, 1)
		lost := false
		c.blocked = func(from, to *node) bool {
			if from == asked && !lost {
				lost = true
				return true
			}
			return false
		}
		suspicions := 0
		c.onStep = func(n *node, as []membership.Action) {
			for _, a := range as {
				if change, ok := a.(membership.MemberChanged); ok && n == asked && change.To == membership.Suspect {
					suspicions++
				}
			}
		}
		c.step(asking, membership.SetDigest{})
		c.step(asked, membership.Received{From: asking.self.Member, Msg: membership.ExchangeRequest{
			Self: full(asking), BucketHashes: make([]uint64, 32),
		}})
		Expect(lost).To(BeTrue())
		c.run(3 * time.Second)
		Expect(suspicions).To(BeZero())
		Expect(c.converged()).To(BeTrue())
	})
})
