package availability

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// maxWindow is how many requests in flight end the slow start: more than a plain server runs at
	// the same time.
	maxWindow = 16
	// attemptTimeout is how long the slow start waits for the answer to a request before it lets
	// another one through: an answer may be lost.
	attemptTimeout = time.Second
)

// slowStart limits the requests in flight to a server that has begun to accept requests again.
type slowStart struct {
	window     int // maximum number of unanswered requests; 0 for no limit
	unanswered int
	lastBegin  time.Time
	epoch      int // number of restarts; tells the requests of the current slow start from older ones
}

// Assignment is a request that was assigned to a server, until the server has answered. The zero
// value counts for no server.
type Assignment struct {
	server state.BackendIncarnation
	epoch  int
}

func (s *slowStart) restart() {
	s.window, s.unanswered = 1, 0
	s.epoch++
}

func (s *slowStart) full(now time.Time) bool {
	return s.window > 0 && s.unanswered >= s.window && now.Sub(s.lastBegin) < attemptTimeout
}

// Begin records that a request was assigned to a server. The caller must End the assignment.
func (t *Tracker) Begin(now time.Time, server state.BackendIncarnation) Assignment {
	r, ok := t.servers[server]
	if !ok || r.slowStart.window == 0 {
		return Assignment{}
	}
	r.slowStart.unanswered++
	r.slowStart.lastBegin = now
	return Assignment{server: server, epoch: r.slowStart.epoch}
}

// End records that the server has answered an assigned request, or that no answer will come.
// accepted reports whether it has answered and has not turned the request away. Calls after the
// first one do nothing.
func (t *Tracker) End(a *Assignment, accepted bool) {
	server, epoch := a.server, a.epoch
	*a = Assignment{}
	r, ok := t.servers[server]
	if !ok || r.slowStart.epoch != epoch || r.slowStart.window == 0 {
		return
	}
	s := &r.slowStart
	s.unanswered = max(0, s.unanswered-1)
	if !accepted {
		return
	}
	s.window++
	if s.window <= maxWindow {
		return
	}
	s.window = 0
	if !r.leaving {
		delete(t.servers, server)
	}
}
