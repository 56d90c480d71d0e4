package membership

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Self is this daemon as it introduces itself.
type Self struct {
	Member state.Member
	Meta   Meta
}

// Membership is one daemon's part in the protocol. It belongs to one goroutine.
type Membership struct {
	cfg   Config
	rng   *rand.Rand
	table table
	self  *entry

	near      []*entry // neighbours by the present view
	nearStale bool

	probes probes
	gossip gossip
	facts  facts
	health health
	seeds  []string

	joining bool // taking in the first records of the fleet

	nextExchange  time.Time
	nextReconnect time.Time
	nextSweep     time.Time
	lastAsked     time.Time // of the last Compare because of an unknown member

	wake       time.Time // what NextTick last told; zero before the first Step
	superseded state.Incarnation

	now     time.Time
	actions []Action
	changed bool   // View differs in members, states or facts
	hash    uint64 // of the live members; 0 where it is to be worked out
	view    *View
}

// New returns the membership of a daemon that knows only itself.
func New(cfg Config, self Self, rng *rand.Rand) *Membership {
	m := &Membership{
		cfg:       cfg.withDefaults(),
		rng:       rng,
		table:     table{byID: make(map[state.DaemonID]*entry)},
		nearStale: true,
		facts:     newFacts(),
	}
	m.gossip = newGossip(m.cfg.GossipBurst)
	m.self = &entry{
		id:   self.Member.ID,
		inc:  self.Member.Incarnation,
		meta: self.Meta,
	}
	m.table.add(m.self)
	return m
}

// Step takes in one event and gives what is to be done about it. now never goes
// back.
func (m *Membership) Step(now time.Time, ev Event) []Action {
	m.now = now
	m.actions = nil
	if m.wake.IsZero() {
		m.start()
	}
	m.checkLate()
	if m.self.state != Left {
		m.handle(ev)
		m.runTimers()
	}
	if m.changed {
		m.changed = false
		m.view = nil
		m.act(ViewChanged{})
	}
	m.wake = m.nextTick()
	return m.actions
}

// NextTick is when Step next wants a Tick.
func (m *Membership) NextTick() time.Time {
	return m.wake
}

// start sets the timers off at random points, so that daemons started together
// do not act in step.
func (m *Membership) start() {
	m.nextSweep = m.now.Add(sweepInterval)
	m.nextExchange = m.after(m.cfg.ExchangeInterval)
	m.nextReconnect = m.now
	m.probes.next = m.now.Add(m.part(m.cfg.ProbeInterval))
	m.gossip.refilled = m.now
	m.self.since = m.now
}

func (m *Membership) handle(ev Event) {
	switch ev := ev.(type) {
	case Tick:
	case Received:
		m.receive(ev.From, ev.Msg)
	case Seeds:
		m.seeds = ev.Addresses
		m.nextReconnect = m.now
	case ConnectionLost:
		m.doubt(ev.ID)
	case SetDigest:
		m.self.digest = ev.Digest
		m.view = nil
	case ReportBackend:
		m.reportBackend(ev.Backend, ev.Kind)
	case ReportDocument:
		m.reportDocument(ev.Service, ev.Version)
	case Notify:
		m.notify(ev.Text)
	case Drain:
		m.drain()
	case Leave:
		m.leave()
	}
}

// receive takes in one message. Whatever it carries besides, it says that its
// sender lives, in which revision, and what rumours it passes on.
func (m *Membership) receive(from state.Member, msg Message) {
	self, rumours := header(msg)
	if self.ID != from.ID || self.ID == m.self.id {
		return
	}
	m.hear(self)
	m.learn(from.ID, rumours)
	m.sameMembers(from.ID, rumours.MembersHash)
	switch msg := msg.(type) {
	case Ping:
		m.onPing(from.ID, msg)
	case Ack:
		m.onAck(from.ID, msg)
	case PingRequest:
		m.onPingRequest(from.ID, msg)
	case PingResult:
		m.onPingResult(msg)
	case ExchangeRequest:
		m.onCompare(from.ID, msg)
	case ExchangeRecords:
		m.onRecords(from.ID, msg)
	case Gossip:
		m.accuse(self)
	}
}

// header gives what every message carries.
func header(msg Message) (Update, GossipPayload) {
	switch msg := msg.(type) {
	case Ping:
		return msg.Self, msg.Payload
	case Ack:
		return msg.Self, msg.Payload
	case PingRequest:
		return msg.Self, GossipPayload{}
	case PingResult:
		return msg.Self, GossipPayload{}
	case Gossip:
		return msg.Self, msg.Payload
	case ExchangeRequest:
		return msg.Self, GossipPayload{}
	case ExchangeRecords:
		return msg.Self, GossipPayload{}
	}
	return Update{}, GossipPayload{}
}

// hear takes in what the sender of a message says of itself.
func (m *Membership) hear(self Update) {
	m.apply(self, self.ID, fromRumour)
	if e, ok := m.table.get(self.ID); ok && e.inc == self.Incarnation {
		e.heard = m.now
	}
}

// drain makes it known that this daemon takes no new callers.
func (m *Membership) drain() {
	if m.self.draining {
		return
	}
	m.self.draining = true
	m.self.rev++
	m.membersChanged()
	m.tellSelf()
}

// leave tells every neighbour at once: there is no later round.
func (m *Membership) leave() {
	m.self.state = Left
	m.self.rev++
	m.self.since = m.now
	m.membersChanged()
	msg := Gossip{Self: m.self.update()}
	msg.Payload.Updates = []Update{m.self.update()}
	for _, e := range m.neighbours() {
		m.send(e, msg)
	}
}

// neighbours gives the members that this daemon watches, those in its present
// view of the rings.
func (m *Membership) neighbours() []*entry {
	if m.nearStale {
		m.nearStale = false
		m.near = neighbours(&m.table, m.self, m.cfg.rings(m.table.live()))
	}
	return m.near
}

// membersChanged notes that a member or its state is another.
func (m *Membership) membersChanged() {
	m.changed = true
	m.hash = 0
}

func (m *Membership) act(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Membership) send(to *entry, msg Message) {
	m.act(Send{To: to.id, Address: to.meta.PeerAddress, Msg: msg})
}

// after is a random time around d from now.
func (m *Membership) after(d time.Duration) time.Time {
	return m.now.Add(d/2 + m.part(d))
}

// part is a random part of d.
func (m *Membership) part(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}
