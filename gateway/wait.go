package gateway

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// holdShare is the part of its time for which a request waits for a server
	// before it is refused, and holdMost bounds it: callers leave a stream that shows
	// nothing for 2 s, and a layer that is held nowhere is mostly back within that.
	holdShare = 0.075
	holdMost  = 1500 * time.Millisecond
	// holdStep is how often a request that waits looks again.
	holdStep = 15 * time.Millisecond
)

// hold waits until try succeeds, for a part of the request's time.
func (r *run) hold(ctx context.Context, try func() bool) bool {
	part := time.Duration(holdShare * float64(r.deadline.Sub(r.req.Arrived)))
	from := r.req.Arrived
	if r.headed {
		from = r.pauses.last // a caller waits for the next event as for the first
	}
	until := from.Add(min(part, holdMost))
	if try() {
		return true
	}
	r.g.waiting.Add(1)
	defer r.g.waiting.Add(-1)
	for time.Now().Before(until) && ctx.Err() == nil {
		pause(ctx, holdStep)
		r.view = r.g.current.Load()
		if try() {
			return true
		}
	}
	return false
}

// watchFirst cancels an attempt whose answer does not begin in usual time, if the
// request may run again: its answer was lost, or its connection has gone silent.
// The caller stops the timer once the answer has begun.
func (r *run) watchFirst(cancel context.CancelFunc) *time.Timer {
	if r.route.Repeat == fleet.RunOnce || r.last(r.at) {
		return nil
	}
	first, _ := r.g.book.patience(time.Now(), r.service.ID, r.route)
	if first == 0 {
		return nil
	}
	return time.AfterFunc(first, func() {
		if r.g.book.giveUp(r.service.ID) {
			cancel()
		}
	})
}

// stopTimer stops a timer that may be nil.
func stopTimer(t *time.Timer) {
	if t != nil {
		t.Stop()
	}
}
