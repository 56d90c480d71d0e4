package quarantine

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
)

// goneAfter is how many polls a turn stands unchanged, its holder not among
// the live members, until the holder is taken for dead.
const goneAfter = 20

// phase is where a daemon stands with one content's turn.
type phase uint8

const (
	phaseSeeking phase = iota // reads the row and tries to take it
	phaseHeld                 // the row is ours; a run alone is permitted
	phaseJudging              // the run's replica died; waiting to see a burst
	phaseEnding               // the row is to become target
)

// turn is this daemon's part in the turn for one content. At most one call to
// the table service is open at any time.
type turn struct {
	no      uint64
	fp      Fingerprint
	phase   phase
	waiting []uint64 // calls of Ask
	call    store.CallID
	writing bool   // call is a write
	target  record // what the newest write makes of the row
	rev     uint64 // of the row when it was last seen
	wakeAt  time.Time

	seenRev uint64 // of a turn that another holds
	seenAt  time.Time

	began     bool
	allowedAt time.Time
	death     uint64 // of the replica of the run alone
}

// seek starts, or goes on, trying to take the turn.
func (m *Quarantine) seek(t *turn) {
	t.phase = phaseSeeking
	m.read(t)
}

func (m *Quarantine) read(t *turn) {
	t.writing = false
	t.wakeAt = time.Time{}
	t.call = m.store(store.Get{Table: Table, Key: t.fp.String()}, store.ClassClaim)
	m.calls[t.call] = t
}

// write makes the row into r if nobody changed it since rev. If the answer is
// lost the write may land later, but only once: it ends the revision that it
// and its repeats are conditioned on.
func (m *Quarantine) write(now time.Time, t *turn, r record) {
	r.Holder = m.cfg.Self
	r.Turn = t.no
	r.At = now.Unix()
	t.target = r
	t.writing = true
	t.call = m.store(commit(t.fp, t.rev, r), store.ClassClaim)
	m.calls[t.call] = t
}

// stored takes the answer to t's open call.
func (m *Quarantine) stored(now time.Time, t *turn, res store.Result) {
	t.call = 0
	switch {
	case res.Status == store.Done && t.writing:
		t.rev = res.Rows[0].Revision
		m.landed(now, t)
	case res.Status == store.Done:
		m.seen(now, t, res)
	case res.Status == store.Conflict:
		m.read(t)
	default:
		// Not known whether a write took effect: read it back, not at once,
		// since the store seems to be down.
		t.wakeAt = now.Add(m.cfg.PollInterval)
	}
}

// landed goes on after the row became target.
func (m *Quarantine) landed(now time.Time, t *turn) {
	switch {
	case t.phase == phaseSeeking && t.target.State == stateTaken:
		m.hold(now, t)
	case t.phase == phaseSeeking:
		m.learnConvicted(now, t.fp, time.Unix(t.target.Until, 0), false)
		m.finish(now, t)
	default:
		m.finish(now, t)
	}
}

// seen goes on after the row was read.
func (m *Quarantine) seen(now time.Time, t *turn, res store.Result) {
	row, exists := res.Row()
	rec := record{State: stateFree}
	t.rev = 0
	if exists {
		rec = decodeRecord(row)
		t.rev = row.Revision
	}
	mine := exists && rec.Holder == m.cfg.Self && rec.Turn == t.no
	if t.phase == phaseEnding {
		m.seenEnding(now, t, rec, mine)
		return
	}
	switch {
	case mine && rec.State == stateTaken:
		m.hold(now, t)
	case rec.State == stateConvicted && !rec.expired(now):
		m.learnConvicted(now, t.fp, time.Unix(rec.Until, 0), false)
		m.finish(now, t)
	case rec.State == stateTaken:
		m.await(now, t, rec)
	case len(t.waiting) == 0 && t.target.State == stateTaken:
		// A write of ours may still land and would stand as a turn that nobody
		// ends; another write ends the revision that it needs.
		m.end(now, t, record{State: stateFree})
	case len(t.waiting) == 0:
		m.finish(now, t)
	default:
		m.write(now, t, record{State: stateTaken})
	}
}

// seenEnding settles a lost or refused write that was to end our turn. Others
// may have given the turn up for lost meanwhile; what we know is better.
func (m *Quarantine) seenEnding(now time.Time, t *turn, rec record, mine bool) {
	switch {
	case mine && rec == t.target:
		m.finish(now, t)
	case mine || rec.State == stateConvicted && !rec.Proved:
		m.write(now, t, t.target)
	default:
		m.finish(now, t)
	}
}

// await looks on while another daemon holds the turn. A turn that stands too
// long, or whose holder died, ended in a way that nobody knows: perhaps with a
// crash. One more run could be the third crash, so it counts as convicted, for
// a shorter time than a proved one.
func (m *Quarantine) await(now time.Time, t *turn, rec record) {
	if t.rev != t.seenRev {
		t.seenRev = t.rev
		t.seenAt = now
	}
	stood := now.Sub(t.seenAt)
	gone := !m.alive(rec.Holder) && stood >= goneAfter*m.cfg.PollInterval
	if stood >= m.cfg.LockTTL || gone {
		m.write(now, t, record{State: stateConvicted, Until: now.Add(m.cfg.UnconfirmedTTL).Unix()})
		return
	}
	t.wakeAt = now.Add(m.cfg.PollInterval)
}

// hold lets the first waiting request run alone.
func (m *Quarantine) hold(now time.Time, t *turn) {
	if len(t.waiting) == 0 {
		m.end(now, t, record{State: stateFree})
		return
	}
	t.phase = phaseHeld
	t.allowedAt = now
	t.wakeAt = now.Add(m.cfg.LockTTL / 2)
	m.out = append(m.out, Allow{Call: t.waiting[0], Exclusive: true, Lock: t.no, Until: t.wakeAt})
	t.waiting = slices.Delete(t.waiting, 0, 1)
}

// end makes the row into r, whatever it takes.
func (m *Quarantine) end(now time.Time, t *turn, r record) {
	t.phase = phaseEnding
	t.wakeAt = time.Time{}
	m.write(now, t, r)
}

// finish forgets the turn and answers those who still wait anew.
func (m *Quarantine) finish(now time.Time, t *turn) {
	delete(m.turns, t.fp)
	for _, call := range t.waiting {
		m.ask(now, RunRequested{Call: call, Fingerprint: t.fp})
	}
}

// wake does what is due by time.
func (m *Quarantine) wake(now time.Time, t *turn) {
	if t.call != 0 || t.wakeAt.IsZero() || now.Before(t.wakeAt) {
		return
	}
	switch t.phase {
	case phaseSeeking, phaseEnding:
		m.read(t)
	case phaseHeld:
		t.wakeAt = time.Time{}
		if !t.began {
			m.end(now, t, record{State: stateFree})
		}
	case phaseJudging:
		m.decide(now, t)
	}
}

// decide settles on a crash alone once a failure of the whole failure domain
// would have shown. Until then the row stays taken.
func (m *Quarantine) decide(now time.Time, t *turn) {
	if d, known := m.facts.deaths[t.death]; known && m.facts.burst(t.fp, d) {
		m.end(now, t, record{State: stateFree})
		return
	}
	m.convict(now, t, m.cfg.QuarantineTTL, true)
}

// convict refuses the content from now on, here at once and elsewhere as fast
// as the word and the row spread.
func (m *Quarantine) convict(now time.Time, t *turn, life time.Duration, proved bool) {
	until := now.Add(life)
	m.learnConvicted(now, t.fp, until, proved)
	m.end(now, t, record{State: stateConvicted, Until: until.Unix(), Proved: proved})
}
