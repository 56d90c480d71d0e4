package gateway

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

var _ = Describe("A server whose entry may only have expired", func() {
	// Guards against requests to servers that have left: their removal is known late, in the last moments in which it
	// may be an expiry, and the time for which such a server is used begins only then.
	It("is used no longer than expired entries take to return, however late its removal is known", Label("failure:late-removal-kept"), func() {
		c := newTestControl(GinkgoTB())
		recovered := time.Now()
		c.now = recovered
		server := benchServer(1)
		c.listing.applyServers(site.Batch[fleet.Server]{Items: []site.Item[fleet.Server]{{Key: string(server.ID), Value: server, Revision: 1}}}, batchInfo{complete: true})
		c.listing.restoredAt = recovered
		listed := func(after time.Duration) bool {
			c.now = recovered.Add(after)
			c.listing.tick()
			_, ok := c.listing.servers[server.ID]
			return ok
		}
		c.now = recovered.Add(expiryWindow - 100*time.Millisecond)
		c.listing.applyServers(site.Batch[fleet.Server]{Items: []site.Item[fleet.Server]{{Key: string(server.ID), Removed: true, Revision: 2}}}, batchInfo{})
		Expect(listed(expiryWindow - time.Millisecond)).To(BeTrue())
		Expect(listed(expiryWindow)).To(BeFalse())
	})
})
