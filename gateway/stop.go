package gateway

import (
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

// acceptsStream reports whether a new stream is accepted, and if not, why it is refused.
func (g *Gateway) acceptsStream(now time.Time) (bool, admission.Refusal) {
	if !g.Draining() {
		return true, 0
	}
	return g.shutdown(now).AcceptsStream()
}

// acceptsCall reports whether a new request is accepted that gets its whole answer at once, by a
// deadline, and if not, why it is refused.
func (g *Gateway) acceptsCall(now, deadline time.Time) (bool, admission.Refusal) {
	if !g.Draining() {
		return true, 0
	}
	return g.shutdown(now).AcceptsCall(deadline.Sub(now))
}
