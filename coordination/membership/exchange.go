package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// numBuckets is the number of buckets into which members are hashed for an exchange.
	numBuckets  = 32
	bucketShift = 64 - 5 // selects the top log2(numBuckets) bits of a hash

	// sweepInterval is the time between two removals of expired state.
	sweepInterval = time.Second
	// reconcileDelay is how long the members must not have changed before a peer with other
	// ones is asked for the difference: until then broadcasts may be on their way.
	reconcileDelay = 500 * time.Millisecond
	// recordsRequestInterval is the minimum time between two exchange requests for unknown
	// members or for other ones.
	recordsRequestInterval = time.Second
	// initialSeeds is how many addresses a daemon that knows no other tries at once.
	initialSeeds = 3
)

func (e *entry) bucket() int {
	return int(e.hash >> bucketShift)
}

// bucketHashes returns one hash of the live members per bucket. Dead members are excluded
// because daemons drop them at different times.
func (m *Membership) bucketHashes() []uint64 {
	out := make([]uint64, numBuckets)
	for _, e := range m.table.sorted {
		if e.state.live() {
			out[e.bucket()] ^= mix(e.hash + mix(uint64(e.inc)+mix(uint64(e.rev))))
		}
	}
	return out
}

// membersHash returns one hash of all live members.
func (m *Membership) membersHash() uint64 {
	if m.membersHashCache == 0 {
		for _, h := range m.bucketHashes() {
			m.membersHashCache ^= h
		}
	}
	return m.membersHashCache
}

func (m *Membership) exchangeRequest() ExchangeRequest {
	return ExchangeRequest{Self: m.self.fullUpdate(), BucketHashes: m.bucketHashes(), FactsHash: m.facts.hash(m.now)}
}

// requestRecords asks a peer for the records that differ, because it sent an update of an
// unknown member. A sender that is itself unknown has no known address.
func (m *Membership) requestRecords(sender state.DaemonID) {
	e, ok := m.table.get(sender)
	if !ok || m.now.Sub(m.lastRecordsRequest) < recordsRequestInterval {
		return
	}
	m.lastRecordsRequest = m.now
	m.send(e, m.exchangeRequest())
}

// reconcile asks a peer whose live members, with their revisions, have another hash for the
// records that differ.
//
// Guard (few-members-missing): broadcasts are limited in bytes, and hundreds of daemons that
// start together lose some of them. The last members would be missing until the next
// exchange with a random daemon, and neighbours with different members send each other all
// that they have queued.
func (m *Membership) reconcile(peer state.DaemonID, hash uint64) {
	if hash != 0 && hash != m.membersHash() && m.now.Sub(m.membersChangedAt) >= reconcileDelay {
		m.requestRecords(peer)
	}
}

// onExchangeRequest answers with the records of the buckets whose hashes differ from the
// peer's, all facts (see Fact) if the hash of the facts differs, and a correction if this
// daemon has a newer update of the peer than the peer itself sent.
func (m *Membership) onExchangeRequest(from state.DaemonID, msg ExchangeRequest) {
	e, ok := m.table.get(from)
	if !ok || len(msg.BucketHashes) != numBuckets {
		return
	}
	reply := ExchangeRecords{Self: m.self.fullUpdate()}
	for i, h := range m.bucketHashes() {
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
	if u, ok := m.correction(msg.Self); ok {
		reply.Updates = append(reply.Updates, u)
	}
	m.send(e, reply)
}

// records returns the full updates of all members in the given buckets.
func (m *Membership) records(bs []uint8) []Update {
	var out []Update
	for _, e := range m.table.sorted {
		if slices.Contains(bs, uint8(e.bucket())) {
			out = append(out, e.fullUpdate())
		}
	}
	return out
}

func (m *Membership) onExchangeRecords(from state.DaemonID, msg ExchangeRecords) {
	// A daemon that knew only the sender has no new records for anybody else: forwarding the
	// records of the whole site would cost each of its neighbours as much again.
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
		m.sendCorrection(msg.Self)
		return
	}
	reply := ExchangeRecords{Self: m.self.fullUpdate()}
	if msg.WantRecords {
		reply.Updates = m.records(msg.Buckets)
	}
	if msg.WantFacts {
		reply.Facts = m.facts.all(m.now)
	}
	m.send(e, reply)
}

// runExchange periodically exchanges state with a random live member. It repairs what
// broadcasts missed, over links that are not part of the rings.
func (m *Membership) runExchange() {
	if m.now.Before(m.nextExchange) {
		return
	}
	m.nextExchange = m.jittered(m.cfg.ExchangeInterval)
	var others []*entry
	for _, e := range m.table.sorted {
		if e != m.self && e.state == Alive {
			others = append(others, e)
		}
	}
	if len(others) > 0 {
		m.send(others[m.rng.IntN(len(others))], m.exchangeRequest())
	}
}

// runReconnect tries to reach a daemon that is not considered alive.
//
// Guard (regions-parted, lagging-instance-list): after a network partition no daemon probes
// across it any more, and an outdated instance list names neither all daemons nor only live
// ones. Dead members within Config.DeadRetention and listed addresses that belong to no live
// member are therefore tried one at a time, indefinitely: each of them before any of them
// again, so that a single live one among many is reached after one round. A daemon that answers is
// notified that it was considered dead, and refutes.
func (m *Membership) runReconnect() {
	if m.now.Before(m.nextReconnect) {
		return
	}
	m.nextReconnect = m.jittered(m.cfg.ReconnectInterval)
	dead := make(map[string]*entry) // by name
	for _, e := range m.table.sorted {
		if e.state == Dead {
			dead[string(e.id)] = e
		}
	}
	tries := 1
	if len(dead) == 0 && m.table.live() == 1 {
		tries = initialSeeds
	}
	candidates := append(slices.Sorted(maps.Keys(dead)), m.unknownSeeds()...)
	for _, c := range m.leastTried(candidates, tries) {
		if e, ok := dead[c]; ok {
			m.ping(e, m.probes.nextSeq())
			continue
		}
		m.emit(Send{Address: c, Msg: m.exchangeRequest()})
	}
}

// leastTried returns up to n names of dead members or listed addresses that were tried longest ago, in
// random order where that is equal, and records that they are tried.
func (m *Membership) leastTried(candidates []string, n int) []string {
	maps.DeleteFunc(m.triedAt, func(c string, _ time.Time) bool { return !slices.Contains(candidates, c) })
	m.rng.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b string) int { return m.triedAt[a].Compare(m.triedAt[b]) })
	out := candidates[:min(n, len(candidates))]
	for _, c := range out {
		m.triedAt[c] = m.now
	}
	return out
}

// unknownSeeds returns the listed addresses at which no member is known.
func (m *Membership) unknownSeeds() []string {
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

// sweep removes expired facts and members.
func (m *Membership) sweep() {
	if m.now.Before(m.nextSweep) {
		return
	}
	m.nextSweep = m.now.Add(sweepInterval)
	if m.facts.expire(m.now) {
		m.changed = true
	}
	for _, e := range slices.Clone(m.table.sorted) {
		if !e.state.live() && m.now.Sub(e.stateSince) >= m.cfg.DeadRetention {
			m.table.remove(e.id)
			m.broadcasts.drop(memberSubject(e.id))
			m.membersChanged()
		}
	}
}

// runTimers performs everything that is due.
func (m *Membership) runTimers() {
	m.expireSuspicions()
	m.runProbes()
	m.runExchange()
	m.runReconnect()
	m.sweep()
	m.runGossip()
}

// nextTick returns when the next timer is due.
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
		if !p.indirectSent {
			sooner(p.indirectAt)
		}
		sooner(p.failsAt)
	}
	for _, r := range m.probes.relays {
		sooner(r.expires)
	}
	for _, e := range m.table.sorted {
		if e.state == Suspect {
			sooner(e.suspicion.deadline(m.cfg))
		}
	}
	if !m.broadcasts.nextRound.IsZero() {
		sooner(m.broadcasts.nextRound)
	}
	return next
}
