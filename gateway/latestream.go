package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// firstEventWatch watches whether the answer of an attempt along a path begins in the usual time.
type firstEventWatch struct {
	timer *time.Timer
	begun atomic.Bool // the answer has begun, or the attempt has ended
}

// stop ends the watch once the answer has begun or the attempt has ended.
func (w *firstEventWatch) stop() {
	w.begun.Store(true)
	w.timer.Stop()
}

// watchFirstEvent acts on an answer that does not begin in the usual time: the answer was lost, the
// connection is unresponsive, or a server of the path does not answer. It finds out which servers answer nothing,
// and gives up the attempt if the request may run again and another path answers. ctx is that of the call.
//
// Guard (idle-silent-engine): nothing but such a request shows that an engine stands still through which no
// stream runs. It has no load, so that the next stream would be sent there as well.
func (r *requestHandler) watchFirstEvent(ctx context.Context, cancel context.CancelFunc) *firstEventWatch {
	abandon, first := r.abandonsLate()
	if !abandon {
		first = r.lateAnswer()
	}
	l := &lateStream{r: r, path: r.path, alternatives: r.alternatives, sent: time.Now(), abandon: abandon}
	w := &firstEventWatch{}
	w.timer = time.AfterFunc(first, func() {
		// A timer that fires late shows that this process did not run, and nothing of the servers.
		l.unpaused = time.Since(l.sent) < first+probeOverrun
		go l.check(ctx, cancel, w)
	})
	return w
}

// lateStream is an attempt along a path whose answer has not begun in time.
type lateStream struct {
	r            *requestHandler
	path         fleet.Path
	alternatives *alternatives
	sent         time.Time
	abandon      bool // the answer may be given up as lost
	unpaused     bool // the time since it was sent is no pause of this process
}

// check gives up the attempt once another path answers, if a server of its own does not answer, or if all do and
// the answer may be given up as lost.
func (l *lateStream) check(ctx context.Context, cancel context.CancelFunc, w *firstEventWatch) {
	r, p := l.r, l.r.g.prober
	for {
		now := time.Now()
		unheard := r.g.shared.unheardHops(now, l.path, now.Sub(l.sent))
		switch {
		case l.hasDeadHop(now) || l.unpaused && p.checkHops(r.service.ID, unheard, unheard):
			if r.route.Repeat == fleet.AtMostOnce {
				return
			}
			if l.alternatives.answering(l.sent) && !w.begun.Load() {
				r.leaveSilent(ctx, cancel, l.path[0])
			}
		case !l.abandon:
			return
		case allAlive(p.probeAllSince(probeSilence, l.sent, unheard)) && l.alternatives.answering(l.sent, l.path[0].Address) && !w.begun.Load():
			r.abandonLate(cancel, l.path[0].Address)
			return
		}
		sleep(ctx, alternativeInterval)
		if ctx.Err() != nil || w.begun.Load() {
			return
		}
	}
}

func (l *lateStream) hasDeadHop(now time.Time) bool {
	_, _, dead := l.r.g.shared.deadHop(now, l.path)
	return dead
}
