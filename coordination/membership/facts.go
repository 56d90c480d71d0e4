package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// held is a fact as this daemon holds it, timed by its own clock.
type held struct {
	fact     Fact
	observed time.Time
	until    time.Time
}

// facts holds what is known besides members, the newest of each subject.
type facts struct {
	byID   map[subject]*held
	sorted []subject
}

func newFacts() facts {
	return facts{byID: make(map[subject]*held)}
}

// get gives the fact on s with its present age.
func (fs *facts) get(s subject, now time.Time) (Fact, bool) {
	h, ok := fs.byID[s]
	if !ok || !now.Before(h.until) {
		return Fact{}, false
	}
	f := h.fact
	f.AgeMS = uint32(now.Sub(h.observed).Milliseconds())
	return f, true
}

func (fs *facts) put(h *held) {
	s := h.fact.subject()
	if _, ok := fs.byID[s]; !ok {
		i, _ := slices.BinarySearchFunc(fs.sorted, s, compareSubjects)
		fs.sorted = slices.Insert(fs.sorted, i, s)
	}
	fs.byID[s] = h
}

// expire drops what no longer holds and reports whether there was any.
func (fs *facts) expire(now time.Time) bool {
	n := len(fs.sorted)
	fs.sorted = slices.DeleteFunc(fs.sorted, func(s subject) bool {
		if now.Before(fs.byID[s].until) {
			return false
		}
		delete(fs.byID, s)
		return true
	})
	return len(fs.sorted) < n
}

// all gives every fact with its present age.
func (fs *facts) all(now time.Time) []Fact {
	out := make([]Fact, 0, len(fs.sorted))
	for _, s := range fs.sorted {
		if f, ok := fs.get(s, now); ok {
			out = append(out, f)
		}
	}
	return out
}

// hash is equal where the same facts are held. Those about to expire are left out:
// daemons drop them at slightly different times.
func (fs *facts) hash(now time.Time) uint64 {
	var sum uint64
	for s, h := range fs.byID {
		if h.until.Sub(now) > expiryMargin {
			sum ^= mix(xxhash.Sum64String(s.id) + uint64(s.kind) + mix(h.fact.Version+uint64(h.fact.Kind)))
		}
	}
	return sum
}

// expiryMargin is by how much the time at which two daemons drop a fact may
// differ without a difference in hash.
const expiryMargin = 5 * time.Second

func compareSubjects(a, b subject) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.id, b.id))
}

// compare orders facts of one subject. Of two reports with one version the kind
// that keeps work away wins.
func (f Fact) compare(g Fact) int {
	caution := func(k FactKind) int {
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
		cmp.Compare(caution(f.Kind), caution(g.Kind)),
	)
}

// applyFact takes in a fact that a peer told.
func (m *Membership) applyFact(f Fact, teller state.DaemonID) {
	s := f.subject()
	if h, ok := m.facts.byID[s]; ok {
		c := f.compare(h.fact)
		if c == 0 {
			m.gossip.toldBy(s, teller)
		}
		if c <= 0 {
			return
		}
	}
	if m.hold(f, teller) {
		m.act(FactLearned{Fact: f})
	}
}

// hold keeps f while it lasts and passes it on.
func (m *Membership) hold(f Fact, teller state.DaemonID) bool {
	h := &held{fact: f, observed: m.now.Add(-time.Duration(f.AgeMS) * time.Millisecond)}
	h.until = h.observed.Add(m.keep(f.Kind))
	if !m.now.Before(h.until) {
		return false
	}
	m.facts.put(h)
	m.changed = m.changed || f.Kind != Notice // a view holds no notices
	m.gossip.tellFact(f.subject(), teller, m.now)
	return true
}

// keep is how long a fact of a kind holds.
func (m *Membership) keep(k FactKind) time.Duration {
	switch k {
	case DocumentVersion:
		return m.cfg.DocumentFactTTL
	case Notice:
		return m.cfg.NoticeTTL
	default:
		return m.cfg.BackendFactTTL
	}
}

// notify makes a notice known. Said again it is told again, so that daemons that
// count can: each has a version of its own.
//
// Guard (notice-lost): a message of a daemon's own to each other one would be lost
// with its connection, and nobody would notice. A fact is told by several neighbours
// to each daemon, and what still misses it gets it by an exchange.
func (m *Membership) notify(text string) {
	f := Fact{Kind: Notice, Subject: text, Version: uint64(m.now.UnixMilli()), Reporter: m.self.member()}
	if h, ok := m.facts.byID[f.subject()]; ok {
		f.Version = max(f.Version, h.fact.Version+1)
	}
	m.hold(f, m.self.id)
}

// reportBackend makes this daemon's own observation known. The version follows
// this daemon's clock and is above every version known, so that the newest
// observation wins wherever clocks agree roughly, and a daemon that has seen a
// fact can always override it. A fact that is already known and fresh is not
// reported again: many daemons see one backend server fail.
func (m *Membership) reportBackend(id state.BackendID, kind FactKind) {
	f := Fact{Kind: kind, Subject: string(id), Version: uint64(m.now.UnixMilli()), Reporter: m.self.member()}
	if h, ok := m.facts.byID[f.subject()]; ok {
		if h.fact.Kind == kind && m.now.Sub(h.observed) < m.cfg.BackendFactTTL/2 {
			return
		}
		f.Version = max(f.Version, h.fact.Version+1)
	}
	m.hold(f, m.self.id)
}

// reportDocument makes a document version known unless a newer one is.
func (m *Membership) reportDocument(id state.ServiceID, v state.DocumentVersion) {
	f := Fact{Kind: DocumentVersion, Subject: string(id), Version: uint64(v), Reporter: m.self.member()}
	if h, ok := m.facts.byID[f.subject()]; ok && h.fact.Version >= f.Version {
		return
	}
	m.hold(f, m.self.id)
}
