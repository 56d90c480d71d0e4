package claims

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// aim makes rec, under this claim's nonce and the next sequence number, the
// write that the store loop works towards.
func (c *Claim) aim(in intent, rec Record, base uint64) {
	rec.Nonce = c.req.Nonce
	rec.Owner = c.req.Owner
	rec.Seq = c.target.Seq + 1
	rec.At = c.now.Unix()
	c.target = rec
	c.base = base
	c.intent = in
	c.mode = modeWriting
	c.backoff = 0
	c.wakeAt = time.Time{}
	if c.call == 0 {
		c.advance()
	}
}

// advance sends the loop's next call.
func (c *Claim) advance() {
	if c.mode != modeWriting || c.call != 0 {
		return
	}
	if c.readNext {
		c.read()
		return
	}
	c.write()
}

// write sends target, conditioned on the revision last seen. A write of target
// that was lost and is sent again can't land twice, nor after a later write of
// this claim: the first of them to land ends the revision of the others.
func (c *Claim) write() {
	key := c.req.Key.Row()
	class := store.ClassClaim
	if c.intent == intentEnd {
		class = store.ClassBackground
	}
	c.send(class, store.Commit{Txn: store.Txn{
		Conditions: []store.Condition{{Table: Table, Key: key, Revision: c.base}},
		Writes:     []store.Write{{Table: Table, Key: key, Value: c.target.Encode()}},
	}}, c.cfg.ViaHome && !c.direct)
	c.callWrite = true
	c.sentPrev = c.sentSeq
	c.sentSeq = c.target.Seq
}

// read settles a lost answer or a conflict.
func (c *Claim) read() {
	c.send(store.ClassClaim, store.Get{Table: Table, Key: c.req.Key.Row()}, false)
	c.callWrite = false
}

func (c *Claim) send(class store.Class, req store.Request, viaHome bool) {
	c.lastCall++
	c.call = c.lastCall
	c.out = append(c.out, CallStore{
		Call:    store.Call{ID: c.call, Class: class, Request: req},
		ViaHome: viaHome,
	})
}

func (c *Claim) answered(res store.Result) {
	if res.Call != c.call {
		return
	}
	c.call = 0
	if c.callWrite {
		c.wrote(res)
	} else {
		c.didRead(res)
	}
}

func (c *Claim) wrote(res store.Result) {
	switch res.Status {
	case store.Done:
		if row, ok := res.Row(); ok {
			c.sawRow(row)
			return
		}
		c.readNext = true
		c.advance()
	case store.Conflict:
		c.sentSeq = c.sentPrev
		if row, ok := res.Row(); ok && c.final(row) {
			c.sawRow(row)
			return
		}
		c.conflicted = true
		c.readNext = true
		c.advance()
	case store.NotSent:
		c.sentSeq = c.sentPrev
		c.direct = true
		c.later()
	case store.Unanswered:
		c.direct = true
		c.readNext = true
		c.later()
	}
}

// final reports whether a row that the key's home knew is enough to decide on:
// it may be older than the store's. One that another claimed is read afresh,
// or a repeat would wait for an owner that has voided it since.
func (c *Claim) final(row store.Row) bool {
	rec, err := DecodeRecord(row)
	return err == nil && (rec.Nonce == c.req.Nonce || rec.Phase != PhaseClaimed)
}

func (c *Claim) didRead(res store.Result) {
	if res.Status != store.Done {
		c.later()
		return
	}
	c.readNext = false
	c.conflicted = false
	c.backoff = 0
	if row, ok := res.Row(); ok {
		c.sawRow(row)
		return
	}
	c.sawNoRow()
}

// later goes on after a back-off with jitter. A terminal outcome is given up
// after a few tries.
func (c *Claim) later() {
	if c.mode != modeWriting {
		return
	}
	if c.intent == intentEnd {
		c.endTries--
		if c.endTries <= 0 {
			c.release(false)
			return
		}
	}
	c.backoff = nextBackoff(c.backoff, c.cfg)
	c.wakeAt = c.now.Add(c.jitter(c.backoff))
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

// sawNoRow goes on where the key has no row. A write of ours that is still
// under way may yet create one, so giving up also writes: the voided row bars
// it.
func (c *Claim) sawNoRow() {
	c.checked = true
	if c.isConfirmed || !c.clean {
		c.lost()
		return
	}
	c.base = 0
	c.advance()
}

// lost ends a claim whose row was swept: it outlived the retention.
func (c *Claim) lost() {
	if c.intent == intentEnd {
		c.release(false)
		return
	}
	c.finish(VerdictUnknown, Record{})
}

func (c *Claim) sawRow(row store.Row) {
	c.checked = true
	c.conflicted = false
	c.readNext = false
	rec, err := DecodeRecord(row)
	if err != nil {
		// Not a row of ours; nothing is known of the key.
		c.clean = false
		c.finish(VerdictUnknown, Record{})
		return
	}
	if rec.Nonce != c.req.Nonce {
		c.decide(rec, row.Revision)
		return
	}
	c.base = row.Revision
	c.isConfirmed = true
	c.confirmed = rec
	if rec.Seq != c.target.Seq {
		c.advance()
		return
	}
	c.settled()
}

// settled goes on once the row holds target, and so no other write of this
// claim can land any more.
func (c *Claim) settled() {
	c.backoff = 0
	switch c.intent {
	case intentClaim:
		c.dispatch()
	case intentTakeover:
		c.mode = modeAsking
		c.askBackoff = 0
		c.out = append(c.out, QueryAttempt{Record: c.target})
	case intentVoid:
		c.finish(VerdictNotRun, Record{})
	case intentEnd:
		c.release(true)
	}
}
