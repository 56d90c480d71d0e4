package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/coordination/waitqueue"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// deadlineMargin is reserved from the caller's timeout for the transfer of the answer.
const deadlineMargin = 5 * time.Millisecond

// reasonCrashes is the reason for failing requests whose content has crashed servers.
const reasonCrashes relay.Reason = "crashes_servers"

// reasonDraining is the reason for refusing requests during a planned stop.
const reasonDraining relay.Reason = "draining"

// reasonMemory is the reason for refusing requests whose body there is no memory for.
const reasonMemory relay.Reason = "body_memory"

// reasonDescriptors is the reason for refusing requests for which there are no descriptors.
const reasonDescriptors relay.Reason = "descriptors"

// requestHandler is the state of one request in flight.
type requestHandler struct {
	g            *Gateway
	req          *Request
	reply        Reply
	view         *view
	route        *fleet.Route
	service      *fleet.Service
	customer     fleet.Customer
	retrier      relay.Retrier
	retrierMu    sync.Mutex // the timer callbacks of a stream use retrier and retries from other goroutines
	retries      openRetries
	deadline     time.Time          // the earlier one of the caller's and the route's
	cancel       context.CancelFunc // ends the request as if its caller had disconnected
	leftUnsent   bool               // the caller's leaving showed when an attempt was to be sent
	excluded     map[string]bool
	unverified   map[string]bool // addresses of plain servers that have left a probe for the request unanswered
	avoided      map[string]bool // addresses of engines that refused the request and blamed others, or left a probe for it unanswered
	verified     int             // paths of which a server has left a probe for the request unanswered
	lastEventID  string          // id of the last event that the caller has received
	headSent     bool            // the header of an answer was written to the caller
	rejections   admission.Rejections
	search       serverSearch
	attemptCount int
	sendCount    int           // calls that were sent to a server
	address      string        // address of the server of the current attempt
	path         fleet.Path    // servers of the current attempt; a plain server is its only hop
	alternatives *alternatives // to the path of the current attempt
	answer       answerLength
	runStart     time.Time // when the current attempt was sent, or when its answer began as a stream
	gaps         eventGaps
	admission    *streamAdmission // of the current attempt, if one was made
	// demandCounted is set once the request is part of the demand, and charged to its customer.
	demandCounted bool
	connected     atomic.Bool // the call of the current attempt has a connection
	// olderRunEnded is set once a server has ended under a run of the request that had not just begun.
	olderRunEnded atomic.Bool
	parts         []crashes.Fingerprint // of the prompt, those that other requests may share
	verdict       requestVerdict        // the last one while the current attempt waits for a server
	turn          turnState
	triedParts    atomic.Bool    // a server has ended under the request as it held the turn of a suspected part
	heldBack      bool           // the current attempt was not sent because of what its content has done
	failure       *serverFailure // the last one, or nil
	answerTimer   *admission.AnswerTimer
	sentTo        map[string]bool // addresses that were sent the request
	// place is when the request's caller first arrived, as far as it is known; zero before its first
	// attempt. returnKey identifies the caller when it returns.
	place     time.Time
	returnKey uint64
	rejection *waitqueue.Rejection // why the request may not wait for a server, or nil
}

// Serve writes the answer to a request to reply, or returns a result from which the caller
// is answered. ctx ends when the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, req *Request, reply Reply) Result {
	r := &requestHandler{g: g, req: req, reply: reply, view: g.currentView.Load(), lastEventID: req.LastEventID}
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	result := r.serve(ctx)
	r.rememberRefusal(result)
	r.recordMetrics(result)
	r.logEnd(result)
	return result
}

// serve runs the stages: route, customer, admission, attempts.
func (r *requestHandler) serve(ctx context.Context) Result {
	if !r.awaitReady(ctx) {
		return refusedResult("no_configuration", admission.NotReady)
	}
	if res, ok := r.findRoute(); !ok {
		return res
	}
	if res, ok := r.findCustomer(); !ok {
		return res
	}
	if r.req.Unread {
		return refusedResult(reasonMemory, admission.NoMemory)
	}
	if r.req.Excess {
		return refusedResult(reasonDescriptors, admission.Busy)
	}
	r.setDeadline()
	if allowed, why := r.stopAllows(later(r.req.Arrived, time.Now())); !allowed {
		return refusedResult(reasonDraining, why)
	}
	r.retrier = relay.Retrier{
		Repeat:      r.route.Repeat,
		MaxAttempts: r.route.MaxAttempts,
		Deadline:    r.deadline,
		SpendRetry:  r.spendRetry,
	}
	r.g.observeRunning(r.req.Arrived)
	r.g.shared.recordRequest(r.req.Arrived, r.g.running.sentSince(r.req.Arrived), r.service.ID)
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, context.DeadlineExceeded)
	defer cancel()
	r.cancel = cancel
	defer r.endRetries()
	return r.runAttempts(ctx)
}

// lateRetry is after which time a retry that was paid for counts as sent late in logs.
const lateRetry = 500 * time.Millisecond

// markSent records that the current attempt is sent to its server.
func (r *requestHandler) markSent() {
	r.retrierMu.Lock()
	defer r.retrierMu.Unlock()
	if paidAt, paid := r.retrier.Unused(); paid && time.Since(paidAt) > lateRetry {
		r.g.log.Emit(telemetry.EventRetryLate, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID), telemetry.Duration(time.Since(paidAt)))
	}
	r.retrier.MarkSent()
	reason := sentFirst
	if r.sendCount > 0 {
		reason = sentRepeat
	}
	r.sendCount++
	r.g.metrics.CountReason(telemetry.GatewaySendsTotal, reason)
}

// Calls to servers in metrics.
const (
	sentFirst  = "first"
	sentRepeat = "repeat"
)

func (r *requestHandler) findRoute() (Result, bool) {
	route, ok := r.view.config.Lookup(r.req.Host, r.req.Path)
	if !ok {
		return Result{Outcome: NoRoute, Reason: "no_route"}, false
	}
	id, ok := route.Pick(rand.Uint64())
	svc, known := r.view.config.Services[id]
	if !ok || !known {
		return Result{Outcome: NoRoute, Reason: "no_service"}, false
	}
	r.route, r.service = route, &svc
	r.parts = partFingerprints(svc.ID, r.req.PromptParts)
	return Result{}, true
}

func (r *requestHandler) findCustomer() (Result, bool) {
	keys := r.view.config.Keys
	if keys == nil || r.route.Anonymous {
		return Result{}, true
	}
	customer, ok := keys[r.req.Key]
	if !ok {
		return Result{Outcome: UnknownKey, Reason: "unknown_key"}, false
	}
	r.customer = customer
	return Result{}, true
}

// setDeadline sets the time by which the request needs its final answer.
func (r *requestHandler) setDeadline() {
	const unbounded = time.Hour
	r.deadline = r.req.Arrived.Add(unbounded)
	if r.req.CallerTimeout > 0 {
		r.deadline = r.req.Arrived.Add(r.req.CallerTimeout - deadlineMargin)
	}
	if r.route.Timeout > 0 {
		r.deadline = earlier(r.deadline, r.req.Arrived.Add(r.route.Timeout))
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// runAttempts repeats attempts until the request has a result.
func (r *requestHandler) runAttempts(ctx context.Context) Result {
	defer r.releaseTurns(false)
	for {
		if result, ok := r.checkContent(ctx); !ok {
			return result
		}
		if r.g.reach.cutOffFrom(r.service.ID) && r.mayGoElsewhere() {
			return r.cutOffResult()
		}
		if allowed, why := r.stopAllows(time.Now()); !allowed {
			return r.stoppingResult(why)
		}
		outcome, result := r.attempt(ctx)
		r.releaseTurns(false)
		if outcome == 0 {
			return result
		}
		d := r.decideNext(ctx, outcome)
		if errors.Is(context.Cause(ctx), context.Canceled) {
			return Result{Outcome: CallerLeft, Reason: r.leaveReason()}
		}
		switch {
		case d.Retry:
			r.view = r.g.currentView.Load()
			r.g.metrics.CountReason(telemetry.GatewayRetriedTotal, attemptOutcomeNames[outcome])
			r.g.log.Emit(telemetry.EventRequestRetried, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID), telemetry.Detail(attemptOutcomeNames[outcome]))
		case d.PassFailure && r.failure != nil:
			return r.forwardAnswer(r.failure.answer, r.failure.body)
		case d.Refuse:
			return r.deniedResult(d.Reason)
		default:
			return r.failedResult(d.Reason)
		}
	}
}

// decideNext decides what follows an attempt. For a stream that has begun it waits until
// the retry budget allows another attempt or the caller disconnects.
func (r *requestHandler) decideNext(ctx context.Context, outcome relay.Outcome) relay.Decision {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return relay.Decision{} // the caller has disconnected: no further attempt
	}
	r.awaitRetryRecord(ctx, outcome)
	d := r.attemptEnded(outcome)
	for d.RetryLater && ctx.Err() == nil {
		sleep(ctx, budgetPollInterval)
		d = r.reconsider()
	}
	return d
}

// attemptEnded reports the outcome of an attempt to the retrier and returns its decision.
func (r *requestHandler) attemptEnded(outcome relay.Outcome) relay.Decision {
	r.retrierMu.Lock()
	defer r.retrierMu.Unlock()
	return r.retrier.AttemptEnded(time.Now(), outcome, r.address)
}

// budgetPollInterval is how often a stream that waits for the retry budget checks it again:
// callers give up after 2 s, and the budget regains its ratio of about 60 requests per
// second.
const budgetPollInterval = 50 * time.Millisecond

// reconsider repeats the decision after the retry budget was empty.
func (r *requestHandler) reconsider() relay.Decision {
	r.retrierMu.Lock()
	defer r.retrierMu.Unlock()
	return r.retrier.Reconsider(time.Now())
}

// reserveRetry reports whether another attempt follows if the current one at a server is
// abandoned, and if so takes that retry from the budget.
func (r *requestHandler) reserveRetry(server string) bool {
	r.retrierMu.Lock()
	defer r.retrierMu.Unlock()
	return r.retrier.ReserveRetry(time.Now(), server)
}

// isLastAttempt reports whether no further server may run the request after the current
// attempt.
func (r *requestHandler) isLastAttempt(server string) bool {
	r.retrierMu.Lock()
	defer r.retrierMu.Unlock()
	return r.retrier.IsLastAttempt(server)
}

// markPartDelivered records that a part of an answer has reached the caller.
func (r *requestHandler) markPartDelivered() {
	r.retrierMu.Lock()
	defer r.retrierMu.Unlock()
	r.retrier.MarkPartDelivered()
}

// attemptOutcomeNames are the outcomes of attempts in logs and metrics.
var attemptOutcomeNames = map[relay.Outcome]string{
	relay.NotSent: "not_sent",
	relay.NotRun:  "not_run",
	relay.Broken:  "broken",
	relay.Errored: "errored",
}

// failedResult is the result of a request that can't be answered and may have run.
func (r *requestHandler) failedResult(reason relay.Reason) Result {
	outcome := Failed
	switch {
	case r.headSent:
		r.reply.Abort()
		outcome = Truncated
	case reason == relay.ReasonDeadline:
		outcome = TimedOut
	}
	return Result{Outcome: outcome, Reason: string(reason)}
}

// refusedResult is the result of a request that has not run and will not run.
func refusedResult(reason relay.Reason, why admission.Refusal) Result {
	return Result{Outcome: Refused, Reason: string(reason), RetryAfter: why.RetryAfter()}
}

// noServerResult is the result of a request for which no server is available: a server's own
// failure, if one has answered with it.
func (r *requestHandler) noServerResult(why admission.Refusal) (relay.Outcome, Result) {
	if r.failure != nil && !r.headSent {
		return 0, r.forwardAnswer(r.failure.answer, r.failure.body)
	}
	if r.retrier.NeverRan() && !r.headSent {
		if !r.search.availableAt.IsZero() && r.rejection == nil {
			return 0, r.retryAfterResult()
		}
		if r.search.permit.lacking && r.rejection == nil {
			return 0, r.rateLimitedResult()
		}
		return 0, r.unservedResult(why)
	}
	return 0, r.failedResult(relay.ReasonNoServer)
}

// attempt sends the request once. It returns the outcome, or 0 with the result of the
// request.
func (r *requestHandler) attempt(ctx context.Context) (relay.Outcome, Result) {
	r.attemptCount++
	send := r.attemptPlain
	if r.service.Engine != nil {
		send = r.attemptPath
	}
	outcome, result := send(ctx)
	r.endAnswerTime(outcome)
	return outcome, result
}

// newCall builds the call to a server.
func (r *requestHandler) newCall(s state.BackendIncarnation, address string) backend.Call {
	return backend.Call{
		Server:       s.ID,
		Address:      address,
		RequestID:    string(r.req.ID),
		Method:       r.req.Method,
		Target:       r.req.Target,
		Header:       r.req.Header,
		Body:         r.req.Body,
		Customer:     r.customer.ID,
		Remaining:    r.timeLeft(),
		LastEventID:  r.lastEventID,
		Rank:         r.rank(),
		MaxIdleConns: r.maxIdleConns(),
		Resent:       r.sentTo[address],
		Admit:        func(reused bool) bool { return r.admit(s, address, reused) },
	}
}

// markSentTo records that a server is sent the request.
//
// Guard (late-second-answer): answers are told apart by the id of the request. A second copy of a
// server's answer would be taken for its answer to the next send on the same connection.
func (r *requestHandler) markSentTo(address string) {
	if r.sentTo == nil {
		r.sentTo = make(map[string]bool)
	}
	r.sentTo[address] = true
}

// callerLeft reports whether the caller has disconnected, and ends the request if so.
//
// Guard (caller-left-unread): a daemon that is short of processor time reads requests together
// with the end of their connections. Servers would run them in vain.
func (r *requestHandler) callerLeft() bool {
	if r.req.CallerLeft == nil || !r.req.CallerLeft() {
		return false
	}
	r.leftUnsent = true
	r.cancel()
	return true
}

func (r *requestHandler) leaveReason() string {
	if r.leftUnsent {
		return "caller_left_unsent"
	}
	return "caller_left"
}

// idleConnShare is the fraction of a server's maximum number of connections that all
// daemons together may keep idle; the rest is for requests.
const idleConnShare = 0.5

// maxIdleConns is how many idle connections to a server this daemon may keep; 0 for no
// limit.
//
// Guard (connections-kept): a server limits the connections of all callers together and
// resets those beyond the limit. If each daemon kept as many as it liked, bursts would
// leave a server with idle connections only, and requests that need a new one would be
// reset.
func (r *requestHandler) maxIdleConns() int {
	daemons := max(r.view.siteSize, r.view.live, 1)
	if r.service.MaxConns <= 0 {
		return 0
	}
	return max(1, int(idleConnShare*float64(r.service.MaxConns)/float64(daemons)))
}

// timeLeft is the time until the deadline, or 0 if neither the caller nor the route sets
// one.
func (r *requestHandler) timeLeft() time.Duration {
	if r.req.CallerTimeout <= 0 && r.route.Timeout <= 0 {
		return 0
	}
	return time.Until(r.deadline)
}

// class returns the urgency of the request.
func (r *requestHandler) class() urgency.Class { return urgency.Of(r.route, r.customer) }

// scale returns the order of the service's requests by urgency; without Contention.Urgency the
// customer's rank replaces the route's.
func (r *requestHandler) scale() urgency.Scale {
	if !r.g.currentSettings().Contention.Urgency {
		return urgency.Scale{}
	}
	return r.view.scaleOf(r.service.ID)
}

// rank returns the rank of the request for backend servers.
func (r *requestHandler) rank() int { return r.scale().ServerRank(r.class(), r.begun()) }

// begun reports whether the caller has received a part of the answer, here or from another run.
func (r *requestHandler) begun() bool { return r.headSent || r.req.LastEventID != "" }
