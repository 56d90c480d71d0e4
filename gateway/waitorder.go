package gateway

import (
	"context"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/coordination/waitqueue"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// fallbackInterval is how often a waiting request tries without an event: some changes, such as
	// the end of a suspicion, cause none.
	fallbackInterval = 50 * time.Millisecond
	// longWait is the wait from which a request's wait is logged.
	longWait = 500 * time.Millisecond
)

// waitInOrder lets the request try to get a server: at once if no other request waits for the
// service, else when it is its turn. until is when it may wait no longer.
func (r *requestHandler) waitInOrder(ctx context.Context, until time.Time, try func() bool) bool {
	waits := r.g.waits
	if r.returnsEarly() {
		return false
	}
	seen, tried := waits.events.Load(), waitqueue.Untried
	if !waits.hasWaiters(r.service.ID) {
		if try() {
			return true
		}
		if !r.mayWaitOn(ctx, until) {
			return false
		}
		tried = r.tryOutcome()
	}
	t, rejection := waits.join(time.Now(), r, r.queued(until), tried, seen)
	if rejection != nil {
		r.rejectedByQueue(rejection)
		return false
	}
	r.g.waitingRequests.Add(1)
	defer r.g.waitingRequests.Add(-1)
	found := r.awaitTurns(ctx, t, until, try)
	waits.leave(time.Now(), t, found)
	r.recordWait(t)
	return found
}

// awaitTurns tries to get a server at each of the request's turns.
func (r *requestHandler) awaitTurns(ctx context.Context, t *ticket, until time.Time, try func() bool) bool {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for r.mayWaitOn(ctx, until) {
		timer.Reset(time.Until(earlier(until, r.nextTry(time.Now()))))
		select {
		case <-ctx.Done():
		case rejection := <-t.rejected:
			r.rejectedByQueue(rejection)
			return false
		case <-timer.C:
			r.g.waits.poll(time.Now(), t)
		case <-t.turn:
			if ctx.Err() != nil {
				return false // a permit or a place taken now would be wasted
			}
			r.view = r.g.currentView.Load()
			if r.tryInTurn(t, try) {
				return true
			}
		}
	}
	return false
}

// tryInTurn lets the request try in its turn. One that has to ask other daemons for the right to run
// its content does not hold up others.
func (r *requestHandler) tryInTurn(t *ticket, try func() bool) bool {
	asks := !r.turn.holds(r.judge(time.Now()).turns)
	if asks {
		r.g.waits.failed(time.Now(), t, waitqueue.OwnReason)
	}
	if try() {
		return true
	}
	if !asks {
		r.g.waits.failed(time.Now(), t, r.tryOutcome())
	}
	if permit := &r.search.permit; permit.queued() {
		permit.queuedAhead = min(permit.queuedAhead, r.g.waits.before(t))
	}
	return false
}

// mayWaitOn reports whether the request may wait for a server after a try that has failed.
func (r *requestHandler) mayWaitOn(ctx context.Context, until time.Time) bool {
	now := time.Now()
	if allowed, _ := r.stopAllows(now); !allowed {
		return false
	}
	return now.Before(until) && ctx.Err() == nil &&
		!r.verdict.blocked && !r.search.admission.turnedAway() && !r.permitWaitExceeds(until) && !r.retryAfterExceeds(until)
}

// tryOutcome returns why the last try has failed.
func (r *requestHandler) tryOutcome() waitqueue.Outcome {
	switch {
	case r.search.permit.lacking:
		return waitqueue.Limited
	case r.search.admission.turnedAway(), len(r.excluded) > 0, r.rejections.Count > 0, r.view.populating, !r.search.availableAt.IsZero(),
		!r.verdict.settlesAt.IsZero(), len(r.verdict.turns) > 0:
		return waitqueue.OwnReason
	default:
		return waitqueue.NoneAvailable
	}
}

// nextTry returns when the request tries again without an event.
func (r *requestHandler) nextTry(now time.Time) time.Time {
	next := now.Add(fallbackInterval)
	for _, at := range [...]time.Time{
		r.search.availableAt, r.verdict.settlesAt, r.rejections.RetryAt(), r.search.permit.queryEndsAt(), r.turn.askedAt.Add(turnPollInterval),
	} {
		if at.After(now) {
			next = earlier(next, at)
		}
	}
	return next
}

// queryEndsAt returns when the request no longer waits for the answer of the owner of a server's
// permits, or zero.
func (q *permitRequest) queryEndsAt() time.Time {
	if len(q.wants) == 0 || q.queued() {
		return time.Time{}
	}
	return q.wants[len(q.wants)-1].since.Add(permitQueryTimeout)
}

// queued returns the request as its queue knows it.
func (r *requestHandler) queued(until time.Time) waitqueue.Request {
	class, level := r.classIn(r.view)
	place := r.place
	if place.IsZero() {
		place = r.req.Arrived
	}
	return waitqueue.Request{
		Customer: r.customer.ID, Class: class, Level: level, Begun: r.headSent || !r.retrier.NeverRan(), Tokens: r.expectedTokens(),
		Key: r.returnKey, Place: place, RejectAt: until, RetryAfter: admission.Busy.RetryAfter(),
	}
}

// expectedTokens is the size for which the request's customer is charged.
func (r *requestHandler) expectedTokens() float64 {
	if r.service.Engine == nil {
		return 1
	}
	pathReq := r.pathRequest()
	return pathReq.ExpectedTokens()
}

// classIn returns the urgency of the request in a view's configuration. A request whose route or
// customer has been removed keeps the urgency that it had.
func (r *requestHandler) classIn(v *view) (urgency.Class, float64) {
	route, customer := r.route, r.customer
	if current, ok := v.config.Lookup(r.req.Host, r.req.Path); ok {
		route = current
	}
	if current, ok := v.config.Keys[r.req.Key]; ok && current.ID == customer.ID {
		customer = current
	}
	class := urgency.Of(route, customer)
	if !r.g.currentSettings().Contention.Urgency {
		return class, 0
	}
	return class, v.scaleOf(r.service.ID).Level(class)
}

// returnsEarly reports whether the request is rejected since its caller was told to return later, and
// others before it. It sets the place of the request at its first attempt.
func (r *requestHandler) returnsEarly() bool {
	if !r.place.IsZero() || r.attemptCount > 1 || r.g.waits.remembered.Load() == 0 || !r.identifiesCaller() {
		return false
	}
	r.returnKey = r.callerKey()
	place, early := r.g.waits.place(time.Now(), r.service.ID, r.returnKey, r.req.Arrived)
	r.place = place
	if early <= 0 {
		return false
	}
	r.rejectedByQueue(&waitqueue.Rejection{Reason: waitqueue.ReasonEarly, RetryAfter: early})
	return true
}

// identifiesCaller reports whether the request's content tells its caller from others of the customer
// when it returns: requests without a body are often equal.
func (r *requestHandler) identifiesCaller() bool { return len(r.req.Body) > 0 }

// rejectedByQueue records that the request may not wait.
func (r *requestHandler) rejectedByQueue(rejection *waitqueue.Rejection) {
	r.rejection = rejection
	r.g.metrics.CountReason(telemetry.GatewayQueueRejectedTotal, string(rejection.Reason))
	r.g.log.Emit(telemetry.EventQueueRejected, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID),
		telemetry.Class(classLabel(r.class())), telemetry.Detail(string(rejection.Reason)),
		telemetry.Count(rejection.Position), telemetry.Duration(rejection.ExpectedWait))
}

// recordWait counts the wait of a request, and logs a long one.
func (r *requestHandler) recordWait(t *ticket) {
	waited := time.Since(t.joined)
	r.g.metrics.ObserveService(telemetry.GatewayWaitSeconds, r.service.ID, waited)
	if waited >= longWait {
		r.g.log.Emit(telemetry.EventQueueWaited, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID),
			telemetry.Class(classLabel(r.class())), telemetry.Count(t.position), telemetry.Duration(waited))
	}
}

// unservedResult is the result of a request that has not run, and that found no server.
func (r *requestHandler) unservedResult(why admission.Refusal) Result {
	if r.rejection != nil {
		return Result{Outcome: Refused, Reason: string(r.rejection.Reason), RetryAfter: r.rejection.RetryAfter}
	}
	result := refusedResult(relay.ReasonNoServer, why)
	if r.g.currentSettings().Contention.Queue {
		req := r.queued(time.Now())
		req.RetryAfter = result.RetryAfter
		result.RetryAfter = r.g.waits.retryAfter(time.Now(), r.service.ID, req)
	}
	return result
}

// deniedResult is the result of a request that has not run, and may not be tried again.
func (r *requestHandler) deniedResult(reason relay.Reason) Result {
	result := refusedResult(reason, admission.Busy)
	if r.g.currentSettings().Contention.Queue {
		result.RetryAfter = r.g.waits.spread(r.service.ID, result.RetryAfter)
	}
	return result
}

// rememberRefusal keeps the place of a caller that was told to return to this daemon.
func (r *requestHandler) rememberRefusal(res Result) {
	if res.Outcome != Refused || r.service == nil || !r.g.currentSettings().Contention.Queue || !r.identifiesCaller() {
		return
	}
	switch relay.Reason(res.Reason) {
	case relay.ReasonCutOff, reasonDraining, reasonTurn, reasonPart:
		return // it is to go elsewhere, or it does not compete
	default:
	}
	if r.place.IsZero() {
		r.place, r.returnKey = r.req.Arrived, r.callerKey()
	}
	queued := r.rejection != nil || res.Reason == string(relay.ReasonNoServer)
	r.g.waits.rejected(time.Now(), r.service.ID, r.returnKey, r.place, res.RetryAfter, queued)
}

// classLabel names a class in logs and metrics: the customer's rank and the route's.
func classLabel(c urgency.Class) state.ClassID { return state.ClassID(c.String()) }
