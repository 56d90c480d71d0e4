package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// minTellings is how often a rumour is told at least, over all neighbours: a small
// fleet has few, and messages are lost.
const minTellings = 8

// Sizes in bytes that bound what rumours cost; they lie on the high side of what
// msgpack makes of them.
const (
	updateSize = 20
	metaSize   = 6
	factSize   = 28
)

// subject is what a rumour is about; a newer rumour on it replaces the older.
type subject struct {
	kind subjectKind
	id   string
}

type subjectKind uint8

const (
	aboutMember subjectKind = iota
	aboutBackend
	aboutDocument
	aboutNotice
)

func memberSubject(id state.DaemonID) subject {
	return subject{kind: aboutMember, id: string(id)}
}

func (f Fact) subject() subject {
	return subject{kind: f.Kind.subject(), id: f.Subject}
}

// rumour is one update or fact that some neighbours have not been told.
type rumour struct {
	subject subject
	update  Update
	size    int
	sends   int
	told    map[state.DaemonID]int
}

// gossip is the queue of rumours and the budget for telling them.
type gossip struct {
	queue    []*rumour
	index    map[subject]*rumour
	last     time.Time // of the last round
	next     time.Time // of the next round; zero while the queue is empty
	tokens   float64   // bytes that may be sent now
	refilled time.Time
}

func newGossip(burst int) gossip {
	return gossip{index: make(map[subject]*rumour), tokens: float64(burst)}
}

// tellUpdate queues u for every neighbour but the one that told it.
func (g *gossip) tellUpdate(u Update, teller state.DaemonID, now time.Time) {
	s := memberSubject(u.ID)
	if old, ok := g.index[s]; ok && u.Meta == nil && old.update.Incarnation == u.Incarnation {
		// The older rumour introduces the member, and still has to.
		u.Meta = old.update.Meta
	}
	size := updateSize + len(u.ID) + len(u.Accuser)
	if u.Meta != nil {
		size += metaSize + len(u.Meta.PeerAddress) + len(u.Meta.CallerAddress) +
			len(u.Meta.Domain) + len(u.Meta.Region)
	}
	g.put(&rumour{subject: s, update: u, size: size}, teller, now)
}

// tellFact queues the fact on s, which lies in facts.
func (g *gossip) tellFact(s subject, teller state.DaemonID, now time.Time) {
	g.put(&rumour{subject: s, size: factSize + len(s.id)}, teller, now)
}

func (g *gossip) put(r *rumour, teller state.DaemonID, now time.Time) {
	g.drop(r.subject)
	r.told = map[state.DaemonID]int{teller: math.MaxInt32}
	g.index[r.subject] = r
	g.queue = append(g.queue, r)
	if g.next.IsZero() {
		g.next = now
	}
}

// drop takes the rumour on s out, if there is one.
func (g *gossip) drop(s subject) {
	old, ok := g.index[s]
	if !ok {
		return
	}
	delete(g.index, s)
	g.queue = slices.DeleteFunc(g.queue, func(r *rumour) bool { return r == old })
}

// toldBy notes that who told us what we are telling, and so need not be told.
func (g *gossip) toldBy(s subject, who state.DaemonID) {
	if r, ok := g.index[s]; ok {
		r.told[who] = math.MaxInt32
	}
}

// runGossip tells rumours to a few neighbours when a round is due, and drops those
// that every neighbour was told.
func (m *Membership) runGossip() {
	g := &m.gossip
	if g.next.IsZero() || m.now.Before(g.next) || m.now.Sub(g.last) < m.cfg.GossipInterval {
		if !g.next.IsZero() {
			g.next = later(g.next, g.last.Add(m.cfg.GossipInterval))
		}
		return
	}
	g.last = m.now
	g.next = m.now.Add(m.cfg.GossipInterval)
	near := m.neighbours()
	m.forgetTold(near)
	if len(g.queue) == 0 {
		g.next = time.Time{}
		return
	}
	sent := 0
	for i := range near {
		if sent == m.cfg.Fanout {
			return
		}
		e := near[(i+m.gossipStart(len(near)))%len(near)]
		if rs := m.piggyback(e); len(rs.Updates)+len(rs.Facts) > 0 {
			m.send(e, Gossip{Self: m.self.update(), Payload: rs})
			sent++
		}
	}
}

// gossipStart rotates the neighbour with which a round begins.
func (m *Membership) gossipStart(n int) int {
	return int(m.now.UnixNano()/int64(m.cfg.GossipInterval)) * m.cfg.Fanout % n
}

// repeat is how often each neighbour is told.
func (m *Membership) repeat() int {
	n := max(1, len(m.neighbours()))
	return (minTellings + n - 1) / n
}

func (m *Membership) forgetTold(near []*entry) {
	repeat := m.repeat()
	keep := m.gossip.queue[:0]
	for _, r := range m.gossip.queue {
		if slices.ContainsFunc(near, func(e *entry) bool { return r.told[e.id] < repeat }) {
			keep = append(keep, r)
			continue
		}
		delete(m.gossip.index, r.subject)
	}
	clear(m.gossip.queue[len(keep):])
	m.gossip.queue = keep
}

// piggyback takes what e is to be told next, within the bytes of one message and
// the byte rate: facts first, since someone waits for them, then what was told
// least often.
func (m *Membership) piggyback(e *entry) GossipPayload {
	g := &m.gossip
	out := GossipPayload{MembersHash: m.membersHash()}
	if len(g.queue) == 0 || !m.isNear(e) {
		return out
	}
	m.refill()
	room := min(m.cfg.GossipBytes, int(g.tokens))
	if room < updateSize {
		return out
	}
	slices.SortStableFunc(g.queue, func(a, b *rumour) int {
		return cmp.Or(
			cmp.Compare(b.subject.kind, a.subject.kind),
			cmp.Compare(a.sends, b.sends),
		)
	})
	repeat := m.repeat()
	for _, r := range g.queue {
		if r.told[e.id] >= repeat || r.size > room {
			continue
		}
		r.told[e.id]++
		r.sends++
		room -= r.size
		g.tokens -= float64(r.size)
		if r.subject.kind == aboutMember {
			out.Updates = append(out.Updates, r.update)
		} else if f, ok := m.facts.get(r.subject, m.now); ok {
			out.Facts = append(out.Facts, f)
		}
	}
	return out
}

func (m *Membership) isNear(e *entry) bool {
	return slices.Contains(m.neighbours(), e)
}

func (m *Membership) refill() {
	g := &m.gossip
	g.tokens += m.now.Sub(g.refilled).Seconds() * float64(m.cfg.GossipRate)
	g.tokens = math.Min(g.tokens, float64(m.cfg.GossipBurst))
	g.refilled = m.now
}

// sameMembers notes that a peer knows the same live members as this daemon: it need not be
// told of any. Hundreds of daemons that start together learn of each other by exchanges, and
// would pass all these records on for a minute.
func (m *Membership) sameMembers(peer state.DaemonID, hash uint64) {
	if len(m.gossip.queue) == 0 || hash != m.membersHash() {
		return
	}
	for _, r := range m.gossip.queue {
		if r.subject.kind == aboutMember && r.update.State == Alive {
			r.told[peer] = math.MaxInt32
		}
	}
}

// learn takes in what a peer passes on.
func (m *Membership) learn(teller state.DaemonID, rs GossipPayload) {
	for _, u := range rs.Updates {
		m.apply(u, teller, fromRumour)
	}
	for _, f := range rs.Facts {
		m.applyFact(f, teller)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
