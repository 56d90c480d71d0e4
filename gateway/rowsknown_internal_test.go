package gateway

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/protocol/site"
)

// A server leaves the list while a daemon hears no words, and the daemon goes on sending
// to it. Order: the row is removed, then another daemon gives what changed. Cause: what
// is given names only the rows that are still there.
func TestRowsGivenNameRemovals(t *testing.T) {
	g := NewWithT(t)
	k := newRowsKnown[int]()
	k.keep(site.Batch[int]{Items: []site.Item[int]{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}}, Revision: 5}, true)
	k.keep(site.Batch[int]{Items: []site.Item[int]{{Key: "a", Revision: 6, Removed: true}, {Key: "c", Revision: 7}}, Revision: 7}, false)

	items, whole := k.after(5)
	g.Expect(whole).To(BeFalse())
	g.Expect(items).To(ConsistOf(
		site.Item[int]{Key: "a", Revision: 6, Removed: true}, site.Item[int]{Key: "c", Revision: 7},
	))
	items, whole = k.after(4)
	g.Expect(whole).To(BeTrue(), "what was removed before this daemon began is not known")
	g.Expect(items).To(HaveLen(2))

	for i := range mostRemoved {
		k.keep(site.Batch[int]{Items: []site.Item[int]{{Key: fmt.Sprint(i), Revision: uint64(8 + i), Removed: true}}}, false)
	}
	_, whole = k.after(5)
	g.Expect(whole).To(BeTrue(), "the removal of a is forgotten")
	_, whole = k.after(6)
	g.Expect(whole).To(BeFalse())
}
