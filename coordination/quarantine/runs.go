package quarantine

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// run is one run of this daemon that is not over.
type run struct {
	fp      Fingerprint
	replica state.ReplicaID
	turn    uint64
}

func (m *Quarantine) began(ev RunStarted) {
	m.runs[ev.Run] = run{fp: ev.Fingerprint, replica: ev.Replica, turn: ev.Lock}
	if t := m.byNo[ev.Lock]; t != nil {
		t.began = true
	}
}

// ended closes a run. A whole answer shows that the content does not crash
// backend servers, whatever died beside it.
func (m *Quarantine) ended(now time.Time, ev RunEnded) {
	no := ev.Lock
	if r, ok := m.runs[ev.Run]; ok {
		delete(m.runs, ev.Run)
		no = r.turn
		if ev.Result == RunCompleted {
			m.clear(now, r.fp)
		}
	}
	t := m.byNo[no]
	if t == nil || t.phase != phaseHeld {
		return
	}
	if ev.Result == RunLost {
		m.convict(now, t, m.cfg.UnconfirmedTTL, false)
		return
	}
	m.end(now, t, record{State: stateFree})
}

// clear ends the suspicion for all deaths known so far.
func (m *Quarantine) clear(now time.Time, fp Fingerprint) {
	var news FactUpdate
	for _, id := range m.facts.open(fp) {
		news.Cleared = append(news.Cleared, Implication{Fingerprint: fp, Death: id})
	}
	if len(news.Cleared) > 0 {
		m.tell(now, m.facts.merge(now, news), "")
	}
}

// died implicates what this daemon ran on the replica.
func (m *Quarantine) died(now time.Time, ev BackendDied) {
	d := Death{ID: m.rng.Uint64(), Replica: ev.Replica, Domain: ev.Domain}
	news := FactUpdate{Deaths: []Death{d}}
	for _, id := range slices.Sorted(maps.Keys(m.runs)) {
		r := m.runs[id]
		if r.replica != ev.Replica {
			continue
		}
		news.Implicated = append(news.Implicated, Implication{Fingerprint: r.fp, Death: d.ID})
		if t := m.byNo[r.turn]; t != nil && t.phase == phaseHeld {
			t.phase = phaseJudging
			t.death = d.ID
			t.wakeAt = now.Add(m.cfg.BurstWindow)
		}
	}
	news = m.facts.merge(now, news)
	if len(news.Implicated) == 0 {
		// Others saw it too, or ran nothing there: it counts for bursts only.
		return
	}
	m.tell(now, news, ev.Replica)
}
