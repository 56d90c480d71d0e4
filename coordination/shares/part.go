package shares

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// part is the last report of one child of a node.
type part struct {
	from   state.Member
	report *Report
	at     time.Time // when it was received
}

// contendedUntil returns how long the service remains contended as far as the child knows.
func (p *part) contendedUntil() time.Time {
	return p.at.Add(time.Duration(min(p.report.ContendedMS, milliseconds(MarkTTL))) * time.Millisecond)
}

func (p *part) expired(now time.Time) bool { return now.Sub(p.at) >= Lease }

// child identifies a child of a node: a daemon, or a node of the level below.
type child struct {
	daemon state.DaemonID
	index  uint64
}

// replaces reports whether a new part takes the place of the one that is held. Parts of one sender
// are ordered by their numbers. Two daemons may both take themselves for the owner of a node while
// views differ: the one that hears of more daemons is used.
func (p *part) replaces(now time.Time, held *part) bool {
	switch {
	case held == nil || held.expired(now):
		return true
	case p.from.ID == held.from.ID:
		return newer(p.from.Incarnation, p.report.Number, held.from.Incarnation, held.report.Number)
	default:
		return now.Sub(held.at) >= staleAfter || p.report.Daemons >= held.report.Daemons
	}
}

// newer compares two messages of one daemon.
func newer(incarnation state.Incarnation, number uint64, oldIncarnation state.Incarnation, oldNumber uint64) bool {
	if incarnation != oldIncarnation {
		return incarnation > oldIncarnation
	}
	return number > oldNumber
}

// head is the state of a node at its owner.
type head struct {
	parts map[child]*part
	// changedAt is when the first part arrived that was not passed on yet; zero for none.
	changedAt time.Time
	sentAt    time.Time // when the sum was last passed on
}

// sendAt returns when the sum is to be passed on; zero for never.
func (h *head) sendAt() time.Time {
	if h.changedAt.IsZero() {
		return time.Time{}
	}
	return later(h.changedAt.Add(gatherTime), h.sentAt.Add(ReportInterval))
}

// receive stores a part, unless it is outdated.
func (h *head) receive(now time.Time, c child, p *part) {
	if !p.replaces(now, h.parts[c]) {
		return
	}
	h.parts[c] = p
	if h.changedAt.IsZero() {
		h.changedAt = now
	}
}

// expire removes the parts that were not renewed, and reports whether none is left.
func (h *head) expire(now time.Time) bool {
	for c, p := range h.parts {
		if p.expired(now) {
			delete(h.parts, c)
		}
	}
	return len(h.parts) == 0
}

// sum returns the sum of the parts.
func (h *head) sum(now time.Time) *summary {
	s := newSummary()
	for _, p := range h.parts {
		s.add(now, p)
	}
	return s
}

// nextTick returns when the sum is due, or the parts have expired.
func (h *head) nextTick() time.Time {
	if at := h.sendAt(); !at.IsZero() {
		return at
	}
	return h.sentAt.Add(Lease)
}
