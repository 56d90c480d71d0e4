package availability

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// attemptTimeout is how long the slow start waits for the answer to a request before it lets
	// another one through: an answer may be lost.
	attemptTimeout = time.Second
	// slowStartIdle is how long a server must have fewer requests in flight than the window allows
	// before the limit ends: as long as requests wait for it, they would all be sent at once.
	slowStartIdle = 2 * time.Second
	// growInterval is the time after which a window that has reached its threshold grows by one. A
	// round of requests to a plain server takes some ms, in which nothing is learned of its load.
	growInterval = time.Second
)

// slowStart limits the requests in flight to a server that has begun to accept requests again. The
// window doubles with each round of accepted requests up to half of the one at which requests were
// last turned away, and then grows by one each growInterval.
type slowStart struct {
	active     bool
	window     float64 // maximum number of unanswered requests
	threshold  float64 // window from which on it grows slowly; 0 for none
	grownAt    time.Time
	unanswered int
	lastBegin  time.Time
	lastFull   time.Time // when the window was last full
	epoch      int       // number of restarts; tells the requests of the current slow start from older ones
}

// Assignment is a request that was assigned to a server, until the server has answered. The zero
// value counts for no server.
type Assignment struct {
	server state.BackendIncarnation
	epoch  int
}

// restart begins the slow start at a time at which the server accepts requests again.
func (s *slowStart) restart(at time.Time) {
	if s.active && s.window > 1 {
		s.threshold = max(1, s.window/2)
	}
	s.active, s.window, s.unanswered, s.lastFull, s.grownAt = true, 1, 0, at, at
	s.epoch++
}

func (s *slowStart) full(now time.Time) bool {
	return s.active && float64(s.unanswered+1) > s.window && now.Sub(s.lastBegin) < attemptTimeout
}

// Begin records that a request was assigned to a server. The caller must End the assignment.
func (t *Tracker) Begin(now time.Time, server state.BackendIncarnation) Assignment {
	r, ok := t.servers[server]
	if !ok || !r.slowStart.active {
		return Assignment{}
	}
	s := &r.slowStart
	s.unanswered++
	s.lastBegin = now
	if s.full(now) {
		s.lastFull = now
	}
	return Assignment{server: server, epoch: s.epoch}
}

// End records that the server has answered an assigned request, or that no answer will come.
// accepted reports whether it has answered and has not turned the request away. Calls after the
// first one do nothing.
func (t *Tracker) End(now time.Time, a *Assignment, accepted bool) {
	server, epoch := a.server, a.epoch
	*a = Assignment{}
	r, ok := t.servers[server]
	if !ok || !r.slowStart.active || r.slowStart.epoch != epoch {
		return
	}
	s := &r.slowStart
	s.unanswered = max(0, s.unanswered-1)
	switch {
	case !accepted:
	case s.threshold == 0 || s.window < s.threshold || now.Sub(s.grownAt) >= growInterval:
		s.window++
		s.grownAt = now
	}
	if now.Sub(s.lastFull) < slowStartIdle {
		return
	}
	if r.leaving {
		s.active = false
	} else {
		delete(t.servers, server)
	}
}
