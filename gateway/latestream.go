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
// connection is unresponsive, or a server of the path does not answer. It gives up the attempt as lost if the
// request may run again, and finds out which servers answer nothing. ctx is that of the call.
//
// Guard (idle-silent-engine): nothing but such a request shows that an engine stands still through which no
// stream runs. It has no load, so that the next stream would be sent there as well.
func (r *requestHandler) watchFirstEvent(ctx context.Context, cancel context.CancelFunc) *firstEventWatch {
	abandon, first := r.abandonsLate()
	if !abandon {
		first = r.lateAnswer()
	}
	path, sent := r.path, time.Now()
	w := &firstEventWatch{}
	w.timer = time.AfterFunc(first, func() {
		// A timer that fires late shows that this process did not run, and nothing of the servers.
		if time.Since(sent) < first+probeOverrun {
			go r.checkLatePath(ctx, cancel, w, path, sent)
		}
		if abandon {
			r.abandonLate(cancel)
		}
	})
	return w
}

// checkLatePath probes the servers of a path that have shown no sign of life since a request was sent along it,
// and lets the request go on elsewhere if one of them does not answer.
func (r *requestHandler) checkLatePath(ctx context.Context, cancel context.CancelFunc, w *firstEventWatch, path fleet.Path, sent time.Time) {
	now := time.Now()
	unheard := r.g.shared.unheardHops(now, path, now.Sub(sent))
	if r.g.prober.checkHops(r.service.ID, unheard, unheard) && !w.begun.Load() {
		r.leaveSilent(ctx, cancel, path[0])
	}
}
