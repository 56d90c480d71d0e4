package membership

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// buckets is into how many parts members are hashed for a comparison.
	buckets     = 32
	bucketShift = 64 - 5

	// sweepInterval is the time between two searches for what has expired.
	sweepInterval = time.Second
	// askInterval is the least time between two Compares for unknown members.
	askInterval = time.Second
	// firstSeeds is how many addresses a daemon that knows nobody tries at once.
	firstSeeds = 3
)

func (e *entry) bucket() int {
	return int(e.hash >> bucketShift)
}

// hashes gives one hash a bucket over the live members. The dead are left out:
// each daemon forgets them in its own time.
func (m *Membership) hashes() []uint64 {
	out := make([]uint64, buckets)
	for _, e := range m.table.sorted {
		if e.state.live() {
			out[e.bucket()] ^= mix(e.hash + mix(uint64(e.inc)+mix(uint64(e.rev))))
		}
	}
	return out
}

// membersHash is one hash over the live members.
func (m *Membership) membersHash() uint64 {
	if m.hash == 0 {
		for _, h := range m.hashes() {
			m.hash ^= h
		}
	}
	return m.hash
}

func (m *Membership) compare() ExchangeRequest {
	return ExchangeRequest{Self: m.self.full(), BucketHashes: m.hashes(), FactsHash: m.facts.hash(m.now)}
}

// ask has a peer send the records that differ, because it told of a member that is
// not known here.
func (m *Membership) ask(teller state.DaemonID) {
	if m.now.Sub(m.lastAsked) < askInterval {
		return
	}
	m.lastAsked = m.now
	s := Send{To: teller, Msg: m.compare()}
	if e, ok := m.table.get(teller); ok {
		s.Address = e.meta.PeerAddress
	}
	m.act(s)
}

func (m *Membership) onCompare(from state.DaemonID, msg ExchangeRequest) {
	e, ok := m.table.get(from)
	if !ok || len(msg.BucketHashes) != buckets {
		return
	}
	reply := ExchangeRecords{Self: m.self.full()}
	for i, h := range m.hashes() {
		if h != msg.BucketHashes[i] {
			reply.Buckets = append(reply.Buckets, uint8(i))
		}
	}
	reply.WantRecords = len(reply.Buckets) > 0
	reply.Updates = m.records(reply.Buckets)
	if msg.FactsHash != m.facts.hash(m.now) {
		reply.Facts = m.facts.all(m.now)
		reply.WantFacts = true
	}
	if u, ok := m.accusation(msg.Self); ok {
		reply.Updates = append(reply.Updates, u)
	}
	m.send(e, reply)
}

// records gives all that is known of the members in the buckets.
func (m *Membership) records(bs []uint8) []Update {
	var out []Update
	for _, e := range m.table.sorted {
		if slices.Contains(bs, uint8(e.bucket())) {
			out = append(out, e.full())
		}
	}
	return out
}

func (m *Membership) onRecords(from state.DaemonID, msg ExchangeRecords) {
	// A daemon that knew nobody but the sender has news for nobody: passing the
	// whole fleet's records on would cost each of its neighbours as much again.
	m.joining = m.table.live() <= 2
	for _, u := range msg.Updates {
		m.apply(u, from, fromExchange)
	}
	m.joining = false
	for _, f := range msg.Facts {
		m.applyFact(f, from)
	}
	e, ok := m.table.get(from)
	if !ok || !msg.WantRecords && !msg.WantFacts {
		m.accuse(msg.Self)
		return
	}
	reply := ExchangeRecords{Self: m.self.full()}
	if msg.WantRecords {
		reply.Updates = m.records(msg.Buckets)
	}
	if msg.WantFacts {
		reply.Facts = m.facts.all(m.now)
	}
	m.send(e, reply)
}

// runExchange compares with a random live member now and then. It repairs what
// rumours missed, over links that the rings do not have.
func (m *Membership) runExchange() {
	if m.now.Before(m.nextExchange) {
		return
	}
	m.nextExchange = m.after(m.cfg.ExchangeInterval)
	var others []*entry
	for _, e := range m.table.sorted {
		if e != m.self && e.state == Alive {
			others = append(others, e)
		}
	}
	if len(others) > 0 {
		m.send(others[m.rng.IntN(len(others))], m.compare())
	}
}

// runReconnect tries to reach someone who is not held alive.
//
// Guard (regions-parted, lagging-instance-list): after a parting nobody probes
// across it any more, and an instance list that lags names neither all nor only
// live daemons. So the dead of the last DeadKeep and the listed addresses that no
// live member has are tried, one at a time and for good; who answers is told that
// it was held for dead, and refutes.
func (m *Membership) runReconnect() {
	if m.now.Before(m.nextReconnect) {
		return
	}
	m.nextReconnect = m.after(m.cfg.ReconnectInterval)
	var dead []*entry
	for _, e := range m.table.sorted {
		if e.state == Dead {
			dead = append(dead, e)
		}
	}
	seeds := m.strangers()
	tries := 1
	if len(dead) == 0 && m.table.live() == 1 {
		tries = firstSeeds
	}
	for range min(tries, len(dead)+len(seeds)) {
		i := m.rng.IntN(len(dead) + len(seeds))
		if i < len(dead) {
			m.ping(dead[i], m.probes.nextSeq())
			continue
		}
		i -= len(dead)
		m.act(Send{Address: seeds[i], Msg: m.compare()})
		seeds = slices.Delete(seeds, i, i+1)
	}
}

// strangers gives the listed addresses at which nobody is known.
func (m *Membership) strangers() []string {
	known := make(map[string]bool)
	for _, e := range m.table.sorted {
		if e.state.live() || e.state == Dead {
			known[e.meta.PeerAddress] = true
		}
	}
	var out []string
	for _, a := range m.seeds {
		if !known[a] {
			out = append(out, a)
		}
	}
	return out
}

// sweep forgets what is past its time.
func (m *Membership) sweep() {
	if m.now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = m.now.Add(sweepInterval)
	if m.facts.expire(m.now) {
		m.changed = true
	}
	for _, e := range slices.Clone(m.table.sorted) {
		if !e.state.live() && m.now.Sub(e.since) >= m.cfg.DeadRetention {
			m.table.remove(e.id)
			m.gossip.drop(memberSubject(e.id))
			m.membersChanged()
		}
	}
}

// runTimers does whatever is due.
func (m *Membership) runTimers() {
	m.endSuspicions()
	m.runProbes()
	m.runExchange()
	m.runReconnect()
	m.sweep()
	m.runGossip()
}

// nextTick is when the next of the timers is due.
func (m *Membership) nextTick() time.Time {
	next := m.nextSweep
	sooner := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	sooner(m.probes.next)
	sooner(m.nextExchange)
	sooner(m.nextReconnect)
	for _, p := range m.probes.pending {
		if !p.asked {
			sooner(p.direct)
		}
		sooner(p.fails)
	}
	for _, r := range m.probes.relays {
		sooner(r.expires)
	}
	for _, e := range m.table.sorted {
		if e.state == Suspect {
			sooner(e.suspicion.deadline(m.cfg))
		}
	}
	if !m.gossip.next.IsZero() {
		sooner(m.gossip.next)
	}
	return next
}
