package controller

import (
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// advance moves each chain as far as the servers' states allow.
func (m *Machine) advance() {
	for _, c := range m.chains {
		if c.wanted && c.phase == leaving {
			// An edit was taken back while the chain drained.
			*c = chain{Chain: c.Chain, wanted: true}
		}
		whole := m.whole(c)
		switch {
		case c.phase == preparing && whole:
			c.phase = ready
		case c.phase == ready && !whole && m.surely(c):
			// A stage holds something else, or its server is gone. A chain
			// that is still wanted is loaded again.
			if c.wanted {
				c.phase = preparing
			} else {
				c.phase = leaving
			}
		}
	}
	m.leave()
	m.chains = slices.DeleteFunc(m.chains, func(c *chain) bool {
		return !c.wanted && (c.phase == preparing || (c.phase == leaving && m.drained(c)))
	})
	m.retarget()
}

// whole reports whether every stage holds what it should.
func (m *Machine) whole(c *chain) bool {
	for _, st := range c.Stages {
		sv, ok := m.servers[st.Backend]
		if !ok || sv.readAt.IsZero() || sv.state.Loading || sv.state.Service != m.cfg.Service || !sv.state.Loaded.equal(st.Assignment) {
			return false
		}
	}
	return true
}

// surely reports whether some stage is known to be gone or wrong; a server that
// was not read yet in this reign proves nothing.
func (m *Machine) surely(c *chain) bool {
	for _, st := range c.Stages {
		sv, ok := m.servers[st.Backend]
		if !ok {
			return true
		}
		if !sv.readAt.IsZero() && !sv.state.Loaded.equal(st.Assignment) {
			return true
		}
	}
	return false
}

// leave marks old chains that are no longer needed. While enough chains are ready
// without it, an old chain goes at once. Without spare servers the new chains
// can't get ready before an old one has gone: then one goes at a time.
func (m *Machine) leave() {
	wanted := lo.CountBy(m.chains, func(c *chain) bool { return c.wanted })
	serving := lo.CountBy(m.chains, func(c *chain) bool { return c.phase == ready })
	for _, c := range m.chains {
		if !c.wanted && c.phase == ready && serving > wanted {
			c.phase = leaving
			serving--
		}
	}
	if old := m.inTheWay(); old != nil {
		old.phase = leaving
	}
}

// inTheWay returns an old chain whose servers the wanted chains need before any
// of them can get ready, or nil if something else is still going on.
func (m *Machine) inTheWay() *chain {
	var first *chain
	for _, c := range m.chains {
		if c.phase == leaving {
			return nil
		}
		if !c.wanted || c.phase != preparing {
			continue
		}
		old := m.blocks(c)
		if old == nil {
			return nil // it is being loaded
		}
		if first == nil {
			first = old
		}
	}
	return first
}

// blocks returns a serving old chain that holds a server of c otherwise.
func (m *Machine) blocks(c *chain) *chain {
	for _, st := range c.Stages {
		for _, o := range m.chains {
			if o.wanted || o.phase != ready {
				continue
			}
			for _, ost := range o.Stages {
				if ost.Backend == st.Backend && !ost.Assignment.equal(st.Assignment) {
					return o
				}
			}
		}
	}
	return nil
}

// drained reports whether no daemon can have a request on a leaving chain: the
// news has spread, and after that its home and its own servers had none. Servers
// that are gone run nothing; those shared with a chain that stays prove nothing
// and need not stop.
func (m *Machine) drained(c *chain) bool {
	if c.toldLeaving.IsZero() {
		return false
	}
	since := c.toldLeaving.Add(m.cfg.PropagationDelay + m.cfg.ReportLag)
	if !c.idleAt.After(since) {
		return false
	}
	for _, st := range c.Stages {
		sv, ok := m.servers[st.Backend]
		if !ok || m.shared(c, st) {
			continue
		}
		if !sv.idleAt.After(since) {
			return false
		}
	}
	return true
}

// shared reports whether another chain uses the stage's server as it is.
func (m *Machine) shared(c *chain, st Stage) bool {
	for _, o := range m.chains {
		if o == c {
			continue
		}
		for _, ost := range o.Stages {
			if ost.Backend == st.Backend && ost.Assignment.equal(st.Assignment) {
				return true
			}
		}
	}
	return false
}

// retarget says what each server is to hold: what a chain that serves or drains
// on it needs, else what a wanted chain needs, else nothing.
func (m *Machine) retarget() {
	for _, sv := range m.order {
		sv.target = Assignment{}
	}
	set := func(c *chain) {
		for _, st := range c.Stages {
			if sv, ok := m.servers[st.Backend]; ok {
				sv.target = st.Assignment
			}
		}
	}
	for _, c := range m.chains {
		if c.wanted && c.phase == preparing {
			set(c)
		}
	}
	for _, c := range m.chains {
		if c.phase != preparing {
			set(c)
		}
	}
}

// publish emits the table when a replica came, left or went.
func (m *Machine) publish(out []Action) []Action {
	var now []Replica
	for _, c := range m.chains {
		if c.phase != preparing {
			now = append(now, Replica{Chain: c.Chain, Leaving: c.phase == leaving})
		}
	}
	same := slices.EqualFunc(now, m.told, func(a, b Replica) bool {
		return a.Chain.ID == b.Chain.ID && a.Leaving == b.Leaving
	})
	if m.toldYet && same {
		return out
	}
	m.told = now
	m.toldYet = true
	m.serial++
	return append(out, Publish{Table: ReplicaTable{
		Service: m.cfg.Service, Document: m.document, Fencing: m.rights.fencing,
		Serial: m.serial, Replicas: now,
	}})
}

func (m *Machine) ask(out []Action, now time.Time) []Action {
	if now.Before(m.askAt) {
		return out
	}
	var a QueryRequestCounts
	for _, c := range m.chains {
		if c.phase != leaving {
			continue
		}
		a.Replicas = append(a.Replicas, c.ID)
		a.Backends = append(a.Backends, lo.Map(c.Stages, func(st Stage, _ int) state.BackendID { return st.Backend })...)
	}
	if len(a.Replicas) == 0 {
		return out
	}
	m.askAt = now.Add(m.cfg.CountQueryInterval)
	return append(out, a)
}
