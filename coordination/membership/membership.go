package membership

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Self describes the local daemon to its peers.
type Self struct {
	Member state.Member
	Meta   Meta
}

// Membership is the protocol state of one daemon. It is owned by one goroutine.
type Membership struct {
	cfg   Config
	rng   *rand.Rand
	table table
	self  *entry

	neighbourCache  []*entry // neighbours in the current view
	neighboursStale bool

	probes     probes
	broadcasts broadcastQueue
	facts      facts
	health     health
	seeds      []string
	triedAt    map[string]time.Time // when dead members and listed addresses were last tried

	joining bool // applying the first records received from another daemon

	nextExchange       time.Time
	nextReconnect      time.Time
	nextSweep          time.Time
	lastRecordsRequest time.Time // last ExchangeRequest sent because of an unknown member

	wakeAt     time.Time // last value returned by NextTick; zero before the first Step
	superseded state.Incarnation

	now              time.Time
	actions          []Action
	changed          bool   // members, states or facts differ from the last view
	membersHashCache uint64 // hash of the live members; 0 if it has to be recomputed
	membersChangedAt time.Time
	view             *View
}

// New returns the membership of a daemon that knows only itself.
func New(cfg Config, self Self, rng *rand.Rand) *Membership {
	m := &Membership{
		cfg:             cfg.withDefaults(),
		rng:             rng,
		table:           table{byID: make(map[state.DaemonID]*entry)},
		neighboursStale: true,
		facts:           newFacts(),
		triedAt:         make(map[string]time.Time),
	}
	m.broadcasts = newBroadcastQueue(m.cfg.GossipBurst)
	m.self = &entry{
		id:   self.Member.ID,
		inc:  self.Member.Incarnation,
		meta: self.Meta,
	}
	m.table.add(m.self)
	return m
}

// Step applies one event and returns the actions to perform. now must never go back.
func (m *Membership) Step(now time.Time, ev Event) []Action {
	m.now = now
	m.actions = nil
	if m.wakeAt.IsZero() {
		m.start()
	}
	m.detectPause()
	if m.self.state != Left {
		m.handle(ev)
		m.runTimers()
	}
	if m.changed {
		m.changed = false
		m.view = nil
		m.emit(ViewChanged{})
	}
	m.wakeAt = m.nextTick()
	return m.actions
}

// NextTick returns the time at which Step next needs a Tick.
func (m *Membership) NextTick() time.Time {
	return m.wakeAt
}

// start sets the timers to random times, so that daemons that start together do not act
// simultaneously.
func (m *Membership) start() {
	m.nextSweep = m.now.Add(sweepInterval)
	m.nextExchange = m.jittered(m.cfg.ExchangeInterval)
	m.nextReconnect = m.now
	m.probes.next = m.now.Add(m.randomBelow(m.cfg.ProbeInterval))
	m.broadcasts.refilledAt = m.now
	m.self.stateSince = m.now
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
		m.requestProbe(ev.ID)
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

// receive handles one message. Every message shows that its sender is alive and at which
// revision, and may carry a gossip payload.
func (m *Membership) receive(from state.Member, msg Message) {
	self, payload := header(msg)
	if self.ID != from.ID || self.ID == m.self.id {
		return
	}
	m.handleSender(self, msg)
	m.applyPayload(from.ID, payload)
	m.markMembersKnown(from.ID, payload.MembersHash)
	m.reconcile(from.ID, payload.MembersHash)
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
		m.onExchangeRequest(from.ID, msg)
	case ExchangeRecords:
		m.onExchangeRecords(from.ID, msg)
	case Gossip:
		m.sendCorrection(self)
	}
}

// header returns the fields that every message carries.
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

// handleSender applies what the sender of a message reports about itself.
func (m *Membership) handleSender(self Update, msg Message) {
	m.apply(self, self.ID, fromGossip)
	if e, ok := m.table.get(self.ID); ok && e.inc == self.Incarnation {
		e.lastReceived = m.now
		e.knowsSelf = e.knowsSelf || provesKnown(msg)
	}
}

// provesKnown reports whether msg is sent only to daemons that its sender knows. A Ping may
// be sent on behalf of another daemon, and an ExchangeRequest to a listed address.
func provesKnown(msg Message) bool {
	switch msg.(type) {
	case Ping, ExchangeRequest:
		return false
	}
	return true
}

// drain announces that this daemon accepts no new callers.
func (m *Membership) drain() {
	if m.self.draining {
		return
	}
	m.self.draining = true
	m.self.rev++
	m.membersChanged()
	m.broadcastSelf()
}

// leave notifies every neighbour immediately, because no later gossip round follows.
func (m *Membership) leave() {
	m.self.state = Left
	m.self.rev++
	m.self.stateSince = m.now
	m.membersChanged()
	msg := Gossip{Self: m.self.update()}
	msg.Payload.Updates = []Update{m.self.update()}
	for _, e := range m.neighbours() {
		m.send(e, msg)
	}
}

// neighbours returns the members that this daemon monitors, according to the rings of its
// current view.
func (m *Membership) neighbours() []*entry {
	if m.neighboursStale {
		m.neighboursStale = false
		m.neighbourCache = neighbours(&m.table, m.self, m.cfg.ringCount(m.table.live()))
	}
	return m.neighbourCache
}

// membersChanged records that a member or its state has changed.
func (m *Membership) membersChanged() {
	m.changed = true
	m.membersHashCache = 0
	m.membersChangedAt = m.now
}

func (m *Membership) emit(a Action) {
	m.actions = append(m.actions, a)
}

func (m *Membership) send(to *entry, msg Message) {
	m.emit(Send{To: to.id, Address: to.meta.PeerAddress, Msg: msg})
}

// jittered returns a random time between 0.5 d and 1.5 d from now.
func (m *Membership) jittered(d time.Duration) time.Time {
	return m.now.Add(d/2 + m.randomBelow(d))
}

// randomBelow returns a random duration in [0, d).
func (m *Membership) randomBelow(d time.Duration) time.Duration {
	return time.Duration(m.rng.Int64N(int64(d)))
}
