package gateway

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// permitQueryTimeout is how long a request waits for an answer of the owner of a
	// server's permits before it uses another server: a few round trips.
	permitQueryTimeout = 25 * time.Millisecond
	// maxPermitWants is for how many servers one request asks for permits, one after the
	// other.
	maxPermitWants = 4
)

// permitRequest is the state of one attempt's search for a permit.
type permitRequest struct {
	wants       []permitWant             // servers without a permit that suit the request, the best one first
	queryOwner  bool                     // the owner of a permit has to be queried at once
	blocked     bool                     // no server can take the request without a permit
	lacking     bool                     // the last choice of a server failed for lack of a permit
	queuedFor   state.BackendIncarnation // the server for whose permit the request is queued; zero for none
	queuedAhead int                      // number of requests queued before it
}

// permitWant is a server for which a request has no permit.
type permitWant struct {
	server state.BackendIncarnation
	since  time.Time
}

// skips reports whether a request skips a server because the owner of its permits granted
// none or takes too long to answer.
func (q *permitRequest) skips(now time.Time, server state.BackendIncarnation, p *permits.Limiter) bool {
	i := q.index(server)
	if i < 0 || q.queued() {
		return true
	}
	since := q.wants[i].since
	return now.Sub(since) >= permitQueryTimeout || p.AnsweredSince(server, since)
}

// queued reports whether the request is queued for a permit.
func (q *permitRequest) queued() bool { return q.queuedFor != state.BackendIncarnation{} }

// full reports whether the request may ask for no further server's permits.
func (q *permitRequest) full() bool { return len(q.wants) >= maxPermitWants }

func (q *permitRequest) index(server state.BackendIncarnation) int {
	return slices.IndexFunc(q.wants, func(w permitWant) bool { return w.server == server })
}

// pollInterval is the time until the request checks again.
func (q *permitRequest) pollInterval() time.Duration {
	if len(q.wants) > 0 && !q.queued() {
		return permitPollInterval
	}
	return waitPollInterval
}

// needsPermit reports whether no request may be sent to a server now, and if so records the
// demand for a permit.
func (s *sharedState) needsPermit(now time.Time, server state.BackendIncarnation, q *permitRequest) bool {
	if !s.permits.Unavailable(now, server) {
		return false
	}
	q.lacking = true
	repeated := q.index(server) >= 0
	if !repeated {
		if q.full() {
			return true
		}
		q.wants = append(q.wants, permitWant{server: server, since: now})
	}
	q.queryOwner = s.permits.RecordDemand(now, server, repeated) || q.queryOwner
	return true
}

// spendPermit takes the permit for a request to a server that names a limit.
func (s *sharedState) spendPermit(now time.Time, server state.BackendIncarnation, q *permitRequest) {
	ok, queryOwner := s.permits.Take(now, server)
	if !ok {
		panic("gateway: available permit could not be taken")
	}
	q.queryOwner = queryOwner || q.queryOwner
	q.lacking = false
}

// enqueueForPermit queues a request that no server can take without a permit for the one
// that is likely to come first.
func (s *sharedState) enqueueForPermit(q *permitRequest) {
	if !q.blocked || q.queued() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	q.queuedFor = q.soonest(now, s.permits)
	q.queuedAhead = s.permits.Enqueue(q.queuedFor)
	q.queryOwner = s.permits.RecordDemand(now, q.queuedFor, true) || q.queryOwner
}

// expectedPermitWait is how long a request is expected to wait for its permit: the one that it is
// queued for, or else the first one of those that it has asked for.
func (s *sharedState) expectedPermitWait(q *permitRequest) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if q.queued() {
		return s.permits.ExpectedWaitBehind(now, q.queuedFor, q.queuedAhead)
	}
	return s.permits.ExpectedWait(now, q.soonest(now, s.permits))
}

// soonest returns the server whose permit is likely to come first, of those that the request has
// asked for.
func (q *permitRequest) soonest(now time.Time, p *permits.Limiter) state.BackendIncarnation {
	return slices.MinFunc(q.wants, func(x, y permitWant) int {
		return cmp.Compare(p.ExpectedWait(now, x.server), p.ExpectedWait(now, y.server))
	}).server
}

// dequeueForPermit ends an attempt's wait for a permit.
func (g *Gateway) dequeueForPermit(q *permitRequest) {
	if !q.queued() {
		return
	}
	g.shared.mu.Lock()
	defer g.shared.mu.Unlock()
	g.shared.permits.Dequeue(q.queuedFor)
}

// permitWaitExceeds reports whether a request that only rate-limited servers can take won't get
// a permit before until. It is false once the header of an answer was written to the caller.
func (r *requestHandler) permitWaitExceeds(until time.Time) bool {
	if !r.search.permit.queued() || r.headSent {
		return false
	}
	return admission.RateLimited{PermitWait: r.g.shared.expectedPermitWait(&r.search.permit)}.PermitTooLate(time.Until(until))
}

// rateLimitedResult is the result of a request that got no permit.
func (r *requestHandler) rateLimitedResult() Result {
	r.g.metrics.CountReason(telemetry.GatewayLimitedTotal, limitedRefused)
	limited := admission.RateLimited{PermitWait: r.g.shared.expectedPermitWait(&r.search.permit)}
	return Result{Outcome: Refused, Reason: string(relay.ReasonLimited), RetryAfter: limited.RetryAfter()}
}
