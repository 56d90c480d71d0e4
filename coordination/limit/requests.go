package limit

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// ask spends a token at hand, or lets the request wait for its owner's answer.
func (m *Limiter) ask(now time.Time, ev Acquire) {
	e, ok := m.entry(Key{Service: ev.Service, Customer: ev.Customer})
	if !ok {
		m.refuse(ev.Call, ReasonNoLimit, 0)
		return
	}
	e.asks++
	e.active = now
	switch {
	case len(e.pending) == 0 && e.spend(now):
		m.out = append(m.out, Admit{Call: ev.Call})
		m.spent(now, e)
	case now.Before(e.dry):
		m.refuse(ev.Call, ReasonExhausted, e.dry.Sub(now))
	case len(e.pending) >= m.cfg.MaxPending:
		m.refuse(ev.Call, ReasonTooManyPending, m.cfg.ReportInterval)
	default:
		e.pending = append(e.pending, pending{call: ev.Call, asked: now})
		m.choose(now, e.shard).urgent = true
	}
}

// spent tells the owner at once when it can mint no more before it knows.
func (m *Limiter) spent(now time.Time, e *entry) {
	if e.tight && e.tokens(now) == 0 {
		m.choose(now, e.shard).urgent = true
	}
}

// entry returns the entry of a key that has a limit and for which there is
// room.
func (m *Limiter) entry(key Key) (*entry, bool) {
	if e := m.entries[key]; e != nil {
		return e, true
	}
	if _, ok := m.limits[key]; !ok || len(m.order) >= m.cfg.MaxKeys {
		return nil, false
	}
	e := &entry{key: key, shard: key.shard(m.cfg.Shards)}
	m.entries[key] = e
	m.order = append(m.order, e)
	return e, true
}

func (m *Limiter) receive(now time.Time, from state.Member, msg Message) {
	m.learn(from)
	switch msg := msg.(type) {
	case Report:
		if g, ok := m.owner.report(now, from, m.known[from.ID], msg); ok {
			m.send(from.ID, g)
		}
	case Grant:
		m.granted(now, from, msg)
	}
}

// granted takes in an owner's answer.
func (m *Limiter) granted(now time.Time, from state.Member, g Grant) {
	if _, ok := m.owner.seatIndex[from.ID]; !ok {
		return
	}
	s := m.session(from.ID)
	if !s.answered(now, from, g) {
		return
	}
	asked := m.start.Add(time.Duration(g.Echo - 1))
	if m.lender != nil {
		m.lenderGranted(now, from, g, asked)
	}
	for _, e := range m.order {
		e.settled(now, from, g.Echo)
	}
	for _, sh := range g.Allocations {
		if e := m.entries[Key{Service: sh.Service, Customer: sh.Customer}]; e != nil {
			m.take(now, from, e, sh, asked)
		}
	}
}

func (m *Limiter) lenderGranted(now time.Time, from state.Member, g Grant, asked time.Time) {
	if from.ID != m.cfg.Self.ID && asked.After(m.lender.contact) {
		m.lender.contact = asked
	}
	if g.To > m.cfg.Self.Incarnation {
		// A later life of this daemon lends the seat.
		m.lender.stopped = true
	}
	if m.lender.released(from, g) {
		for n := range m.ranks {
			m.choose(now, n).urgent = true
		}
	}
}

// take adds the tokens of sh and answers the requests that wait for them. The
// life of the batch counts from asked, when the Report left: that is before the
// owner began to count it.
func (m *Limiter) take(now time.Time, from state.Member, e *entry, sh Allocation, asked time.Time) {
	if sh.Tokens > 0 {
		expires := asked.Add(m.cfg.BatchTTL)
		e.held = append(e.held, held{
			owner: from, id: sh.Batch, size: sh.Tokens, expires: expires,
			closed: !now.Before(expires),
		})
	}
	e.tight = sh.Exhausted
	e.word = sh.ReportSpent
	n := 0
	for n < len(e.pending) && e.spend(now) {
		m.out = append(m.out, Admit{Call: e.pending[n].call})
		n++
	}
	e.pending = slices.Delete(e.pending, 0, n)
	if n > 0 {
		m.spent(now, e)
	}
	if sh.Unready || sh.WaitMillis == 0 {
		return
	}
	wait := time.Duration(sh.WaitMillis) * time.Millisecond
	e.dry = now.Add(wait)
	for _, p := range e.pending {
		m.refuse(p.call, ReasonExhausted, wait)
	}
	e.pending = e.pending[:0]
}
