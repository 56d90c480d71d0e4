package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// run is a run of this daemon that has not ended.
type run struct {
	fp      Fingerprint
	replica state.ReplicaID
	lockID  uint64
}

func (m *Quarantine) runStarted(ev RunStarted) {
	m.runs[ev.Run] = run{fp: ev.Fingerprint, replica: ev.Replica, lockID: ev.Lock}
	if lk := m.locksByID[ev.Lock]; lk != nil {
		lk.runBegan = true
	}
}

// runEnded ends a run. A complete answer shows that the content does not crash backend
// servers, whatever else died at the same time.
func (m *Quarantine) runEnded(now time.Time, ev RunEnded) {
	endedLock := ev.Lock
	if r, ok := m.runs[ev.Run]; ok {
		delete(m.runs, ev.Run)
		endedLock = r.lockID
		if ev.Result == RunCompleted {
			m.clearSuspicion(now, r.fp)
		}
	}
	lk := m.locksByID[endedLock]
	if lk == nil || lk.phase != phaseHeld {
		return
	}
	if ev.Result == RunLost {
		m.quarantineContent(now, lk, m.cfg.UnconfirmedTTL, false)
		return
	}
	m.release(now, lk, record{State: stateFree})
}

// clearSuspicion clears the content of all deaths known so far.
func (m *Quarantine) clearSuspicion(now time.Time, fp Fingerprint) {
	var added FactUpdate
	for _, id := range m.facts.openDeaths(fp) {
		added.Cleared = append(added.Cleared, Implication{Fingerprint: fp, Death: id})
	}
	if len(added.Cleared) > 0 {
		m.broadcast(now, m.facts.merge(now, added), "")
	}
}

// backendDied implicates the contents that this daemon ran on the replica.
func (m *Quarantine) backendDied(now time.Time, ev BackendDied) {
	d := Death{ID: m.rng.Uint64(), Replica: ev.Replica, Domain: ev.Domain}
	added := FactUpdate{Deaths: []Death{d}}
	for _, id := range slices.Sorted(maps.Keys(m.runs)) {
		r := m.runs[id]
		if r.replica != ev.Replica {
			continue
		}
		added.Implicated = append(added.Implicated, Implication{Fingerprint: r.fp, Death: d.ID})
		if lk := m.locksByID[r.lockID]; lk != nil && lk.phase == phaseHeld {
			lk.phase = phaseAwaitingBurst
			lk.death = d.ID
			lk.wakeAt = now.Add(m.cfg.BurstWindow)
		}
	}
	added = m.facts.merge(now, added)
	if len(added.Implicated) == 0 {
		// Other daemons observed the death too, or this daemon ran nothing there: it
		// counts for bursts only.
		return
	}
	m.broadcast(now, added, ev.Replica)
}
