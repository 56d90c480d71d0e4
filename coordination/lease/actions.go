package lease

import (
	"fmt"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// maxAttempts bounds the number of recorded writes while none of them is confirmed. If a dropped
// one takes effect, the service has no holder for one lease duration.
const maxAttempts = 64

// dueActions returns all actions that are due at now.
func (m *Machine) dueActions(now time.Time) []Action {
	var out []Action
	out = m.appendWrites(out, now)
	out = m.appendReads(out, now)
	return m.appendStatuses(out, now)
}

// appendWrites renews and releases all due rows in one transaction, and acquires each free row
// in a separate one, so that a conflict on one does not affect the others.
func (m *Machine) appendWrites(out []Action, now time.Time) []Action {
	var batch []Write
	due := m.renewalDue(now)
	for _, id := range m.serviceIDs {
		l := m.leases[id]
		if l.writeInFlight || l.unresolved || !l.everRead || now.Before(l.writeAfter) {
			continue
		}
		switch {
		case l.renewableBy(m.cfg.Self) && l.releasing:
			batch = append(batch, m.releaseWrite(l, now))
		case l.renewableBy(m.cfg.Self):
			if due {
				batch = append(batch, m.renewWrite(l, now))
			}
		case m.mayAcquire(l, now):
			out = append(out, m.commit(now, []Write{m.acquireWrite(l, now)}))
		}
	}
	if len(batch) > 0 {
		out = append(out, m.commit(now, batch))
	}
	return out
}

// renewalDue reports whether any row must be renewed now; others then join the same
// transaction.
func (m *Machine) renewalDue(now time.Time) bool {
	for _, l := range m.leases {
		if l.renewableBy(m.cfg.Self) && !now.Before(l.renewalSentAt.Add(m.cfg.RenewInterval)) {
			return true
		}
	}
	return false
}

func (m *Machine) renewWrite(l *lease, now time.Time) Write {
	row := l.observed.Row
	l.renewalCount++
	row.Renewals = l.renewalCount
	if row.Fencing <= l.fencingFloor {
		row.Fencing = l.fencingFloor + 1
	}
	l.renewalSentAt = now
	return m.write(l, row, now)
}

func (m *Machine) releaseWrite(l *lease, now time.Time) Write {
	row := l.observed.Row
	l.renewalCount++
	row.Renewals = l.renewalCount
	row.Holder = state.Member{}
	row.Clean = l.releaseClean
	return m.write(l, row, now)
}

func (m *Machine) acquireWrite(l *lease, now time.Time) Write {
	row := Row{
		Holder:  m.cfg.Self,
		Fencing: l.observed.Row.Fencing + 1,
		Nonce:   state.Nonce(fmt.Sprintf("%016x", m.rng.Uint64())),
	}
	l.renewalSentAt = now
	l.releasing = false
	return m.write(l, row, now)
}

// write records the attempt before the call is sent, so that its row is recognized whenever it
// is read.
func (m *Machine) write(l *lease, row Row, now time.Time) Write {
	if len(l.attempts) == maxAttempts {
		l.attempts = slices.Delete(l.attempts, 0, 1)
	}
	l.attempts = append(l.attempts, attempt{
		nonce:    row.Nonce,
		renewals: row.Renewals,
		sent:     now,
	})
	return Write{Service: l.service, Revision: l.observed.Revision, Row: row}
}

func (m *Machine) commit(now time.Time, writes []Write) Commit {
	ids := make([]state.ServiceID, len(writes))
	for i, w := range writes {
		ids[i] = w.Service
		m.leases[w.Service].writeInFlight = true
	}
	m.nextCall++
	m.calls[m.nextCall] = call{services: ids, write: true, sent: now}
	return Commit{Call: m.nextCall, Writes: writes}
}

// mayAcquire reports whether this daemon may take the row at now. The row must have been read
// after it became free: a daemon that reads it rarely would otherwise send a write that can
// only fail.
func (m *Machine) mayAcquire(l *lease, now time.Time) bool {
	at, ok := m.acquireAt(l)
	return ok && !now.Before(at) && !l.answeredAt.Before(at)
}

// acquireAt returns when this daemon may try to take a row that it does not hold, if the row
// does not change.
func (m *Machine) acquireAt(l *lease) (time.Time, bool) {
	if m.draining || !l.everRead || l.renewableBy(m.cfg.Self) {
		return time.Time{}, false
	}
	if l.rank < 0 {
		return time.Time{}, false
	}
	wait := time.Duration(min(l.rank, m.cfg.Watchers)) * m.cfg.TakeoverStagger
	if l.observed.Revision > 0 && !l.observed.Row.Released() {
		wait += m.cfg.LeaseDuration
	}
	return l.observedAt.Add(wait), true
}

// appendReads requests all rows that are due or almost due in one call.
func (m *Machine) appendReads(out []Action, now time.Time) []Action {
	due := false
	for _, id := range m.serviceIDs {
		l := m.leases[id]
		due = due || (m.needsRead(l) && !now.Before(l.nextRead))
	}
	if !due {
		return out
	}
	var ids []state.ServiceID
	for _, id := range m.serviceIDs {
		l := m.leases[id]
		if m.needsRead(l) && !now.Add(m.coalesceWindow(l)).Before(l.nextRead) {
			l.readInFlight = true
			ids = append(ids, id)
		}
	}
	m.nextCall++
	m.calls[m.nextCall] = call{services: ids, sent: now}
	return append(out, Read{Call: m.nextCall, Services: ids})
}

// coalesceWindow returns how long before it is due a row may join a read that is sent anyway.
func (m *Machine) coalesceWindow(l *lease) time.Duration {
	if m.isWatcher(l) {
		return m.cfg.PollInterval / 4
	}
	return m.cfg.SlowPollInterval / 4
}

// needsRead excludes rows that this daemon holds and that have no unresolved write: the answer
// to the next renewal gives more information than a read.
func (m *Machine) needsRead(l *lease) bool {
	if l.readInFlight || l.writeInFlight {
		return false
	}
	if l.unresolved {
		return true
	}
	return !m.draining && !l.renewableBy(m.cfg.Self)
}

// appendStatuses reports each lease whose status changed, and hands off released leases.
func (m *Machine) appendStatuses(out []Action, now time.Time) []Action {
	for _, id := range m.serviceIDs {
		l := m.leases[id]
		if l.releasing && !l.renewableBy(m.cfg.Self) {
			l.releasing = false
			if next, ok := m.successor(id); ok && l.observed.Row.Released() {
				out = append(out, Send{To: next, Msg: Handoff{Service: id}})
			}
		}
		s := m.status(l, now)
		if s != l.lastStatus && (s.State != None || l.lastStatus.State != None) {
			l.lastStatus = s
			out = append(out, s)
		}
	}
	return out
}

// NextTick returns when the state machine next needs a Tick; the zero time means never.
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
		if m.needsRead(l) {
			sooner(l.nextRead)
		}
		if !l.confirmedSentAt.IsZero() && l.lastStatus.State == Held {
			sooner(l.confirmedSentAt.Add(m.cfg.holderLeaseDuration()))
		}
		if at, ok := m.nextWrite(l); ok {
			sooner(at)
		}
	}
	return next
}

func (m *Machine) nextWrite(l *lease) (time.Time, bool) {
	if l.writeInFlight || l.unresolved || !l.everRead {
		return time.Time{}, false
	}
	var at time.Time
	switch {
	case l.renewableBy(m.cfg.Self) && l.releasing:
	case l.renewableBy(m.cfg.Self):
		at = l.renewalSentAt.Add(m.cfg.RenewInterval)
	default:
		t, ok := m.acquireAt(l)
		if !ok || l.answeredAt.Before(t) {
			return time.Time{}, false
		}
		at = t
	}
	return slices.MaxFunc([]time.Time{at, l.writeAfter}, time.Time.Compare), true
}
