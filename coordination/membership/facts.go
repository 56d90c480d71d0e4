package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// storedFact is a fact with its times on the local clock.
type storedFact struct {
	fact      Fact
	observed  time.Time
	expiresAt time.Time
}

// facts holds the newest fact of each subject.
type facts struct {
	byID   map[subject]*storedFact
	sorted []subject
}

func newFacts() facts {
	return facts{byID: make(map[subject]*storedFact)}
}

// get returns the fact about s with its current age.
func (fs *facts) get(s subject, now time.Time) (Fact, bool) {
	h, ok := fs.byID[s]
	if !ok || !now.Before(h.expiresAt) {
		return Fact{}, false
	}
	f := h.fact
	f.AgeMS = uint32(now.Sub(h.observed).Milliseconds())
	return f, true
}

func (fs *facts) put(h *storedFact) {
	s := h.fact.subject()
	if _, ok := fs.byID[s]; !ok {
		i, _ := slices.BinarySearchFunc(fs.sorted, s, compareSubjects)
		fs.sorted = slices.Insert(fs.sorted, i, s)
	}
	fs.byID[s] = h
}

// expire removes expired facts and reports whether there were any.
func (fs *facts) expire(now time.Time) bool {
	n := len(fs.sorted)
	fs.sorted = slices.DeleteFunc(fs.sorted, func(s subject) bool {
		if now.Before(fs.byID[s].expiresAt) {
			return false
		}
		delete(fs.byID, s)
		return true
	})
	return len(fs.sorted) < n
}

// all returns every fact with its current age.
func (fs *facts) all(now time.Time) []Fact {
	out := make([]Fact, 0, len(fs.sorted))
	for _, s := range fs.sorted {
		if f, ok := fs.get(s, now); ok {
			out = append(out, f)
		}
	}
	return out
}

// hash is equal on daemons that hold the same facts. Facts that are about to expire are
// excluded, because daemons drop them at slightly different times.
func (fs *facts) hash(now time.Time) uint64 {
	var sum uint64
	for s, h := range fs.byID {
		if h.expiresAt.Sub(now) > expiryMargin {
			sum ^= mix(xxhash.Sum64String(s.id) + uint64(s.kind) + mix(h.fact.Version+uint64(h.fact.Kind)))
		}
	}
	return sum
}

// expiryMargin is the remaining lifetime below which a fact is excluded from the hash: two
// daemons may drop it at different times without a difference in the hash.
const expiryMargin = 5 * time.Second

func compareSubjects(a, b subject) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.id, b.id))
}

// compare orders facts about one subject. Among reports with equal versions, the kind that
// keeps requests away from the backend server wins.
func (f Fact) compare(g Fact) int {
	precedence := func(k FactKind) int {
		switch k {
		case BackendFailed:
			return 2
		case BackendLeaving:
			return 1
		default:
			return 0
		}
	}
	return cmp.Or(
		cmp.Compare(f.Version, g.Version),
		cmp.Compare(precedence(f.Kind), precedence(g.Kind)),
	)
}

// applyFact applies a fact received from a peer.
func (m *Membership) applyFact(f Fact, sender state.DaemonID) {
	s := f.subject()
	if h, ok := m.facts.byID[s]; ok {
		c := f.compare(h.fact)
		if c == 0 {
			m.broadcasts.markReceived(s, sender)
		}
		if c <= 0 {
			return
		}
	}
	if m.storeFact(f, sender) {
		m.emit(FactLearned{Fact: f})
	}
}

// storeFact stores f until it expires and queues it for gossip. It reports false for an expired
// fact.
func (m *Membership) storeFact(f Fact, sender state.DaemonID) bool {
	h := &storedFact{fact: f, observed: m.now.Add(-time.Duration(f.AgeMS) * time.Millisecond)}
	h.expiresAt = h.observed.Add(m.factTTL(f.Kind))
	if !m.now.Before(h.expiresAt) {
		return false
	}
	m.facts.put(h)
	m.changed = m.changed || f.Kind != Notice // a view contains no notices
	m.broadcasts.queueFact(f.subject(), sender, m.now)
	return true
}

// factTTL returns how long a fact of kind k is valid.
func (m *Membership) factTTL(k FactKind) time.Duration {
	switch k {
	case DocumentVersion:
		return m.cfg.DocumentFactTTL
	case Notice:
		return m.cfg.NoticeTTL
	default:
		return m.cfg.BackendFactTTL
	}
}

// notify broadcasts a notice. A repeated notice is sent again under a version of its own, so
// that daemons can count the repeats.
//
// Guard (notice-lost): a separate message to each daemon would be lost with its connection, and
// nobody would notice. A fact reaches each daemon through several neighbours, and a daemon that
// still misses it receives it in an exchange.
func (m *Membership) notify(text string) {
	f := Fact{Kind: Notice, Subject: text, Version: uint64(m.now.UnixMilli()), Reporter: m.self.member()}
	if h, ok := m.facts.byID[f.subject()]; ok {
		f.Version = max(f.Version, h.fact.Version+1)
	}
	m.storeFact(f, m.self.id)
}

// reportBackend broadcasts the local daemon's observation. The version follows the local clock
// and exceeds every known version, so the newest observation wins wherever clocks agree
// roughly, and a daemon that has received a fact can always override it. A fact that is already
// known and recent is not reported again, because many daemons observe the failure of one
// backend server.
func (m *Membership) reportBackend(id state.BackendID, kind FactKind) {
	f := Fact{Kind: kind, Subject: string(id), Version: uint64(m.now.UnixMilli()), Reporter: m.self.member()}
	if h, ok := m.facts.byID[f.subject()]; ok {
		if h.fact.Kind == kind && m.now.Sub(h.observed) < m.cfg.BackendFactTTL/2 {
			return
		}
		f.Version = max(f.Version, h.fact.Version+1)
	}
	m.storeFact(f, m.self.id)
}

// reportDocument broadcasts a document version unless a newer one is known.
func (m *Membership) reportDocument(id state.ServiceID, v state.DocumentVersion) {
	f := Fact{Kind: DocumentVersion, Subject: string(id), Version: uint64(v), Reporter: m.self.member()}
	if h, ok := m.facts.byID[f.subject()]; ok && h.fact.Version >= f.Version {
		return
	}
	m.storeFact(f, m.self.id)
}
