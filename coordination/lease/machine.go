package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config holds a daemon's lease parameters. LeaseDuration and MaxClockDrift must be the same on
// all daemons.
type Config struct {
	Self state.Member

	// LeaseDuration is how long an observer must see a row unchanged before it takes the lease.
	LeaseDuration time.Duration
	// MaxClockDrift bounds the deviation of a clock's rate from true time, as a fraction.
	MaxClockDrift float64
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// PollInterval is the time between reads of a row by its Watchers; SlowPollInterval is that
	// of all other daemons.
	PollInterval     time.Duration
	SlowPollInterval time.Duration
	// Watchers is how many members, in rendezvous order, read a row every PollInterval.
	Watchers int
	// TakeoverStagger is the additional delay of each member after the previous one in
	// rendezvous order before it tries to take a lease.
	TakeoverStagger time.Duration
	// CallTimeout is the time after which a store call without an answer counts as unanswered.
	CallTimeout time.Duration
	// RetryDelay is the initial delay after an unanswered store call; it doubles with each
	// further one, up to the poll interval.
	RetryDelay time.Duration
}

// DefaultConfig returns the parameters derived in docs/design/leases-and-orders.md.
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

// holderLeaseDuration is how long after sending a write its holder may rely on it. A holder's
// clock that is slow by MaxClockDrift extends the duration by 1/(1-MaxClockDrift) in true time;
// an observer's clock that is fast shortens LeaseDuration by 1/(1+MaxClockDrift).
func (c Config) holderLeaseDuration() time.Duration {
	return time.Duration(float64(c.LeaseDuration) * (1 - c.MaxClockDrift) / (1 + c.MaxClockDrift))
}

// maxDoublings bounds the growth of the delay after unanswered calls.
const maxDoublings = 10

// call is a store call in flight.
type call struct {
	services []state.ServiceID
	write    bool
	sent     time.Time
}

// Machine is the lease state machine of one daemon for all services. It is owned by the control
// goroutine.
type Machine struct {
	cfg        Config
	rng        *rand.Rand
	leases     map[state.ServiceID]*lease
	serviceIDs []state.ServiceID // keys of leases, sorted for deterministic runs
	live       []state.DaemonID
	draining   bool
	calls      map[CallID]call
	nextCall   CallID
}

// New returns the state machine of a daemon that knows no service yet.
func New(cfg Config, rng *rand.Rand) *Machine {
	return &Machine{
		cfg:    cfg,
		rng:    rng,
		leases: make(map[state.ServiceID]*lease),
		calls:  make(map[CallID]call),
	}
}

// Holds reports whether this daemon, and no other, holds the service's lease at now. It must be
// called before each order.
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
	if l.confirmedSentAt.IsZero() || l.releasing || l.fencingRejected {
		return s
	}
	s.State = Lapsed
	s.TermID = l.nonce
	s.Fencing = l.observed.Row.Fencing
	s.Until = l.confirmedSentAt.Add(m.cfg.holderLeaseDuration())
	s.Clean = l.clean
	if now.Before(s.Until) {
		s.State = Held
	}
	return s
}

// Holder returns the holder of the service's lease when its row was last read or written, or
// false if there was none. Members that are not watchers of the row detect a change late.
func (m *Machine) Holder(service state.ServiceID) (state.Member, bool) {
	l, ok := m.leases[service]
	if !ok || !l.everRead || l.observed.Revision == 0 || l.observed.Row.Released() {
		return state.Member{}, false
	}
	return l.observed.Row.Holder, true
}

// Step applies one event and returns the actions to perform.
func (m *Machine) Step(now time.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Tick:
	case Services:
		m.setServices(now, ev.IDs)
	case Members:
		m.live = slices.Clone(ev.Live)
		m.updateRanks()
	case Drain:
		m.draining = true
	case Release:
		m.release(ev)
	case FencingRejected:
		m.handleFencingRejected(now, ev)
	case ReadDone:
		m.readDone(now, ev)
	case Committed:
		m.committed(now, ev)
	case Conflicted:
		m.callFailed(now, ev.Call, false)
	case Unanswered:
		m.callFailed(now, ev.Call, true)
	case Received:
		m.handleMessage(now, ev)
	default:
		panic(fmt.Sprintf("lease: unknown event %T", ev))
	}
	m.expireCalls(now)
	return m.dueActions(now)
}

// setServices keeps the row of a removed service while this daemon holds it, so that the caller
// can still release it.
func (m *Machine) setServices(now time.Time, ids []state.ServiceID) {
	for _, id := range ids {
		if _, ok := m.leases[id]; !ok {
			m.leases[id] = &lease{service: id, nextRead: now}
		}
	}
	for id, l := range m.leases {
		if !slices.Contains(ids, id) && !l.isHolder(m.cfg.Self) {
			delete(m.leases, id)
		}
	}
	m.serviceIDs = lo.Keys(m.leases)
	slices.Sort(m.serviceIDs)
	m.updateRanks()
}

func (m *Machine) release(ev Release) {
	if l, ok := m.leases[ev.Service]; ok && l.isHolder(m.cfg.Self) {
		l.releasing = true
		l.releaseClean = ev.Clean
	}
}

// handleFencingRejected raises the fencing number of a held lease, and gives up a lapsed one
// before the row itself can be read: this is how a holder that was paused, or that reaches
// everything except the store, detects its successor.
func (m *Machine) handleFencingRejected(now time.Time, ev FencingRejected) {
	l, ok := m.leases[ev.Service]
	if !ok || l.confirmedSentAt.IsZero() || l.observed.Row.Fencing != ev.Fencing {
		return
	}
	if m.status(l, now).State == Held {
		l.fencingFloor = max(l.fencingFloor, ev.Seen)
		l.renewalSentAt = time.Time{}
		return
	}
	l.fencingRejected = true
	l.nextRead = now
}

func (m *Machine) handleMessage(now time.Time, ev Received) {
	switch msg := ev.Msg.(type) {
	case Handoff:
		if l, ok := m.leases[msg.Service]; ok {
			l.nextRead = now
		}
	default:
		panic(fmt.Sprintf("lease: unknown message %T", msg))
	}
}

// readDone observes the rows, and resolves the writes that were unresolved when the read was
// sent.
func (m *Machine) readDone(now time.Time, ev ReadDone) {
	c, ok := m.endCall(ev.Call)
	if !ok {
		return
	}
	for _, s := range ev.Rows {
		l, ok := m.leases[s.Service]
		if !ok || !slices.Contains(c.services, s.Service) {
			continue
		}
		l.observe(now, s, m.cfg.Self)
		l.answeredAt = now
		l.unresolved = false
		l.failures = 0
	}
	for _, id := range c.services {
		if l, ok := m.leases[id]; ok {
			l.nextRead = m.nextPoll(l, now)
		}
	}
}

func (m *Machine) committed(now time.Time, ev Committed) {
	if _, ok := m.endCall(ev.Call); !ok {
		return // the call timed out before; reading the row back resolves it
	}
	for _, s := range ev.Rows {
		if l, ok := m.leases[s.Service]; ok {
			l.observe(now, s, m.cfg.Self)
		}
	}
}

// callFailed marks the rows of a failed write as unresolved. This includes conflicts, because
// the cause may be an earlier write of this daemon whose answer was lost.
func (m *Machine) callFailed(now time.Time, callID CallID, unanswered bool) {
	c, ok := m.endCall(callID)
	if !ok {
		return
	}
	for _, id := range c.services {
		l, ok := m.leases[id]
		if !ok {
			continue
		}
		var delay time.Duration
		if unanswered {
			delay = m.backoff(l)
		}
		l.nextRead = now.Add(delay)
		if c.write {
			l.unresolved = true
			l.writeAfter = now.Add(delay)
			l.renewalSentAt = time.Time{}
		}
	}
}

// backoff grows up to the poll interval, so that when the store is available again, the site
// does not read it more often than in normal operation.
func (m *Machine) backoff(l *lease) time.Duration {
	delay := m.cfg.RetryDelay << min(l.failures, maxDoublings)
	l.failures++
	return min(delay, m.pollInterval(l))
}

// endCall removes a call and clears the in-flight state of its rows.
func (m *Machine) endCall(callID CallID) (call, bool) {
	c, ok := m.calls[callID]
	if !ok {
		return call{}, false
	}
	delete(m.calls, callID)
	for _, id := range c.services {
		l, ok := m.leases[id]
		switch {
		case !ok:
		case c.write:
			l.writeInFlight = false
		default:
			l.readInFlight = false
		}
	}
	return c, true
}

// expireCalls treats calls without a timely answer as unanswered, so that a result that never
// arrives can't stop renewals permanently.
func (m *Machine) expireCalls(now time.Time) {
	var late []CallID
	for n, c := range m.calls {
		if now.Sub(c.sent) >= m.cfg.CallTimeout {
			late = append(late, n)
		}
	}
	slices.Sort(late)
	for _, n := range late {
		m.callFailed(now, n, true)
	}
}
