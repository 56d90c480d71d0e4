package quarantine

import (
	"encoding/hex"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// sendsPerPropagation is how often an unacknowledged FactUpdate is sent within
// PropagationTimeout.
const sendsPerPropagation = 4

// propagation is a FactUpdate that waits for its Acks.
type propagation struct {
	seq            uint64
	update         FactUpdate
	replica        state.ReplicaID // if empty, no request waits for DeathPropagated
	unacknowledged []state.DaemonID
	resendAt       time.Time
	deadline       time.Time
}

// broadcast sends facts to the other daemons: to all if they are few, else to
// DirectFanout of them, which forward them.
func (m *Quarantine) broadcast(now time.Time, added FactUpdate, replica state.ReplicaID) {
	if added.empty() {
		return
	}
	m.lastSeq++
	added.Seq = m.lastSeq
	s := &propagation{
		seq:            m.lastSeq,
		update:         added,
		replica:        replica,
		unacknowledged: m.randomPeers(m.cfg.DirectFanout),
		resendAt:       now.Add(m.cfg.PropagationTimeout / sendsPerPropagation),
		deadline:       now.Add(m.cfg.PropagationTimeout),
	}
	m.propagations[s.seq] = s
	for _, to := range s.unacknowledged {
		m.send(to, added)
	}
	m.checkPropagated(now, s)
}

// randomPeers returns up to n other daemons chosen at random, or all of them if there
// are no more.
func (m *Quarantine) randomPeers(n int) []state.DaemonID {
	var ids []state.DaemonID
	for _, l := range m.livePeers {
		ids = append(ids, l.ID)
	}
	if len(ids) > n {
		m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		ids = ids[:n]
	}
	return ids
}

func (m *Quarantine) send(to state.DaemonID, msg Message) {
	m.actions = append(m.actions, Send{To: to, Msg: msg})
}

func (m *Quarantine) resend(now time.Time, s *propagation) {
	if now.Before(s.resendAt) {
		return
	}
	s.resendAt = now.Add(m.cfg.PropagationTimeout / sendsPerPropagation)
	if now.Before(s.deadline) {
		for _, to := range s.unacknowledged {
			m.send(to, s.update)
		}
	}
	m.checkPropagated(now, s)
}

func (m *Quarantine) checkPropagated(now time.Time, s *propagation) {
	if len(s.unacknowledged) > 0 && now.Before(s.deadline) {
		return
	}
	delete(m.propagations, s.seq)
	if s.replica != "" {
		m.actions = append(m.actions, DeathPropagated{Replica: s.replica})
	}
}

func (m *Quarantine) receive(now time.Time, from state.Member, msg Message) {
	switch msg := msg.(type) {
	case FactUpdate:
		m.receiveFacts(now, from, msg)
	case Ack:
		if s := m.propagations[msg.Seq]; s != nil {
			s.unacknowledged = slices.DeleteFunc(s.unacknowledged, func(id state.DaemonID) bool { return id == from.ID })
			m.checkPropagated(now, s)
		}
	case FactDigest:
		var t FactUpdate
		if msg.Digest != m.facts.digest {
			t = m.facts.snapshot(now)
		}
		m.send(from.ID, t)
	}
}

// receiveFacts merges facts and, in a large cluster, forwards those that were new. Each
// daemon forwards a fact once, so that forwarding terminates.
func (m *Quarantine) receiveFacts(now time.Time, from state.Member, t FactUpdate) {
	added := m.facts.merge(now, t)
	if t.Seq != 0 {
		m.send(from.ID, Ack{Seq: t.Seq})
	} else {
		m.finishSync(now)
	}
	if added.empty() || len(m.livePeers) <= m.cfg.DirectFanout {
		return
	}
	for _, to := range m.randomPeers(m.cfg.ForwardFanout) {
		m.send(to, added)
	}
}

// setView applies a membership view. On its first view a daemon asks for the others'
// facts.
func (m *Quarantine) setView(now time.Time, live []state.Member) {
	first := len(m.livePeers) == 0
	m.livePeers = slices.DeleteFunc(slices.Clone(live), func(l state.Member) bool {
		return l.ID == m.cfg.Self.ID
	})
	for _, s := range m.propagations {
		s.unacknowledged = slices.DeleteFunc(s.unacknowledged, func(id state.DaemonID) bool {
			return !slices.ContainsFunc(m.livePeers, func(l state.Member) bool { return l.ID == id })
		})
	}
	if first {
		m.sendDigest(2)
		m.nextSync = now.Add(m.cfg.SyncInterval)
	}
}

// sendDigest makes n other daemons send the facts that they have and this daemon may
// lack.
func (m *Quarantine) sendDigest(n int) {
	for _, to := range m.randomPeers(n) {
		m.send(to, FactDigest{Digest: m.facts.digest})
	}
}

func parseFingerprint(key string) (Fingerprint, bool) {
	var fp Fingerprint
	b, err := hex.DecodeString(key)
	if err != nil || len(b) != len(fp) {
		return fp, false
	}
	copy(fp[:], b)
	return fp, true
}
