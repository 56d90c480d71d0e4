package gateway

import (
	"fmt"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/overload"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/coordination/urgency"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// streamAdmission is the decision whether a stream may start along the path that was chosen for it.
type streamAdmission struct {
	service    state.ServiceID
	class      urgency.Class
	stream     overload.Stream
	arrived    time.Time
	counted    bool    // the stream is part of the demand
	enforced   bool    // the stream may be turned away
	tokens     float64 // expected size of the stream
	prediction pathing.Prediction
	outlook    overload.Outlook
	decidedAt  time.Time
	reason     overload.Reason // why it was turned away; Admitted if it was not
	retryAfter time.Duration
}

// turnedAway reports whether the stream was turned away.
func (a *streamAdmission) turnedAway() bool { return a != nil && a.reason != overload.Admitted }

// newStreamAdmission returns the decision to be made for the current attempt, or nil if none is. A
// stream that may have run is never turned away, since its refusal would not be true.
func (r *requestHandler) newStreamAdmission() *streamAdmission {
	if !r.route.Stream || !r.g.currentSettings().Contention.Admission {
		return nil
	}
	if !r.view.scaleOf(r.service.ID).Contended() {
		return nil
	}
	stream := overload.Stream{FirstTarget: r.route.Target, PauseTarget: r.route.Gap}
	stream.Excess = r.g.shares.excess(time.Now(), r.service.ID, r.customer.ID)
	return &streamAdmission{
		service:  r.service.ID,
		class:    r.class(),
		stream:   stream,
		arrived:  r.req.Arrived,
		enforced: r.retrier.NeverRan() && !r.begun(),
		counted:  r.demandCounted,
	}
}

// admitStream decides whether a stream may start along a path, and reports the result.
func (s *sharedState) admitStream(now time.Time, a *streamAdmission, roster *pathing.Roster, req pathing.Request, states []pathing.ServerState, path fleet.Path) bool {
	if a == nil {
		return true
	}
	model := s.overloadModel(a.service)
	demand := s.demandOf(a.service)
	if a.enforced && !a.counted {
		demand.Add(now, a.class, req.ExpectedTokens())
		a.counted = true
	}
	a.stream.MoreUrgent = demand.MoreUrgent(now, a.class)
	a.tokens = req.ExpectedTokens()
	a.prediction = roster.Predict(req, states, path)
	a.outlook = model.Outlook(now, a.prediction)
	a.decidedAt, a.reason = now, overload.Admitted
	if !a.enforced {
		return true
	}
	a.stream.Waited = now.Sub(a.arrived)
	a.reason = a.stream.Decide(a.outlook)
	if a.reason != overload.Admitted {
		a.retryAfter = a.stream.RetryAfter(a.outlook, model.Life(), s.rng)
	}
	return a.reason == overload.Admitted
}

// overloadModel returns the model of a service's streams.
func (s *sharedState) overloadModel(svc state.ServiceID) *overload.Model {
	m, ok := s.overload[svc]
	if !ok {
		m = overload.NewModel()
		s.overload[svc] = m
	}
	return m
}

// demandOf returns the demand for a service.
func (s *sharedState) demandOf(svc state.ServiceID) *overload.Demand {
	d, ok := s.demand[svc]
	if !ok {
		d = overload.NewDemand()
		s.demand[svc] = d
	}
	return d
}

// predictionLife is how long pauses are held against the prediction that was made when the stream
// started: the load changes.
const predictionLife = time.Second

// observePause learns from the time between two events of a stream.
func (s *sharedState) observePause(now time.Time, a *streamAdmission, pause time.Duration) {
	if a == nil || now.Sub(a.decidedAt) > predictionLife {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overloadModel(a.service).Observe(now, a.prediction, pause)
}

// observeStreamEnd learns from a stream that is complete.
func (s *sharedState) observeStreamEnd(a *streamAdmission, duration time.Duration) {
	if a == nil || !a.enforced { // the rest of a stream that began elsewhere says nothing
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.overloadModel(a.service).StreamEnded(duration)
}

// explain returns the decision with its inputs.
func (a *streamAdmission) explain() string {
	return fmt.Sprintf("%s: more urgent %.2f, excess %.2f, first event %v of %v, pause %v of %v, memory %.2f",
		a.reason, a.stream.MoreUrgent, a.stream.Excess, a.outlook.First.Round(time.Millisecond), a.stream.FirstTarget,
		a.outlook.Pause.Round(time.Millisecond), a.stream.PauseTarget, a.outlook.KVShare)
}

// chargeShare charges the request's customer for a stream that starts.
func (r *requestHandler) chargeShare(tokens float64) {
	if r.admission != nil && r.admission.enforced && !r.demandCounted {
		r.demandCounted = true
		r.g.shares.charge(time.Now(), r.service.ID, r.customer.ID, tokens)
	}
}

// overloadResult is the result of a stream that was turned away.
func (r *requestHandler) overloadResult() Result {
	a, now := r.search.admission, time.Now()
	r.g.shares.markContended(now, a.service)
	r.g.shares.reject(now, a.service, r.customer.ID, a.tokens)
	r.g.metrics.CountReason(telemetry.GatewayTurnedAwayTotal, string(a.reason))
	r.g.log.Emit(telemetry.EventStreamTurnedAway, telemetry.Request(r.req.ID), telemetry.Service(a.service),
		telemetry.Detail(a.explain()), telemetry.Duration(a.retryAfter))
	return Result{Outcome: Refused, Reason: string(relay.ReasonOverload), RetryAfter: a.retryAfter}
}
