package gateway

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

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
		Expect(c.serverFeed.applyResponse(context.Background(), "peer", rowsRequest{}, resp)).To(BeFalse(), "the store has to be called")
		Expect(c.serverFeed.revision.Load()).To(BeZero())

		resp.StoreFailing = true
		Expect(c.serverFeed.applyResponse(context.Background(), "peer", rowsRequest{}, resp)).To(BeTrue(), "nobody has newer rows")
		Expect(c.serverFeed.revision.Load()).To(Equal(uint64(7)))
	})
})
