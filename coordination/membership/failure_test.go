package membership_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var _ = Describe("membership", func() {
	var c *cluster

	settled := func(n int) {
		c = newCluster(uint64(GinkgoRandomSeed()), membership.Config{})
		c.start(n, 30*time.Second)
		Expect(c.converged()).To(BeTrue())
		c.clear()
	}
	within := func(limit time.Duration, what func() bool) {
		GinkgoHelper()
		took, ok := c.runUntil(limit, what)
		Expect(ok).To(BeTrue(), "not within %v", limit)
		AddReportEntry("virtual time", took.String())
	}
	isolated := func(n *node) bool {
		return n.m.View().Connectivity.Isolated(c.now, 3*time.Second, 0.5)
	}

	// The instance list is outdated: it names five daemons that no longer exist and one live
	// one to a new daemon, and then stops answering. The new daemon must not return the five
	// addresses to callers, and must discover the eight daemons that the list lacks.
	It("discovers every daemon through one live address of an outdated list", Label("failure:lagging-instance-list"), func() {
		settled(9)
		late := c.add(9, 9, 1)
		stale := []string{c.nodes[4].self.Meta.PeerAddress}
		for i := range 5 {
			stale = append(stale, fmt.Sprintf("10.99.0.%d:7300", i))
		}
		c.step(late, membership.Seeds{Addresses: stale})
		within(15*time.Second, c.converged)
	})

	// Guards against daemons that suspect live ones after a start, and all others that handle
	// these suspicions for seconds: a daemon could not answer the probe of one whose address it
	// had not learned yet.
	DescribeTable("suspects no daemon while many start together", Label("failure:unknown-prober", "failure:few-members-missing"), func(n int) {
		c = newCluster(uint64(GinkgoRandomSeed()), membership.Config{
			ProbeInterval: 400 * time.Millisecond, ProbeTimeout: 150 * time.Millisecond,
		})
		suspicions := 0
		c.onStep = func(_ *node, as []membership.Action) {
			for _, a := range as {
				if change, ok := a.(membership.MemberChanged); ok && change.To == membership.Suspect {
					suspicions++
				}
			}
		}
		c.start(n, 5*time.Second)
		Expect(suspicions).To(BeZero())
		Expect(c.converged()).To(BeTrue())
	},
		Entry("30", 30),
		Entry("300", 300),
	)

	// Guards against a daemon that is suspected although it lives: it does not know the daemon
	// that probes it, and answers all the same since the probe says where that one is.
	It("answers a daemon that it does not know", Label("failure:unknown-prober"), func() {
		c.add(0, 3, 1)
		c.add(1, 3, 1)
		introduced, prober := c.add(2, 3, 1), c.nodes[0]
		introduced.dead = true
		full := func(n *node) membership.Update {
			return membership.Update{ID: n.id, Incarnation: 1, Meta: &n.self.Meta}
		}
		c.step(prober, membership.Received{From: introduced.self.Member, Msg: membership.ExchangeRecords{
			Self: full(introduced), Updates: []membership.Update{full(c.nodes[1])},
		}})
		within(2*time.Second, func() bool {
			_, known := c.nodes[1].m.View().Lookup(prober.id)
			return known
		})
		c.run(3 * time.Second)
		i, _ := prober.m.View().Lookup(c.nodes[1].id)
		Expect(i.State).To(Equal(membership.Alive))
	})

	// Guards against hundreds of daemons that start together and forward all records of each
	// other for a minute although each has them, which took a third of their processor time.
	It("is not sent records that it is known to have", Label("failure:known-members-told"), func() {
		c = newCluster(uint64(GinkgoRandomSeed()), membership.Config{GossipBurst: 8000, GossipRate: 1500})
		updates := 0
		c.onStep = func(_ *node, as []membership.Action) {
			for _, a := range as {
				if s, ok := a.(membership.Send); ok {
					updates += countUpdates(s.Msg)
				}
			}
		}
		c.start(100, 0)
		within(20*time.Second, c.converged)
		// Each neighbour has been probed after two rounds of at most 14 probes, one every 500 ms.
		c.run(15 * time.Second)
		before := updates
		c.run(5 * time.Second)
		Expect(updates - before).To(BeZero())
	})

	// One daemon of 195 keeps sending requests to a server whose entry is outdated. It happens
	// when another daemon detects this and announces it while one message in five is lost, if
	// the announcement is a single message to each daemon.
	It("delivers a notice to every daemon although messages are lost", Label("failure:notice-lost"), func() {
		settled(195)
		c.loss = 0.2
		received := make(map[state.DaemonID]int)
		c.onStep = func(n *node, as []membership.Action) {
			for _, a := range as {
				if l, ok := a.(membership.FactLearned); ok && l.Fact.Kind == membership.Notice {
					received[n.id]++
				}
			}
		}
		c.step(c.nodes[7], membership.Notify{Text: "e1 has been replaced"})
		within(2*time.Second, func() bool { return len(received) == 194 })
		c.run(time.Second)
		for _, n := range c.nodes {
			Expect(received[n.id]).To(BeNumerically("<=", 1), "each daemon receives it once")
			Expect(n.messages).To(BeNumerically("<", 500), "no daemon sends it to all others")
		}
		c.step(c.nodes[7], membership.Notify{Text: "e1 has been replaced"})
		within(2*time.Second, func() bool { return lo.Sum(slices.Collect(maps.Values(received))) == 2*194 })
	})

	// A daemon's process dies and a new one starts on the same instance while the table service
	// and the instance list are down, so that it has no address to contact. Its peers keep
	// trying the old address, and so find it and send it the other members.
	It("admits a replaced daemon through its peers alone", Label("failure:daemon-replaced-during-store-outage"), func() {
		settled(9)
		c.nodes[3].dead = true
		within(10*time.Second, func() bool { return c.allHold("entry-3", membership.Dead) })
		c.add(3, 9, 2)
		within(30*time.Second, c.converged)
		Expect(c.everyView(func(_ *node, v *membership.View) bool {
			i, _ := v.Lookup("entry-3")
			return i.Member.Incarnation == 2
		})).To(BeTrue())
	})

	// A daemon is replaced before any other detected its death; later the old process, which
	// was only paused, continues. No daemon may accept its updates, and it must be notified
	// that it has been replaced.
	It("lets a higher incarnation supersede at once", Label("failure:daemon-replaced-during-store-outage"), func() {
		settled(9)
		old := c.nodes[3]
		c.pause(old, 20*time.Second)
		c.add(3, 9, 2)
		replaced := func() bool {
			return c.everyView(func(n *node, v *membership.View) bool {
				i, _ := v.Lookup("entry-3")
				return n == old || i.Member.Incarnation == 2 && i.State == membership.Alive
			})
		}
		within(5*time.Second, replaced)
		c.run(20 * time.Second)
		Expect(replaced()).To(BeTrue())
		c.step(old, membership.Received{
			From: c.nodes[0].self.Member,
			Msg:  membership.Gossip{Self: update(c.nodes[0]), Payload: membership.GossipPayload{Updates: []membership.Update{update(c.nodes[9])}}},
		})
		Expect(old.actions).To(ContainElement(membership.Superseded{By: 2}))
	})

	// A network partition splits the cluster for two minutes. Each partition continues with its
	// own daemons. When the links are restored, both know all daemons again within seconds, and
	// no daemon is ever considered dead by one that could reach it. Without the guards the
	// partitions stay separate until daemons are restarted.
	DescribeTable("finds the other partition again after a network partition", Label("failure:regions-parted"), func(n int) {
		settled(n)
		inOtherPartition := make(map[state.DaemonID]bool)
		for _, d := range c.nodes {
			inOtherPartition[d.id] = d.self.Meta.Domain != c.nodes[0].self.Meta.Domain
		}
		partitionOf := func(id state.DaemonID) bool { return inOtherPartition[id] }
		c.blocked = func(from, to *node) bool { return partitionOf(from.id) != partitionOf(to.id) }
		deathsInOwnPartition := func() int {
			died := 0
			for _, d := range c.nodes {
				for _, a := range d.actions {
					if change, ok := a.(membership.MemberChanged); ok && change.To == membership.Dead && partitionOf(change.Member.ID) == partitionOf(d.id) {
						died++
					}
				}
			}
			return died
		}
		c.run(time.Minute)
		// Meanwhile one more daemon joins one partition.
		late := c.add(n, n, 1)
		inOtherPartition[late.id] = true
		c.step(late, membership.Seeds{Addresses: []string{c.nodes[1].self.Meta.PeerAddress}})
		c.run(time.Minute)
		Expect(c.converged()).To(BeFalse())
		Expect(deathsInOwnPartition()).To(BeZero())
		c.blocked = nil
		c.clear()
		within(20*time.Second, c.converged)
		c.run(20 * time.Second)
		Expect(c.converged()).To(BeTrue())
		Expect(c.tally().died).To(BeZero())
	}, Entry("nine daemons", 9), Entry("thirty daemons", 30))

	// A backend server announces to one daemon that it is leaving, while the instance list lags
	// by ten seconds. Requests sent to it by any other daemon would fail, so each daemon must
	// know within three seconds although one message in twenty is lost.
	It("broadcasts that a backend server is leaving", Label("failure:backend-leaving"), func() {
		settled(50)
		c.loss = 0.05
		c.step(c.nodes[7], membership.ReportBackend{Backend: "engine-1", Kind: membership.BackendLeaving})
		known := func(kind membership.FactKind) func() bool {
			return func() bool {
				return c.everyView(func(_ *node, v *membership.View) bool { return v.Backends["engine-1"].Kind == kind })
			}
		}
		within(3*time.Second, known(membership.BackendLeaving))

		// A later observation by another daemon overrides it everywhere.
		c.step(c.nodes[20], membership.ReportBackend{Backend: "engine-1", Kind: membership.BackendAvailable})
		within(3*time.Second, known(membership.BackendAvailable))

		// Finally the fact expires, and no daemon reintroduces it.
		c.run(2 * time.Minute)
		Expect(known(0)()).To(BeTrue())
	})

	// A daemon drains, then stops. Callers are directed to other daemons as soon as each daemon
	// knows; no daemon suspects it afterwards or tries to reach it.
	It("announces a planned stop without causing suspicions", Label("failure:planned-stop"), func() {
		settled(9)
		c.step(c.nodes[2], membership.Drain{})
		within(3*time.Second, func() bool {
			return c.everyView(func(_ *node, v *membership.View) bool {
				i, _ := v.Lookup("entry-2")
				return i.Draining && i.State == membership.Alive
			})
		})
		c.step(c.nodes[2], membership.Leave{})
		c.nodes[2].dead = true
		within(3*time.Second, func() bool { return c.allHold("entry-2", membership.Left) })
		c.run(30 * time.Second)
		Expect(c.allHold("entry-2", membership.Left)).To(BeTrue())
		Expect(c.tally()).To(Equal(tally{}))
	})

	// A daemon loses all of its peers while its callers still reach it. It can't know whether
	// its documents are current, and must detect this within a few seconds; the other daemons
	// must not consider themselves isolated.
	It("reports isolation to a daemon that reaches no peer", Label("failure:isolated-daemon"), func() {
		settled(9)
		isolatedNode := c.nodes[4]
		Expect(isolated(isolatedNode)).To(BeFalse())
		c.blocked = func(from, to *node) bool { return from == isolatedNode || to == isolatedNode }
		within(5*time.Second, func() bool { return isolated(isolatedNode) })
		for range 60 {
			c.run(time.Second)
			for _, n := range c.nodes {
				Expect(isolated(n)).To(Equal(n == isolatedNode))
			}
		}
		c.blocked = nil
		within(10*time.Second, c.converged)
		within(3*time.Second, func() bool { return !isolated(isolatedNode) })
	})

	// One daemon of five dies and another pauses, while a third suspects a live one by mistake.
	// The fourth forwards the accusation; if it sends it only to the failed daemons, it
	// considers the live one dead, and callers are directed to others.
	It("notifies a suspect of its suspicion while others fail", Label("failure:daemon-paused"), func() {
		c = newCluster(1, membership.Config{})
		c.start(5, 30*time.Second)
		c.clear()
		u := update(c.nodes[2])
		u.State, u.Accuser = membership.Suspect, "entry-1"
		c.step(c.nodes[0], membership.Received{From: c.nodes[1].self.Member, Msg: membership.Gossip{
			Self: update(c.nodes[1]), Payload: membership.GossipPayload{Updates: []membership.Update{u}},
		}})
		c.nodes[3].dead = true
		c.pause(c.nodes[4], 10*time.Second)
		within(time.Second, func() bool { return c.tally().refuted == 1 })
		c.run(20 * time.Second)
		Expect(c.nodes[0].actions).NotTo(ContainElement(
			membership.MemberChanged{Member: c.nodes[2].self.Member, From: membership.Suspect, To: membership.Dead}))
	})

	// A daemon is paused for thirty seconds, like a suspended virtual machine. The others
	// consider it dead and continue. When it resumes, all of its timers have expired, and the
	// messages sent to it wait in its sockets. It must consider no other daemon dead, and be a
	// member again within seconds.
	It("considers no daemon dead after a pause", Label("failure:daemon-paused"), func() {
		settled(30)
		pausedNode := c.nodes[7]
		// Half of its neighbours are suspect when the pause begins.
		for _, n := range c.nodes[10:25] {
			u := update(n)
			u.State, u.Accuser = membership.Suspect, "entry-9"
			c.step(pausedNode, membership.Received{From: c.nodes[9].self.Member, Msg: membership.Gossip{
				Self: update(c.nodes[9]), Payload: membership.GossipPayload{Updates: []membership.Update{u}},
			}})
		}
		c.pause(pausedNode, 30*time.Second)
		within(20*time.Second, func() bool {
			return c.everyView(func(n *node, v *membership.View) bool {
				i, _ := v.Lookup(pausedNode.id)
				return n == pausedNode || i.State == membership.Dead
			})
		})
		c.clear()
		c.run(pausedNode.pausedUntil.Sub(c.now))
		within(10*time.Second, c.converged)
		c.run(20 * time.Second)
		Expect(c.converged()).To(BeTrue())
		Expect(c.tally().pauses).To(Equal(1))
		Expect(c.tally().died).To(BeZero())
	})
})

// update returns a node's initial record of itself.
func update(n *node) membership.Update {
	meta := n.self.Meta
	return membership.Update{ID: n.id, Incarnation: n.self.Member.Incarnation, Meta: &meta}
}

// countUpdates counts the member updates in the payload of a message.
func countUpdates(msg membership.Message) int {
	switch msg := msg.(type) {
	case membership.Ping:
		return len(msg.Payload.Updates)
	case membership.Ack:
		return len(msg.Payload.Updates)
	case membership.Gossip:
		return len(msg.Payload.Updates)
	}
	return 0
}
