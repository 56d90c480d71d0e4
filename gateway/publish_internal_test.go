package gateway

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

var _ = Describe("The list of servers", func() {
	// 3,000 servers list themselves and their layers, in a hundred changes per second. If
	// each change makes every daemon group and compare all servers, all daemons use their
	// whole processors for seconds after a start, and callers wait.
	It("is published once for many changes, and no change is delayed for long", Label("failure:changes-in-hundreds"), func() {
		c := newTestControl(GinkgoTB())
		const servers = 3000
		var ids []state.BackendID
		for i := range servers {
			ids = append(ids, state.BackendID(fmt.Sprint(i)))
		}
		c.serverFeed.applyStoreAnswer(serverBatch(2, ids...), batchInfo{complete: true})
		c.tick()

		published := 0
		began, last := c.now, c.g.currentView.Load()
		for i := range 100 {
			c.now = c.now.Add(10 * time.Millisecond)
			changed := serverBatch(uint64(3+i), ids[i])
			changed.Items[0].Value.Draining = true
			c.serverFeed.applyStoreAnswer(changed, batchInfo{})
			c.tick()
			if v := c.g.currentView.Load(); v != last {
				published, last = published+1, v
			}
		}
		Expect(published).To(And(BeNumerically(">", 10), BeNumerically("<=", 17)), "one per 60 ms, for 1 s")

		c.now = c.listing.nextTick()
		Expect(c.now.Sub(began)).To(BeNumerically("<=", time.Second+servers*publishIntervalPerServer), "the last change waits no longer")
		c.tick()
		draining := 0
		for _, s := range c.g.currentView.Load().servers["app"] {
			if s.Draining {
				draining++
			}
		}
		Expect(draining).To(Equal(100))
	})

	// Guards against the same cost for servers that are added and load their layers, of which
	// a start has thousands. They are used a little later than one that leaves is avoided.
	It("is published less often for servers that load their layers", Label("failure:changes-in-hundreds"), func() {
		c := newTestControl(GinkgoTB())
		const servers = 3000
		var ids []state.BackendID
		for i := range servers {
			ids = append(ids, state.BackendID(fmt.Sprint(i)))
		}
		c.serverFeed.applyStoreAnswer(serverBatch(2, ids...), batchInfo{complete: true})
		c.tick()
		published := 0
		began, last := c.now, c.listing.publishedAt
		for i := range 100 {
			c.now = c.now.Add(10 * time.Millisecond)
			changed := serverBatch(uint64(3+i), ids[i])
			changed.Items[0].Value.Layers = fleet.Range{From: 0, To: 10}
			c.serverFeed.applyStoreAnswer(changed, batchInfo{})
			c.tick()
			if at := c.listing.publishedAt; at != last {
				published, last = published+1, at
			}
		}
		Expect(published).To(And(BeNumerically(">", 3), BeNumerically("<=", 6)), "one per 180 ms, for 1 s")
		c.now = c.listing.nextTick()
		Expect(c.now.Sub(began)).To(BeNumerically("<=", time.Second+servers*publishIntervalPerServer), "the last change waits no longer")

		leaving := serverBatch(200, ids[0])
		leaving.Items[0].Value.Draining = true
		c.now = last
		c.serverFeed.applyStoreAnswer(leaving, batchInfo{})
		Expect(c.listing.nextTick().Sub(last)).To(BeNumerically("<=", servers*urgentIntervalPerServer))
	})

	DescribeTable("is published sooner for servers that are no longer to be used", Label("failure:changes-in-hundreds"),
		func(change func(c *control, id state.BackendID)) {
			c := newTestControl(GinkgoTB())
			const servers = 3000
			var ids []state.BackendID
			for i := range servers {
				ids = append(ids, state.BackendID(fmt.Sprint(i)))
			}
			c.serverFeed.applyStoreAnswer(serverBatch(2, ids...), batchInfo{complete: true})
			c.tick()
			last := c.listing.publishedAt
			change(c, ids[0])
			c.listing.dirty = true
			Expect(c.listing.nextTick().Sub(last)).To(Equal(servers * urgentIntervalPerServer))
		},
		Entry("one that is removed, of one more", func(c *control, id state.BackendID) {
			c.listing.servers["more"] = fleet.Server{}
			c.listing.removeServer(id)
		}),
		Entry("one that has restarted", func(c *control, id state.BackendID) {
			s := c.listing.servers[id]
			s.Born++
			c.listing.updateServer(s)
		}),
	)

	// A configuration names a new service right after a change of the list. If the servers
	// that it makes usable are published only with the next change, callers of the new
	// route get no server.
	It("is published at once with a new configuration", Label("failure:service-listed-late"), func() {
		c := newTestControl(GinkgoTB())
		var ids []state.BackendID
		for i := range 1000 {
			ids = append(ids, state.BackendID(fmt.Sprint(i)))
		}
		listed := serverBatch(2, ids...)
		for i := range listed.Items {
			listed.Items[i].Value.Service = "later"
		}
		c.serverFeed.applyStoreAnswer(listed, batchInfo{complete: true})
		c.tick()
		Expect(c.g.currentView.Load().servers["later"]).To(BeEmpty(), "no configuration knows the service")
		c.configFeed.applyStoreAnswer(configWith(2, "app", "later"), batchInfo{})
		c.tick()
		Expect(c.g.currentView.Load().servers["later"]).To(HaveLen(1000))
	})
})
