package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// outcomeNames are the outcomes in metrics.
var outcomeNames = map[Outcome]string{
	Answered: "answered", Refused: "refused", Failed: "failed", TimedOut: "timed_out",
	Truncated: "cut", CallerLeft: "caller_left", NoRoute: "no_route", UnknownKey: "unknown_key",
}

// recordMetrics counts the outcome and records the latencies of a request.
func (r *requestHandler) recordMetrics(res Result) {
	metrics := r.g.metrics
	metrics.CountReason(telemetry.GatewayEndedTotal, outcomeNames[res.Outcome])
	switch res.Outcome {
	case Refused:
		metrics.CountReason(telemetry.GatewayRefusedTotal, res.Reason)
	case Failed, TimedOut, Truncated:
		metrics.CountReason(telemetry.GatewayFailedTotal, res.Reason)
	case Answered:
		metrics.ObserveService(telemetry.AnswerSeconds, r.service.ID, time.Since(r.req.Arrived))
		if r.route.Stream {
			metrics.ObserveService(telemetry.FirstEventSeconds, r.service.ID, r.gaps.first)
			metrics.ObserveService(telemetry.EventGapSeconds, r.service.ID, r.gaps.longest)
		}
	default:
	}
}

// logEnd logs how a request ended.
func (r *requestHandler) logEnd(res Result) {
	var event telemetry.Event
	switch res.Outcome {
	case Answered:
		r.logAnswered()
		return
	case CallerLeft:
		r.g.log.Emit(telemetry.EventCallerLeft, telemetry.Request(r.req.ID), telemetry.Detail(res.Reason),
			telemetry.Count(r.attemptCount), telemetry.Address(r.address), telemetry.Duration(time.Since(r.req.Arrived)))
		return
	case Refused, NoRoute, UnknownKey:
		event = telemetry.EventRequestRefused
	case Failed, TimedOut, Truncated:
		event = telemetry.EventRequestFailed
	default:
		return
	}
	fields := []telemetry.Field{
		telemetry.Request(r.req.ID), telemetry.Detail(res.Reason), telemetry.Count(r.attemptCount),
		telemetry.Duration(time.Since(r.req.Arrived)),
	}
	if r.service != nil {
		fields = append(fields, telemetry.Service(r.service.ID))
	}
	if r.view.config != nil {
		fields = append(fields, telemetry.Version(state.DocumentVersion(r.view.config.Version)))
	}
	r.g.log.Emit(event, fields...)
}

// eventGaps are the waiting times that the caller of a stream experienced.
type eventGaps struct {
	lastEvent time.Time // time of the last event
	first     time.Duration
	longest   time.Duration // longest gap between two events
	firstHop  string        // of the path after the longest gap
}

// record records that an event was written to the caller.
func (p *eventGaps) record(now, arrived time.Time, hop string) {
	switch {
	case p.lastEvent.IsZero():
		p.first = now.Sub(arrived)
	case now.Sub(p.lastEvent) > p.longest:
		p.longest, p.firstHop = now.Sub(p.lastEvent), hop
	}
	p.lastEvent = now
}

// logAnswered logs an answered request, and additionally a stream whose caller waited too
// long for its first event or between two.
func (r *requestHandler) logAnswered() {
	r.g.log.Emit(telemetry.EventRequestAnswered, telemetry.Request(r.req.ID), telemetry.Count(r.attemptCount),
		telemetry.Address(r.address), telemetry.Duration(time.Since(r.req.Arrived)))
	p := &r.gaps
	if !r.route.Stream || p.first <= r.route.Target && p.longest <= r.route.Gap {
		return
	}
	r.g.log.Emit(telemetry.EventStreamLate, telemetry.Request(r.req.ID), telemetry.Duration(p.longest),
		telemetry.TimeToFirstEvent(p.first), telemetry.Count(r.attemptCount), telemetry.Address(p.firstHop))
}

// logSent logs each attempt: its destination, the configuration version, and the time since
// the request arrived. For a path the detail lists its hops.
func (r *requestHandler) logSent(detail string) {
	r.g.log.Emit(telemetry.EventRequestSent, telemetry.Request(r.req.ID), telemetry.Service(r.service.ID),
		telemetry.Count(r.attemptCount), telemetry.Address(r.address), telemetry.Detail(detail),
		telemetry.Version(state.DocumentVersion(r.view.config.Version)), telemetry.Duration(time.Since(r.req.Arrived)))
}
