package limit

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// reportsPerLoan is the number of Reports in the lifetime of a loan.
	reportsPerLoan = 4
	// idleIntervals is the number of report intervals for which an unused entry is
	// kept.
	idleIntervals = 50
	// evictEvery is the number of report intervals between two evictions.
	evictEvery = 5
)

// Limiter is one daemon's state machine for all limits. It is not safe for
// concurrent use.
type Limiter struct {
	cfg    Config
	start  time.Time
	owner  *owner
	lender *lender // nil unless this daemon is a seat
	ranks  [][]state.DaemonID

	limits         map[Key]Limit
	live           map[state.DaemonID]bool // empty if not known
	incarnations   map[state.DaemonID]state.Incarnation
	sessions       []*session // by seat
	entries        map[Key]*entry
	orderedEntries []*entry // the values of entries in a fixed order, so that runs are reproducible

	lastStep     time.Time
	lastTick     time.Time
	ticks        int
	selfMessages []selfMessage
	out          []Action
}

// selfMessage is a message that this daemon sent to itself as owner.
type selfMessage struct {
	msg Message
}

// New returns a Limiter of an incarnation that starts at start.
func New(cfg Config, start time.Time) *Limiter {
	cfg = cfg.withDefaults()
	if len(cfg.Seats) == 0 || len(cfg.Seats) > maxSeats || cfg.Shards > maxShards || cfg.Total < len(cfg.Seats) {
		panic("limit: Seats must have 1 to 64 entries, Shards must be at most 64 and Total at least len(Seats)")
	}
	if cfg.BatchTTL > cfg.LoanTTL/2 {
		panic("limit: BatchTTL must be at most half of LoanTTL")
	}
	m := &Limiter{
		cfg:          cfg,
		start:        start,
		limits:       make(map[Key]Limit),
		live:         make(map[state.DaemonID]bool),
		incarnations: map[state.DaemonID]state.Incarnation{cfg.Self.ID: cfg.Self.Incarnation},
		entries:      make(map[Key]*entry),
		lastStep:     start,
		lastTick:     start.Add(-cfg.ReportInterval), // the first tick is due at once
	}
	m.owner = newOwner(&m.cfg, start, m.limits)
	for _, id := range cfg.Seats {
		m.sessions = append(m.sessions, &session{id: id})
		if id == cfg.Self.ID {
			m.lender = newLender(&m.cfg, start)
		}
	}
	for n := range cfg.Shards {
		m.ranks = append(m.ranks, rendezvous.Rank(shardName(n), cfg.Seats, len(cfg.Seats)))
	}
	return m
}

// shardName returns the rendezvous key of a shard.
func shardName(n int) string {
	return "limit/" + string(rune('0'+n))
}

// Step applies one event at now and returns the actions to carry out.
func (m *Limiter) Step(now time.Time, ev Event) []Action {
	m.out = nil
	m.excuseOwnPause(now)
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case Acquire:
		m.acquire(now, ev)
	case Received:
		m.receive(now, ev.From, ev.Msg)
	case Members:
		m.members(ev.Live)
	case Limits:
		m.setLimits(now, ev)
	case Drain:
		m.drain()
	}
	m.flush(now)
	for len(m.selfMessages) > 0 {
		msg := m.selfMessages[0].msg
		m.selfMessages = m.selfMessages[1:]
		m.receive(now, m.cfg.Self, msg)
		m.flush(now)
	}
	return m.out
}

// NextTick returns when the next Tick is due.
func (m *Limiter) NextTick() time.Time {
	next := m.lastTick.Add(m.cfg.ReportInterval)
	for _, s := range m.sessions {
		if s.urgent && s.sendableAt(&m.cfg).Before(next) {
			next = s.sendableAt(&m.cfg)
		}
	}
	return next
}

// Spendable returns the number of tokens of key that this daemon can spend at now.
func (m *Limiter) Spendable(now time.Time, key Key) int {
	if e := m.entries[key]; e != nil {
		return e.tokens(now)
	}
	return 0
}

// excuseOwnPause restarts the timeouts of unanswered reports after a pause of this
// daemon. After a pause all owners look unresponsive, and replacing them all would
// move every loan.
func (m *Limiter) excuseOwnPause(now time.Time) {
	if now.Sub(m.lastStep) > m.cfg.OwnerTimeout/2 {
		for _, s := range m.sessions {
			if !s.unansweredSince.IsZero() && s.unansweredSince.After(m.lastStep.Add(-m.cfg.OwnerTimeout)) {
				s.unansweredSince = now
			}
		}
	}
	if now.After(m.lastStep) {
		m.lastStep = now
	}
}

func (m *Limiter) setLimits(now time.Time, ev Limits) {
	for key := range m.limits {
		if key.Service == ev.Service {
			delete(m.limits, key)
		}
	}
	for _, c := range ev.Customers {
		key := Key{Service: ev.Service, Customer: c.ID}
		l := Limit{PerSecond: c.RequestsPerSecond, Burst: c.Burst}
		m.limits[key] = l
		m.owner.setLimit(now, key, l)
	}
	m.refuseRemoved(ev.Service)
}

// refuseRemoved refuses the waiting requests of customers that a service no longer has.
func (m *Limiter) refuseRemoved(id state.ServiceID) {
	for _, e := range m.orderedEntries {
		if _, ok := m.limits[e.key]; ok || e.key.Service != id {
			continue
		}
		for _, p := range e.pending {
			m.refuse(p.call, ReasonNoLimit, 0)
		}
		e.pending = nil
	}
}

func (m *Limiter) members(live []state.Member) {
	clear(m.live)
	for _, l := range live {
		m.live[l.ID] = true
		m.updateIncarnation(l)
	}
}

func (m *Limiter) updateIncarnation(member state.Member) {
	m.incarnations[member.ID] = max(m.incarnations[member.ID], member.Incarnation)
}

// drain gives back borrowed seats and reclaims loans, which would otherwise have
// to expire.
func (m *Limiter) drain() {
	m.owner.leaving = true
	if m.lender != nil {
		m.lender.stopped = true
	}
	for _, s := range m.sessions {
		s.urgent = s.urgent || s.grantStamp != 0
	}
}

// tick does the regular work of each report interval.
func (m *Limiter) tick(now time.Time) {
	elapsed := now.Sub(m.lastTick)
	if elapsed < m.cfg.ReportInterval {
		return
	}
	m.lastTick = now
	m.ticks++
	for _, e := range m.orderedEntries {
		e.updateRate(elapsed)
		e.closeUnneeded(now, &m.cfg)
		m.expire(now, e)
	}
	m.orderedEntries = slices.DeleteFunc(m.orderedEntries, func(e *entry) bool {
		drop := e.idle(now, idleIntervals*m.cfg.ReportInterval)
		if drop {
			delete(m.entries, e.key)
		}
		return drop
	})
	for _, s := range m.sessions {
		s.urgent = s.urgent || m.reportDue(now, s)
	}
	if m.ticks%evictEvery == 0 {
		m.owner.evict(now)
	}
}

// expire refuses requests that waited too long for an owner.
func (m *Limiter) expire(now time.Time, e *entry) {
	n := 0
	for n < len(e.pending) && now.Sub(e.pending[n].since) >= m.cfg.MaxWait {
		m.refuse(e.pending[n].call, ReasonNoOwner, m.cfg.LoanTTL)
		n++
	}
	e.pending = slices.Delete(e.pending, 0, n)
	e.dropEnded(now, state.Member{}, 0)
}

// flush sends the urgent Reports that may be sent now.
func (m *Limiter) flush(now time.Time) {
	for _, s := range m.sessions {
		if s.urgent && s.maySend(now, &m.cfg) {
			m.sendReport(now, s)
		}
	}
}

// sendReport composes and sends one Report.
func (m *Limiter) sendReport(now time.Time, s *session) {
	st := stamp(m.start, now)
	if st <= s.lastStamp {
		return
	}
	r := Report{Stamp: st, Echo: s.grantStamp, To: s.member.Incarnation}
	if m.lender != nil && m.lender.ready(now) {
		for n := range m.ranks {
			if m.chooseOwner(now, n) == s && m.lender.lend(now, n, s, st) {
				r.Lent |= 1 << n
			}
		}
	}
	for _, e := range m.orderedEntries {
		u, ok := e.usage(now, s, st, m.chooseOwner(now, e.shard) == s, &m.cfg)
		if ok {
			r.Usages = append(r.Usages, u)
		}
	}
	s.reportSent(now, st)
	m.send(s.id, r)
}

func (m *Limiter) send(to state.DaemonID, msg Message) {
	if to == m.cfg.Self.ID {
		m.selfMessages = append(m.selfMessages, selfMessage{msg: msg})
		return
	}
	m.out = append(m.out, Send{To: to, Msg: msg})
}

func (m *Limiter) refuse(call uint64, reason RefusalReason, after time.Duration) {
	m.out = append(m.out, Refuse{Call: call, Reason: reason, RetryAfter: after})
}
