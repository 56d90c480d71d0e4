package limit

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// acquire spends an available token, or makes the request wait for the owner's
// answer.
func (m *Limiter) acquire(now time.Time, ev Acquire) {
	key := Key{Service: ev.Service, Customer: ev.Customer}
	// Guard (removed-customer-served): an entry outlives its customer, since the tokens that
	// it holds would be lent a second time if the customer came back.
	_, limited := m.limits[key]
	e, ok := m.entry(key)
	if !limited || !ok {
		m.refuse(ev.Call, ReasonNoLimit, 0)
		return
	}
	e.requests++
	e.lastRequest = now
	switch {
	case len(e.pending) == 0 && e.spend(now):
		m.out = append(m.out, Admit{Call: ev.Call})
		m.reportIfExhausted(now, e)
	case now.Before(e.exhaustedUntil):
		m.refuse(ev.Call, ReasonExhausted, e.exhaustedUntil.Sub(now))
	case len(e.pending) >= m.cfg.MaxPending:
		m.refuse(ev.Call, ReasonTooManyPending, m.cfg.ReportInterval)
	default:
		e.pending = append(e.pending, pendingRequest{call: ev.Call, since: now})
		m.chooseOwner(now, e.shard).urgent = true
	}
}

// reportIfExhausted makes a report urgent if the last token was spent and the
// owner adds no tokens before it has that report.
func (m *Limiter) reportIfExhausted(now time.Time, e *entry) {
	if e.burstExhausted && e.tokens(now) == 0 {
		m.chooseOwner(now, e.shard).urgent = true
	}
}

// entry returns the entry of a key, creating it if needed. It returns false if the
// key has no limit or there are MaxKeys entries already.
func (m *Limiter) entry(key Key) (*entry, bool) {
	if e := m.entries[key]; e != nil {
		return e, true
	}
	if _, ok := m.limits[key]; !ok || len(m.orderedEntries) >= m.cfg.MaxKeys {
		return nil, false
	}
	e := &entry{key: key, shard: key.shard(m.cfg.Shards)}
	m.entries[key] = e
	m.orderedEntries = append(m.orderedEntries, e)
	return e, true
}

func (m *Limiter) receive(now time.Time, from state.Member, msg Message) {
	m.updateIncarnation(from)
	switch msg := msg.(type) {
	case Report:
		if g, ok := m.owner.handleReport(now, from, m.incarnations[from.ID], msg); ok {
			m.send(from.ID, g)
		}
	case Grant:
		m.applyGrant(now, from, msg)
	}
}

// applyGrant applies an owner's answer.
func (m *Limiter) applyGrant(now time.Time, from state.Member, g Grant) {
	if _, ok := m.owner.seatIndex[from.ID]; !ok {
		return
	}
	s := m.session(from.ID)
	if !s.acceptGrant(now, from, g) {
		return
	}
	sentAt := m.start.Add(time.Duration(g.Echo - 1))
	if m.lender != nil {
		m.applyGrantToLender(now, from, g, sentAt)
	}
	for _, e := range m.orderedEntries {
		e.dropEnded(now, from, g.Echo)
	}
	for _, alloc := range g.Allocations {
		if e := m.entries[Key{Service: alloc.Service, Customer: alloc.Customer}]; e != nil {
			m.addTokens(now, from, e, alloc, sentAt)
		}
	}
}

func (m *Limiter) applyGrantToLender(now time.Time, from state.Member, g Grant, sentAt time.Time) {
	if from.ID != m.cfg.Self.ID && sentAt.After(m.lender.lastContact) {
		m.lender.lastContact = sentAt
	}
	if g.To > m.cfg.Self.Incarnation {
		// A later incarnation of this daemon lends the seat.
		m.lender.stopped = true
	}
	if m.lender.releaseLoans(from, g) {
		for n := range m.ranks {
			m.chooseOwner(now, n).urgent = true
		}
	}
}

// addTokens adds the tokens of an allocation and answers the requests that wait
// for them. The batch's lifetime counts from the time when the Report was sent,
// which is before the owner started to count it.
func (m *Limiter) addTokens(now time.Time, from state.Member, e *entry, alloc Allocation, sentAt time.Time) {
	if alloc.Tokens > 0 {
		expires := sentAt.Add(m.cfg.BatchTTL)
		e.held = append(e.held, heldBatch{
			owner: from, id: alloc.Batch, size: alloc.Tokens, expires: expires,
			closed: !now.Before(expires),
		})
	}
	e.burstExhausted = alloc.Exhausted
	e.reportSpent = alloc.ReportSpent
	n := 0
	for n < len(e.pending) && e.spend(now) {
		m.out = append(m.out, Admit{Call: e.pending[n].call})
		n++
	}
	e.pending = slices.Delete(e.pending, 0, n)
	if n > 0 {
		m.reportIfExhausted(now, e)
	}
	if alloc.Unready || alloc.WaitMillis == 0 {
		return
	}
	wait := time.Duration(alloc.WaitMillis) * time.Millisecond
	e.exhaustedUntil = now.Add(wait)
	for _, p := range e.pending {
		m.refuse(p.call, ReasonExhausted, wait)
	}
	e.pending = e.pending[:0]
}
