package controller

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/lease"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// issueCalls sends the reads and orders that are due, at most one call per server
// at a time.
func (m *Machine) issueCalls(out []Action, now time.Time) []Action {
	loads, waiting := 0, 0
	for _, sv := range m.serversByID {
		if sv.state.Loading || sv.mayBeLoading || (sv.call != 0 && sv.callIsOrder && sv.callIsLoad) {
			loads++
		}
	}
	slots := m.cfg.GuaranteedLoads
	if now.Before(m.loadGrant.Until) {
		slots += m.loadGrant.Slots
	}
	first := m.nextRead
	for i := range m.serversByID {
		sv := m.serversByID[(first+i)%len(m.serversByID)]
		if sv.call != 0 {
			continue
		}
		kind, change := m.neededOrder(sv)
		if change && kind == OrderLoad && loads >= slots {
			waiting++
			change = false
		}
		switch {
		case m.mustRead(sv, change, now):
			out = m.sendRead(out, sv, now)
		case change && m.mayOrder(sv, now):
			out = m.sendOrder(out, sv, kind, sv.target, now)
			if kind == OrderLoad {
				loads++
			}
		case m.needsFencing(sv) && m.mayOrder(sv, now) && m.takeReadToken(now):
			out = m.sendOrder(out, sv, OrderSetRole, sv.state.Loaded, now)
		case m.readDue(sv, now) && m.takeReadToken(now):
			out = m.sendRead(out, sv, now)
			m.nextRead = (first + i + 1) % len(m.serversByID)
		}
	}
	return m.requestSlots(out, loads+waiting-m.cfg.GuaranteedLoads)
}

// neededOrder returns the order that brings a server to its target. A server that
// holds another service's layers gets no order until that service's controller
// has unloaded it.
func (m *Machine) neededOrder(sv *server) (OrderKind, bool) {
	held, target := sv.state.Loaded, sv.target
	if sv.readAt.IsZero() || held.equal(target) {
		return "", false
	}
	if !held.Empty() && sv.state.Service != m.cfg.Service {
		return "", false
	}
	switch {
	case target.Empty() && held.Empty():
		return "", false // they differ in the role only, which has no meaning without layers
	case target.Empty():
		return OrderUnload, true
	case held.sameWeights(target):
		return OrderSetRole, true
	default:
		return OrderLoad, true
	}
}

// mayOrder reports whether the lease allows an order to the server now. A holder
// that was paused detects here that its lease has expired, whatever it had
// decided before.
func (m *Machine) mayOrder(sv *server, now time.Time) bool {
	if m.stopping || now.Before(sv.retryAt) {
		return false
	}
	if sv.checksFencing {
		return m.rights.leaseState != lease.None
	}
	return m.rights.leaseState == lease.Held && now.Before(m.rights.until) && !now.Before(m.rights.unfencedFrom)
}

// mustRead reports whether the state must be read before anything else. An order
// to a server that ignores fencing numbers must be based on a fresh state: a
// former holder may have changed the server since an older read.
func (m *Machine) mustRead(sv *server, change bool, now time.Time) bool {
	if now.Before(sv.retryAt) && sv.readAt.IsZero() {
		return false
	}
	if sv.state.Loading && now.Sub(sv.readAt) >= m.cfg.LoadPollInterval {
		return true
	}
	stale := now.Sub(sv.readAt) > m.cfg.MaxStateAge
	return change && !sv.checksFencing && stale && m.mayOrder(sv, now)
}

// needsFencing reports whether a server that checks fencing numbers has not seen
// one of this term. A server that the new holder has no reason to change would
// accept a delayed order of a former holder; therefore its current role is
// ordered once.
func (m *Machine) needsFencing(sv *server) bool {
	return sv.checksFencing && !sv.readAt.IsZero() && !sv.state.Loaded.Empty() &&
		sv.state.Service == m.cfg.Service && sv.state.Fencing < m.rights.termFencing
}

// readDue reports whether a server's regular read is due.
func (m *Machine) readDue(sv *server, now time.Time) bool {
	if sv.readAt.IsZero() {
		return !now.Before(sv.retryAt)
	}
	return now.Sub(sv.readAt) >= m.cfg.ReconcileInterval
}

// takeReadToken takes a token from the bucket that limits the rate of regular
// reads and fencing orders.
func (m *Machine) takeReadToken(now time.Time) bool {
	rate := float64(m.cfg.ReadsPerSecond)
	if now.Sub(m.rights.termStart) < m.cfg.TakeoverPeriod {
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

func (m *Machine) sendRead(out []Action, sv *server, now time.Time) []Action {
	sv.callIsOrder = false
	return append(out, ReadState{Call: m.startCall(sv, now), Backend: sv.id})
}

func (m *Machine) sendOrder(out []Action, sv *server, kind OrderKind, h Assignment, now time.Time) []Action {
	sv.callIsOrder = true
	sv.callIsLoad = kind == OrderLoad
	o := Order{
		Call: m.startCall(sv, now), Backend: sv.id, Kind: kind,
		Fencing: m.rights.fencing, Assignment: h,
	}
	if !sv.checksFencing {
		o.NotAfter = m.rights.until
	}
	return append(out, o)
}

func (m *Machine) startCall(sv *server, now time.Time) CallNumber {
	m.nextCall++
	m.calls[m.nextCall] = sv
	sv.call = m.nextCall
	sv.calledAt = now
	return m.nextCall
}

func (m *Machine) requestSlots(out []Action, slots int) []Action {
	slots = max(0, slots)
	if slots == m.requestedSlots {
		return out
	}
	m.requestedSlots = slots
	return append(out, RequestLoadSlots{Slots: slots})
}

// Target returns what a server is to hold, for status pages.
func (m *Machine) Target(id state.BackendID) (Assignment, bool) {
	sv, ok := m.servers[id]
	if !ok {
		return Assignment{}, false
	}
	return sv.target, true
}
