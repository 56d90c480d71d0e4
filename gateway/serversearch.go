package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/availability"
	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// serverSearch is the state of one attempt's search for a server.
type serverSearch struct {
	permit permitRequest
	// admission decides whether the stream may start along the path that is chosen; nil for no
	// such decision.
	admission *streamAdmission
	// assignment is the request's part in the slow start of the server that was found.
	assignment availability.Assignment
	// avoided are the addresses of engines that the request uses only if there are no others.
	avoided map[string]bool
	// tieSeed orders equally loaded plain servers.
	tieSeed uint64
	// unverified are the addresses of plain servers that have left a probe for the request unanswered.
	unverified map[string]bool
	// repeatable is set if the request may run again at another plain server.
	repeatable bool
	// availableAt is when a server can take the request, if all that could do so want no
	// requests until then; zero otherwise.
	availableAt time.Time
}

// preferable reports whether a plain server of the list is to be used before another one: the one of
// lower cost, or a random one of equal ones.
func (q *serverSearch) preferable(i int, cost float64, best int, bestCost float64) bool {
	switch {
	case best < 0 || cost < bestCost:
		return true
	case cost > bestCost:
		return false
	default:
		return q.tieBreak(i) < q.tieBreak(best)
	}
}

// tieBreak returns the place of a server of the list among equally loaded ones. It is the same in all
// searches of one attempt, so that one that waits for a permit does not ask for those of all servers.
func (q *serverSearch) tieBreak(i int) uint64 {
	return rand.NewPCG(q.tieSeed, uint64(i)).Uint64()
}

// serverAvailableAt returns when the first of the plain servers that may be used accepts
// requests again, or zero if none of them has asked for a time without requests.
func (s *sharedState) serverAvailableAt(now time.Time, servers []fleet.Server, avoid map[string]bool) time.Time {
	var first time.Time
	for i := range servers {
		candidate := &servers[i]
		if !s.isListedUsable(now, candidate, avoid) || s.availability.Accepts(now, candidate.Incarnation()) {
			continue
		}
		at, ok := s.availability.AvailableAt(now, candidate.Incarnation(), availability.Direct)
		if ok && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// waitingEngine is an engine that was excluded from the choice of a path because it accepts no
// requests yet.
type waitingEngine struct {
	index  int                 // in the roster
	before pathing.ServerState // before the exclusion
}

// excludeUnavailable excludes the engines that want no requests. It returns those that will
// accept them again.
func (s *sharedState) excludeUnavailable(now time.Time, roster *pathing.Roster, states []pathing.ServerState) []waitingEngine {
	var waiting []waitingEngine
	s.availability.EachUnavailable(now, func(server state.BackendIncarnation, relayed bool) {
		i, ok := roster.IndexOf(server)
		if !ok {
			return
		}
		if !s.availability.Leaving(server) {
			waiting = append(waiting, waitingEngine{index: i, before: states[i]})
		}
		if relayed {
			states[i].NotFirstHop = true
		} else {
			states[i].Excluded = true
		}
	})
	return waiting
}

// pathAvailableAt returns when there is a path again, or zero if there would be none even if
// the waiting engines accepted requests.
func (s *sharedState) pathAvailableAt(now time.Time, roster *pathing.Roster, r pathing.Request, states []pathing.ServerState, waiting []waitingEngine) time.Time {
	if len(waiting) == 0 {
		return time.Time{}
	}
	for _, w := range waiting {
		states[w.index] = w.before
	}
	path, ok := roster.Choose(r, states, true)
	if !ok {
		return time.Time{}
	}
	last := now
	for i, h := range path {
		use := availability.Relayed
		if i == 0 {
			use = availability.Direct
		}
		if at, ok := s.availability.AvailableAt(now, h.Server, use); ok && at.After(last) {
			last = at
		}
	}
	return last
}

// isWanted reports whether a server wants requests as far as it has stated.
func (s *sharedState) isWanted(now time.Time, server state.BackendIncarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.availability.Wanted(now, server)
}

// pruneAvailability drops what servers have stated that have not been listed for long, and how they
// have answered once they are not listed.
func (s *sharedState) pruneAvailability(now time.Time, listed func(state.BackendIncarnation) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.availability.Prune(now, listed)
	s.outliers.Prune(listed)
}

// endAssignment ends the request's part in the slow start of a server. Only the first call of an
// attempt counts.
func (r *requestHandler) endAssignment(accepted bool) {
	if r.search.assignment == (availability.Assignment{}) {
		return
	}
	r.g.shared.endAssignment(&r.search.assignment, accepted)
	r.g.waits.released(r.service.ID)
}

func (s *sharedState) endAssignment(a *availability.Assignment, accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.availability.End(time.Now(), a, accepted)
}

// retryAfterExceeds reports whether all servers that could take a request want none before
// until. It is false once the header of an answer was written to the caller.
func (r *requestHandler) retryAfterExceeds(until time.Time) bool {
	return !r.headSent && r.search.availableAt.After(until)
}

// retryAfterResult is the result of a request that only servers could take which want none now.
func (r *requestHandler) retryAfterResult() Result {
	r.g.metrics.CountReason(telemetry.GatewayRetryAfterTotal, statementRefused)
	left := admission.RetryAfter{AvailableIn: time.Until(r.search.availableAt)}
	return Result{Outcome: Refused, Reason: string(relay.ReasonRetryAfter), RetryAfter: left.RetryAfter()}
}
