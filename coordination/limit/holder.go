package limit

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// entry holds a holder's tokens and waiting requests for one key.
type entry struct {
	key            Key
	shard          int
	held           []heldBatch
	pending        []pendingRequest
	exhaustedUntil time.Time // estimate of when the next token is available
	requests       int       // since the last regular tick
	rate           float64   // smoothed requests per second
	lastRequest    time.Time // time of the last request
	burstExhausted bool      // the owner adds no tokens before it has a report of spent ones
	reportSpent    bool      // the owner needs reports of completely spent batches
}

// heldBatch is a batch on the holder's side.
type heldBatch struct {
	owner   state.Member
	id      uint64
	size    uint32
	spent   uint32
	closed  bool
	expires time.Time

	reportedStamp  int64 // Stamp of the newest Report with this batch; 0 if none
	reportedSpent  uint32
	reportedClosed bool
}

// pendingRequest is a request that waits for a token.
type pendingRequest struct {
	call  uint64
	since time.Time
}

func (h *heldBatch) remaining(now time.Time) int {
	if h.closed || !now.Before(h.expires) {
		return 0
	}
	return int(h.size - h.spent)
}

// tokens returns the number of tokens that can be spent at now.
func (e *entry) tokens(now time.Time) int {
	n := 0
	for i := range e.held {
		n += e.held[i].remaining(now)
	}
	return n
}

// spend takes one token. Each batch is checked against the clock here and not only
// when it arrives, so that a daemon that was paused does not admit a request with
// an expired token.
func (e *entry) spend(now time.Time) bool {
	for i := range e.held {
		h := &e.held[i]
		if h.remaining(now) == 0 {
			continue
		}
		h.spent++
		h.closed = h.spent == h.size
		return true
	}
	return false
}

// targetTokens returns the number of tokens for the demand of two intervals.
func (e *entry) targetTokens(interval time.Duration) int {
	return int(e.rate * 2 * interval.Seconds())
}

// updateRate updates the smoothed demand with the requests since the last regular
// tick.
func (e *entry) updateRate(elapsed time.Duration) {
	const weight = 0.3
	rate := float64(e.requests) / elapsed.Seconds()
	e.rate += weight * (rate - e.rate)
	e.requests = 0
}

// closeUnneeded closes batches that expire soon, whose tokens would otherwise be
// lost, and batches beyond twice the target, so that their tokens become available
// to daemons with more demand.
func (e *entry) closeUnneeded(now time.Time, cfg *Config) {
	target := e.targetTokens(cfg.ReportInterval)
	have := e.tokens(now)
	for i := len(e.held) - 1; i >= 0; i-- {
		h := &e.held[i]
		remaining := h.remaining(now)
		ends := h.expires.Sub(now) < cfg.ReportInterval*3/2
		if ends || have > 2*target+1 && have-remaining >= target {
			h.closed = true
			have -= remaining
		}
	}
}

// unreported reports whether the owner of s needs a report on h.
func (e *entry) unreported(h *heldBatch, s *session) bool {
	if h.owner != s.member || h.spent == h.size && !e.reportSpent {
		return false
	}
	return h.spent != h.reportedSpent || h.closed != h.reportedClosed || h.reportedStamp > s.ackedStamp
}

// usage returns the entry's part of a Report to the owner of s, or false if it has
// none. It requests tokens only if wants is set.
func (e *entry) usage(now time.Time, s *session, stamp int64, wants bool, cfg *Config) (Usage, bool) {
	u := Usage{Service: e.key.Service, Customer: e.key.Customer}
	for i := range e.held {
		h := &e.held[i]
		if !e.unreported(h, s) {
			continue
		}
		h.reportedStamp, h.reportedSpent, h.reportedClosed = stamp, h.spent, h.closed
		u.Batches = append(u.Batches, BatchUsage{ID: h.id, Spent: h.spent, Closed: h.closed})
	}
	if wants {
		u.Need = uint32(len(e.pending))
		u.Prefetch = uint32(max(0, e.targetTokens(cfg.ReportInterval)-e.tokens(now)))
	}
	return u, u.Need > 0 || u.Prefetch > 0 || len(u.Batches) > 0
}

// dropEnded removes batches whose end the owner has acknowledged, or which expired
// more than a second ago. Expired batches of other owners are removed at once.
func (e *entry) dropEnded(now time.Time, from state.Member, echo int64) {
	e.held = slices.DeleteFunc(e.held, func(h heldBatch) bool {
		if h.owner != from {
			return !now.Before(h.expires)
		}
		acked := h.reportedClosed && h.reportedStamp <= echo
		return acked || now.Sub(h.expires) > time.Second
	})
}

// idle reports whether the entry can be dropped: it has no batches or waiting
// requests, and the last request is longer ago than after.
func (e *entry) idle(now time.Time, after time.Duration) bool {
	return len(e.pending) == 0 && len(e.held) == 0 && now.Sub(e.lastRequest) > after
}
