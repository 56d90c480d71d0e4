package limit

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// renewals is how many Reports fit in the life of a loan.
	renewals = 4
	// idleAfter is how many intervals an unused entry is kept.
	idleAfter = 50
	// forgetEvery is how many intervals pass between two sweeps.
	forgetEvery = 5
)

// Limiter is one daemon's part in all limits. Not safe for use by several
// goroutines.
type Limiter struct {
	cfg    Config
	start  time.Time
	owner  *owner
	lender *lender // nil unless this daemon is a seat
	ranks  [][]state.DaemonID

	limits   map[Key]Limit
	live     map[state.DaemonID]bool // empty: nothing is known
	known    map[state.DaemonID]state.Incarnation
	sessions []*session // by seat
	entries  map[Key]*entry
	order    []*entry // of entries, so that runs repeat exactly

	lastStep time.Time
	lastTick time.Time
	ticks    int
	local    []localMessage
	out      []Action
}

// localMessage is one that this daemon sent to itself as owner.
type localMessage struct {
	msg Message
}

// New returns a Limiter whose life begins at start.
func New(cfg Config, start time.Time) *Limiter {
	cfg = cfg.withDefaults()
	if len(cfg.Seats) == 0 || len(cfg.Seats) > maxSeats || cfg.Shards > maxShards || cfg.Total < len(cfg.Seats) {
		panic("limit: no seats, more seats or shards than the messages can tell, or a total below the seats")
	}
	if cfg.BatchTTL > cfg.LoanTTL/2 {
		panic("limit: batches must run out well before the loans that back them")
	}
	m := &Limiter{
		cfg:      cfg,
		start:    start,
		limits:   make(map[Key]Limit),
		live:     make(map[state.DaemonID]bool),
		known:    map[state.DaemonID]state.Incarnation{cfg.Self.ID: cfg.Self.Incarnation},
		entries:  make(map[Key]*entry),
		lastStep: start,
		lastTick: start.Add(-cfg.ReportInterval), // the first tick is due at once
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

// shardName is the key of a shard's owner.
func shardName(n int) string {
	return "limit/" + string(rune('0'+n))
}

// Step takes one event at now.
func (m *Limiter) Step(now time.Time, ev Event) []Action {
	m.out = nil
	m.resume(now)
	switch ev := ev.(type) {
	case Tick:
		m.tick(now)
	case Acquire:
		m.ask(now, ev)
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
	for len(m.local) > 0 {
		msg := m.local[0].msg
		m.local = m.local[1:]
		m.receive(now, m.cfg.Self, msg)
		m.flush(now)
	}
	return m.out
}

// NextTick is when the Limiter next wants a Tick.
func (m *Limiter) NextTick() time.Time {
	next := m.lastTick.Add(m.cfg.ReportInterval)
	for _, s := range m.sessions {
		if s.urgent && s.sendableAt(&m.cfg).Before(next) {
			next = s.sendableAt(&m.cfg)
		}
	}
	return next
}

// Spendable counts the tokens of key that this daemon could spend at now.
func (m *Limiter) Spendable(now time.Time, key Key) int {
	if e := m.entries[key]; e != nil {
		return e.tokens(now)
	}
	return 0
}

// resume forgives silence that was this daemon's own: after a pause every owner
// looks silent, and leaving them all would move every loan.
func (m *Limiter) resume(now time.Time) {
	if now.Sub(m.lastStep) > m.cfg.OwnerTimeout/2 {
		for _, s := range m.sessions {
			if !s.unanswered.IsZero() && s.unanswered.After(m.lastStep.Add(-m.cfg.OwnerTimeout)) {
				s.unanswered = now
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
}

func (m *Limiter) members(live []state.Member) {
	clear(m.live)
	for _, l := range live {
		m.live[l.ID] = true
		m.learn(l)
	}
}

func (m *Limiter) learn(member state.Member) {
	m.known[member.ID] = max(m.known[member.ID], member.Incarnation)
}

// drain gives back and asks back what else would have to run out.
func (m *Limiter) drain() {
	m.owner.leaving = true
	if m.lender != nil {
		m.lender.stopped = true
	}
	for _, s := range m.sessions {
		s.urgent = s.urgent || s.grantStamp != 0
	}
}

// tick does what is due by time.
func (m *Limiter) tick(now time.Time) {
	elapsed := now.Sub(m.lastTick)
	if elapsed < m.cfg.ReportInterval {
		return
	}
	m.lastTick = now
	m.ticks++
	for _, e := range m.order {
		e.observe(elapsed)
		e.trim(now, &m.cfg)
		m.expire(now, e)
	}
	m.order = slices.DeleteFunc(m.order, func(e *entry) bool {
		drop := e.idle(now, idleAfter*m.cfg.ReportInterval)
		if drop {
			delete(m.entries, e.key)
		}
		return drop
	})
	for _, s := range m.sessions {
		s.urgent = s.urgent || m.due(now, s)
	}
	if m.ticks%forgetEvery == 0 {
		m.owner.forget(now)
	}
}

// expire refuses requests that waited too long for an owner.
func (m *Limiter) expire(now time.Time, e *entry) {
	n := 0
	for n < len(e.pending) && now.Sub(e.pending[n].asked) >= m.cfg.MaxWait {
		m.refuse(e.pending[n].call, ReasonNoOwner, m.cfg.LoanTTL)
		n++
	}
	e.pending = slices.Delete(e.pending, 0, n)
	e.settled(now, state.Member{}, 0)
}

// flush sends the urgent Reports that may leave now.
func (m *Limiter) flush(now time.Time) {
	for _, s := range m.sessions {
		if s.urgent && s.maySend(now, &m.cfg) {
			m.report(now, s)
		}
	}
}

// report composes and sends one Report.
func (m *Limiter) report(now time.Time, s *session) {
	st := stamp(m.start, now)
	if st <= s.lastStamp {
		return
	}
	r := Report{Stamp: st, Echo: s.grantStamp, To: s.member.Incarnation}
	if m.lender != nil && m.lender.ready(now) {
		for n := range m.ranks {
			if m.choose(now, n) == s && m.lender.lend(now, n, s, st) {
				r.Lent |= 1 << n
			}
		}
	}
	for _, e := range m.order {
		u, ok := e.use(now, s, st, m.choose(now, e.shard) == s, &m.cfg)
		if ok {
			r.Usages = append(r.Usages, u)
		}
	}
	s.sent(now, st)
	m.send(s.id, r)
}

func (m *Limiter) send(to state.DaemonID, msg Message) {
	if to == m.cfg.Self.ID {
		m.local = append(m.local, localMessage{msg: msg})
		return
	}
	m.out = append(m.out, Send{To: to, Msg: msg})
}

func (m *Limiter) refuse(call uint64, why RefusalReason, after time.Duration) {
	m.out = append(m.out, Refuse{Call: call, Reason: why, RetryAfter: after})
}
