package controller

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// drive reads and orders every server that is due.
func (m *Machine) drive(out []Action, now time.Time) []Action {
	loads, waiting := 0, 0
	for _, sv := range m.order {
		if sv.state.Loading || sv.doubt || (sv.call != 0 && sv.ordering && sv.loads) {
			loads++
		}
	}
	slots := m.cfg.GuaranteedLoads
	if now.Before(m.weights.Until) {
		slots += m.weights.Slots
	}
	first := m.next
	for i := range m.order {
		sv := m.order[(first+i)%len(m.order)]
		if sv.call != 0 {
			continue
		}
		kind, change := m.change(sv)
		if change && kind == OrderLoad && loads >= slots {
			waiting++
			change = false
		}
		switch {
		case m.mustRead(sv, change, now):
			out = m.read(out, sv, now)
		case change && m.may(sv, now):
			out = m.send(out, sv, kind, sv.target, now)
			if kind == OrderLoad {
				loads++
			}
		case m.unfenced(sv) && m.may(sv, now) && m.token(now):
			out = m.send(out, sv, OrderSetRole, sv.state.Loaded, now)
		case m.dueRead(sv, now) && m.token(now):
			out = m.read(out, sv, now)
			m.next = (first + i + 1) % len(m.order)
		}
	}
	return m.want(out, loads+waiting-m.cfg.GuaranteedLoads)
}

// change says what brings a server to its target. A server that holds another
// service's layers is left alone until that service's controller has unloaded
// it.
func (m *Machine) change(sv *server) (OrderKind, bool) {
	held, target := sv.state.Loaded, sv.target
	if sv.readAt.IsZero() || held.equal(target) {
		return "", false
	}
	if !held.Empty() && sv.state.Service != m.cfg.Service {
		return "", false
	}
	switch {
	case target.Empty() && held.Empty():
		return "", false // only the role is left, which means nothing then
	case target.Empty():
		return OrderUnload, true
	case held.sameWeights(target):
		return OrderSetRole, true
	default:
		return OrderLoad, true
	}
}

// may reports whether the lease allows an order to the server now. A holder that
// was paused finds out here that its lease has run out, whatever it had decided
// before.
func (m *Machine) may(sv *server, now time.Time) bool {
	if m.stopping || now.Before(sv.notUntil) {
		return false
	}
	if sv.checks {
		return m.rights.standing != lease.None
	}
	return m.rights.standing == lease.Held && now.Before(m.rights.until) && !now.Before(m.rights.waitOut)
}

// mustRead reports whether the state must be read before anything else. The
// state of a server that ignores numbers must be fresh when it is ordered: what
// was read a while ago may be a former holder's doing since.
func (m *Machine) mustRead(sv *server, change bool, now time.Time) bool {
	if now.Before(sv.notUntil) && sv.readAt.IsZero() {
		return false
	}
	if sv.state.Loading && now.Sub(sv.readAt) >= m.cfg.LoadPollInterval {
		return true
	}
	stale := now.Sub(sv.readAt) > m.cfg.MaxStateAge
	return change && !sv.checks && stale && m.may(sv, now)
}

// unfenced reports whether a server that checks numbers has not seen this
// reign's. A delayed order of a former holder would be taken by a server that the
// new holder had no reason to order; so the role that it has is ordered once.
func (m *Machine) unfenced(sv *server) bool {
	return sv.checks && !sv.readAt.IsZero() && !sv.state.Loaded.Empty() &&
		sv.state.Service == m.cfg.Service && sv.state.Fencing < m.rights.base
}

// dueRead reports whether a server's regular read is due.
func (m *Machine) dueRead(sv *server, now time.Time) bool {
	if sv.readAt.IsZero() {
		return !now.Before(sv.notUntil)
	}
	return now.Sub(sv.readAt) >= m.cfg.ReconcileInterval
}

// token spends one of the calls that the rates allow.
func (m *Machine) token(now time.Time) bool {
	rate := float64(m.cfg.ReadsPerSecond)
	if now.Sub(m.rights.began) < m.cfg.TakeoverPeriod {
		rate = float64(m.cfg.TakeoverReadsPerSecond)
	}
	m.readTokens = min(rate, m.readTokens+now.Sub(m.readTokenAt).Seconds()*rate)
	m.readTokenAt = now
	if m.readTokens < 1 {
		return false
	}
	m.readTokens--
	return true
}

func (m *Machine) read(out []Action, sv *server, now time.Time) []Action {
	sv.ordering = false
	return append(out, ReadState{Call: m.call(sv, now), Backend: sv.id})
}

func (m *Machine) send(out []Action, sv *server, kind OrderKind, h Assignment, now time.Time) []Action {
	sv.ordering = true
	sv.loads = kind == OrderLoad
	o := Order{
		Call: m.call(sv, now), Backend: sv.id, Kind: kind,
		Fencing: m.rights.fencing, Assignment: h,
	}
	if !sv.checks {
		o.NotAfter = m.rights.until
	}
	return append(out, o)
}

func (m *Machine) call(sv *server, now time.Time) CallNumber {
	m.nextCall++
	m.calls[m.nextCall] = sv
	sv.call = m.nextCall
	sv.callAt = now
	return m.nextCall
}

func (m *Machine) want(out []Action, slots int) []Action {
	slots = max(0, slots)
	if slots == m.wanted {
		return out
	}
	m.wanted = slots
	return append(out, RequestLoadSlots{Slots: slots})
}

// Target is what a server is to hold, for status pages.
func (m *Machine) Target(id state.BackendID) (Assignment, bool) {
	sv, ok := m.servers[id]
	if !ok {
		return Assignment{}, false
	}
	return sv.target, true
}
