package availability

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Tracker holds the statements of the servers of one daemon. It is not safe for concurrent use.
type Tracker struct {
	servers map[state.BackendIncarnation]*record
}

// record holds the statements of one incarnation of a server.
type record struct {
	until   time.Time // when the server accepts requests again; zero if it has always done so
	leaving bool
}

// NewTracker returns an empty tracker.
func NewTracker() *Tracker {
	return &Tracker{servers: make(map[state.BackendIncarnation]*record)}
}

// RecordRetryAfter records that a server wants no request for some time. An earlier statement that
// reaches further stays in force.
func (t *Tracker) RecordRetryAfter(now time.Time, server state.BackendIncarnation, wait time.Duration) {
	r := t.record(server)
	if until := now.Add(wait); until.After(r.until) {
		r.until = until
	}
}

// RecordLeaving records that a server is leaving. It returns false if that was known.
func (t *Tracker) RecordLeaving(server state.BackendIncarnation) bool {
	r := t.record(server)
	known := r.leaving
	r.leaving = true
	return !known
}

func (t *Tracker) record(server state.BackendIncarnation) *record {
	r, ok := t.servers[server]
	if !ok {
		r = &record{}
		t.servers[server] = r
	}
	return r
}

// IsLeaving reports whether a server has stated that it is leaving.
func (t *Tracker) IsLeaving(server state.BackendIncarnation) bool {
	r, ok := t.servers[server]
	return ok && r.leaving
}

// RetryAfter returns for how much longer a server wants no request.
func (t *Tracker) RetryAfter(now time.Time, server state.BackendIncarnation) time.Duration {
	r, ok := t.servers[server]
	if !ok {
		return 0
	}
	return max(0, r.until.Sub(now))
}
