package gateway

import "github.com/hibiscuswick/hibiscuswick/protocol/site"

// maxRemovedRows limits the removed rows that are remembered. With 630 server restarts a
// day, or half of a site's servers replaced within 20 s, they cover more time than a daemon
// can be without announcements.
const maxRemovedRows = 512

// rowCache caches a feed's rows for daemons that lack some of them.
type rowCache[T any] struct {
	rows map[string]site.Item[T]
	// removed are the last rows that were removed, the oldest first. It contains all
	// removals after the revision removedAfter.
	removed      []site.Item[T]
	removedAfter uint64
}

func newRowCache[T any]() rowCache[T] {
	return rowCache[T]{rows: make(map[string]site.Item[T])}
}

// update applies changes, or a complete set of rows.
func (c *rowCache[T]) update(b site.Batch[T], complete bool) {
	if complete {
		clear(c.rows)
		c.removed, c.removedAfter = nil, b.Revision
	}
	for _, it := range b.Items {
		if !it.Removed {
			c.rows[it.Key] = it
			continue
		}
		delete(c.rows, it.Key)
		c.removed = append(c.removed, it)
		if len(c.removed) > maxRemovedRows {
			c.removedAfter = max(c.removedAfter, c.removed[0].Revision)
			c.removed = c.removed[1:]
		}
	}
}

// forgotten reports whether the changes after a revision are no longer known.
func (c *rowCache[T]) forgotten(revision uint64) bool {
	return revision < c.removedAfter || revision == 0
}

// after returns the changes after a revision, or all rows (true) if those changes are no
// longer known.
func (c *rowCache[T]) after(revision uint64) ([]site.Item[T], bool) {
	complete := c.forgotten(revision)
	var out []site.Item[T]
	for _, it := range c.rows {
		if complete || it.Revision > revision {
			out = append(out, it)
		}
	}
	if complete {
		return out, true
	}
	return append(out, itemsAfter(c.removed, revision)...), false
}
