package gateway

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

const (
	// waitPollInterval is how often a waiting request checks again.
	waitPollInterval = 15 * time.Millisecond
	// permitPollInterval is the same during a query of the owner of a server's permits,
	// which takes a round trip.
	permitPollInterval = 3 * time.Millisecond
)

// waitFor repeats try until it succeeds, for as long as the request may wait: in the order of the
// queue of its service, or at intervals without Contention.Queue. It does not wait for a permit that
// will not come in time, nor for servers that want no request until later.
func (r *requestHandler) waitFor(ctx context.Context, try func() bool) bool {
	waiting := admission.WaitingRequest{Arrived: r.req.Arrived, Deadline: r.deadline}
	if r.headSent {
		waiting.LastEvent = r.gaps.lastEvent
	}
	r.search, r.verdict, r.rejection = serverSearch{}, requestVerdict{}, nil
	defer r.g.dequeueForPermit(&r.search.permit)
	tryOnce := func() bool {
		ok := try()
		r.g.shared.enqueueForPermit(&r.search.permit)
		r.g.requestPermits(&r.search.permit)
		return ok
	}
	if r.g.currentSettings().Contention.Queue {
		return r.waitInOrder(ctx, waiting.RejectAt(), tryOnce)
	}
	if tryOnce() {
		return true
	}
	r.g.waitingRequests.Add(1)
	defer r.g.waitingRequests.Add(-1)
	for until := waiting.RejectAt(); r.mayWaitOn(ctx, until); {
		sleep(ctx, r.search.permit.pollInterval())
		if ctx.Err() != nil {
			return false // a permit or a place taken now would be wasted
		}
		r.view = r.g.currentView.Load()
		if tryOnce() {
			return true
		}
	}
	return false
}

// mayRetryRejected lets a stream that has begun retry the engines that had no capacity for
// the rest of it, once that is useful. It returns false while no engine should be tried.
func (r *requestHandler) mayRetryRejected(now time.Time) bool {
	if !r.headSent {
		return true
	}
	if r.rejections.BackoffElapsed(now) {
		r.excluded, r.rejections = nil, admission.Rejections{}
	}
	return !r.rejections.BackingOff(now)
}

// awaitReady waits while this daemon has just started and does not know the configuration
// and the servers. It returns false if the caller has to come back later.
func (r *requestHandler) awaitReady(ctx context.Context) bool {
	if r.view.known() {
		return true
	}
	waiting := admission.WaitingRequest{Arrived: r.req.Arrived, Deadline: r.req.Arrived.Add(r.req.CallerTimeout)}
	r.g.waitingRequests.Add(1)
	defer r.g.waitingRequests.Add(-1)
	for {
		start := admission.Startup{StartedAt: r.g.startedAt, Failed: r.g.storeUnanswered.Load()}
		if !time.Now().Before(start.RejectAt(waiting)) || ctx.Err() != nil {
			return false
		}
		sleep(ctx, waitPollInterval)
		if r.view = r.g.currentView.Load(); r.view.known() {
			return true
		}
	}
}

// abandonsLate reports whether the current attempt may be given up as lost, and after which time.
func (r *requestHandler) abandonsLate() (bool, time.Duration) {
	if r.route.Repeat == fleet.AtMostOnce || r.isLastAttempt(r.address) {
		return false, 0
	}
	first, _ := r.g.shared.answerTimeouts(time.Now(), r.service.ID, r.route)
	return first > 0, first
}

// abandonLate gives up an attempt at a server as lost, if one more may be and another attempt follows.
//
// Guard (late-without-retry): an answer that is given up without a retry can't be given any more.
func (r *requestHandler) abandonLate(cancel context.CancelFunc, server string) {
	if r.stopAllowsRepeat(time.Now()) && r.g.shared.abandonsLeft(r.service.ID) && r.reserveRetry(server) && r.g.shared.mayAbandon(r.service.ID) {
		cancel()
	}
}

// stopTimer stops a timer that may be nil.
func stopTimer(t *time.Timer) {
	if t != nil {
		t.Stop()
	}
}
