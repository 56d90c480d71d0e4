package address

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Answer is the reply to a caller.
type Answer struct {
	Daemons []Candidate // best first; empty if no daemon accepts new callers
	TTL     time.Duration
}

// Resolver answers callers for one daemon and records how long its answers remain
// valid. It is owned by one goroutine.
type Resolver struct {
	cfg  Config
	self state.DaemonID

	lastAnswerExpiry time.Time // when the last answer given here that names this daemon expires
	drainUntil       time.Time // zero unless draining
}

// New returns the Resolver of the daemon self.
func New(cfg Config, self state.DaemonID) *Resolver {
	return &Resolver{cfg: cfg.withDefaults(), self: self}
}

// Resolve orders candidates for the caller. inTouch is the last time at which the
// answering daemon was known to be in contact with its peers (now, if it has none).
//
// Guard (planned-stop combined with a paused or partitioned daemon): such a daemon
// would name a drained peer to callers after that peer has closed. A daemon that is in
// contact knows of every drain that began more than DrainPropagationBound ago, so a
// peer not known to drain accepts connections at least until inTouch + TTL (see Drain),
// and the answer expires by then. Answers from an older view hold for MinTTL; a
// connection to a closed peer is then refused, which proves that the request did not
// run, and the caller tries the next address.
func (b *Resolver) Resolve(now, inTouch time.Time, q Query, candidates []Candidate) Answer {
	if !b.drainUntil.IsZero() {
		candidates = excluding(candidates, b.self)
	}
	a := Answer{
		Daemons: Order(b.cfg, q, candidates),
		TTL:     b.ttl(now, inTouch),
	}
	for _, d := range a.Daemons {
		if d.ID == b.self {
			b.lastAnswerExpiry = later(b.lastAnswerExpiry, now.Add(a.TTL))
		}
	}
	return a
}

func (b *Resolver) ttl(now, inTouch time.Time) time.Duration {
	left := inTouch.Add(b.cfg.TTL).Sub(now)
	return max(b.cfg.MinTTL, min(b.cfg.TTL, left))
}

// Drain begins a planned stop and returns the time that DrainUntil reports from then
// on. Further calls change nothing.
//
// Guard (planned-stop): peers may name this daemon until they learn of the drain, at
// most DrainPropagationBound from now, and such an answer is valid for a further TTL.
func (b *Resolver) Drain(now time.Time) time.Time {
	if b.drainUntil.IsZero() {
		b.drainUntil = later(b.lastAnswerExpiry, now.Add(b.cfg.DrainPropagationBound+b.cfg.TTL))
	}
	return b.drainUntil
}

// DrainUntil returns when the last answer that names this daemon, its own or a peer's,
// expires. Until then the daemon must accept callers; afterwards no caller has a valid
// answer naming it. ok is false while the daemon is not draining.
func (b *Resolver) DrainUntil() (until time.Time, ok bool) {
	return b.drainUntil, !b.drainUntil.IsZero()
}

func excluding(cs []Candidate, id state.DaemonID) []Candidate {
	out := make([]Candidate, 0, len(cs))
	for _, c := range cs {
		if c.ID != id {
			out = append(out, c)
		}
	}
	return out
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
