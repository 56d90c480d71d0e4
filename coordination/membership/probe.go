package membership

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// probe is a pending liveness check of one member.
type probe struct {
	seq          uint32
	target       *entry
	inc          state.Incarnation
	sent         time.Time
	indirectSent bool // indirect probes have been sent
	indirectAt   time.Time
	failsAt      time.Time
	nacks        int // relaying daemons that answered but could not reach the target
}

// relay is an indirect probe on behalf of another daemon.
type relay struct {
	seq       uint32 // of the ping that this daemon sends
	target    state.DaemonID
	origin    state.DaemonID
	originSeq uint32
	expires   time.Time
}

// probes holds the pending probes and relays, at most a few of each.
type probes struct {
	next    time.Time // when the next probe starts
	seq     uint32
	round   []state.DaemonID // neighbours still to be probed in this round
	pending []*probe
	relays  []relay
}

func (p *probes) nextSeq() uint32 {
	p.seq++
	return p.seq
}

// reset drops all pending probes and relays.
func (p *probes) reset() {
	p.pending = nil
	p.relays = nil
}

// runProbes ends probes that are past their deadline and starts the next one when it is due.
func (m *Membership) runProbes() {
	for _, p := range slices.Clone(m.probes.pending) {
		m.checkProbe(p)
	}
	m.expireRelays()
	if m.now.Before(m.probes.next) {
		return
	}
	m.probes.next = m.now.Add(m.health.scale(m.cfg.ProbeInterval))
	if e := m.nextTarget(); e != nil {
		m.beginProbe(e)
	}
}

// nextTarget returns a member that has to be probed soon, otherwise the next one of a random
// permutation of the neighbours. The permutation bounds the time between two probes of one
// neighbour.
func (m *Membership) nextTarget() *entry {
	for _, e := range m.table.sorted {
		if e.probeSoon && e.state.live() {
			e.probeSoon = false
			return e
		}
	}
	for range 2 {
		for len(m.probes.round) > 0 {
			id := m.probes.round[0]
			m.probes.round = m.probes.round[1:]
			if e, ok := m.table.get(id); ok && e.state.live() {
				return e
			}
		}
		for _, e := range m.neighbours() {
			m.probes.round = append(m.probes.round, e.id)
		}
		m.rng.Shuffle(len(m.probes.round), func(i, j int) {
			o := m.probes.round
			o[i], o[j] = o[j], o[i]
		})
	}
	return nil
}

func (m *Membership) beginProbe(e *entry) {
	p := &probe{
		seq:        m.probes.nextSeq(),
		target:     e,
		inc:        e.inc,
		sent:       m.now,
		indirectAt: m.now.Add(m.health.scale(m.cfg.ProbeTimeout)),
		failsAt:    m.now.Add(m.health.scale(m.cfg.ProbeDeadline)),
	}
	m.probes.pending = append(m.probes.pending, p)
	m.ping(e, p.seq)
}

func (m *Membership) ping(e *entry, seq uint32) {
	msg := Ping{
		Seq: seq, Self: m.introduction(e), Target: e.id,
		Digest: m.self.digest, Payload: m.piggyback(e),
	}
	if e.state != Alive {
		msg.Payload.Updates = append(msg.Payload.Updates, e.update())
	}
	m.send(e, msg)
}

// introduction returns the local daemon's record for a message to e: with Meta until e has
// shown that it knows this daemon, and while it may have been replaced.
//
// Guard (unknown-prober): a daemon can't answer one whose address it does not know.
// While hundreds of daemons start, each learns of the others at different times; those that
// were probed by daemons that they did not know yet were suspected, and all daemons spent
// seconds on suspicions of live ones.
func (m *Membership) introduction(e *entry) Update {
	if !e.knowsSelf || e.state != Alive {
		return m.self.fullUpdate()
	}
	return m.self.update()
}

// checkProbe ends the probe or sends indirect probes when their time has come.
func (m *Membership) checkProbe(p *probe) {
	e := p.target
	switch {
	case e.inc != p.inc || !e.state.live() || e.lastReceived.After(p.sent):
		m.endProbe(p.seq)
	case !m.now.Before(p.failsAt):
		m.endProbe(p.seq)
		if p.nacks == 0 {
			m.health.degrade()
		}
		m.suspect(e)
	case !p.indirectSent && !m.now.Before(p.indirectAt):
		p.indirectSent = true
		m.sendIndirectProbes(p)
		m.ping(e, p.seq)
	}
}

func (m *Membership) endProbe(seq uint32) {
	m.probes.pending = slices.DeleteFunc(m.probes.pending, func(p *probe) bool {
		return p.seq == seq
	})
}

// sendIndirectProbes asks neighbours to probe the target. They are taken from different failure
// domains as far as possible, preferably not from this daemon's own: a fault between this
// daemon and the target then rarely affects all of them.
func (m *Membership) sendIndirectProbes(p *probe) {
	var candidates []*entry
	for _, e := range m.neighbours() {
		if e.state == Alive && e != p.target {
			candidates = append(candidates, e)
		}
	}
	m.rng.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	for _, e := range pickAcrossDomains(candidates, m.self.meta.Domain, m.cfg.IndirectProbes) {
		m.send(e, PingRequest{
			Seq: p.seq, Self: m.introduction(e),
			Target: p.target.id, Address: p.target.meta.PeerAddress,
		})
	}
}

// pickAcrossDomains picks up to n candidates, first one of each failure domain other than own,
// then any others.
func pickAcrossDomains(candidates []*entry, own state.FailureDomain, n int) []*entry {
	used := map[state.FailureDomain]bool{own: true}
	var picked, rest []*entry
	for _, e := range candidates {
		if used[e.meta.Domain] {
			rest = append(rest, e)
			continue
		}
		used[e.meta.Domain] = true
		picked = append(picked, e)
	}
	picked = append(picked, rest...)
	return picked[:min(n, len(picked))]
}

func (m *Membership) onPing(from state.DaemonID, msg Ping) {
	m.updateDigest(from, msg.Digest)
	e, ok := m.table.get(from)
	if !ok {
		return
	}
	ack := Ack{
		Seq: msg.Seq, Self: m.self.update(),
		Digest: m.self.digest, Payload: m.piggyback(e),
	}
	if u, ok := m.correction(msg.Self); ok {
		ack.Payload.Updates = append(ack.Payload.Updates, u)
	}
	m.send(e, ack)
}

func (m *Membership) onAck(from state.DaemonID, msg Ack) {
	m.updateDigest(from, msg.Digest)
	m.completeRelay(from, msg.Seq)
	for _, p := range m.probes.pending {
		if p.seq == msg.Seq && p.target.id == from {
			m.completeProbe(p)
			break
		}
	}
	m.sendCorrection(msg.Self)
}

// completeProbe ends an acknowledged probe.
func (m *Membership) completeProbe(p *probe) {
	m.endProbe(p.seq)
	m.health.improve()
	m.health.recordAck(p.sent)
}

func (m *Membership) onPingRequest(from state.DaemonID, msg PingRequest) {
	m.sendCorrection(msg.Self)
	if _, ok := m.table.get(from); !ok {
		return
	}
	r := relay{
		seq: m.probes.nextSeq(), target: msg.Target,
		origin: from, originSeq: msg.Seq,
		expires: m.now.Add(m.cfg.ProbeTimeout),
	}
	m.probes.relays = append(m.probes.relays, r)
	// Guard (unknown-relay): the target need not know this daemon, of which the origin
	// is a neighbour, and can answer only if it is told the address.
	ping := Ping{Seq: r.seq, Self: m.self.fullUpdate(), Target: msg.Target, Digest: m.self.digest}
	m.emit(Send{To: msg.Target, Address: msg.Address, Msg: ping})
}

// completeRelay reports to the origin that the target answered.
func (m *Membership) completeRelay(from state.DaemonID, seq uint32) {
	i := slices.IndexFunc(m.probes.relays, func(r relay) bool {
		return r.seq == seq && r.target == from
	})
	if i < 0 {
		return
	}
	r := m.probes.relays[i]
	m.probes.relays = slices.Delete(m.probes.relays, i, i+1)
	m.sendPingResult(r, true)
}

// expireRelays reports to the origins of pings that were not answered in time.
func (m *Membership) expireRelays() {
	keep := m.probes.relays[:0]
	for _, r := range m.probes.relays {
		if m.now.Before(r.expires) {
			keep = append(keep, r)
			continue
		}
		m.sendPingResult(r, false)
	}
	m.probes.relays = keep
}

func (m *Membership) sendPingResult(r relay, ok bool) {
	if e, known := m.table.get(r.origin); known {
		m.send(e, PingResult{Seq: r.originSeq, Self: m.self.update(), Answered: ok})
	}
}

func (m *Membership) onPingResult(msg PingResult) {
	m.sendCorrection(msg.Self)
	for _, p := range m.probes.pending {
		if p.seq != msg.Seq {
			continue
		}
		if msg.Answered {
			m.completeProbe(p)
			return
		}
		p.nacks++
		m.health.recordAck(p.sent)
	}
}

// requestProbe has a member probed immediately.
func (m *Membership) requestProbe(id state.DaemonID) {
	if e, ok := m.table.get(id); ok && e != m.self && e.state.live() {
		e.probeSoon = true
		m.probes.next = m.now
	}
}

// updateDigest stores a neighbour's digest.
func (m *Membership) updateDigest(from state.DaemonID, d Digest) {
	e, ok := m.table.get(from)
	if !ok || e.digestSeen && e.digest.equal(d) {
		return
	}
	e.digest, e.digestSeen = d, true
	m.view = nil
	m.emit(DigestChanged{From: e.member(), Digest: d})
}
