package quarantine

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// deadHolderPolls is the number of polls for which a lock must remain unchanged, while
// its holder is not among the live members, until the holder counts as dead.
const deadHolderPolls = 20

// phase is the state of this daemon's use of the lock for one content.
type phase uint8

const (
	phaseAcquiring     phase = iota // reads the row and tries to lock it
	phaseHeld                       // this daemon holds the row; an exclusive run is permitted
	phaseAwaitingBurst              // the run's replica died; waiting for signs of a burst
	phaseReleasing                  // the row is being set to target
)

// lock is this daemon's use of the lock for one content. At most one call to the table
// service is open at any time.
type lock struct {
	id          uint64
	fp          Fingerprint
	phase       phase
	waiting     []uint64 // calls of RunRequested
	call        store.CallID
	callIsWrite bool
	target      record // value of the newest write
	revision    uint64 // of the row when it was last read
	wakeAt      time.Time

	watchedRevision uint64 // of a lock that another daemon holds
	watchedSince    time.Time

	runBegan bool
	death    uint64 // of the replica of the exclusive run
}

// acquire starts, or continues, to try to take the lock.
func (m *Quarantine) acquire(lk *lock) {
	lk.phase = phaseAcquiring
	m.read(lk)
}

func (m *Quarantine) read(lk *lock) {
	lk.callIsWrite = false
	lk.wakeAt = time.Time{}
	lk.call = m.callStore(store.Get{Table: Table, Key: lk.fp.String()}, store.ClassClaim)
	m.calls[lk.call] = lk
}

// write sets the row to r if it is unchanged since revision. If the answer is lost, the
// write may take effect later, but only once: it ends the revision that it and its
// repeats are conditional on.
func (m *Quarantine) write(now time.Time, lk *lock, r record) {
	r.Holder = m.cfg.Self
	r.Lock = lk.id
	r.At = now.Unix()
	lk.target = r
	lk.callIsWrite = true
	lk.call = m.callStore(commit(lk.fp, lk.revision, r), store.ClassClaim)
	m.calls[lk.call] = lk
}

// rowAnswered handles the answer to the store call of lk that is in flight.
func (m *Quarantine) rowAnswered(now time.Time, lk *lock, res store.Result) {
	lk.call = 0
	switch {
	case res.Status == store.Done && lk.callIsWrite:
		lk.revision = res.Rows[0].Revision
		m.rowWritten(now, lk)
	case res.Status == store.Done:
		m.rowRead(now, lk, res)
	case res.Status == store.Conflict:
		m.read(lk)
	default:
		// It is unknown whether a write took effect: read the row back, with a delay
		// since the store seems to be down.
		lk.wakeAt = now.Add(m.cfg.PollInterval)
	}
}

// rowWritten continues after the row was set to target.
func (m *Quarantine) rowWritten(now time.Time, lk *lock) {
	switch {
	case lk.phase == phaseAcquiring && lk.target.State == stateLocked:
		m.allowNext(now, lk)
	case lk.phase == phaseAcquiring:
		m.markQuarantined(now, lk.fp, time.Unix(lk.target.Until, 0), false)
		m.finish(now, lk)
	default:
		m.finish(now, lk)
	}
}

// rowRead continues after the row was read.
func (m *Quarantine) rowRead(now time.Time, lk *lock, res store.Result) {
	row, exists := res.Row()
	rec := record{State: stateFree}
	lk.revision = 0
	if exists {
		rec = decodeRecord(row)
		lk.revision = row.Revision
	}
	mine := exists && rec.Holder == m.cfg.Self && rec.Lock == lk.id
	if lk.phase == phaseReleasing {
		m.rowReadReleasing(now, lk, rec, mine)
		return
	}
	switch {
	case mine && rec.State == stateLocked:
		m.allowNext(now, lk)
	case rec.State == stateQuarantined && !rec.expired(now):
		m.markQuarantined(now, lk.fp, time.Unix(rec.Until, 0), false)
		m.finish(now, lk)
	case rec.State == stateLocked:
		m.awaitHolder(now, lk, rec)
	case len(lk.waiting) == 0 && lk.target.State == stateLocked:
		// An earlier write of this daemon may still take effect and would leave a lock
		// that nobody releases. Another write ends the revision that it needs.
		m.release(now, lk, record{State: stateFree})
	case len(lk.waiting) == 0:
		m.finish(now, lk)
	default:
		m.write(now, lk, record{State: stateLocked})
	}
}

// rowReadReleasing resolves a lost or rejected write that was to release the lock.
// Another daemon may have declared the lock lost in the meantime; the result known here
// is more reliable.
func (m *Quarantine) rowReadReleasing(now time.Time, lk *lock, rec record, mine bool) {
	switch {
	case mine && rec == lk.target:
		m.finish(now, lk)
	case mine || rec.State == stateQuarantined && !rec.Confirmed:
		m.write(now, lk, lk.target)
	default:
		m.finish(now, lk)
	}
}

// awaitHolder waits while another daemon holds the lock. A lock that stands too long,
// or whose holder died, has ended with an unknown result, possibly a crash. One more
// run could cause the third crash, so the content counts as quarantined, for a shorter
// time than after a confirmed crash.
func (m *Quarantine) awaitHolder(now time.Time, lk *lock, rec record) {
	if lk.revision != lk.watchedRevision {
		lk.watchedRevision = lk.revision
		lk.watchedSince = now
	}
	unchangedFor := now.Sub(lk.watchedSince)
	holderDead := !m.isLive(rec.Holder) && unchangedFor >= deadHolderPolls*m.cfg.PollInterval
	if unchangedFor >= m.cfg.LockTTL || holderDead {
		m.write(now, lk, record{State: stateQuarantined, Until: now.Add(m.cfg.UnconfirmedTTL).Unix()})
		return
	}
	lk.wakeAt = now.Add(m.cfg.PollInterval)
}

// allowNext lets the first waiting request run exclusively.
func (m *Quarantine) allowNext(now time.Time, lk *lock) {
	if len(lk.waiting) == 0 {
		m.release(now, lk, record{State: stateFree})
		return
	}
	lk.phase = phaseHeld
	lk.wakeAt = now.Add(m.cfg.LockTTL / 2)
	m.actions = append(m.actions, Allow{Call: lk.waiting[0], Exclusive: true, Lock: lk.id, Until: lk.wakeAt})
	lk.waiting = slices.Delete(lk.waiting, 0, 1)
}

// release sets the row to r and repeats this until it succeeds.
func (m *Quarantine) release(now time.Time, lk *lock, r record) {
	lk.phase = phaseReleasing
	lk.wakeAt = time.Time{}
	m.write(now, lk, r)
}

// finish drops the lock and handles the requests that still wait anew.
func (m *Quarantine) finish(now time.Time, lk *lock) {
	delete(m.locks, lk.fp)
	for _, call := range lk.waiting {
		m.admit(now, RunRequested{Call: call, Fingerprint: lk.fp})
	}
}

// checkTimer performs what is due at now.
func (m *Quarantine) checkTimer(now time.Time, lk *lock) {
	if lk.call != 0 || lk.wakeAt.IsZero() || now.Before(lk.wakeAt) {
		return
	}
	switch lk.phase {
	case phaseAcquiring, phaseReleasing:
		m.read(lk)
	case phaseHeld:
		lk.wakeAt = time.Time{}
		if !lk.runBegan {
			m.release(now, lk, record{State: stateFree})
		}
	case phaseAwaitingBurst:
		m.resolveCrash(now, lk)
	}
}

// resolveCrash decides about an exclusive crash, once a failure of the whole failure
// domain would have been detected. Until then the row remains locked.
func (m *Quarantine) resolveCrash(now time.Time, lk *lock) {
	if d, known := m.facts.deaths[lk.death]; known && m.facts.inBurst(lk.fp, d) {
		m.release(now, lk, record{State: stateFree})
		return
	}
	m.quarantineContent(now, lk, m.cfg.QuarantineTTL, true)
}

// quarantineContent refuses the content from now on, here at once and at other daemons
// as soon as the update or the row reaches them.
func (m *Quarantine) quarantineContent(now time.Time, lk *lock, ttl time.Duration, confirmed bool) {
	until := now.Add(ttl)
	m.markQuarantined(now, lk.fp, until, confirmed)
	m.release(now, lk, record{State: stateQuarantined, Until: until.Unix(), Confirmed: confirmed})
}
