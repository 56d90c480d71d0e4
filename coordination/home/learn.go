package home

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// learning is what a new home does before it grants as usual.
//
// The failure: a home dies while its grants run on. Its successor knows none
// of them, and would fill slots that are in use; every request of the pool
// would then share engines with up to as many again. The guard: the new home
// first asks all live members for the grants that they hold. It waits for them
// no longer than LearnWindow, since callers wait too. Members still silent
// then (paused, or cut off) may hold grants: until they report, leave the
// view, or CautiousFor has passed, half of each replica's slots stay ungranted
// for them. What they report later counts at once.
type learning struct {
	began   time.Time
	waiting bool // nothing is granted
	careful bool // half of the slots are granted
	silent  map[state.Member]bool
}

// beginLearning asks all live members for their grants.
func (p *pool) beginLearning(now time.Time, live []state.Member) {
	p.learn = learning{began: now, waiting: true, silent: make(map[state.Member]bool, len(live))}
	for _, m := range live {
		p.learn.silent[m] = true
		p.send(m.ID, ReportQuery{Pool: p.id})
	}
	p.advanceLearning(now)
}

// heardFrom notes that m has reported or can't any more.
func (p *pool) heardFrom(now time.Time, m state.Member) {
	if p.learn.silent == nil {
		return
	}
	delete(p.learn.silent, m)
	p.advanceLearning(now)
}

// advanceLearning ends a phase that has become needless or too long.
func (p *pool) advanceLearning(now time.Time) {
	l := &p.learn
	if l.silent == nil {
		return
	}
	since := now.Sub(l.began)
	if l.waiting && (len(l.silent) == 0 || since >= p.cfg.ReportWindow) {
		l.waiting, l.careful = false, true
		*p.out = append(*p.out, GrantsRecovered{Pool: p.id, Duration: since, Grants: len(p.grants), Unreported: len(l.silent)})
	}
	if l.careful && (len(l.silent) == 0 || since >= p.cfg.ReportWindow+p.cfg.HalfCapacityPeriod) {
		l.careful, l.silent = false, nil
	}
}

// nextTick returns the end of the present phase, or the zero time.
func (l *learning) nextTick(cfg Config) time.Time {
	switch {
	case l.waiting:
		return l.began.Add(cfg.ReportWindow)
	case l.careful:
		return l.began.Add(cfg.ReportWindow + cfg.HalfCapacityPeriod)
	default:
		return time.Time{}
	}
}

// grantable is how many slots of r may be in use before nothing is granted.
func (p *pool) grantable(r *replica) int {
	if p.learn.careful {
		return (r.slots + 1) / 2
	}
	return r.slots
}

// holder is what the home believes one daemon to hold and wait for.
type holder struct {
	held, waiting uint64    // as in PoolDigest
	differs       int       // renewals in a row that did not agree
	heard         time.Time // its last renewal or report
}

func (p *pool) holder(m state.Member) *holder {
	h, ok := p.holders[m]
	if !ok {
		h = &holder{}
		p.holders[m] = h
	}
	return h
}

// silentAfter is how long a holder may renew nothing before it is asked what it
// holds: a holder that has nothing left sends no renewals, and its last release
// may be lost, or may have gone to another home.
const silentAfter = 3 * time.Second

// auditEvery is the time between looks at what holders renewed.
const auditEvery = time.Second

// audit asks the holders for a report that should have renewed, and forgets
// daemons that asked for slots before the view knew them and then never came
// into it.
func (p *pool) audit(now time.Time, live map[state.DaemonID]state.Member) {
	if now.Before(p.auditAt) {
		return
	}
	p.auditAt = now.Add(auditEvery)
	for _, m := range p.silentHolders(now) {
		h := p.holders[m]
		switch {
		case live[m.ID] != m && now.Sub(h.heard) > holderTimeout:
			p.forgetHolder(now, m)
		case h.held != 0 || h.waiting != 0:
			p.send(m.ID, ReportQuery{Pool: p.id})
		}
	}
}

// silentHolders lists the holders that have not renewed for a while, by name.
func (p *pool) silentHolders(now time.Time) []state.Member {
	var silent []state.Member
	for m, h := range p.holders {
		if now.Sub(h.heard) > silentAfter {
			silent = append(silent, m)
		}
	}
	slices.SortFunc(silent, func(a, b state.Member) int { return cmp.Compare(a.ID, b.ID) })
	return silent
}

// maxDiffers is how many renewals in a row may differ before the home asks for
// a full report. One may differ because a grant is under way.
const maxDiffers = 2

// renew compares a holder's digest with the home's own belief.
func (p *pool) renew(now time.Time, from state.Member, d PoolDigest) {
	h := p.holder(from)
	h.heard = now
	if h.held == d.Held && h.waiting == d.Waiting {
		h.differs = 0
		return
	}
	h.differs++
	if h.differs >= maxDiffers {
		h.differs = 0
		p.send(from.ID, ReportQuery{Pool: p.id})
	}
}

// report brings the home's belief in line with a holder's full report. The
// failures: an answer was lost with its connection, so that a slot stays taken
// for nobody, or a wait is believed to be queued that is not; or another
// daemon was home meanwhile. A grant younger than SettleAfter may still be
// under way to the holder and is left alone.
func (p *pool) report(now time.Time, from state.Member, m GrantReport) {
	h := p.holder(from)
	h.heard = now
	listed := make(map[SlotRequestID]bool, len(m.Held)+len(m.Waiting))
	for _, held := range m.Held {
		listed[held.ID] = true
		p.learnGrant(now, from, held)
	}
	var again []SlotRequestID
	for _, ask := range m.Waiting {
		listed[ask] = true
		if p.grants[ask] == nil && p.waits[ask] == nil {
			again = append(again, ask)
		}
		p.grantAgain(now, from, ask)
	}
	if len(again) > 0 {
		p.send(from.ID, NotHome{Pool: p.id, IDs: again})
	}
	p.dropUnlisted(now, from, listed)
	p.heardFrom(now, from)
}

// learnGrant enters a grant that another home gave.
func (p *pool) learnGrant(now time.Time, from state.Member, held HeldGrant) {
	if p.grants[held.ID] != nil {
		return
	}
	r := p.replicas[held.Replica]
	if r == nil {
		return
	}
	if w := p.waits[held.ID]; w != nil {
		p.dropWait(w)
	}
	p.take(&grant{
		ask: held.ID, holder: from, r: r, class: held.Class,
		rank: p.terms.rankOf(held.Class), at: now,
	})
}

// grantAgain repeats a grant whose message was lost.
func (p *pool) grantAgain(now time.Time, from state.Member, ask SlotRequestID) {
	g := p.grants[ask]
	if g == nil || g.holder != from {
		return
	}
	p.send(from.ID, SlotGrant{ID: ask, Pool: p.id, Replica: g.r.id, Summary: p.summary(now)})
}

// dropUnlisted ends what the holder does not know of.
func (p *pool) dropUnlisted(now time.Time, from state.Member, listed map[SlotRequestID]bool) {
	for ask, g := range p.grants {
		if g.holder == from && !listed[ask] && now.Sub(g.at) >= p.cfg.UnreportedGrantTimeout {
			p.free(g)
		}
	}
	for ask, w := range p.waits {
		if w.from == from && !listed[ask] && now.Sub(w.arrived) >= p.cfg.UnreportedGrantTimeout {
			p.dropWait(w)
		}
	}
}

// forgetHolder ends everything of a daemon that left the view. Its requests
// may still run at a backend server for a moment; the engine ends them when
// nobody resumes them.
func (p *pool) forgetHolder(now time.Time, m state.Member) {
	for _, g := range p.grants {
		if g.holder == m {
			p.free(g)
		}
	}
	for _, w := range p.waits {
		if w.from == m {
			p.dropWait(w)
		}
	}
	delete(p.holders, m)
	p.heardFrom(now, m)
}
