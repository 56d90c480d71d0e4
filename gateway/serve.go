package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/protocol/backend"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// deadlineMargin is kept of a caller's time for the answer's way back.
	deadlineMargin = 5 * time.Millisecond
	// retrySoon is when a caller may come back that met a full or just failing
	// server: suspects are tried again after about that time.
	retrySoon = 400 * time.Millisecond
	// retryUncovered is when a caller may come back where a layer is held by no
	// server: about what finding and loading it takes.
	retryUncovered = 2 * time.Second
	// retryElsewhere is when a caller may come back that met a daemon about to stop:
	// any other one takes it.
	retryElsewhere = 20 * time.Millisecond
	// retryRestarted is when one may come back that met only daemons about to stop:
	// a stop takes 3 to 7 s, and the first to begin it is back within this.
	retryRestarted = 2 * time.Second
	// retryUnready is when a caller may come back to a daemon that knows no
	// configuration yet.
	retryUnready = time.Second
	// holdShare is the part of its time for which a request waits for a server
	// before it is refused, and holdMost bounds it: callers leave a stream that shows
	// nothing for 2 s, and a layer that is held nowhere is mostly back within that.
	holdShare = 0.075
	holdMost  = 1500 * time.Millisecond
	// holdStep is how often a request that waits looks again.
	holdStep = 15 * time.Millisecond
)

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
	relay    relay.Relay
	deadline time.Time // the caller's or the route's, the earlier one
	avoid    map[string]bool
	after    string // id of the last event that the caller has
	headed   bool   // the head of an answer was given
	sends    int
	at       string // address of the server of the attempt under way
	pauses   pauses
	own      *ownFailure // the last one, or nil
}

// Serve answers a request through its reply, or says in its result what the caller
// is to be told. ctx ends when the caller leaves.
func (g *Gateway) Serve(ctx context.Context, req *Request, reply Reply) Result {
	r := &run{g: g, req: req, reply: reply, view: g.current.Load(), after: req.After}
	g.active.Add(1)
	defer g.active.Add(-1)
	result := r.serve(ctx)
	r.measure(result)
	r.logEnd(result)
	return result
}

// serve runs the stages: route, customer, admission, attempts.
func (r *run) serve(ctx context.Context) Result {
	if r.view.config == nil || !r.view.listed {
		return Result{Outcome: Refused, Reason: "no_configuration", RetryAfter: retryUnready}
	}
	if res, ok := r.findRoute(); !ok {
		return res
	}
	if res, ok := r.findCustomer(); !ok {
		return res
	}
	if takes, after := r.g.takesStreams(r.req.Arrived); r.route.Stream && !takes {
		return Result{Outcome: Refused, Reason: "draining", RetryAfter: after}
	}
	r.limitTime()
	r.relay = relay.Relay{
		Repeat:      r.route.Repeat,
		MaxAttempts: r.route.MaxAttempts,
		Deadline:    r.deadline,
		Spend: func(now time.Time) bool {
			return r.g.book.spend(now, r.service.ID, r.view.live)
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
		return Result{Outcome: BadKey, Reason: "unknown_key"}, false
	}
	r.customer = customer
	return Result{}, true
}

// limitTime sets the time by which the request has its final answer.
func (r *run) limitTime() {
	const forever = time.Hour
	r.deadline = r.req.Arrived.Add(forever)
	if r.req.Wait > 0 {
		r.deadline = r.req.Arrived.Add(r.req.Wait - deadlineMargin)
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
		if errors.Is(context.Cause(ctx), context.Canceled) {
			return Result{Outcome: Gone, Reason: "caller_left"}
		}
		d := r.relay.Ended(time.Now(), end, r.at)
		switch {
		case d.Again:
			r.view = r.g.current.Load()
			r.g.metrics.CountReason(telemetry.GatewayRetriedTotal, endNames[end])
			r.g.log.Emit(telemetry.EventRequestRetried, telemetry.Request(r.req.ID), telemetry.Detail(endNames[end]))
		case d.Pass && r.own != nil:
			return r.pass(r.own.answer, r.own.body)
		case d.Refuse:
			return Result{Outcome: Refused, Reason: string(d.Reason), RetryAfter: retrySoon}
		default:
			return r.failed(d.Reason)
		}
	}
}

// endNames are the ends of attempts in log lines.
var endNames = map[relay.End]string{
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
		r.reply.Cut()
		outcome = Cut
	case reason == relay.ReasonDeadline:
		outcome = TimedOut
	}
	return Result{Outcome: outcome, Reason: string(reason)}
}

// noServer is the result of a request that no server can take.
func (r *run) noServer(after time.Duration) (relay.End, Result) {
	if r.relay.Untouched() && !r.headed {
		return 0, Result{Outcome: Refused, Reason: string(relay.ReasonNoServer), RetryAfter: after}
	}
	return 0, r.failed(relay.ReasonNoServer)
}

// attempt sends the request once. It returns how that ended, or 0 with the result
// of the request.
func (r *run) attempt(ctx context.Context) (relay.End, Result) {
	r.sends++
	if r.service.Engine != nil {
		return r.attemptPath(ctx)
	}
	return r.attemptPlain(ctx)
}

// hold waits until try succeeds, for a part of the request's time.
func (r *run) hold(ctx context.Context, try func() bool) bool {
	part := time.Duration(holdShare * float64(r.deadline.Sub(r.req.Arrived)))
	from := r.req.Arrived
	if r.headed {
		from = r.pauses.last // a caller waits for the next event as for the first
	}
	until := from.Add(min(part, holdMost))
	for {
		if try() {
			return true
		}
		if !time.Now().Before(until) || ctx.Err() != nil {
			return false
		}
		pause(ctx, holdStep)
		r.view = r.g.current.Load()
	}
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
		Left:      time.Until(r.deadline),
		After:     r.after,
		Rank:      r.rank(),
	}
}

// watchFirst cancels an attempt whose answer does not begin in usual time, if the
// request may run again: its answer was lost, or its connection has gone silent.
// The caller stops the timer once the answer has begun.
func (r *run) watchFirst(cancel context.CancelFunc) *time.Timer {
	if r.route.Repeat == fleet.RunOnce || r.relay.Last(r.at) {
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

// maxRank is the least urgent rank that servers know.
const maxRank = 9

func (r *run) rank() int {
	rank := r.route.Rank
	if r.customer.Ranked {
		rank = r.customer.Rank
	}
	return min(max(rank, 0), maxRank)
}

// sendEnd classifies an error of a call.
func sendEnd(err error) relay.End {
	if errors.Is(err, backend.ErrNotSent) {
		return relay.NotSent
	}
	return relay.Broken
}

func (r *run) avoidFrom(address string) {
	if r.avoid == nil {
		r.avoid = make(map[string]bool)
	}
	r.avoid[address] = true
}

// outcomeNames are the outcomes in counters.
var outcomeNames = map[Outcome]string{
	Answered: "answered", Refused: "refused", Failed: "failed", TimedOut: "timed_out",
	Cut: "cut", Gone: "caller_left", NoRoute: "no_route", BadKey: "unknown_key",
}

// measure counts how a request ended and how long it took.
func (r *run) measure(res Result) {
	m := r.g.metrics
	m.CountReason(telemetry.GatewayEndedTotal, outcomeNames[res.Outcome])
	switch res.Outcome {
	case Refused:
		m.CountReason(telemetry.GatewayRefusedTotal, res.Reason)
	case Failed, TimedOut, Cut:
		m.CountReason(telemetry.GatewayFailedTotal, res.Reason)
	case Answered:
		m.ObserveService(telemetry.AnswerSeconds, r.service.ID, time.Since(r.req.Arrived))
		if r.route.Stream {
			m.ObserveService(telemetry.FirstEventSeconds, r.service.ID, r.pauses.first)
			m.ObserveService(telemetry.EventGapSeconds, r.service.ID, r.pauses.longest)
		}
	default:
	}
}

// logEnd writes a line for each request without a whole answer.
func (r *run) logEnd(res Result) {
	var event telemetry.Event
	switch res.Outcome {
	case Answered:
		r.logAnswered()
		return
	case Refused, NoRoute, BadKey:
		event = telemetry.EventRequestRefused
	case Failed, TimedOut, Cut:
		event = telemetry.EventRequestFailed
	default:
		return
	}
	fields := []telemetry.Field{
		telemetry.Request(r.req.ID), telemetry.Detail(res.Reason), telemetry.Count(r.sends),
		telemetry.Took(time.Since(r.req.Arrived)),
	}
	if r.service != nil {
		fields = append(fields, telemetry.Service(r.service.ID))
	}
	if r.view.config != nil {
		fields = append(fields, telemetry.Version(state.DocumentVersion(r.view.config.Version)))
	}
	r.g.log.Emit(event, fields...)
}

// pauses are the waits that a caller of a stream saw.
type pauses struct {
	last    time.Time // of the last event
	first   time.Duration
	longest time.Duration // between two events
	at      string        // first hop of the path after the longest pause
}

// event notes that an event was given to the caller.
func (p *pauses) event(now, arrived time.Time, hop string) {
	switch {
	case p.last.IsZero():
		p.first = now.Sub(arrived)
	case now.Sub(p.last) > p.longest:
		p.longest, p.at = now.Sub(p.last), hop
	}
	p.last = now
}

// logAnswered writes a line for an answered request, and one more for a stream whose
// caller waited too long for its first event or between two.
func (r *run) logAnswered() {
	r.g.log.Emit(telemetry.EventRequestAnswered, telemetry.Request(r.req.ID), telemetry.Count(r.sends),
		telemetry.Address(r.at), telemetry.Took(time.Since(r.req.Arrived)))
	p := &r.pauses
	if !r.route.Stream || p.first <= r.route.Target && p.longest <= r.route.Gap {
		return
	}
	r.g.log.Emit(telemetry.EventStreamLate, telemetry.Request(r.req.ID), telemetry.Took(p.longest),
		telemetry.FirstTook(p.first), telemetry.Count(r.sends), telemetry.Address(p.at))
}

// logSent writes a line for each attempt: where it goes, by which configuration, and
// how long after the request came. For a path the detail names its hops.
func (r *run) logSent(detail string) {
	r.g.log.Emit(telemetry.EventRequestSent, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID),
		telemetry.Count(r.sends), telemetry.Address(r.at), telemetry.Detail(detail),
		telemetry.Version(state.DocumentVersion(r.view.config.Version)), telemetry.Took(time.Since(r.req.Arrived)))
}
