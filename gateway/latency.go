package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// serviceLatency holds recent latencies of a service's answers.
type serviceLatency struct {
	firstEvent suspect.RecentMax // until the first event, or until a complete plain answer
	eventGap   suspect.RecentMax // between two events
	// abandonBudget is how many answers may still be abandoned as lost.
	abandonBudget float64
}

func (s *sharedState) latencyOf(svc state.ServiceID) *serviceLatency {
	l, ok := s.latencies[svc]
	if !ok {
		l = &serviceLatency{}
		s.latencies[svc] = l
	}
	return l
}

// recordFirstEvent records the time until an answer began.
func (s *sharedState) recordFirstEvent(now time.Time, svc state.ServiceID, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencyOf(svc).firstEvent.Add(now, d)
}

// recordAnswerStart records the time until a stream began along its path.
func (s *sharedState) recordAnswerStart(now time.Time, path fleet.Path, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.AnswerStarted(now, path, d)
}

func (s *sharedState) recordEventGap(now time.Time, svc state.ServiceID, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latencyOf(svc).eventGap.Add(now, d)
}

const (
	// firstEventTimeoutFactor is how many times the recent maximum an answer may take to
	// begin before it counts as lost: one in several hundred takes that long without being
	// lost, and each of those costs a prompt.
	firstEventTimeoutFactor = 1.5
	// eventGapTimeoutFactor is the same for the gap between two events of a stream.
	eventGapTimeoutFactor = 2.0
	// minTargetShare is the least fraction of a route's latency target to wait for the
	// beginning of an answer; the rest of it is needed to start over.
	minTargetShare = 0.5
	// abandonShare and maxAbandons limit the answers that are abandoned as lost, as a
	// fraction of all requests and in succession. Servers were seen to lose up to 1 in 20
	// answers; if more are late, the whole site is slow, and repeating requests makes it
	// slower.
	abandonShare = 0.05
	maxAbandons  = 6.0
)

// answerTimeouts returns how long to wait for the beginning of an answer, and between
// events; 0 for no timeout if there are no recent latencies.
func (s *sharedState) answerTimeouts(now time.Time, svc state.ServiceID, route *fleet.Route) (first, gap time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.latencyOf(svc)
	if recent := l.firstEvent.Value(now); recent > 0 {
		first = max(time.Duration(firstEventTimeoutFactor*float64(recent)), time.Duration(minTargetShare*float64(route.Target)))
	}
	if recent := l.eventGap.Value(now); recent > 0 {
		gap = max(time.Duration(eventGapTimeoutFactor*float64(recent)), route.Gap)
	}
	return first, gap
}

// mayAbandon reports whether one more answer may be abandoned as lost, and counts it.
func (s *sharedState) mayAbandon(svc state.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.latencyOf(svc)
	if l.abandonBudget < 1 {
		return false
	}
	l.abandonBudget--
	return true
}

// abandonsLeft reports whether mayAbandon would allow one more answer to be abandoned.
func (s *sharedState) abandonsLeft(svc state.ServiceID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.latencyOf(svc).abandonBudget >= 1
}
