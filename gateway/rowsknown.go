package gateway

import "github.com/hibiscuswick/hibiscuswick/protocol/site"

// mostRemoved bounds the removed rows that are remembered: with 630 restarts of servers a
// day, or half of a site's replaced in 20 s, they reach back for longer than a daemon
// misses announcements.
const mostRemoved = 512

// rowsKnown are a feed's rows as they are known here, for daemons that lack some.
type rowsKnown[T any] struct {
	rows map[string]site.Item[T]
	// removed are the last rows that were removed, the oldest first. All removals after
	// the revision floor are among them.
	removed []site.Item[T]
	floor   uint64
}

func newRowsKnown[T any]() rowsKnown[T] {
	return rowsKnown[T]{rows: make(map[string]site.Item[T])}
}

// keep takes up changes, or all rows.
func (k *rowsKnown[T]) keep(b site.Batch[T], whole bool) {
	if whole {
		clear(k.rows)
		k.removed, k.floor = nil, b.Revision
	}
	for _, it := range b.Items {
		if !it.Removed {
			k.rows[it.Key] = it
			continue
		}
		delete(k.rows, it.Key)
		k.removed = append(k.removed, it)
		if len(k.removed) > mostRemoved {
			k.floor = max(k.floor, k.removed[0].Revision)
			k.removed = k.removed[1:]
		}
	}
}

// forgotten reports whether what changed after a revision is not known any more.
func (k *rowsKnown[T]) forgotten(revision uint64) bool {
	return revision < k.floor || revision == 0
}

// after lists what changed after a revision, or all rows (true) where that is not known
// any more.
func (k *rowsKnown[T]) after(revision uint64) ([]site.Item[T], bool) {
	whole := k.forgotten(revision)
	var out []site.Item[T]
	for _, it := range k.rows {
		if whole || it.Revision > revision {
			out = append(out, it)
		}
	}
	if whole {
		return out, true
	}
	return append(out, since(k.removed, revision)...), false
}
