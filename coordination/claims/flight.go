package claims

import (
	"bytes"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// fill sends transactions while the store has room.
func (b *Batcher) fill() {
	for b.underWay() < b.cfg.MaxInFlight {
		items := b.take()
		if len(items) == 0 {
			return
		}
		b.commit(items, false)
	}
}

func (b *Batcher) underWay() int {
	n := 0
	for _, f := range b.flights {
		if !f.half && !f.read {
			n++
		}
	}
	return n
}

// take picks the next batch: urgent writes first; lazy ones ride along, or go
// alone once the oldest has waited long enough.
func (b *Batcher) take() []*item {
	n := min(len(b.urgent), b.cfg.MaxRows)
	items := b.urgent[:n:n]
	b.urgent = b.urgent[n:]
	if n == 0 && (len(b.lazy) == 0 || b.now.Before(b.lazy[0].at.Add(b.cfg.MaxLazyDelay))) {
		return nil
	}
	m := min(len(b.lazy), b.cfg.MaxRows-n)
	items = append(items, b.lazy[:m]...)
	b.lazy = b.lazy[m:]
	return items
}

func (b *Batcher) commit(items []*item, half bool) {
	var txn store.Txn
	for _, it := range items {
		txn.Conditions = append(txn.Conditions, store.Condition{Table: Table, Key: it.req.Key, Revision: it.req.Base})
		txn.Writes = append(txn.Writes, store.Write{Table: Table, Key: it.req.Key, Value: it.req.Value})
	}
	b.send(&flight{items: items, txn: txn, half: half}, store.Commit{Txn: txn})
}

func (b *Batcher) send(f *flight, req store.Request) {
	b.last++
	b.flights[b.last] = f
	b.order = append(b.order, b.last)
	f.retryAt = time.Time{}
	if f.read {
		b.stats.Reads++
	} else {
		b.stats.Txns++
		b.stats.Rows += len(f.items)
	}
	b.out = append(b.out, CallStore{Call: store.Call{ID: b.last, Class: store.ClassClaim, Request: req}})
}

func (b *Batcher) answered(res store.Result) {
	f, ok := b.flights[res.Call]
	if !ok || !f.retryAt.IsZero() {
		return
	}
	if f.read {
		b.drop(res.Call)
		b.didRead(f.items[0], res)
		return
	}
	switch res.Status {
	case store.Done:
		b.drop(res.Call)
		b.done(f, res)
	case store.Conflict:
		b.drop(res.Call)
		b.conflict(f)
	case store.NotSent:
		b.again(res.Call, f)
	case store.Unanswered:
		// All or nothing: the same transaction sent again either lands, or
		// conflicts because it (or another) did, and then the rows tell.
		for _, it := range f.items {
			it.maySent = true
		}
		b.again(res.Call, f)
	}
}

func (b *Batcher) drop(id store.CallID) {
	delete(b.flights, id)
	for i, o := range b.order {
		if o == id {
			b.order = append(b.order[:i], b.order[i+1:]...)
			return
		}
	}
}

func (b *Batcher) done(f *flight, res store.Result) {
	for i, it := range f.items {
		if i < len(res.Rows) {
			b.finish(it, store.Done, &res.Rows[i])
			continue
		}
		b.finish(it, store.Unanswered, nil)
	}
}

// conflict narrows down which row conflicted. Nothing was written.
func (b *Batcher) conflict(f *flight) {
	b.stats.Conflicts++
	if len(f.items) > b.cfg.ReadThreshold {
		mid := len(f.items) / 2
		b.commit(f.items[:mid:mid], true)
		b.commit(f.items[mid:], true)
		return
	}
	for _, it := range f.items {
		b.send(&flight{items: []*item{it}, read: true}, store.Get{Table: Table, Key: it.req.Key})
	}
}

func (b *Batcher) didRead(it *item, res store.Result) {
	if res.Status != store.Done {
		b.finish(it, b.unanswered(it), nil)
		return
	}
	row, ok := res.Row()
	switch {
	case ok && row.Revision != it.req.Base && bytes.Equal(row.Value, it.req.Value):
		b.finish(it, store.Done, &row) // a lost transaction had landed
	case !ok && it.req.Base == 0, ok && row.Revision == it.req.Base:
		b.requeue(it) // another row of the batch conflicted
	case ok:
		b.finish(it, store.Conflict, &row)
	default:
		b.finish(it, store.Conflict, nil)
	}
}

func (b *Batcher) requeue(it *item) {
	if !b.now.Before(it.at.Add(b.cfg.WriteTimeout)) {
		b.finish(it, b.unanswered(it), nil)
		return
	}
	b.urgent = append([]*item{it}, b.urgent...)
}

func (b *Batcher) unanswered(it *item) store.Status {
	if it.maySent {
		return store.Unanswered
	}
	return store.NotSent
}

// again waits to send a flight once more, or gives its writes up.
func (b *Batcher) again(id store.CallID, f *flight) {
	f.retryAt = b.now.Add(b.cfg.Retry)
	if f.retryAt.Before(f.items[0].at.Add(b.cfg.WriteTimeout)) {
		return
	}
	b.drop(id)
	for _, it := range f.items {
		b.finish(it, b.unanswered(it), nil)
	}
}

func (b *Batcher) retry() {
	for _, id := range append([]store.CallID(nil), b.order...) {
		f := b.flights[id]
		if f.retryAt.IsZero() || b.now.Before(f.retryAt) {
			continue
		}
		b.drop(id)
		b.send(f, store.Commit{Txn: f.txn})
	}
}

// finish answers a write. Where its row is known, writes of the same key that
// waited conflict with it; otherwise the first of them is tried.
func (b *Batcher) finish(it *item, status store.Status, row *store.Row) {
	b.reply(it, status, row)
	delete(b.byKey, it.req.Key)
	if row != nil {
		b.recent.Add(it.req.Key, seen{row: *row, at: b.now})
	}
	if len(it.followers) == 0 {
		return
	}
	if row != nil {
		for _, f := range it.followers {
			b.reply(f, store.Conflict, row)
		}
		return
	}
	next := it.followers[0]
	next.followers = it.followers[1:]
	next.at = b.now
	b.queue(next)
}

func (b *Batcher) reply(it *item, status store.Status, row *store.Row) {
	r := WriteReply{Call: it.req.Call, Status: status}
	if row != nil {
		r.HasRow = true
		r.Revision = row.Revision
		r.Value = row.Value
	}
	b.out = append(b.out, Reply{To: it.from, Reply: r})
}
