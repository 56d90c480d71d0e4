package claims

import (
	"bytes"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// sendBatches sends transactions while fewer than MaxInFlight are in flight.
func (b *Batcher) sendBatches() {
	for b.inFlight() < b.cfg.MaxInFlight {
		writes := b.nextBatch()
		if len(writes) == 0 {
			return
		}
		b.commit(writes, false)
	}
}

func (b *Batcher) inFlight() int {
	n := 0
	for _, c := range b.calls {
		if !c.splitHalf && !c.read {
			n++
		}
	}
	return n
}

// nextBatch removes the next batch from the queues. Lazy writes fill up a batch of
// urgent ones; they make a batch of their own once the oldest has waited for
// MaxLazyDelay.
func (b *Batcher) nextBatch() []*write {
	n := min(len(b.urgent), b.cfg.MaxRows)
	writes := b.urgent[:n:n]
	b.urgent = b.urgent[n:]
	if n == 0 && (len(b.lazy) == 0 || b.now.Before(b.lazy[0].receivedAt.Add(b.cfg.MaxLazyDelay))) {
		return nil
	}
	m := min(len(b.lazy), b.cfg.MaxRows-n)
	writes = append(writes, b.lazy[:m]...)
	b.lazy = b.lazy[m:]
	return writes
}

func (b *Batcher) commit(writes []*write, splitHalf bool) {
	c := &storeCall{writes: writes, txn: txnOf(writes), splitHalf: splitHalf}
	b.send(c, store.Commit{Txn: c.txn})
}

func txnOf(writes []*write) store.Txn {
	var txn store.Txn
	for _, w := range writes {
		txn.Conditions = append(txn.Conditions, store.Condition{Table: Table, Key: w.req.Key, Revision: w.req.Base})
		txn.Writes = append(txn.Writes, store.Write{Table: Table, Key: w.req.Key, Value: w.req.Value})
	}
	return txn
}

func (b *Batcher) send(c *storeCall, req store.Request) {
	b.lastCall++
	b.calls[b.lastCall] = c
	b.callIDs = append(b.callIDs, b.lastCall)
	c.retryAt = time.Time{}
	if c.read {
		b.stats.Reads++
	} else {
		b.stats.Txns++
		b.stats.Rows += len(c.writes)
	}
	b.out = append(b.out, CallStore{Call: store.Call{ID: b.lastCall, Class: store.ClassClaim, Request: req}})
}

func (b *Batcher) storeResult(res store.Result) {
	c, ok := b.calls[res.Call]
	if !ok || !c.retryAt.IsZero() {
		return
	}
	if c.read {
		b.removeCall(res.Call)
		b.readDone(c.writes[0], res)
		return
	}
	switch res.Status {
	case store.Done:
		b.removeCall(res.Call)
		b.batchCommitted(c, res)
	case store.Conflict:
		b.removeCall(res.Call)
		b.batchConflicted(c)
	case store.NotSent:
		b.scheduleRetry(res.Call, c)
	case store.Unanswered:
		// Transactions are atomic: the same transaction sent again is either
		// committed, or conflicts because it or another one was committed before.
		// Reading the rows then shows which.
		for _, w := range c.writes {
			w.mayHaveCommitted = true
		}
		b.scheduleRetry(res.Call, c)
	}
}

func (b *Batcher) removeCall(id store.CallID) {
	delete(b.calls, id)
	for i, o := range b.callIDs {
		if o == id {
			b.callIDs = append(b.callIDs[:i], b.callIDs[i+1:]...)
			return
		}
	}
}

func (b *Batcher) batchCommitted(c *storeCall, res store.Result) {
	for i, w := range c.writes {
		if i < len(res.Rows) {
			b.finish(w, store.Done, &res.Rows[i])
			continue
		}
		b.finish(w, store.Unanswered, nil)
	}
}

// batchConflicted finds out which row conflicted. Nothing was written.
func (b *Batcher) batchConflicted(c *storeCall) {
	b.stats.Conflicts++
	if len(c.writes) > b.cfg.ReadThreshold {
		mid := len(c.writes) / 2
		b.commit(c.writes[:mid:mid], true)
		b.commit(c.writes[mid:], true)
		return
	}
	for _, w := range c.writes {
		b.send(&storeCall{writes: []*write{w}, read: true}, store.Get{Table: Table, Key: w.req.Key})
	}
}

func (b *Batcher) readDone(w *write, res store.Result) {
	if res.Status != store.Done {
		b.finish(w, b.failureStatus(w), nil)
		return
	}
	row, ok := res.Row()
	switch {
	case ok && row.Revision != w.req.Base && bytes.Equal(row.Value, w.req.Value):
		b.finish(w, store.Done, &row) // a transaction without an answer was committed
	case !ok && w.req.Base == 0, ok && row.Revision == w.req.Base:
		b.requeue(w) // another row of the batch conflicted
	case ok:
		b.finish(w, store.Conflict, &row)
	default:
		b.finish(w, store.Conflict, nil)
	}
}

func (b *Batcher) requeue(w *write) {
	if !b.now.Before(w.receivedAt.Add(b.cfg.WriteTimeout)) {
		b.finish(w, b.failureStatus(w), nil)
		return
	}
	b.urgent = append([]*write{w}, b.urgent...)
}

func (b *Batcher) failureStatus(w *write) store.Status {
	if w.mayHaveCommitted {
		return store.Unanswered
	}
	return store.NotSent
}

// scheduleRetry schedules the transaction to be sent again, without the writes whose
// timeout would pass before that: these fail. If the transaction was committed after all,
// the remaining rows conflict, and reading them shows it.
//
// Guard (old-write-behind-a-young-one): a write that waited as a lazy one or as a duplicate
// may be far older than the first of its batch.
func (b *Batcher) scheduleRetry(id store.CallID, c *storeCall) {
	c.retryAt = b.now.Add(b.cfg.Retry)
	var remaining, expired []*write
	for _, w := range c.writes {
		if c.retryAt.Before(w.receivedAt.Add(b.cfg.WriteTimeout)) {
			remaining = append(remaining, w)
			continue
		}
		expired = append(expired, w)
	}
	if len(remaining) == 0 {
		b.removeCall(id)
	} else if len(expired) > 0 {
		c.writes, c.txn = remaining, txnOf(remaining)
	}
	for _, w := range expired {
		b.finish(w, b.failureStatus(w), nil)
	}
}

func (b *Batcher) sendRetries() {
	for _, id := range append([]store.CallID(nil), b.callIDs...) {
		c := b.calls[id]
		if c.retryAt.IsZero() || b.now.Before(c.retryAt) {
			continue
		}
		b.removeCall(id)
		b.send(c, store.Commit{Txn: c.txn})
	}
}

// finish answers a write. If its row is known, the waiting writes of the same key
// conflict with it; otherwise the first of them is tried.
func (b *Batcher) finish(w *write, status store.Status, row *store.Row) {
	b.reply(w, status, row)
	delete(b.byKey, w.req.Key)
	if row != nil {
		b.cache.Add(w.req.Key, cachedRow{row: *row, seenAt: b.now})
	}
	if len(w.duplicates) == 0 {
		return
	}
	if row != nil {
		for _, d := range w.duplicates {
			b.reply(d, store.Conflict, row)
		}
		return
	}
	next := w.duplicates[0]
	next.duplicates = w.duplicates[1:]
	next.receivedAt = b.now
	b.enqueue(next)
}

func (b *Batcher) reply(w *write, status store.Status, row *store.Row) {
	r := WriteReply{Call: w.req.Call, Status: status}
	if row != nil {
		r.HasRow = true
		r.Revision = row.Revision
		r.Value = row.Value
	}
	b.out = append(b.out, Reply{To: w.from, Reply: r})
}
