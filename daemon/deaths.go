package daemon

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	// failuresUntilDead is how many consecutive queries a backend server must
	// leave unanswered before its layers are placed elsewhere. The instance
	// list reports a death too late, and one lost call does not justify loading
	// weights.
	failuresUntilDead = 3

	// failuresUntilDeadIfIsolated replaces failuresUntilDead while most of the
	// servers that this daemon queries do not answer. The daemon itself may
	// then be partitioned from them; the higher limit lets answers arrive
	// before it reports live servers as dead to the other daemons.
	failuresUntilDeadIfIsolated = 15

	// minServersForIsolation is the number of servers up to which missing
	// answers say nothing about this daemon's own connectivity.
	minServersForIsolation = 4

	// queriedTTL is how long a server counts among those that this daemon
	// queries.
	queriedTTL = 30 * time.Second
)

// deathsTracker counts the unanswered queries to the backend servers that
// layers are placed on, and reports servers that do not answer to the other
// daemons.
type deathsTracker struct {
	c       *control
	servers map[state.BackendID]*answerHistory
}

// answerHistory is how a backend server answered recent queries.
type answerHistory struct {
	queriedAt time.Time
	failures  int  // consecutive
	logged    bool // its death, since it last answered
}

func newDeathsTracker(c *control) *deathsTracker {
	return &deathsTracker{c: c, servers: make(map[state.BackendID]*answerHistory)}
}

// recordAnswer records whether a backend server answered a query.
func (dt *deathsTracker) recordAnswer(id state.BackendID, answered bool) {
	hist, ok := dt.servers[id]
	if !ok {
		hist = &answerHistory{}
		dt.servers[id] = hist
	}
	hist.queriedAt = dt.c.now
	if answered {
		hist.failures, hist.logged = 0, false
		if dt.isDead(id) {
			dt.c.d.log.Emit(telemetry.EventBackendRecovered, telemetry.Backend(id))
			dt.c.members.step(membership.ReportBackend{Backend: id, Kind: membership.BackendAvailable})
		}
		return
	}
	hist.failures++
	if hist.failures < dt.failureLimit() {
		return
	}
	if !dt.isDead(id) {
		dt.logDeath(id)
	}
	dt.c.members.step(membership.ReportBackend{Backend: id, Kind: membership.BackendFailed})
}

// logDeath logs a death, once until the server answers a query again: both requests and
// queries notice it.
func (dt *deathsTracker) logDeath(id state.BackendID, fields ...telemetry.Field) {
	if hist, ok := dt.servers[id]; ok {
		if hist.logged {
			return
		}
		hist.logged = true
	}
	dt.c.d.log.Emit(telemetry.EventBackendDied, append(fields, telemetry.Backend(id))...)
}

// failureLimit returns how many consecutive failures currently count as a
// death.
func (dt *deathsTracker) failureLimit() int {
	unresponsive := 0
	for id, hist := range dt.servers {
		switch {
		case dt.c.now.Sub(hist.queriedAt) > queriedTTL:
			delete(dt.servers, id)
		case hist.failures > 0:
			unresponsive++
		}
	}
	if len(dt.servers) > minServersForIsolation && 2*unresponsive > len(dt.servers) {
		return failuresUntilDeadIfIsolated
	}
	return failuresUntilDead
}

// isDead reports whether the membership considers a backend server dead.
func (dt *deathsTracker) isDead(id state.BackendID) bool {
	fact, ok := dt.c.members.view.Backends[id]
	return ok && fact.Kind == membership.BackendFailed
}

// isLeaving reports whether a backend server is about to stop.
func (dt *deathsTracker) isLeaving(in platform.Instance) bool {
	fact, ok := dt.c.members.view.Backends[state.BackendID(in.ID)]
	return in.Leaving || ok && fact.Kind == membership.BackendLeaving
}
