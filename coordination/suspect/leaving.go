package suspect

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

const (
	// leavingTTL is how long a server that is shutting down, but is not listed as such, is avoided.
	// It does not come back, and the list says so once the store can be reached again.
	leavingTTL = 10 * time.Second
	// minRefusals is how many refusals in a row show that a server is leaving: a single one may
	// come from a hop behind it, or be a coincidence. They are counted over all daemons, since a
	// single one of many daemons sends too few requests to one server.
	minRefusals = 2
	// refusalSpacing is the minimum time between two refusals that count: requests that are sent at
	// the same time are refused for the same reason.
	refusalSpacing = 300 * time.Millisecond
)

// LeavingNotice announces to the other daemons that a server refuses requests although it has
// capacity for them: it is about to shut down, or to release its layers.
type LeavingNotice struct {
	Server state.BackendIncarnation `msgpack:"server"`
}

// RefusalNotice announces to the other daemons that a server refused one request although it has
// capacity for it. Only the first refusal is announced.
type RefusalNotice struct {
	Address string `msgpack:"address"`
}

// refusals counts the refusals of a server in a row.
type refusals struct {
	count int
	last  time.Time
}

// RecordRefusal records that a server refused a request, here or at another daemon.
func (t *Tracker) RecordRefusal(now time.Time, address string) {
	r := &t.record(now, address).refusals
	if r.count == 0 || now.Sub(r.last) >= refusalSpacing {
		r.count++
		r.last = now
	}
}

// RefusesRepeatedly reports whether a server has refused several requests in a row, with no answer
// across it in between.
func (t *Tracker) RefusesRepeatedly(address string) bool {
	r, ok := t.servers[address]
	return ok && r.refusals.count >= minRefusals
}

// MarkLeaving records that a server is leaving. It returns false if that was known.
func (t *Tracker) MarkLeaving(now time.Time, l LeavingNotice) bool {
	for old, until := range t.leaving {
		if !now.Before(until) {
			delete(t.leaving, old)
		}
	}
	if _, known := t.leaving[l.Server]; known {
		return false
	}
	t.leaving[l.Server] = now.Add(leavingTTL)
	return true
}

// IsLeaving reports whether a server should be avoided because it is leaving.
func (t *Tracker) IsLeaving(now time.Time, server state.BackendIncarnation) bool {
	return now.Before(t.leaving[server])
}

// EachLeaving calls f for each server that should be avoided because it is leaving.
func (t *Tracker) EachLeaving(now time.Time, f func(state.BackendIncarnation)) {
	for server, until := range t.leaving {
		if now.Before(until) {
			f(server)
		}
	}
}
