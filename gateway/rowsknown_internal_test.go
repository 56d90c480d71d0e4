package gateway

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/protocol/site"
)

// A row is removed while a daemon receives no announcements, and then another daemon sends
// it the changes. If they contained only existing rows, the daemon would keep sending
// requests to a server that has left.
func TestRowCacheListsRemovals(t *testing.T) {
	g := NewWithT(t)
	cache := newRowCache[int]()
	cache.update(site.Batch[int]{Items: []site.Item[int]{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}, Revision: 5}, true)
	cache.update(site.Batch[int]{Items: []site.Item[int]{{Key: "a", Revision: 6, Removed: true}, {Key: "c", Revision: 7}}, Revision: 7}, false)

	items, complete := cache.after(5)
	g.Expect(complete).To(BeFalse())
	g.Expect(items).To(ConsistOf(
		site.Item[int]{Key: "a", Revision: 6, Removed: true}, site.Item[int]{Key: "c", Revision: 7},
	))
	items, complete = cache.after(4)
	g.Expect(complete).To(BeTrue(), "removals before this daemon started are not known")
	g.Expect(items).To(HaveLen(2))

	for i := range maxRemovedRows {
		cache.update(site.Batch[int]{Items: []site.Item[int]{{Key: fmt.Sprint(i), Revision: uint64(8 + i), Removed: true}}}, false)
	}
	_, complete = cache.after(5)
	g.Expect(complete).To(BeTrue(), "the removal of a is no longer remembered")
	_, complete = cache.after(6)
	g.Expect(complete).To(BeFalse())
}
