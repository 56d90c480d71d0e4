package limit

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// entry is a holder's tokens and waiting requests of one key.
type entry struct {
	key     Key
	shard   int
	held    []held
	pending []pending
	dry     time.Time // the limit is used up until about then
	asks    int       // since the last regular tick
	rate    float64   // smoothed asks a second
	active  time.Time // when last asked for
	tight   bool      // the owner mints nothing before it has word of spent tokens
	word    bool      // it wants word of batches that were spent whole
}

// held is one batch as its holder sees it.
type held struct {
	owner   state.Member
	id      uint64
	size    uint32
	spent   uint32
	closed  bool
	expires time.Time

	sentStamp int64 // of the newest Report that told of it; 0 if none
	sentSpent uint32
	sentClose bool
}

// pending is a request that waits for a token.
type pending struct {
	call  uint64
	asked time.Time
}

func (h *held) rest(now time.Time) int {
	if h.closed || !now.Before(h.expires) {
		return 0
	}
	return int(h.size - h.spent)
}

// tokens counts what can be spent at now.
func (e *entry) tokens(now time.Time) int {
	n := 0
	for i := range e.held {
		n += e.held[i].rest(now)
	}
	return n
}

// spend takes one token. Each batch is checked against the clock here and not
// only when it comes: a daemon that was paused finds out before it admits.
func (e *entry) spend(now time.Time) bool {
	for i := range e.held {
		h := &e.held[i]
		if h.rest(now) == 0 {
			continue
		}
		h.spent++
		h.closed = h.spent == h.size
		return true
	}
	return false
}

// target is how many tokens the demand of two intervals takes.
func (e *entry) target(interval time.Duration) int {
	return int(e.rate * 2 * interval.Seconds())
}

// observe smooths the demand over the time since the last regular tick.
func (e *entry) observe(elapsed time.Duration) {
	const weight = 0.3
	rate := float64(e.asks) / elapsed.Seconds()
	e.rate += weight * (rate - e.rate)
	e.asks = 0
}

// trim closes batches that are near their end, whose tokens else would be lost
// to everyone, and batches beyond twice the target, so that tokens move to
// where the demand is.
func (e *entry) trim(now time.Time, cfg *Config) {
	target := e.target(cfg.ReportInterval)
	have := e.tokens(now)
	for i := len(e.held) - 1; i >= 0; i-- {
		h := &e.held[i]
		rest := h.rest(now)
		ends := h.expires.Sub(now) < cfg.ReportInterval*3/2
		if ends || have > 2*target+1 && have-rest >= target {
			h.closed = true
			have -= rest
		}
	}
}

// untold reports whether the owner of s is to be told of h.
func (e *entry) untold(h *held, s *session) bool {
	if h.owner != s.member || h.spent == h.size && !e.word {
		return false
	}
	return h.spent != h.sentSpent || h.closed != h.sentClose || h.sentStamp > s.echoed
}

// use writes what a Report to the owner of s says of the entry; wants is
// whether that owner is the one to ask.
func (e *entry) use(now time.Time, s *session, stamp int64, wants bool, cfg *Config) (Usage, bool) {
	u := Usage{Service: e.key.Service, Customer: e.key.Customer}
	for i := range e.held {
		h := &e.held[i]
		if !e.untold(h, s) {
			continue
		}
		h.sentStamp, h.sentSpent, h.sentClose = stamp, h.spent, h.closed
		u.Batches = append(u.Batches, BatchUsage{ID: h.id, Spent: h.spent, Closed: h.closed})
	}
	if wants {
		u.Need = uint32(len(e.pending))
		u.Prefetch = uint32(max(0, e.target(cfg.ReportInterval)-e.tokens(now)))
	}
	return u, u.Need > 0 || u.Prefetch > 0 || len(u.Batches) > 0
}

// settled forgets batches whose end the owner knows of or no longer asks for.
func (e *entry) settled(now time.Time, from state.Member, echo int64) {
	e.held = slices.DeleteFunc(e.held, func(h held) bool {
		if h.owner != from {
			return !now.Before(h.expires)
		}
		told := h.sentClose && h.sentStamp <= echo
		return told || now.Sub(h.expires) > time.Second
	})
}

// idle reports whether nothing is known of the entry that matters.
func (e *entry) idle(now time.Time, after time.Duration) bool {
	return len(e.pending) == 0 && len(e.held) == 0 && now.Sub(e.active) > after
}
