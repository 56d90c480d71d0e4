package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// serverBatch returns a complete list of plain servers as of a revision.
func serverBatch(revision uint64, ids ...state.BackendID) site.Batch[fleet.Server] {
	b := site.Batch[fleet.Server]{Revision: revision}
	for _, id := range ids {
		b.Items = append(b.Items, site.Item[fleet.Server]{
			Key: string(id), Revision: revision, Value: fleet.Server{ID: id, Service: "app", Address: string(id), Domain: "a"},
		})
	}
	return b
}

var _ = Describe("Rows from another daemon", func() {
	// A starting daemon queries another one for the server list. The store answers first,
	// without a server that has left, and the older rows of the other daemon arrive after
	// that. If they were applied, requests would be sent to that server until the next
	// change.
	It("are not applied if newer ones are known", Label("failure:rows-older"), func() {
		c := newTestControl(GinkgoTB())
		c.serverFeed.applyStoreAnswer(serverBatch(9, "stays"), batchInfo{complete: true})
		c.tick()
		c.serverFeed.applyPeerRows(serverBatch(7, "stays", "has-left"), time.Millisecond, true)
		c.tick()

		Expect(c.listing.servers).To(And(HaveLen(1), HaveKey(state.BackendID("stays"))))
		revision, _ := c.serverFeed.machine.Revision()
		Expect(revision).To(Equal(uint64(9)))
	})

	// A daemon is cut off from the store by itself, and a starting one that reaches the
	// store queries it first. If its rows were applied however old they are, callers would
	// be served by an outdated configuration.
	It("are not applied if the daemon alone is cut off from the store", Label("failure:follower-stale"), func() {
		c := newTestControl(GinkgoTB())
		go c.run()
		DeferCleanup(func() { close(c.g.done) })
		peer := newTestControl(GinkgoTB())
		peer.serverFeed.applyStoreAnswer(serverBatch(7, "old"), batchInfo{complete: true})
		resp := peer.serverFeed.rowsFor(rowsRequest{})
		Expect(resp.Complete).To(BeTrue())

		resp.StoreAge = maxStoreAge + time.Millisecond
		Expect(c.serverFeed.applyResponse(context.Background(), "peer", rowsRequest{}, resp, time.Now())).To(BeFalse(), "the store has to be called")
		Expect(c.serverFeed.revision.Load()).To(BeZero())

		resp.StoreFailing = true
		Expect(c.serverFeed.applyResponse(context.Background(), "peer", rowsRequest{}, resp, time.Now())).To(BeTrue(), "nobody has newer rows")
		Expect(c.serverFeed.revision.Load()).To(Equal(uint64(7)))
	})

	// Guards against a daemon that uses an old configuration for longer the busier it is: the
	// time between its request and the use of the answer was not counted.
	It("are as old as when they were requested", Label("failure:rows-aged-in-transit"), func() {
		c := newTestControl(GinkgoTB())
		c.serverFeed.machine = following.New(c.g.self, "servers", maxStoreAge, c.now)
		peer := newTestControl(GinkgoTB())
		peer.serverFeed.applyStoreAnswer(serverBatch(7, "old"), batchInfo{complete: true})
		resp := peer.serverFeed.rowsFor(rowsRequest{})
		resp.StoreAge = time.Second
		const busy = 300 * time.Millisecond
		asked := time.Now()
		applied := make(chan bool)
		go func() {
			applied <- c.serverFeed.applyResponse(context.Background(), "peer", rowsRequest{}, resp, asked)
		}()
		Eventually(c.inbox).Should(HaveLen(1))
		time.Sleep(busy)
		apply := <-c.inbox
		c.now = time.Now()
		apply()
		Expect(<-applied).To(BeTrue())
		Expect(c.serverFeed.machine.Age(c.now)).To(BeNumerically(">=", time.Second+busy))

		Expect(c.serverFeed.applyResponse(context.Background(), "peer", rowsRequest{}, resp, asked.Add(-time.Second))).To(BeFalse(), "the store has to be called")
	})
})
