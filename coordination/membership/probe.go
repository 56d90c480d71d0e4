package membership

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// probe is one question to one member whether it lives.
type probe struct {
	seq    uint32
	target *entry
	inc    state.Incarnation
	sent   time.Time
	asked  bool // helpers were asked
	direct time.Time
	fails  time.Time
	nacks  int // helpers that answered but could not reach the target
}

// relay is one question passed on for another daemon.
type relay struct {
	seq     uint32 // of the ping that this daemon sends
	target  state.DaemonID
	origin  state.DaemonID
	origSeq uint32
	expires time.Time
}

// probes holds what is asked and not yet answered; at most a few of each.
type probes struct {
	next    time.Time // when the next probe begins
	seq     uint32
	order   []state.DaemonID // what is left of this round over the neighbours
	pending []*probe
	relays  []relay
}

func (p *probes) nextSeq() uint32 {
	p.seq++
	return p.seq
}

// drop forgets what was asked.
func (p *probes) drop() {
	p.pending = nil
	p.relays = nil
}

// runProbes ends probes whose time is up and begins the next one when it is due.
func (m *Membership) runProbes() {
	for _, p := range slices.Clone(m.probes.pending) {
		m.checkProbe(p)
	}
	m.endRelays()
	if m.now.Before(m.probes.next) {
		return
	}
	m.probes.next = m.now.Add(m.health.stretch(m.cfg.ProbeInterval))
	if e := m.nextTarget(); e != nil {
		m.beginProbe(e)
	}
}

// nextTarget takes a doubted member first, else the next of a random permutation
// of the neighbours, which bounds the time between two probes of one neighbour.
func (m *Membership) nextTarget() *entry {
	for _, e := range m.table.sorted {
		if e.doubted && e.state.live() {
			e.doubted = false
			return e
		}
	}
	for range 2 {
		for len(m.probes.order) > 0 {
			id := m.probes.order[0]
			m.probes.order = m.probes.order[1:]
			if e, ok := m.table.get(id); ok && e.state.live() {
				return e
			}
		}
		for _, e := range m.neighbours() {
			m.probes.order = append(m.probes.order, e.id)
		}
		m.rng.Shuffle(len(m.probes.order), func(i, j int) {
			o := m.probes.order
			o[i], o[j] = o[j], o[i]
		})
	}
	return nil
}

func (m *Membership) beginProbe(e *entry) {
	p := &probe{
		seq:    m.probes.nextSeq(),
		target: e,
		inc:    e.inc,
		sent:   m.now,
		direct: m.now.Add(m.health.stretch(m.cfg.ProbeTimeout)),
		fails:  m.now.Add(m.health.stretch(m.cfg.ProbeDeadline)),
	}
	m.probes.pending = append(m.probes.pending, p)
	m.ping(e, p.seq)
}

func (m *Membership) ping(e *entry, seq uint32) {
	msg := Ping{
		Seq: seq, Self: m.self.update(), Target: e.id,
		Digest: m.self.digest, Payload: m.piggyback(e),
	}
	if e.state != Alive {
		msg.Payload.Updates = append(msg.Payload.Updates, e.update())
	}
	m.send(e, msg)
}

// checkProbe asks helpers, or ends the probe, as its time has come.
func (m *Membership) checkProbe(p *probe) {
	e := p.target
	switch {
	case e.inc != p.inc || !e.state.live() || e.heard.After(p.sent):
		m.endProbe(p.seq)
	case !m.now.Before(p.fails):
		m.endProbe(p.seq)
		if p.nacks == 0 {
			m.health.worse()
		}
		m.suspect(e)
	case !p.asked && !m.now.Before(p.direct):
		p.asked = true
		m.askHelpers(p)
		m.ping(e, p.seq)
	}
}

func (m *Membership) endProbe(seq uint32) {
	m.probes.pending = slices.DeleteFunc(m.probes.pending, func(p *probe) bool {
		return p.seq == seq
	})
}

// askHelpers has neighbours probe the target. Helpers are of different failure
// domains as far as there are, and not of this daemon's own if that can be had:
// what stands between this daemon and the target then rarely stands between all of
// them and it.
func (m *Membership) askHelpers(p *probe) {
	var candidates []*entry
	for _, e := range m.neighbours() {
		if e.state == Alive && e != p.target {
			candidates = append(candidates, e)
		}
	}
	m.rng.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	for _, e := range spreadDomains(candidates, m.self.meta.Domain, m.cfg.IndirectProbes) {
		m.send(e, PingRequest{
			Seq: p.seq, Self: m.self.update(),
			Target: p.target.id, Address: p.target.meta.PeerAddress,
		})
	}
}

// spreadDomains picks up to n of candidates, first one of each failure domain
// other than own, then whoever is left.
func spreadDomains(candidates []*entry, own state.FailureDomain, n int) []*entry {
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
	m.noteDigest(from, msg.Digest)
	e, ok := m.table.get(from)
	if !ok {
		return
	}
	ack := Ack{
		Seq: msg.Seq, Self: m.self.update(),
		Digest: m.self.digest, Payload: m.piggyback(e),
	}
	if u, ok := m.accusation(msg.Self); ok {
		ack.Payload.Updates = append(ack.Payload.Updates, u)
	}
	m.send(e, ack)
}

func (m *Membership) onAck(from state.DaemonID, msg Ack) {
	m.noteDigest(from, msg.Digest)
	m.answerRelay(from, msg.Seq)
	for _, p := range m.probes.pending {
		if p.seq == msg.Seq && p.target.id == from {
			m.answered(p)
			break
		}
	}
	m.accuse(msg.Self)
}

// answered ends a probe well.
func (m *Membership) answered(p *probe) {
	m.endProbe(p.seq)
	m.health.better()
	m.health.proved(p.sent)
}

func (m *Membership) onPingRequest(from state.DaemonID, msg PingRequest) {
	m.accuse(msg.Self)
	if _, ok := m.table.get(from); !ok {
		return
	}
	r := relay{
		seq: m.probes.nextSeq(), target: msg.Target,
		origin: from, origSeq: msg.Seq,
		expires: m.now.Add(m.cfg.ProbeTimeout),
	}
	m.probes.relays = append(m.probes.relays, r)
	ping := Ping{Seq: r.seq, Self: m.self.update(), Target: msg.Target, Digest: m.self.digest}
	m.act(Send{To: msg.Target, Address: msg.Address, Msg: ping})
}

// answerRelay tells the origin that the target answered.
func (m *Membership) answerRelay(from state.DaemonID, seq uint32) {
	i := slices.IndexFunc(m.probes.relays, func(r relay) bool {
		return r.seq == seq && r.target == from
	})
	if i < 0 {
		return
	}
	r := m.probes.relays[i]
	m.probes.relays = slices.Delete(m.probes.relays, i, i+1)
	m.result(r, true)
}

// endRelays tells origins of pings that were not answered in time.
func (m *Membership) endRelays() {
	keep := m.probes.relays[:0]
	for _, r := range m.probes.relays {
		if m.now.Before(r.expires) {
			keep = append(keep, r)
			continue
		}
		m.result(r, false)
	}
	m.probes.relays = keep
}

func (m *Membership) result(r relay, ok bool) {
	if e, known := m.table.get(r.origin); known {
		m.send(e, PingResult{Seq: r.origSeq, Self: m.self.update(), Answered: ok})
	}
}

func (m *Membership) onPingResult(msg PingResult) {
	m.accuse(msg.Self)
	for _, p := range m.probes.pending {
		if p.seq != msg.Seq {
			continue
		}
		if msg.Answered {
			m.answered(p)
			return
		}
		p.nacks++
		m.health.proved(p.sent)
	}
}

// doubt has a member probed at once.
func (m *Membership) doubt(id state.DaemonID) {
	if e, ok := m.table.get(id); ok && e != m.self && e.state.live() {
		e.doubted = true
		m.probes.next = m.now
	}
}

// noteDigest keeps a neighbour's digest.
func (m *Membership) noteDigest(from state.DaemonID, d Digest) {
	e, ok := m.table.get(from)
	if !ok || e.digestSeen && e.digest.equal(d) {
		return
	}
	e.digest, e.digestSeen = d, true
	m.view = nil
	m.act(DigestChanged{From: e.member(), Digest: d})
}
