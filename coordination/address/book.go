package address

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Answer is what a caller is told.
type Answer struct {
	Daemons []Candidate // best first; empty when no daemon takes new callers
	TTL     time.Duration
}

// Book answers callers for one daemon and remembers what it promised. It belongs
// to one goroutine.
type Resolver struct {
	cfg  Config
	self state.DaemonID

	given      time.Time // when the last answer of ours that names us runs out
	drainUntil time.Time // zero unless draining
}

// New returns the book of the daemon self.
func New(cfg Config, self state.DaemonID) *Resolver {
	return &Resolver{cfg: cfg.withDefaults(), self: self}
}

// Answer orders candidates for the caller. inTouch is when the answering daemon
// was last known to be in touch with its peers (or now, if it has none).
//
// Guard (planned-stop beside a paused or cut-off daemon): such a daemon would name
// a drained peer to callers after that peer has closed. Whoever is in touch knows
// of every drain begun more than Notice ago, so a peer not known to drain accepts
// at least until inTouch + Valid (see Drain), and the answer runs out by then. An
// older view's answers hold for MinValid; a connection to a closed peer is then
// refused, which proves the request not run, and the caller takes the next address.
func (b *Resolver) Resolve(now, inTouch time.Time, q Query, candidates []Candidate) Answer {
	if !b.drainUntil.IsZero() {
		candidates = without(candidates, b.self)
	}
	a := Answer{
		Daemons: Order(b.cfg, q, candidates),
		TTL:     b.valid(now, inTouch),
	}
	for _, d := range a.Daemons {
		if d.ID == b.self {
			b.given = later(b.given, now.Add(a.TTL))
		}
	}
	return a
}

func (b *Resolver) valid(now, inTouch time.Time) time.Duration {
	left := inTouch.Add(b.cfg.TTL).Sub(now)
	return max(b.cfg.MinTTL, min(b.cfg.TTL, left))
}

// Drain begins a planned stop and gives DrainUntil; a second call changes
// nothing.
//
// Guard (planned-stop): peers may name this daemon until they have learned of
// the drain, at most Notice from now, and such an answer holds for Valid more.
func (b *Resolver) Drain(now time.Time) time.Time {
	if b.drainUntil.IsZero() {
		b.drainUntil = later(b.given, now.Add(b.cfg.DrainPropagationBound+b.cfg.TTL))
	}
	return b.drainUntil
}

// DrainUntil is when the last answer that names this daemon, its own or a
// peer's, has run out: before then it must accept callers, after then no caller
// has reason to come. ok is false while the daemon does not drain.
func (b *Resolver) DrainUntil() (until time.Time, ok bool) {
	return b.drainUntil, !b.drainUntil.IsZero()
}

func without(cs []Candidate, id state.DaemonID) []Candidate {
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
