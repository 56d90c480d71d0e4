package membership

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// minTransmissions is the minimum number of transmissions of a broadcast, over all neighbours:
// small clusters have few neighbours, and messages are lost.
const minTransmissions = 8

// Upper estimates, in bytes, of the msgpack encoding of a broadcast's parts.
const (
	updateSize = 20
	metaSize   = 6
	factSize   = 28
)

// subject is what a broadcast is about; a newer broadcast replaces the older one about the same
// subject.
type subject struct {
	kind subjectKind
	id   string
}

type subjectKind uint8

const (
	subjectMember subjectKind = iota
	subjectBackend
	subjectDocument
	subjectNotice
)

func memberSubject(id state.DaemonID) subject {
	return subject{kind: subjectMember, id: string(id)}
}

func (f Fact) subject() subject {
	return subject{kind: f.Kind.subject(), id: f.Subject}
}

// broadcast is an update or fact that has not yet been sent to every neighbour. It
// reaches the other daemons because each neighbour queues what is new to it in turn.
type broadcast struct {
	subject       subject
	update        Update
	size          int
	transmissions int
	sentTo        map[state.DaemonID]int
}

// broadcastQueue is the queue of broadcasts with the token bucket that limits their rate.
type broadcastQueue struct {
	queue      []*broadcast
	index      map[subject]*broadcast
	lastRound  time.Time // time of the last round
	nextRound  time.Time // time of the next round; zero while the queue is empty
	tokens     float64   // bytes that may be sent now
	refilledAt time.Time
}

func newBroadcastQueue(burst int) broadcastQueue {
	return broadcastQueue{index: make(map[subject]*broadcast), tokens: float64(burst)}
}

// queueUpdate queues u for every neighbour except sender, the daemon that it came from, which may
// be this one.
func (q *broadcastQueue) queueUpdate(u Update, sender state.DaemonID, now time.Time) {
	s := memberSubject(u.ID)
	if old, ok := q.index[s]; ok && u.Meta == nil && old.update.Incarnation == u.Incarnation {
		// The older broadcast introduces the member, and that is still necessary.
		u.Meta = old.update.Meta
	}
	size := updateSize + len(u.ID) + len(u.Accuser)
	if u.Meta != nil {
		size += metaSize + len(u.Meta.PeerAddress) + len(u.Meta.CallerAddress) +
			len(u.Meta.Domain) + len(u.Meta.Region)
	}
	q.put(&broadcast{subject: s, update: u, size: size}, sender, now)
}

// queueFact queues the fact about s, which is stored in facts, for every neighbour except
// sender.
func (q *broadcastQueue) queueFact(s subject, sender state.DaemonID, now time.Time) {
	q.put(&broadcast{subject: s, size: factSize + len(s.id)}, sender, now)
}

// put queues bc from now on in place of an older broadcast about the same subject, and
// marks it as sent to sender.
func (q *broadcastQueue) put(bc *broadcast, sender state.DaemonID, now time.Time) {
	q.drop(bc.subject)
	bc.sentTo = map[state.DaemonID]int{sender: math.MaxInt32}
	q.index[bc.subject] = bc
	q.queue = append(q.queue, bc)
	if q.nextRound.IsZero() {
		q.nextRound = now
	}
}

// drop removes the broadcast about s, if there is one.
func (q *broadcastQueue) drop(s subject) {
	old, ok := q.index[s]
	if !ok {
		return
	}
	delete(q.index, s)
	q.queue = slices.DeleteFunc(q.queue, func(bc *broadcast) bool { return bc == old })
}

// markReceived records that peer has what is queued about s, so that it is not sent there.
func (q *broadcastQueue) markReceived(s subject, peer state.DaemonID) {
	if bc, ok := q.index[s]; ok {
		bc.sentTo[peer] = math.MaxInt32
	}
}

// runGossip sends broadcasts to a few neighbours when a round is due, and drops those that have
// been sent to every neighbour.
func (m *Membership) runGossip() {
	q := &m.broadcasts
	if q.nextRound.IsZero() || m.now.Before(q.nextRound) || m.now.Sub(q.lastRound) < m.cfg.GossipInterval {
		if !q.nextRound.IsZero() {
			q.nextRound = later(q.nextRound, q.lastRound.Add(m.cfg.GossipInterval))
		}
		return
	}
	q.lastRound = m.now
	q.nextRound = m.now.Add(m.cfg.GossipInterval)
	targets := m.neighbours()
	m.dropSent(targets)
	if len(q.queue) == 0 {
		q.nextRound = time.Time{}
		return
	}
	sent := 0
	for i := range targets {
		if sent == m.cfg.Fanout {
			return
		}
		e := targets[(i+m.firstTarget(len(targets)))%len(targets)]
		if payload := m.piggyback(e); len(payload.Updates)+len(payload.Facts) > 0 {
			m.send(e, Gossip{Self: m.introduction(e), Payload: payload})
			sent++
		}
	}
}

// firstTarget rotates the neighbour at which a round starts.
func (m *Membership) firstTarget(n int) int {
	return int(m.now.UnixNano()/int64(m.cfg.GossipInterval)) * m.cfg.Fanout % n
}

// sendsPerNeighbour returns how often a broadcast is sent to each neighbour.
func (m *Membership) sendsPerNeighbour() int {
	n := max(1, len(m.neighbours()))
	return (minTransmissions + n - 1) / n
}

func (m *Membership) dropSent(targets []*entry) {
	perNeighbour := m.sendsPerNeighbour()
	keep := m.broadcasts.queue[:0]
	for _, bc := range m.broadcasts.queue {
		if slices.ContainsFunc(targets, func(e *entry) bool { return bc.sentTo[e.id] < perNeighbour }) {
			keep = append(keep, bc)
			continue
		}
		delete(m.broadcasts.index, bc.subject)
	}
	clear(m.broadcasts.queue[len(keep):])
	m.broadcasts.queue = keep
}

// piggyback takes the broadcasts to send to e next, within the size of one message and the byte
// rate: facts first, because requests depend on them, then those with the fewest transmissions.
func (m *Membership) piggyback(e *entry) GossipPayload {
	q := &m.broadcasts
	out := GossipPayload{MembersHash: m.membersHash()}
	if len(q.queue) == 0 || !m.isNeighbour(e) {
		return out
	}
	m.refill()
	remaining := min(m.cfg.GossipBytes, int(q.tokens))
	if remaining < updateSize {
		return out
	}
	slices.SortStableFunc(q.queue, func(a, b *broadcast) int {
		return cmp.Or(
			cmp.Compare(b.subject.kind, a.subject.kind),
			cmp.Compare(a.transmissions, b.transmissions),
		)
	})
	perNeighbour := m.sendsPerNeighbour()
	for _, bc := range q.queue {
		if bc.sentTo[e.id] >= perNeighbour || bc.size > remaining {
			continue
		}
		bc.sentTo[e.id]++
		bc.transmissions++
		remaining -= bc.size
		q.tokens -= float64(bc.size)
		if bc.subject.kind == subjectMember {
			out.Updates = append(out.Updates, bc.update)
		} else if f, ok := m.facts.get(bc.subject, m.now); ok {
			out.Facts = append(out.Facts, f)
		}
	}
	return out
}

func (m *Membership) isNeighbour(e *entry) bool {
	return slices.Contains(m.neighbours(), e)
}

func (m *Membership) refill() {
	q := &m.broadcasts
	q.tokens += m.now.Sub(q.refilledAt).Seconds() * float64(m.cfg.GossipRate)
	q.tokens = math.Min(q.tokens, float64(m.cfg.GossipBurst))
	q.refilledAt = m.now
}

// markMembersKnown records that a peer has the same live members as this daemon, so that they
// need not be sent to it. Hundreds of daemons that start together receive each other's records
// in exchanges, and would otherwise forward all of them for a minute.
func (m *Membership) markMembersKnown(peer state.DaemonID, hash uint64) {
	if len(m.broadcasts.queue) == 0 || hash != m.membersHash() {
		return
	}
	for _, bc := range m.broadcasts.queue {
		if bc.subject.kind == subjectMember && bc.update.State == Alive {
			bc.sentTo[peer] = math.MaxInt32
		}
	}
}

// applyPayload applies the updates and facts that a peer sent.
func (m *Membership) applyPayload(sender state.DaemonID, payload GossipPayload) {
	for _, u := range payload.Updates {
		m.apply(u, sender, fromGossip)
	}
	for _, f := range payload.Facts {
		m.applyFact(f, sender)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
