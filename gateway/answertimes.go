package gateway

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/admission"
	"github.com/hibiscuswick/hibiscuswick/coordination/relay"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// answerKey identifies the calls whose answers take about the same time.
type answerKey struct {
	service state.ServiceID
	route   string // its prefix
}

// answerTimesOf returns the recent times of a route's answers. It drops those of routes that have
// not been used for long when a route is used for the first time.
func (s *sharedState) answerTimesOf(now time.Time, key answerKey) *admission.AnswerTimes {
	times, ok := s.answerTimes[key]
	if ok {
		return times
	}
	for k, other := range s.answerTimes {
		if other.Unused(now) {
			delete(s.answerTimes, k)
		}
	}
	times = &admission.AnswerTimes{}
	s.answerTimes[key] = times
	return times
}

func (s *sharedState) startAnswer(now time.Time, key answerKey) *admission.AnswerTimer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answerTimesOf(now, key).Start(now)
}

func (s *sharedState) endAnswer(now time.Time, t *admission.AnswerTimer, answered bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered {
		t.Answered(now)
		return
	}
	t.Discard()
}

// expectedAnswerTime returns how long a server takes to answer a request, and false if that is not known.
func (s *sharedState) expectedAnswerTime(now time.Time, key answerKey) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	times, ok := s.answerTimes[key]
	if !ok {
		return 0, false
	}
	return times.Expected(now)
}

func (r *requestHandler) answerKey() answerKey {
	return answerKey{service: r.service.ID, route: r.route.Prefix}
}

// timeAnswer begins to measure the time of the answer to the current attempt.
func (r *requestHandler) timeAnswer(now time.Time) {
	if r.route.Stream {
		return
	}
	r.endAnswerTime(relay.NotSent) // of a send that failed on a kept connection
	r.answerTimer = r.g.shared.startAnswer(now, r.answerKey())
}

// endAnswerTime ends the measurement of an attempt. Refusals come at once, and say nothing about
// answers.
func (r *requestHandler) endAnswerTime(outcome relay.Outcome) {
	if r.answerTimer == nil {
		return
	}
	answered := outcome != relay.NotSent && outcome != relay.NotRun
	r.g.shared.endAnswer(time.Now(), r.answerTimer, answered)
	r.answerTimer = nil
}

// expectedAnswerTime returns by when a request that is sent to a server now is answered: by its deadline
// at the latest.
func (r *requestHandler) expectedAnswerTime(now time.Time) time.Duration {
	timeLeft := r.deadline.Sub(now)
	if expected, known := r.g.shared.expectedAnswerTime(now, r.answerKey()); known {
		return min(expected, timeLeft)
	}
	return timeLeft
}
