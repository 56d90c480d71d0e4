package quarantine

import (
	"encoding/hex"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// resends is how often a Tell that was not acknowledged is sent in SpreadWait.
const resends = 4

// spreading is a Tell that waits for its Acks.
type spreading struct {
	seq     uint64
	tell    FactUpdate
	replica state.ReplicaID // empty: nobody waits for Spread
	missing []state.DaemonID
	again   time.Time
	until   time.Time
}

// tell sends news to the others: to all while they are few, else to Direct of
// them, who tell them on.
func (m *Quarantine) tell(now time.Time, news FactUpdate, replica state.ReplicaID) {
	if news.empty() {
		return
	}
	m.lastSeq++
	news.Seq = m.lastSeq
	s := &spreading{
		seq:     m.lastSeq,
		tell:    news,
		replica: replica,
		missing: m.some(m.cfg.DirectFanout),
		again:   now.Add(m.cfg.PropagationTimeout / resends),
		until:   now.Add(m.cfg.PropagationTimeout),
	}
	m.spreading[s.seq] = s
	for _, to := range s.missing {
		m.send(to, news)
	}
	m.spreadDone(now, s)
}

// some picks up to n other daemons at random; all of them if there are no more.
func (m *Quarantine) some(n int) []state.DaemonID {
	var ids []state.DaemonID
	for _, l := range m.live {
		ids = append(ids, l.ID)
	}
	if len(ids) > n {
		m.rng.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
		ids = ids[:n]
	}
	return ids
}

func (m *Quarantine) send(to state.DaemonID, msg Message) {
	m.out = append(m.out, Send{To: to, Msg: msg})
}

func (m *Quarantine) spreadAgain(now time.Time, s *spreading) {
	if now.Before(s.again) {
		return
	}
	s.again = now.Add(m.cfg.PropagationTimeout / resends)
	if now.Before(s.until) {
		for _, to := range s.missing {
			m.send(to, s.tell)
		}
	}
	m.spreadDone(now, s)
}

func (m *Quarantine) spreadDone(now time.Time, s *spreading) {
	if len(s.missing) > 0 && now.Before(s.until) {
		return
	}
	delete(m.spreading, s.seq)
	if s.replica != "" {
		m.out = append(m.out, DeathPropagated{Replica: s.replica})
	}
}

func (m *Quarantine) receive(now time.Time, from state.Member, msg Message) {
	switch msg := msg.(type) {
	case FactUpdate:
		m.told(now, from, msg)
	case Ack:
		if s := m.spreading[msg.Seq]; s != nil {
			s.missing = slices.DeleteFunc(s.missing, func(id state.DaemonID) bool { return id == from.ID })
			m.spreadDone(now, s)
		}
	case FactDigest:
		var t FactUpdate
		if msg.Digest != m.facts.digest {
			t = m.facts.all(now)
		}
		m.send(from.ID, t)
	}
}

// told takes in facts and, in a large fleet, tells on what was new. Each daemon
// does so once for each fact, so that the telling ends.
func (m *Quarantine) told(now time.Time, from state.Member, t FactUpdate) {
	news := m.facts.merge(now, t)
	if t.Seq != 0 {
		m.send(from.ID, Ack{Seq: t.Seq})
	} else {
		m.sync(now)
	}
	if news.empty() || len(m.live) <= m.cfg.DirectFanout {
		return
	}
	for _, to := range m.some(m.cfg.ForwardFanout) {
		m.send(to, news)
	}
}

// members takes a new view; a daemon that sees its first asks for the facts.
func (m *Quarantine) members(now time.Time, live []state.Member) {
	first := len(m.live) == 0
	m.live = slices.DeleteFunc(slices.Clone(live), func(l state.Member) bool {
		return l.ID == m.cfg.Self.ID
	})
	for _, s := range m.spreading {
		s.missing = slices.DeleteFunc(s.missing, func(id state.DaemonID) bool {
			return !slices.ContainsFunc(m.live, func(l state.Member) bool { return l.ID == id })
		})
	}
	if first {
		m.compare(2)
		m.nextSync = now.Add(m.cfg.SyncInterval)
	}
}

// compare lets n others send what they know and this daemon may not.
func (m *Quarantine) compare(n int) {
	for _, to := range m.some(n) {
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
