package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config is a daemon's lease settings. Term and Drift must be the same on all
// daemons.
type Config struct {
	Self state.Member

	// Term is how long an observer must see a row unchanged before it takes
	// the lease.
	LeaseDuration time.Duration
	// Drift bounds how far a clock's rate is from true, as a share of it.
	MaxClockDrift float64
	// Renew is the time between renewals.
	RenewInterval time.Duration
	// Poll is the time between reads of a row by its Watchers; SlowPoll by
	// all others.
	PollInterval     time.Duration
	SlowPollInterval time.Duration
	// Watchers is how many members, in rendezvous order, watch a row closely.
	Watchers int
	// Stagger is how much later each member tries than the one before it.
	TakeoverStagger time.Duration
	// CallTimeout is when a store call without an answer counts as unanswered.
	CallTimeout time.Duration
	// Retry is the pause after a store call that failed.
	RetryDelay time.Duration
}

// DefaultConfig returns the settings that docs/design/leases-and-orders.md
// works out.
func DefaultConfig(self state.Member) Config {
	return Config{
		Self:             self,
		LeaseDuration:    10 * time.Second,
		MaxClockDrift:    0.01,
		RenewInterval:    2500 * time.Millisecond,
		PollInterval:     time.Second,
		SlowPollInterval: 30 * time.Second,
		Watchers:         3,
		TakeoverStagger:  1500 * time.Millisecond,
		CallTimeout:      2 * time.Second,
		RetryDelay:       250 * time.Millisecond,
	}
}

// span is how long after sending a write its holder may rely on it. A holder's
// clock that is slow by Drift stretches span by 1/(1-Drift) in true time, an
// observer's that is fast shrinks Term by 1/(1+Drift).
func (c Config) span() time.Duration {
	return time.Duration(float64(c.LeaseDuration) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift))
}

// maxDoublings bounds the growth of the pause after unanswered calls.
const maxDoublings = 10

// call is a store call under way.
type call struct {
	services []state.ServiceID
	write    bool
	sent     time.Time
}

// Machine holds what one daemon knows of all leases. It belongs to the control
// goroutine.
type Machine struct {
	cfg      Config
	rng      *rand.Rand
	leases   map[state.ServiceID]*lease
	order    []state.ServiceID // keys of leases, sorted, for equal runs
	live     []state.DaemonID
	draining bool
	calls    map[CallID]call
	nextCall CallID
}

// New returns the machine of a daemon that knows no service yet.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:    cfg,
		rng:    rng,
		leases: make(map[state.ServiceID]*lease),
		calls:  make(map[CallID]call),
	}
}

// Holds reports whether this daemon, and no other, holds the service's lease at
// now. It must be asked before each order.
func (m *Machine) Holds(service state.ServiceID, now time.Time) bool {
	return m.Status(service, now).State == Held
}

// Status returns what this daemon may do for a service at now.
func (m *Machine) Status(service state.ServiceID, now time.Time) Status {
	l, ok := m.leases[service]
	if !ok {
		return Status{Service: service}
	}
	return m.status(l, now)
}

func (m *Machine) status(l *lease, now time.Time) Status {
	s := Status{Service: l.service}
	if l.proved.IsZero() || l.releasing || l.overtaken {
		return s
	}
	s.State = Lapsed
	s.TermID = l.nonce
	s.Fencing = l.seen.Row.Fencing
	s.Until = l.proved.Add(m.cfg.span())
	s.Clean = l.clean
	if now.Before(s.Until) {
		s.State = Held
	}
	return s
}

// Holder returns who held the service's lease when its row was last read or
// written; false where nobody did. Members that don't watch the row closely
// learn of a change late.
func (m *Machine) Holder(service state.ServiceID) (state.Member, bool) {
	l, ok := m.leases[service]
	if !ok || !l.known || l.seen.Revision == 0 || l.seen.Row.Released() {
		return state.Member{}, false
	}
	return l.seen.Row.Holder, true
}

// Step takes in one event and returns what is to be done.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
	case Services:
		m.setServices(now, ev.IDs)
	case Members:
		m.live = slices.Clone(ev.Live)
		m.setRanks()
	case Drain:
		m.draining = true
	case Release:
		m.release(ev)
	case FencingRejected:
		m.refused(now, ev)
	case ReadDone:
		m.readDone(now, ev)
	case Committed:
		m.committed(now, ev)
	case Conflicted:
		m.failed(now, ev.Call, false)
	case Unanswered:
		m.failed(now, ev.Call, true)
	case Received:
		m.received(now, ev)
	default:
		panic(fmt.Sprintf("lease: unknown event %T", ev))
	}
	m.expireCalls(now)
	return m.act(now)
}

// setServices keeps the row of a service that was dropped as long as it is ours,
// so that it is released by the caller and not forgotten.
func (m *Machine) setServices(now time.Time, ids []state.ServiceID) {
	for _, id := range ids {
		if _, ok := m.leases[id]; !ok {
			m.leases[id] = &lease{service: id, nextRead: now}
		}
	}
	for id, l := range m.leases {
		if !slices.Contains(ids, id) && !l.mine(m.cfg.Self) {
			delete(m.leases, id)
		}
	}
	m.order = lo.Keys(m.leases)
	slices.Sort(m.order)
	m.setRanks()
}

func (m *Machine) release(ev Release) {
	if l, ok := m.leases[ev.Service]; ok && l.mine(m.cfg.Self) {
		l.releasing = true
		l.relClean = ev.Clean
	}
}

// refused raises the number of a lease that is held, and gives up one that has
// lapsed before the row itself could be read: a holder that was paused, or cut
// off from the store alone, finds out this way.
func (m *Machine) refused(now time.Time, ev FencingRejected) {
	l, ok := m.leases[ev.Service]
	if !ok || l.proved.IsZero() || l.seen.Row.Fencing != ev.Fencing {
		return
	}
	if m.status(l, now).State == Held {
		l.above = max(l.above, ev.Seen)
		l.renewed = time.Time{}
		return
	}
	l.overtaken = true
	l.nextRead = now
}

func (m *Machine) received(now time.Time, ev Received) {
	switch msg := ev.Msg.(type) {
	case Handoff:
		if l, ok := m.leases[msg.Service]; ok {
			l.nextRead = now
		}
	default:
		panic(fmt.Sprintf("lease: unknown message %T", msg))
	}
}

// readDone takes in rows, and settles the writes that were in doubt when the
// read was sent.
func (m *Machine) readDone(now time.Time, ev ReadDone) {
	c, ok := m.take(ev.Call)
	if !ok {
		return
	}
	for _, s := range ev.Rows {
		l, ok := m.leases[s.Service]
		if !ok || !slices.Contains(c.services, s.Service) {
			continue
		}
		l.learn(now, s, m.cfg.Self)
		l.readAt = now
		l.doubt = false
		l.failures = 0
	}
	for _, id := range c.services {
		if l, ok := m.leases[id]; ok {
			l.nextRead = m.nextPoll(l, now)
		}
	}
}

func (m *Machine) committed(now time.Time, ev Committed) {
	if _, ok := m.take(ev.Call); !ok {
		return // given up before; the read-back settles it
	}
	for _, s := range ev.Rows {
		if l, ok := m.leases[s.Service]; ok {
			l.learn(now, s, m.cfg.Self)
		}
	}
}

// failed puts the rows of a call in doubt. A conflict too: an earlier write of
// ours whose answer was lost may be its cause.
func (m *Machine) failed(now time.Time, number CallID, unanswered bool) {
	c, ok := m.take(number)
	if !ok {
		return
	}
	for _, id := range c.services {
		l, ok := m.leases[id]
		if !ok {
			continue
		}
		var pause time.Duration
		if unanswered {
			pause = m.backoff(l)
		}
		l.nextRead = now.Add(pause)
		if c.write {
			l.doubt = true
			l.nextTry = now.Add(pause)
			l.renewed = time.Time{}
		}
	}
}

// backoff grows to the poll interval, so that a fleet whose store comes back
// does not ask more often than it does on an ordinary day.
func (m *Machine) backoff(l *lease) time.Duration {
	pause := m.cfg.RetryDelay << min(l.failures, maxDoublings)
	l.failures++
	return min(pause, m.pollEvery(l))
}

// take ends a call and frees its rows.
func (m *Machine) take(number CallID) (call, bool) {
	c, ok := m.calls[number]
	if !ok {
		return call{}, false
	}
	delete(m.calls, number)
	for _, id := range c.services {
		l, ok := m.leases[id]
		switch {
		case !ok:
		case c.write:
			l.writing = false
		default:
			l.reading = false
		}
	}
	return c, true
}

// expireCalls counts calls that got no answer in time as unanswered, so that a
// result that never comes can't stop renewals for good.
func (m *Machine) expireCalls(now time.Time) {
	var late []CallID
	for n, c := range m.calls {
		if now.Sub(c.sent) >= m.cfg.CallTimeout {
			late = append(late, n)
		}
	}
	slices.Sort(late)
	for _, n := range late {
		m.failed(now, n, true)
	}
}
