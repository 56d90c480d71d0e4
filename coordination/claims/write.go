package claims

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// startWrite makes rec, with this claim's nonce and the next sequence number, the
// target, and starts to write it.
func (c *Claim) startWrite(in intent, rec Record, base uint64) {
	rec.Nonce = c.req.Nonce
	rec.Owner = c.req.Owner
	rec.Seq = c.target.Seq + 1
	rec.At = c.now.Unix()
	c.target = rec
	c.base = base
	c.intent = in
	c.mode = modeWriting
	c.backoff = 0
	c.retryAt = time.Time{}
	if c.call == 0 {
		c.advance()
	}
}

// advance sends the next store call, unless one is in flight.
func (c *Claim) advance() {
	if c.mode != modeWriting || c.call != 0 {
		return
	}
	if c.readNext {
		c.sendRead()
		return
	}
	c.sendWrite()
}

// sendWrite sends target, conditional on the revision last seen. A write that was
// lost and is sent again can't be committed twice, nor after a later write of
// this claim: the first one committed changes the revision that the others
// require.
func (c *Claim) sendWrite() {
	key := c.req.Key.Row()
	class := store.ClassClaim
	if c.intent == intentOutcome {
		class = store.ClassBackground
	}
	c.send(class, store.Commit{Txn: store.Txn{
		Conditions: []store.Condition{{Table: Table, Key: key, Revision: c.base}},
		Writes:     []store.Write{{Table: Table, Key: key, Value: c.target.Encode()}},
	}}, c.cfg.ViaHome && !c.skipHome)
	c.callIsWrite = true
	c.prevSentSeq = c.maxSentSeq
	c.maxSentSeq = c.target.Seq
}

// sendRead reads the row after a lost answer or a conflict.
func (c *Claim) sendRead() {
	c.send(store.ClassClaim, store.Get{Table: Table, Key: c.req.Key.Row()}, false)
	c.callIsWrite = false
}

func (c *Claim) send(class store.Class, req store.Request, viaHome bool) {
	c.lastCall++
	c.call = c.lastCall
	c.out = append(c.out, CallStore{
		Call:    store.Call{ID: c.call, Class: class, Request: req},
		ViaHome: viaHome,
	})
}

func (c *Claim) storeResult(res store.Result) {
	if res.Call != c.call {
		return
	}
	c.call = 0
	if c.callIsWrite {
		c.writeDone(res)
	} else {
		c.readDone(res)
	}
}

func (c *Claim) writeDone(res store.Result) {
	switch res.Status {
	case store.Done:
		if row, ok := res.Row(); ok {
			c.handleRow(row)
			return
		}
		c.readNext = true
		c.advance()
	case store.Conflict:
		c.maxSentSeq = c.prevSentSeq
		if row, ok := res.Row(); ok && c.conclusive(row) {
			c.handleRow(row)
			return
		}
		c.conflicted = true
		c.readNext = true
		c.advance()
	case store.NotSent:
		c.maxSentSeq = c.prevSentSeq
		c.skipHome = true
		c.scheduleRetry()
	case store.Unanswered:
		c.skipHome = true
		c.readNext = true
		c.scheduleRetry()
	}
}

// conclusive reports whether a row from the home's cache, which may be older than
// the store's, is enough to decide on. A row that another claimant has claimed is
// read again from the store; otherwise a repeat could wait for an owner that has
// voided the row since.
func (c *Claim) conclusive(row store.Row) bool {
	rec, err := DecodeRecord(row)
	return err == nil && (rec.Nonce == c.req.Nonce || rec.Phase != PhaseClaimed)
}

func (c *Claim) readDone(res store.Result) {
	if res.Status != store.Done {
		c.scheduleRetry()
		return
	}
	c.readNext = false
	c.conflicted = false
	c.backoff = 0
	if row, ok := res.Row(); ok {
		c.handleRow(row)
		return
	}
	c.handleNoRow()
}

// scheduleRetry schedules the next call after a backoff with jitter. The write of
// a terminal outcome is abandoned after MaxOutcomeWrites attempts.
func (c *Claim) scheduleRetry() {
	if c.mode != modeWriting {
		return
	}
	if c.intent == intentOutcome {
		c.outcomeTries--
		if c.outcomeTries <= 0 {
			c.release(false)
			return
		}
	}
	c.backoff = nextBackoff(c.backoff, c.cfg)
	c.retryAt = c.now.Add(c.jitter(c.backoff))
}

func nextBackoff(last time.Duration, cfg Config) time.Duration {
	if last == 0 {
		return cfg.MinBackoff
	}
	return min(2*last, cfg.MaxBackoff)
}

func (c *Claim) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(c.rng.Int64N(int64(d/2)+1))
}

// handleNoRow continues if the key has no row. A write of ours that is still in
// flight may yet create one. Giving up therefore also writes: the voided row
// makes that write fail.
func (c *Claim) handleNoRow() {
	c.keyChecked = true
	if c.isConfirmed || !c.notRunProven {
		c.rowDeleted()
		return
	}
	c.base = 0
	c.advance()
}

// rowDeleted ends a claim whose row was deleted because the claim outlived the
// retention.
func (c *Claim) rowDeleted() {
	if c.intent == intentOutcome {
		c.release(false)
		return
	}
	c.finish(VerdictUnknown, Record{})
}

func (c *Claim) handleRow(row store.Row) {
	c.keyChecked = true
	c.conflicted = false
	c.readNext = false
	rec, err := DecodeRecord(row)
	if err != nil {
		// The row can't be decoded, so nothing is known of the key.
		c.notRunProven = false
		c.finish(VerdictUnknown, Record{})
		return
	}
	if rec.Nonce != c.req.Nonce {
		c.handleForeignRow(rec, row.Revision)
		return
	}
	c.base = row.Revision
	c.isConfirmed = true
	c.confirmed = rec
	if rec.Seq != c.target.Seq {
		c.advance()
		return
	}
	c.writeConfirmed()
}

// writeConfirmed continues once the row holds target. No other write of this
// claim can be committed any more.
func (c *Claim) writeConfirmed() {
	c.backoff = 0
	switch c.intent {
	case intentClaim:
		c.dispatch()
	case intentTakeover:
		c.mode = modeQuerying
		c.queryBackoff = 0
		c.out = append(c.out, QueryAttempt{Record: c.target})
	case intentVoid:
		c.finish(VerdictNotRun, Record{})
	case intentOutcome:
		c.release(true)
	}
}
