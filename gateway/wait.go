package gateway

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// holdStep is how often a request that waits looks again.
	holdStep = 15 * time.Millisecond
	// askStep is the same while the owner of a server's permits is asked, a round trip.
	askStep = 3 * time.Millisecond
)

// hold waits until try succeeds, for as long as the request may wait. One without a permit
// does not wait where none will come in time.
func (r *run) hold(ctx context.Context, try func() bool) bool {
	wait := admission.WaitingRequest{Arrived: r.req.Arrived, Deadline: r.deadline}
	if r.headed {
		wait.LastEvent = r.pauses.last
	}
	r.permit = permitRequest{}
	defer r.g.leavePermits(&r.permit)
	found := func() bool {
		ok := try()
		r.g.book.joinPermits(&r.permit)
		r.g.askPermits(&r.permit)
		return ok
	}
	if found() {
		return true
	}
	r.g.waiting.Add(1)
	defer r.g.waiting.Add(-1)
	for until := wait.RejectAt(); time.Now().Before(until) && ctx.Err() == nil; {
		if r.permitTooLate(until) {
			return false
		}
		pause(ctx, r.permit.step())
		r.view = r.g.current.Load()
		if found() {
			return true
		}
	}
	return false
}

// forgive lets a stream that has begun ask those engines again that had no room for the rest
// of it, once that can help. It returns false where none is to be asked now.
func (r *run) forgive(now time.Time) bool {
	if !r.headed {
		return true
	}
	if r.turned.BackoffElapsed(now) {
		r.avoid, r.turned = nil, admission.Rejections{}
	}
	return !r.turned.BackingOff(now)
}

// awaitStart waits while this daemon has just started and does not know the
// configuration and the servers. It returns false where the caller is to come back.
func (r *run) awaitStart(ctx context.Context) bool {
	if r.view.known() {
		return true
	}
	wait := admission.WaitingRequest{Arrived: r.req.Arrived, Deadline: r.req.Arrived.Add(r.req.CallerTimeout)}
	r.g.waiting.Add(1)
	defer r.g.waiting.Add(-1)
	for {
		start := admission.Startup{StartedAt: r.g.born, Failed: r.g.unanswered.Load()}
		if !time.Now().Before(start.RejectAt(wait)) || ctx.Err() != nil {
			return false
		}
		pause(ctx, holdStep)
		if r.view = r.g.current.Load(); r.view.known() {
			return true
		}
	}
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
