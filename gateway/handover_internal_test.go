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

// listing is all rows of a list of plain servers as of a revision.
func listing(revision uint64, ids ...state.BackendID) site.Batch[fleet.Server] {
	b := site.Batch[fleet.Server]{Revision: revision}
	for _, id := range ids {
		b.Items = append(b.Items, site.Item[fleet.Server]{
			Key: string(id), Revision: revision, Value: fleet.Server{ID: id, Service: "app", Address: string(id), Domain: "a"},
		})
	}
	return b
}

var _ = Describe("Rows that another daemon gives", func() {
	// Requests are sent to a server that has left, for as long as nothing else changes. Order:
	// a daemon that starts asks another one for the list; the store answers first, and says
	// that a server has left; what the other daemon gave comes after it. Cause: rows as of an
	// older revision were taken.
	It("are not taken where newer ones are known", Label("failure:rows-older"), func() {
		c := startedControl(GinkgoTB())
		c.entries.answered(listing(9, "stays"), arrival{whole: true})
		c.tick()
		c.entries.given(listing(7, "stays", "has-left"), time.Millisecond, true)
		c.tick()

		Expect(c.listing.servers).To(And(HaveLen(1), HaveKey(state.BackendID("stays"))))
		revision, _ := c.entries.m.Revision()
		Expect(revision).To(Equal(uint64(9)))
	})

	// Callers of a daemon that has just started are served by a configuration that is no longer
	// in force. Order: a daemon is cut off from the store by itself; another one starts, reaches
	// the store, and asks that one first. Cause: what it gave was believed, however old.
	It("are not believed of a daemon that is cut off by itself", Label("failure:follower-stale"), func() {
		c := startedControl(GinkgoTB())
		go c.run()
		DeferCleanup(func() { close(c.g.done) })
		giver := startedControl(GinkgoTB())
		giver.entries.answered(listing(7, "old"), arrival{whole: true})
		given := giver.entries.give(rowsAsked{})
		Expect(given.Whole).To(BeTrue())

		given.Age = followFresh + time.Millisecond
		Expect(c.entries.takeGiven(context.Background(), "peer", rowsAsked{}, given)).To(BeFalse(), "the store is to be asked")
		Expect(c.entries.revision.Load()).To(BeZero())

		given.Failing = true
		Expect(c.entries.takeGiven(context.Background(), "peer", rowsAsked{}, given)).To(BeTrue(), "nobody knows more")
		Expect(c.entries.revision.Load()).To(Equal(uint64(7)))
	})
})
