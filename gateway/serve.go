package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// deadlineMargin is kept of a caller's time for the answer's way back.
const deadlineMargin = 5 * time.Millisecond

// reasonCrashes ends requests whose content has crashed servers.
const reasonCrashes relay.Reason = "crashes_servers"

// run is one request on its way through the gateway.
type run struct {
	g        *Gateway
	req      *Request
	reply    Reply
	view     *view
	route    *fleet.Route
	service  *fleet.Service
	customer fleet.Customer
	relay    relay.Retrier
	relayMu  sync.Mutex // a stream's watch asks it from other goroutines
	deadline time.Time  // the caller's or the route's, the earlier one
	avoid    map[string]bool
	after    string // id of the last event that the caller has
	headed   bool   // the head of an answer was given
	turned   admission.Rejections
	permit   permitRequest
	sends    int
	at       string // address of the server of the attempt under way
	pauses   pauses
	own      *ownFailure // the last one, or nil
}

// Serve answers a request through its reply, or says in its result what the caller
// is to be told. ctx ends when the caller leaves.
func (g *Gateway) Serve(ctx context.Context, req *Request, reply Reply) Result {
	r := &run{g: g, req: req, reply: reply, view: g.current.Load(), after: req.LastEventID}
	g.active.Add(1)
	defer g.active.Add(-1)
	result := r.serve(ctx)
	r.measure(result)
	r.logEnd(result)
	return result
}

// serve runs the stages: route, customer, admission, attempts.
func (r *run) serve(ctx context.Context) Result {
	if !r.awaitStart(ctx) {
		return refused("no_configuration", admission.NotReady)
	}
	if res, ok := r.findRoute(); !ok {
		return res
	}
	if res, ok := r.findCustomer(); !ok {
		return res
	}
	if takes, why := r.g.takesStreams(r.req.Arrived); r.route.Stream && !takes {
		return refused("draining", why)
	}
	r.limitTime()
	r.relay = relay.Retrier{
		Repeat:      r.route.Repeat,
		MaxAttempts: r.route.MaxAttempts,
		Deadline:    r.deadline,
		SpendRetry: func(now time.Time) bool {
			return r.g.book.spend(now, r.service.ID, r.view.sharers)
		},
	}
	r.g.book.request(r.req.Arrived, r.service.ID)
	ctx, cancel := context.WithDeadlineCause(ctx, r.deadline, context.DeadlineExceeded)
	defer cancel()
	return r.attempts(ctx)
}

func (r *run) findRoute() (Result, bool) {
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
	return Result{}, true
}

func (r *run) findCustomer() (Result, bool) {
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

// limitTime sets the time by which the request has its final answer.
func (r *run) limitTime() {
	const forever = time.Hour
	r.deadline = r.req.Arrived.Add(forever)
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

// attempts sends the request until it has its end.
func (r *run) attempts(ctx context.Context) Result {
	for {
		if r.g.book.convicted(time.Now(), r.fingerprint) {
			r.g.log.Emit(telemetry.EventRequestQuarantined, telemetry.Request(r.req.ID))
			return r.failed(reasonCrashes)
		}
		end, result := r.attempt(ctx)
		if end == 0 {
			return result
		}
		d := r.afterAttempt(ctx, end)
		if errors.Is(context.Cause(ctx), context.Canceled) {
			return Result{Outcome: CallerLeft, Reason: "caller_left"}
		}
		switch {
		case d.Retry:
			r.view = r.g.current.Load()
			r.g.metrics.CountReason(telemetry.GatewayRetriedTotal, endNames[end])
			r.g.log.Emit(telemetry.EventRequestRetried, telemetry.Request(r.req.ID), telemetry.Detail(endNames[end]))
		case d.PassFailure && r.own != nil:
			return r.pass(r.own.answer, r.own.body)
		case d.Refuse:
			return refused(d.Reason, admission.Busy)
		default:
			return r.failed(d.Reason)
		}
	}
}

// afterAttempt decides what follows an attempt, for a stream that has begun once the retry
// budget has room or its caller has left.
func (r *run) afterAttempt(ctx context.Context, end relay.Outcome) relay.Decision {
	if errors.Is(context.Cause(ctx), context.Canceled) {
		return relay.Decision{} // the caller has left: nothing follows
	}
	d := r.ended(end)
	for d.RetryLater && ctx.Err() == nil {
		pause(ctx, budgetStep)
		d = r.later()
	}
	return d
}

// ended decides what follows an attempt.
func (r *run) ended(end relay.Outcome) relay.Decision {
	r.relayMu.Lock()
	defer r.relayMu.Unlock()
	return r.relay.AttemptEnded(time.Now(), end, r.at)
}

// budgetStep is how often a stream that waits for the retry budget looks again: callers leave
// it after 2 s, and the budget regains its share of some 60 requests a second.
const budgetStep = 50 * time.Millisecond

// later decides anew, where the retry budget had no room.
func (r *run) later() relay.Decision {
	r.relayMu.Lock()
	defer r.relayMu.Unlock()
	return r.relay.Reconsider(time.Now())
}

// mayGoOn reports whether another attempt follows if the one under way at a server
// is given up, and takes it from the budget.
func (r *run) mayGoOn(server string) bool {
	r.relayMu.Lock()
	defer r.relayMu.Unlock()
	return r.relay.ReserveRetry(time.Now(), server)
}

// last reports whether the attempt under way at a server is the last that a further
// server may run.
func (r *run) last(server string) bool {
	r.relayMu.Lock()
	defer r.relayMu.Unlock()
	return r.relay.IsLastAttempt(server)
}

// given notes that a part of an answer has reached the caller.
func (r *run) given() {
	r.relayMu.Lock()
	defer r.relayMu.Unlock()
	r.relay.MarkPartDelivered()
}

// endNames are the ends of attempts in log lines.
var endNames = map[relay.Outcome]string{
	relay.NotSent: "not_sent",
	relay.NotRun:  "not_run",
	relay.Broken:  "broken",
	relay.Errored: "errored",
}

// failed is the result of a request that can't be answered and may have run.
func (r *run) failed(reason relay.Reason) Result {
	outcome := Failed
	switch {
	case r.headed:
		r.reply.Abort()
		outcome = Truncated
	case reason == relay.ReasonDeadline:
		outcome = TimedOut
	}
	return Result{Outcome: outcome, Reason: string(reason)}
}

// refused is the result of a request that has not run and won't.
func refused(reason relay.Reason, why admission.Refusal) Result {
	return Result{Outcome: Refused, Reason: string(reason), RetryAfter: why.RetryAfter()}
}

// noServer is the result of a request that no server can take.
func (r *run) noServer(why admission.Refusal) (relay.Outcome, Result) {
	if r.relay.NeverRan() && !r.headed {
		if r.permit.waits() {
			return 0, r.refusedLimited()
		}
		return 0, refused(relay.ReasonNoServer, why)
	}
	return 0, r.failed(relay.ReasonNoServer)
}

// attempt sends the request once. It returns how that ended, or 0 with the result
// of the request.
func (r *run) attempt(ctx context.Context) (relay.Outcome, Result) {
	r.sends++
	if r.service.Engine != nil {
		return r.attemptPath(ctx)
	}
	return r.attemptPlain(ctx)
}

// call fills in a call to a server.
func (r *run) call(s state.BackendID, address string) backend.Call {
	return backend.Call{
		Server:    s,
		Address:   address,
		RequestID: string(r.req.ID),
		Method:    r.req.Method,
		Target:    r.req.Target,
		Header:    r.req.Header,
		Body:      r.req.Body,
		Customer:  r.customer.ID,
		Left:      r.left(),
		After:     r.after,
		Rank:      r.rank(),
		Keep:      r.keep(),
	}
}

// keptShare is the part of the connections that a server takes which all daemons together may
// keep idle; the rest is for requests.
const keptShare = 0.5

// keep is how many idle connections to a server this daemon may keep; 0 for no bound.
//
// Guard (connections-kept): a server bounds the connections of all callers together and resets
// those beyond. Were each daemon to keep as many as suit it, bursts would leave a server with
// idle connections only, and requests that need a new one would be reset.
func (r *run) keep() int {
	daemons := max(r.view.sharers.Daemons, r.view.live, 1)
	if r.service.MaxConns <= 0 {
		return 0
	}
	return max(1, int(keptShare*float64(r.service.MaxConns)/float64(daemons)))
}

// left is what is left of the request's time, 0 where neither its caller nor its
// route bounds it.
func (r *run) left() time.Duration {
	if r.req.CallerTimeout <= 0 && r.route.Timeout <= 0 {
		return 0
	}
	return time.Until(r.deadline)
}

// maxRank is the least urgent rank that servers know.
const maxRank = 9

func (r *run) rank() int {
	rank := r.route.Rank
	if r.customer.Ranked {
		rank = r.customer.Rank
	}
	return min(max(rank, 0), maxRank)
}

// sendFailed is the end of an attempt whose call to a server failed. One that this
// daemon gave up itself, or its caller, is held against nobody.
func (r *run) sendFailed(ctx context.Context, err error, server state.Life, address string) relay.Outcome {
	end := relay.Broken
	if errors.Is(err, backend.ErrNotSent) {
		end = relay.NotSent
	}
	if ctx.Err() != nil {
		r.avoidFrom(address)
		return end
	}
	r.blame(address)
	if end == relay.Broken {
		r.implicate(server, address)
	}
	return end
}

// blame has a server avoided, by this request for good and by others for a while.
func (r *run) blame(address string) {
	r.avoidFrom(address)
	r.g.book.failed(time.Now(), address)
}

func (r *run) avoidFrom(address string) {
	if r.avoid == nil {
		r.avoid = make(map[string]bool)
	}
	r.avoid[address] = true
}
