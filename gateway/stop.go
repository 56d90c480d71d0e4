package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Fractions of the grace period.
const (
	// minDrainShare is the earliest end of a planned stop: if no request is left by then,
	// callers have moved to other daemons and a successor can start.
	minDrainShare = 0.4
	// maxDrainShare is the latest end of a planned stop; the remainder is for the shutdown
	// of the process itself.
	maxDrainShare = 0.93
)

// drainPollInterval is how often a planned stop checks whether requests are left.
const drainPollInterval = 20 * time.Millisecond

// plannedStop is a planned stop that has begun.
type plannedStop struct {
	began time.Time
	// grace is how long the process may go on. Settings that change during the stop don't change it:
	// whoever stops the process goes by those at its signal.
	grace time.Duration
}

// end returns when the stop ends at the latest.
func (s *plannedStop) end() time.Time {
	return s.began.Add(time.Duration(maxDrainShare * float64(s.grace)))
}

// Drain begins a planned stop: the gateway is removed at once from the addresses that
// callers are given, but keeps serving. Close ends it.
func (g *Gateway) Drain() {
	if !g.stop.CompareAndSwap(nil, &plannedStop{began: time.Now(), grace: g.currentSettings().DrainTimeout}) {
		return
	}
	g.log.Emit(telemetry.EventDrainStarted)
	g.control.post(func() {
		g.control.view.draining = true
		g.control.changed = true
		g.control.members.step(membership.Drain{})
	})
}

// Draining reports whether a planned stop has begun, so that callers should use another
// connection for their next request.
func (g *Gateway) Draining() bool { return g.stop.Load() != nil }

// WaitDrained blocks until a planned stop that has begun is complete.
func (g *Gateway) WaitDrained() {
	stop := g.stop.Load()
	earliest := stop.began.Add(time.Duration(minDrainShare * float64(stop.grace)))
	for {
		now, active := time.Now(), g.activeRequests.Load()
		if !now.Before(stop.end()) || active == 0 && !now.Before(earliest) {
			g.log.Emit(telemetry.EventDrainCompleted, telemetry.Count(int(active)), telemetry.Duration(now.Sub(stop.began)))
			return
		}
		time.Sleep(drainPollInterval)
	}
}

// DrainEnd returns when a planned stop that has begun ends at the latest.
func (g *Gateway) DrainEnd() time.Time { return g.stop.Load().end() }

// shutdown returns the planned stop that has begun, as of now.
func (g *Gateway) shutdown(now time.Time) admission.Shutdown {
	stop := g.stop.Load()
	return admission.Shutdown{
		Elapsed: now.Sub(stop.began),
		Grace:   stop.grace,
		End:     stop.end().Sub(stop.began),
		OthersAccept: slices.ContainsFunc(g.currentView.Load().members.Members, func(i membership.Info) bool {
			return i.Member.ID != g.self.ID && i.State == membership.Alive && !i.Draining
		}),
	}
}

// stopAllows reports whether the request may be sent to a server now, and if not, why: a planned
// stop refuses what it could not finish. A stream that has been accepted goes on.
func (r *requestHandler) stopAllows(now time.Time) (bool, admission.Refusal) {
	switch {
	case !r.g.Draining():
		return true, 0
	case !r.route.Stream:
		return r.g.shutdown(now).AcceptsCall(r.expectedAnswerTime(now))
	case r.attemptCount == 0:
		return r.g.shutdown(now).AcceptsStream()
	default:
		return true, 0
	}
}

// stopAllowsRepeat reports whether a planned stop lets the request, which has been sent, be sent to
// another server now.
func (r *requestHandler) stopAllowsRepeat(now time.Time) bool {
	if !r.g.Draining() || r.route.Stream {
		return true
	}
	allowed, _ := r.g.shutdown(now).AcceptsCall(r.expectedAnswerTime(now))
	return allowed
}

// stoppingResult is the result of a request that a planned stop does not allow to be sent.
func (r *requestHandler) stoppingResult(why admission.Refusal) Result {
	switch {
	case r.headSent:
		return r.failedResult(reasonDraining)
	case r.failure != nil:
		return r.forwardAnswer(r.failure.answer, r.failure.body)
	case r.retrier.NeverRan():
		return refusedResult(reasonDraining, why)
	default:
		return r.failedResult(reasonDraining)
	}
}

// watchStop cancels the call of the current attempt if it has no connection when a planned stop does
// not allow the request to be sent any more. The caller stops the timer once the call has ended.
func (r *requestHandler) watchStop(cancel context.CancelFunc) *time.Timer {
	if !r.g.Draining() || r.route.Stream {
		return nil
	}
	now := time.Now()
	left := r.g.shutdown(now).CallsAcceptedFor(r.expectedAnswerTime(now))
	return time.AfterFunc(left, func() {
		if !r.connected.Load() {
			cancel()
		}
	})
}
