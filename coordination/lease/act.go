package lease

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxAttempts bounds the writes remembered while none of them is proved done. A
// forgotten one that takes effect costs a term without a holder.
const maxAttempts = 64

// act returns everything that is due at now.
func (m *Machine) act(now time.Time) []Action {
	var out []Action
	out = m.writes(out, now)
	out = m.reads(out, now)
	return m.tell(out, now)
}

// writes renews and releases all due rows in one transaction, and takes each
// free one in its own, so that a lost race costs nothing else.
func (m *Machine) writes(out []Action, now time.Time) []Action {
	var batch []Write
	due := m.renewalDue(now)
	for _, id := range m.order {
		l := m.leases[id]
		if l.writing || l.doubt || !l.known || now.Before(l.nextTry) {
			continue
		}
		switch {
		case l.owned(m.cfg.Self) && l.releasing:
			batch = append(batch, m.releaseWrite(l, now))
		case l.owned(m.cfg.Self):
			if due {
				batch = append(batch, m.renewWrite(l, now))
			}
		case m.mayTake(l, now):
			out = append(out, m.commit(now, []Write{m.takeWrite(l, now)}))
		}
	}
	if len(batch) > 0 {
		out = append(out, m.commit(now, batch))
	}
	return out
}

// renewalDue reports whether some row must be renewed now; others then join the
// same transaction.
func (m *Machine) renewalDue(now time.Time) bool {
	for _, l := range m.leases {
		if l.owned(m.cfg.Self) && !now.Before(l.renewed.Add(m.cfg.RenewInterval)) {
			return true
		}
	}
	return false
}

func (m *Machine) renewWrite(l *lease, now time.Time) Write {
	row := l.seen.Row
	l.counter++
	row.Renewals = l.counter
	if row.Fencing <= l.above {
		row.Fencing = l.above + 1
	}
	l.renewed = now
	return m.write(l, row, now)
}

func (m *Machine) releaseWrite(l *lease, now time.Time) Write {
	row := l.seen.Row
	l.counter++
	row.Renewals = l.counter
	row.Holder = state.Member{}
	row.Clean = l.relClean
	return m.write(l, row, now)
}

func (m *Machine) takeWrite(l *lease, now time.Time) Write {
	row := Row{
		Holder:  m.cfg.Self,
		Fencing: l.seen.Row.Fencing + 1,
		Nonce:   state.Nonce(fmt.Sprintf("%016x", m.rng.Uint64())),
	}
	l.renewed = now
	l.releasing = false
	return m.write(l, row, now)
}

// write notes the attempt before the call leaves, so that its row is recognized
// whenever it shows up.
func (m *Machine) write(l *lease, row Row, now time.Time) Write {
	if len(l.attempts) == maxAttempts {
		l.attempts = slices.Delete(l.attempts, 0, 1)
	}
	l.attempts = append(l.attempts, attempt{
		nonce:    row.Nonce,
		renewals: row.Renewals,
		sent:     now,
	})
	return Write{Service: l.service, Revision: l.seen.Revision, Row: row}
}

func (m *Machine) commit(now time.Time, writes []Write) Commit {
	ids := make([]state.ServiceID, len(writes))
	for i, w := range writes {
		ids[i] = w.Service
		m.leases[w.Service].writing = true
	}
	m.nextCall++
	m.calls[m.nextCall] = call{services: ids, write: true, sent: now}
	return Commit{Call: m.nextCall, Writes: writes}
}

// mayTake reports whether the row is free for this daemon at now. The row must
// have been read since it became free: a daemon that reads it rarely would else
// send a write that can only fail.
func (m *Machine) mayTake(l *lease, now time.Time) bool {
	at, ok := m.takeAt(l)
	return ok && !now.Before(at) && !l.readAt.Before(at)
}

// takeAt is when this daemon may try to take a row that is not its own, if
// nothing changes.
func (m *Machine) takeAt(l *lease) (time.Time, bool) {
	if m.draining || !l.known || l.owned(m.cfg.Self) {
		return time.Time{}, false
	}
	if l.rank < 0 {
		return time.Time{}, false
	}
	wait := time.Duration(min(l.rank, m.cfg.Watchers)) * m.cfg.TakeoverStagger
	if l.seen.Revision > 0 && !l.seen.Row.Released() {
		wait += m.cfg.LeaseDuration
	}
	return l.since.Add(wait), true
}

// reads asks, in one call, for all rows that are due or nearly so.
func (m *Machine) reads(out []Action, now time.Time) []Action {
	due := false
	for _, id := range m.order {
		l := m.leases[id]
		due = due || (m.wantsRead(l) && !now.Before(l.nextRead))
	}
	if !due {
		return out
	}
	var ids []state.ServiceID
	for _, id := range m.order {
		l := m.leases[id]
		if m.wantsRead(l) && !now.Add(m.nearly(l)).Before(l.nextRead) {
			l.reading = true
			ids = append(ids, id)
		}
	}
	m.nextCall++
	m.calls[m.nextCall] = call{services: ids, sent: now}
	return append(out, Read{Call: m.nextCall, Services: ids})
}

// nearly is how long before its time a row may join a read that goes anyway.
func (m *Machine) nearly(l *lease) time.Duration {
	if m.watches(l) {
		return m.cfg.PollInterval / 4
	}
	return m.cfg.SlowPollInterval / 4
}

// wantsRead leaves out rows that are ours and not in doubt: the next renewal's
// answer tells more than a read.
func (m *Machine) wantsRead(l *lease) bool {
	if l.reading || l.writing {
		return false
	}
	if l.doubt {
		return true
	}
	return !m.draining && !l.owned(m.cfg.Self)
}

// tell reports each lease whose status changed, and hands on what was released.
func (m *Machine) tell(out []Action, now time.Time) []Action {
	for _, id := range m.order {
		l := m.leases[id]
		if l.releasing && !l.owned(m.cfg.Self) {
			l.releasing = false
			if next, ok := m.successor(id); ok && l.seen.Row.Released() {
				out = append(out, Send{To: next, Msg: Handoff{Service: id}})
			}
		}
		s := m.status(l, now)
		if s != l.told && (s.State != None || l.told.State != None) {
			l.told = s
			out = append(out, s)
		}
	}
	return out
}

// NextTick says when the machine next wants a Tick; the zero time means never.
func (m *Machine) NextTick() time.Time {
	var next time.Time
	sooner := func(t time.Time) {
		if next.IsZero() || t.Before(next) {
			next = t
		}
	}
	for _, c := range m.calls {
		sooner(c.sent.Add(m.cfg.CallTimeout))
	}
	for _, l := range m.leases {
		if m.wantsRead(l) {
			sooner(l.nextRead)
		}
		if !l.proved.IsZero() && l.told.State == Held {
			sooner(l.proved.Add(m.cfg.span()))
		}
		if at, ok := m.nextWrite(l); ok {
			sooner(at)
		}
	}
	return next
}

func (m *Machine) nextWrite(l *lease) (time.Time, bool) {
	if l.writing || l.doubt || !l.known {
		return time.Time{}, false
	}
	var at time.Time
	switch {
	case l.owned(m.cfg.Self) && l.releasing:
	case l.owned(m.cfg.Self):
		at = l.renewed.Add(m.cfg.RenewInterval)
	default:
		t, ok := m.takeAt(l)
		if !ok || l.readAt.Before(t) {
			return time.Time{}, false
		}
		at = t
	}
	return slices.MaxFunc([]time.Time{at, l.nextTry}, time.Time.Compare), true
}
