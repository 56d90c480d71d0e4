package home

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// grantRecovery is the state of a new home before it grants normally.
//
// Failure: a home dies while its grants are in use. Its successor knows none of them
// and would fill slots that are in use, so every request of the pool would share its
// engine with up to as many requests again. Guard: the new home first asks all live
// members for the grants that they hold. It waits for them at most ReportWindow, since
// callers are waiting too. Members that have not reported by then (paused or
// partitioned) may hold grants: until they report or leave the view, or
// HalfCapacityPeriod has passed, half of each replica's slots are kept for them. What
// they report later counts at once.
type grantRecovery struct {
	startedAt    time.Time
	waiting      bool // nothing is granted until all members have reported or ReportWindow has passed
	halfCapacity bool // half of the slots are granted
	unreported   map[state.Member]bool
}

// startRecovery asks all live members for their grants.
func (p *pool) startRecovery(now time.Time, live []state.Member) {
	p.recovery = grantRecovery{startedAt: now, waiting: true, unreported: make(map[state.Member]bool, len(live))}
	for _, m := range live {
		p.recovery.unreported[m] = true
		p.send(m.ID, ReportQuery{Pool: p.id})
	}
	p.advanceRecovery(now)
}

// memberReported records that m has reported or no longer can.
func (p *pool) memberReported(now time.Time, m state.Member) {
	if p.recovery.unreported == nil {
		return
	}
	delete(p.recovery.unreported, m)
	p.advanceRecovery(now)
}

// advanceRecovery ends a phase that is no longer needed or has timed out.
func (p *pool) advanceRecovery(now time.Time) {
	l := &p.recovery
	if l.unreported == nil {
		return
	}
	since := now.Sub(l.startedAt)
	if l.waiting && (len(l.unreported) == 0 || since >= p.cfg.ReportWindow) {
		l.waiting, l.halfCapacity = false, true
		*p.actions = append(*p.actions, GrantsRecovered{Pool: p.id, Duration: since, Grants: len(p.grants), Unreported: len(l.unreported)})
	}
	if l.halfCapacity && (len(l.unreported) == 0 || since >= p.cfg.ReportWindow+p.cfg.HalfCapacityPeriod) {
		l.halfCapacity, l.unreported = false, nil
	}
}

// nextTick returns the end of the current phase, or the zero time.
func (l *grantRecovery) nextTick(cfg Config) time.Time {
	switch {
	case l.waiting:
		return l.startedAt.Add(cfg.ReportWindow)
	case l.halfCapacity:
		return l.startedAt.Add(cfg.ReportWindow + cfg.HalfCapacityPeriod)
	default:
		return time.Time{}
	}
}

// grantable returns how many slots of r may be in use.
func (p *pool) grantable(r *replica) int {
	if p.recovery.halfCapacity {
		return (r.slots + 1) / 2
	}
	return r.slots
}

// holder is the home's record of what one daemon holds and waits for.
type holder struct {
	held, waiting uint64    // as in PoolDigest
	mismatches    int       // consecutive renewals that did not match
	lastHeard     time.Time // its last renewal or report
}

func (p *pool) holder(m state.Member) *holder {
	h, ok := p.holders[m]
	if !ok {
		h = &holder{}
		p.holders[m] = h
	}
	return h
}

// renewalTimeout is how long a holder may go without a renewal before it is asked for a
// report: a holder that has nothing left sends no renewals, and its last release may be
// lost or may have gone to another home.
const renewalTimeout = 3 * time.Second

// auditInterval is the time between checks for overdue renewals.
const auditInterval = time.Second

// audit asks holders whose renewal is overdue for a report. It drops daemons that
// requested slots before they were in the view and never joined it.
func (p *pool) audit(now time.Time, live map[state.DaemonID]state.Member) {
	if now.Before(p.auditAt) {
		return
	}
	p.auditAt = now.Add(auditInterval)
	for _, m := range p.overdueHolders(now) {
		h := p.holders[m]
		switch {
		case live[m.ID] != m && now.Sub(h.lastHeard) > holderTimeout:
			p.dropHolder(now, m)
		case h.held != 0 || h.waiting != 0:
			p.send(m.ID, ReportQuery{Pool: p.id})
		}
	}
}

// overdueHolders returns the holders whose renewal is overdue, by name.
func (p *pool) overdueHolders(now time.Time) []state.Member {
	var overdue []state.Member
	for m, h := range p.holders {
		if now.Sub(h.lastHeard) > renewalTimeout {
			overdue = append(overdue, m)
		}
	}
	slices.SortFunc(overdue, func(a, b state.Member) int { return cmp.Compare(a.ID, b.ID) })
	return overdue
}

// maxMismatches is the number of consecutive mismatching renewals after which the home
// asks for a full report. A single mismatch may be due to a grant in flight.
const maxMismatches = 2

// renew compares a holder's digest with the home's record.
func (p *pool) renew(now time.Time, from state.Member, d PoolDigest) {
	h := p.holder(from)
	h.lastHeard = now
	if h.held == d.Held && h.waiting == d.Waiting {
		h.mismatches = 0
		return
	}
	h.mismatches++
	if h.mismatches >= maxMismatches {
		h.mismatches = 0
		p.send(from.ID, ReportQuery{Pool: p.id})
	}
}

// report reconciles the home's record with a holder's full report. This handles an
// answer that was lost with its connection, so that a slot stays taken for no request
// or a request is wrongly recorded as queued, and the case that another daemon was home
// in the meantime. A grant younger than UnreportedGrantTimeout may still be in flight
// to the holder and is kept.
func (p *pool) report(now time.Time, from state.Member, m GrantReport) {
	h := p.holder(from)
	h.lastHeard = now
	listed := make(map[SlotRequestID]bool, len(m.Held)+len(m.Waiting))
	for _, held := range m.Held {
		listed[held.ID] = true
		p.recoverGrant(now, from, held)
	}
	var unknown []SlotRequestID
	for _, requestID := range m.Waiting {
		listed[requestID] = true
		if p.grants[requestID] == nil && p.waiters[requestID] == nil {
			unknown = append(unknown, requestID)
		}
		p.resendGrant(now, from, requestID)
	}
	if len(unknown) > 0 {
		p.send(from.ID, NotHome{Pool: p.id, IDs: unknown})
	}
	p.dropUnreported(now, from, listed)
	p.memberReported(now, from)
}

// recoverGrant records a grant that another home gave.
func (p *pool) recoverGrant(now time.Time, from state.Member, held HeldGrant) {
	if p.grants[held.ID] != nil {
		return
	}
	r := p.replicas[held.Replica]
	if r == nil {
		return
	}
	if w := p.waiters[held.ID]; w != nil {
		p.dropWaiter(w)
	}
	p.addGrant(&grant{
		requestID: held.ID, holder: from, target: r, class: held.Class,
		rank: p.terms.rankOf(held.Class), at: now,
	})
}

// resendGrant repeats a grant whose message was lost.
func (p *pool) resendGrant(now time.Time, from state.Member, requestID SlotRequestID) {
	g := p.grants[requestID]
	if g == nil || g.holder != from {
		return
	}
	p.sendGrant(from.ID, requestID, g.target, now)
}

// dropUnreported drops what the holder does not know of.
func (p *pool) dropUnreported(now time.Time, from state.Member, listed map[SlotRequestID]bool) {
	for requestID, g := range p.grants {
		if g.holder == from && !listed[requestID] && now.Sub(g.at) >= p.cfg.UnreportedGrantTimeout {
			p.removeGrant(g)
		}
	}
	for requestID, w := range p.waiters {
		if w.from == from && !listed[requestID] && now.Sub(w.arrived) >= p.cfg.UnreportedGrantTimeout {
			p.dropWaiter(w)
		}
	}
}

// dropHolder drops everything of a daemon that left the view. Its requests may still
// run at a backend server for a moment. The engine ends them when no daemon resumes
// them.
func (p *pool) dropHolder(now time.Time, m state.Member) {
	for _, g := range p.grants {
		if g.holder == m {
			p.removeGrant(g)
		}
	}
	for _, w := range p.waiters {
		if w.from == m {
			p.dropWaiter(w)
		}
	}
	delete(p.holders, m)
	p.memberReported(now, m)
}
