package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// waits are how long one service's answers take of late.
type waits struct {
	first suspect.RecentMax // until the first event, or the whole of a plain answer
	gap   suspect.RecentMax // between two events
	// early is how many answers may yet be given up as lost.
	early float64
}

func (b *book) waitsOf(svc state.ServiceID) *waits {
	w, ok := b.waits[svc]
	if !ok {
		w = &waits{}
		b.waits[svc] = w
	}
	return w
}

// tookFirst notes how long an answer's beginning took, and tookGap a pause.
func (b *book) tookFirst(now time.Time, svc state.ServiceID, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waitsOf(svc).first.Add(now, d)
}

// began notes how long a stream took to begin along its path.
func (b *book) began(now time.Time, path fleet.Path, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.suspects.AnswerStarted(now, path, d)
}

func (b *book) tookGap(now time.Time, svc state.ServiceID, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waitsOf(svc).gap.Add(now, d)
}

const (
	// patienceFirst is how many times the longest usual wait an answer may take to
	// begin before it counts as lost: one in some hundred takes that long without
	// being lost, and each costs a prompt.
	patienceFirst = 1.5
	// patienceGap is the same for a pause within a stream.
	patienceGap = 2.0
	// targetShare is the least part of a route's target that is waited for an
	// answer's beginning; what is left of it is needed to begin anew.
	targetShare = 0.5
	// earlyShare and earlyMost bound the answers that are given up as lost, by the
	// share of all requests and in a row. Servers were seen to lose up to 1 in 20;
	// where more are late the site is slow, and asking again makes it slower.
	earlyShare = 0.05
	earlyMost  = 6.0
)

// patience is how long to wait for the beginning of an answer, and between events;
// 0 for as long as it takes, where nothing is known of late.
func (b *book) patience(now time.Time, svc state.ServiceID, route *fleet.Route) (first, gap time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.waitsOf(svc)
	if usual := w.first.Value(now); usual > 0 {
		first = max(time.Duration(patienceFirst*float64(usual)), time.Duration(targetShare*float64(route.Target)))
	}
	if usual := w.gap.Value(now); usual > 0 {
		gap = max(time.Duration(patienceGap*float64(usual)), route.Gap)
	}
	return first, gap
}

// giveUp reports whether one more answer may be given up as lost.
func (b *book) giveUp(svc state.ServiceID) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.waitsOf(svc)
	if w.early < 1 {
		return false
	}
	w.early--
	return true
}
