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
			// An edit was reverted while the chain drained.
			*c = chain{Chain: c.Chain, wanted: true}
		}
		complete := m.complete(c)
		switch {
		case c.phase == preparing && complete:
			c.phase = ready
		case c.phase == ready && !complete && m.knownIncomplete(c):
			// A stage holds something else, or its server is gone. The chain is
			// loaded again if the placement still has it.
			if c.wanted {
				c.phase = preparing
			} else {
				c.phase = leaving
			}
		}
	}
	m.markLeaving()
	m.chains = slices.DeleteFunc(m.chains, func(c *chain) bool {
		return !c.wanted && (c.phase == preparing || (c.phase == leaving && m.drained(c)))
	})
	m.setTargets()
}

// complete reports whether every stage is known to hold its assignment.
func (m *Machine) complete(c *chain) bool {
	for _, st := range c.Stages {
		sv, ok := m.servers[st.Backend]
		if !ok || sv.readAt.IsZero() || sv.state.Loading || sv.state.Service != m.cfg.Service || !sv.state.Loaded.equal(st.Assignment) {
			return false
		}
	}
	return true
}

// knownIncomplete reports whether some stage is known to be missing or wrong. A
// server that was not read yet in this term proves nothing.
func (m *Machine) knownIncomplete(c *chain) bool {
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

// markLeaving marks old chains that are no longer needed. An old chain leaves at
// once while enough chains are ready without it. Without spare servers the new
// chains can't get ready before an old one has left; then old chains leave one at
// a time.
func (m *Machine) markLeaving() {
	wanted := lo.CountBy(m.chains, func(c *chain) bool { return c.wanted })
	serving := lo.CountBy(m.chains, func(c *chain) bool { return c.phase == ready })
	for _, c := range m.chains {
		if !c.wanted && c.phase == ready && serving > wanted {
			c.phase = leaving
			serving--
		}
	}
	if old := m.blockingChain(); old != nil {
		old.phase = leaving
	}
}

// blockingChain returns an old chain whose servers the wanted chains need before
// any of them can get ready, or nil while a chain drains or is being loaded.
func (m *Machine) blockingChain() *chain {
	var first *chain
	for _, c := range m.chains {
		if c.phase == leaving {
			return nil
		}
		if !c.wanted || c.phase != preparing {
			continue
		}
		old := m.conflictingChain(c)
		if old == nil {
			return nil // it is being loaded
		}
		if first == nil {
			first = old
		}
	}
	return first
}

// conflictingChain returns a ready old chain that has another assignment for one
// of c's servers.
func (m *Machine) conflictingChain(c *chain) *chain {
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

// drained reports whether no daemon can have a request on a leaving chain: every
// daemon has the update, and after that the replica's home and its servers
// reported no request. Servers that are gone are skipped, because they run
// nothing. So are servers shared with a chain that stays: they keep running, so
// their counts prove nothing.
func (m *Machine) drained(c *chain) bool {
	if c.leavingPublishedAt.IsZero() {
		return false
	}
	since := c.leavingPublishedAt.Add(m.cfg.PropagationDelay + m.cfg.ReportLag)
	if !c.idleAt.After(since) {
		return false
	}
	for _, st := range c.Stages {
		sv, ok := m.servers[st.Backend]
		if !ok || m.sharesStage(c, st) {
			continue
		}
		if !sv.idleAt.After(since) {
			return false
		}
	}
	return true
}

// sharesStage reports whether another chain uses the stage's server with the same
// assignment.
func (m *Machine) sharesStage(c *chain, st Stage) bool {
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

// setTargets sets what each server is to hold: the assignment of a chain that
// serves or drains on it, else that of a wanted chain, else nothing.
func (m *Machine) setTargets() {
	for _, sv := range m.serversByID {
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

// publish emits the table when a replica was added, removed or marked as leaving.
func (m *Machine) publish(out []Action) []Action {
	var replicas []Replica
	for _, c := range m.chains {
		if c.phase != preparing {
			replicas = append(replicas, Replica{Chain: c.Chain, Leaving: c.phase == leaving})
		}
	}
	same := slices.EqualFunc(replicas, m.lastPublished, func(a, b Replica) bool {
		return a.Chain.ID == b.Chain.ID && a.Leaving == b.Leaving
	})
	if m.hasPublished && same {
		return out
	}
	m.lastPublished = replicas
	m.hasPublished = true
	m.serial++
	return append(out, Publish{Table: ReplicaTable{
		Service: m.cfg.Service, Document: m.document, Fencing: m.rights.fencing,
		Serial: m.serial, Replicas: replicas,
	}})
}

func (m *Machine) queryCounts(out []Action, now time.Time) []Action {
	if now.Before(m.nextCountQuery) {
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
	m.nextCountQuery = now.Add(m.cfg.CountQueryInterval)
	return append(out, a)
}
