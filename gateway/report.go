package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// outcomeNames are the outcomes in counters.
var outcomeNames = map[Outcome]string{
	Answered: "answered", Refused: "refused", Failed: "failed", TimedOut: "timed_out",
	Truncated: "cut", CallerLeft: "caller_left", NoRoute: "no_route", UnknownKey: "unknown_key",
}

// measure counts how a request ended and how long it took.
func (r *run) measure(res Result) {
	m := r.g.metrics
	m.CountReason(telemetry.GatewayEndedTotal, outcomeNames[res.Outcome])
	switch res.Outcome {
	case Refused:
		m.CountReason(telemetry.GatewayRefusedTotal, res.Reason)
	case Failed, TimedOut, Truncated:
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
	case Refused, NoRoute, UnknownKey:
		event = telemetry.EventRequestRefused
	case Failed, TimedOut, Truncated:
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
